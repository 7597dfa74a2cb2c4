package views

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
)

// newView returns a view with rows a and b, whose last read from the store was a minute ago
// and which considers the store down.
func newView(peersRead bool) *View {
	v := New(nil, Config{
		Table:          "t",
		Log:            hclog.NewNullLogger(),
		HoldFor:        time.Hour,
		PeersReadStore: func() bool { return peersRead },
		OnChange:       func(map[string]Row) {},
	})
	v.apply(Page{Version: 10, Rows: []Row{{Key: "a", Version: 5}, {Key: "b", Version: 6}}}, true)
	v.upSince = 0
	v.readAt = boottime.Now() - time.Minute
	return v
}

func rowCount(v *View) int {
	rows, _, _ := v.Since(0)
	return len(rows)
}

func TestRemovedRowsAreHeldAfterStoreOutage(t *testing.T) {
	v := newView(false)
	v.apply(Page{Version: 20, Rows: []Row{{Key: "a", Version: 15, Removed: true}}}, false)
	assert.Equal(t, rowCount(v), 2)
	assert.Equal(t, v.Version(), int64(6), "peers must not learn of a removal that is held")
	v.apply(Page{Version: 21, Rows: []Row{{Key: "b", Version: 21, Removed: true}}}, false)
	assert.Equal(t, rowCount(v), 1, "a removal after the store is back takes effect at once")
	v.held["a"] = heldRow{1, 15}
	v.apply(Page{Version: 22}, false)
	assert.Equal(t, rowCount(v), 0)
}

func TestRewrittenRowIsNoLongerHeld(t *testing.T) {
	v := newView(false)
	v.apply(Page{Version: 20, Rows: []Row{{Key: "a", Version: 15, Removed: true}}}, false)
	v.apply(Page{Version: 21, Rows: []Row{{Key: "a", Version: 21}}}, false)
	assert.Equal(t, len(v.held), 0)
	assert.Equal(t, rowCount(v), 2)
}

func TestNoHoldAfterOwnDisconnect(t *testing.T) {
	v := newView(true)
	v.apply(Page{Version: 20, Rows: []Row{{Key: "a", Version: 15, Removed: true}}}, false)
	assert.Equal(t, rowCount(v), 1)
}

func TestSnapshotAfterOutage(t *testing.T) {
	v := newView(false)
	v.apply(Page{Version: 20, Rows: []Row{{Key: "b", Version: 6}}}, true)
	assert.Equal(t, rowCount(v), 2)
	v = newView(true)
	v.apply(Page{Version: 20, Rows: []Row{{Key: "b", Version: 6}}}, true)
	assert.Equal(t, rowCount(v), 1)
}

// TestHeldRowIsNotRestoredAtPeer merges the snapshot of a daemon that holds a removed row
// into the view of one that has already removed it. The row must not come back.
func TestHeldRowIsNotRestoredAtPeer(t *testing.T) {
	holder, peer := newView(false), newView(true)
	removal := Row{Key: "a", Version: 15, Removed: true}
	holder.apply(Page{Version: 20, Rows: []Row{removal, {Key: "c", Version: 18}}}, false)
	peer.apply(Page{Version: 16, Rows: []Row{removal}}, false)
	rows, newest, _ := holder.Since(0)
	peer.Merge(rows, newest, true, "holder")
	_, restored := peer.rows["a"]
	assert.Assert(t, !restored)
	_, merged := peer.rows["c"]
	assert.Assert(t, merged)
}

func TestOlderVersionsAreIgnored(t *testing.T) {
	v := newView(true)
	v.apply(Page{Version: 20, Rows: []Row{{Key: "a", Version: 15, Value: []byte("new")}}}, false)
	v.apply(Page{Version: 12, Rows: []Row{{Key: "a", Version: 12, Value: []byte("old")}}}, false)
	v.Merge([]Row{{Key: "a", Version: 5, Value: []byte("older")}}, 14, true, "peer")
	assert.Equal(t, string(v.rows["a"].Value), "new")
	v.apply(Page{Version: 21, Rows: []Row{{Key: "a", Version: 21, Removed: true}}}, false)
	v.apply(Page{Version: 15, Rows: []Row{{Key: "a", Version: 15}}}, false)
	_, restored := v.rows["a"]
	assert.Assert(t, !restored, "a late response that is older than the removal must not restore the row")
}

// expiredHistory is a source that always returns ErrHistoryGone for changes.
type expiredHistory struct{ lists int }

func (h *expiredHistory) List(context.Context, string) (Page, error) {
	h.lists++
	return Page{Version: 30, Rows: []Row{{Key: "z", Version: 30}}}, nil
}

func (h *expiredHistory) Changes(context.Context, string, int64, time.Duration) (Page, error) {
	return Page{}, ErrHistoryGone
}

func TestSnapshotWhenHistoryIsGone(t *testing.T) {
	v := newView(true)
	h := &expiredHistory{}
	v.source = h
	v.upSince = boottime.Now()
	assert.NilError(t, v.read(context.Background()))
	assert.Equal(t, h.lists, 1)
	assert.Equal(t, rowCount(v), 1)
}

// TestNewestRowsArePublishedLast merges a peer's newer table while OnChange runs with an
// older state. The last call of OnChange must have the newest rows.
func TestNewestRowsArePublishedLast(t *testing.T) {
	started, resume := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	var published []int
	first := true
	v := New(nil, Config{Table: "t", Log: hclog.NewNullLogger(), PeersReadStore: func() bool { return false }})
	v.OnChange = func(rows map[string]Row) {
		mu.Lock()
		block := first
		first = false
		mu.Unlock()
		if block {
			close(started)
			<-resume
		}
		mu.Lock()
		defer mu.Unlock()
		published = append(published, len(rows))
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { v.apply(Page{Version: 10, Rows: []Row{{Key: "a", Version: 5}}}, true) })
	<-started
	tasks.Go(func() { v.Merge([]Row{{Key: "a", Version: 5}, {Key: "b", Version: 12}}, 12, true, "peer") })
	for v.Version() != 12 {
		runtime.Gosched()
	}
	time.Sleep(10 * time.Millisecond) // enough for the second call of OnChange if it did not wait for the first
	close(resume)
	tasks.Wait()
	assert.DeepEqual(t, published, []int{1, 2})
}

// TestLaggingPeerDoesNotRestoreRemovedRows merges the table of a daemon that has read less
// of the store and still has a row that was missing in this view's snapshot.
func TestLaggingPeerDoesNotRestoreRemovedRows(t *testing.T) {
	v := New(nil, Config{
		Table: "t", Log: hclog.NewNullLogger(),
		PeersReadStore: func() bool { return false },
		OnChange:       func(map[string]Row) {},
	})
	v.apply(Page{Version: 10, Rows: []Row{{Key: "a", Version: 2}}}, true) // b was removed by change 9
	v.Merge([]Row{{Key: "a", Version: 2}, {Key: "b", Version: 8}}, 8, true, "peer")
	assert.Equal(t, rowCount(v), 1)
	v.Merge([]Row{{Key: "a", Version: 2}, {Key: "b", Version: 12}}, 12, true, "peer")
	assert.Equal(t, rowCount(v), 2, "a newer row is merged")
}

// emptyStore is a store without any rows or changes.
type emptyStore struct{ lists, changes atomic.Int64 }

func (s *emptyStore) List(context.Context, string) (Page, error) {
	s.lists.Add(1)
	return Page{}, nil
}

func (s *emptyStore) Changes(ctx context.Context, _ string, _ int64, wait time.Duration) (Page, error) {
	s.changes.Add(1)
	sleep(ctx, wait)
	return Page{}, nil
}

// TestEmptyStoreIsListedOnce runs a view on a store that nothing was written to, as in a new
// deployment. The table must be listed once and then only polled for changes.
func TestEmptyStoreIsListedOnce(t *testing.T) {
	s := &emptyStore{}
	v := New(s, Config{Table: "t", Log: hclog.NewNullLogger(), MaxWait: func() time.Duration { return 50 * time.Millisecond },
		PeersReadStore: func() bool { return false }, OnChange: func(map[string]Row) {}})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	v.Run(ctx)
	assert.Equal(t, s.lists.Load(), int64(1))
	assert.Assert(t, s.changes.Load() <= 8, "%d reads of changes", s.changes.Load())
}

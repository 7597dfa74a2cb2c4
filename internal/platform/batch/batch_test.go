package batch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blockingTable is a table whose first commit closes blocked and then waits until
// release is closed.
type blockingTable struct {
	*platform.MemoryTable
	once    sync.Once
	blocked chan struct{}
	release chan struct{}
}

func (g *blockingTable) Commit(ctx context.Context, token string, writes []platform.Write) error {
	g.once.Do(func() {
		close(g.blocked)
		<-g.release
	})
	return g.MemoryTable.Commit(ctx, token, writes)
}

func newBlockingTable() *blockingTable {
	return &blockingTable{MemoryTable: platform.NewMemoryTable(), blocked: make(chan struct{}), release: make(chan struct{})}
}

// TestConflictInBatch checks that a conflict of one caller does not fail the other
// commits of its batch: of two commits that create the same row exactly one fails.
func TestConflictInBatch(t *testing.T) {
	ctx := context.Background()
	table := newBlockingTable()
	w := batch.New(table, batch.Options{RowsPerSecond: 1000, Daemons: 1, Senders: 1})
	defer w.Close()
	put := func(key, token string) error {
		return w.Commit(ctx, batch.Calls, token, []platform.Write{{Key: "p/" + key, Value: []byte(token)}})
	}
	const callers = 8
	errs := make([]error, callers)
	var tasks sync.WaitGroup
	tasks.Go(func() { assert.Check(t, put("first", "first")) })
	<-table.blocked
	for i := range callers {
		tasks.Go(func() { errs[i] = put(fmt.Sprint(i/2), fmt.Sprint("t", i)) })
	}
	for w.Queued() < callers {
	}
	close(table.release)
	tasks.Wait()
	for i := range callers / 2 {
		failed := 0
		for _, err := range errs[2*i : 2*i+2] {
			if err != nil {
				assert.ErrorIs(t, err, platform.ErrConflict)
				failed++
			}
		}
		assert.Equal(t, failed, 1, "key %d", i)
	}
}

// TestBudget checks that a class which exhausts its share gets ErrBudget and that
// the share of another class is not affected.
func TestBudget(t *testing.T) {
	ctx := context.Background()
	w := batch.New(platform.NewMemoryTable(), batch.Options{RowsPerSecond: 10, Daemons: 1})
	defer w.Close()
	commit := func(class batch.Class, i int) error {
		return w.Commit(ctx, class, fmt.Sprint(class, i), []platform.Write{{Key: fmt.Sprint("p/", class, i)}})
	}
	var err error
	done := 0
	for ; err == nil; done++ {
		err = commit(batch.Calls, done)
	}
	assert.ErrorIs(t, err, batch.ErrBudget)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Assert(t, done > 10, "burst of the class Calls: two seconds of its share, got %d", done)
	assert.NilError(t, commit(batch.Lots, 0), "the share of the class Lots is unaffected")
}

// TestCommitCanceled checks that a canceled commit has an unknown outcome if it was
// sent, and is reported as having had no effect if it was still queued.
func TestCommitCanceled(t *testing.T) {
	table := newBlockingTable()
	w := batch.New(table, batch.Options{Senders: 1})
	defer w.Close()
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan error, 1)
	go func() {
		results <- w.Commit(ctx, batch.Calls, "a", []platform.Write{{Key: "p/a"}})
	}()
	<-table.blocked
	cancel()
	assert.ErrorIs(t, <-results, platform.ErrOutcomeUnknown, "sent, no response yet")
	err := w.Commit(ctx, batch.Calls, "b", []platform.Write{{Key: "p/b"}})
	assert.ErrorIs(t, err, platform.ErrUnavailable, "never sent")
	close(table.release)
}

// slowTable is a table whose commits take 5 ms, like those of a service in the same
// region.
type slowTable struct{ *platform.MemoryTable }

func (s slowTable) Commit(ctx context.Context, token string, writes []platform.Write) error {
	time.Sleep(5 * time.Millisecond)
	return s.MemoryTable.Commit(ctx, token, writes)
}

// BenchmarkCallers measures one-row commits of concurrent callers. ns/op is the time
// per commit, ms/caller the time that a caller waits for one, and rows/commit the
// mean size of a transaction.
func BenchmarkCallers(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			w := batch.New(slowTable{platform.NewMemoryTable()}, batch.Options{RowsPerSecond: 1e9, Daemons: 1})
			defer w.Close()
			var n atomic.Int64
			var tasks sync.WaitGroup
			for range callers {
				tasks.Go(func() {
					for i := n.Add(1); i <= int64(b.N); i = n.Add(1) {
						key := fmt.Sprint("p/", i)
						_ = w.Commit(context.Background(), batch.Calls, key, []platform.Write{{Key: key}})
					}
				})
			}
			tasks.Wait()
			s := w.Stats()
			b.ReportMetric(float64(s.Rows)/float64(s.Commits), "rows/commit")
			b.ReportMetric(float64(b.Elapsed().Milliseconds())*float64(callers)/float64(b.N), "ms/caller")
		})
	}
}

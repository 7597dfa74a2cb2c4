package serve_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
	"github.com/lagoonmux/lagoonmux/internal/serve"
)

// flakyTable is a table whose commits can be made to fail.
type flakyTable struct {
	*platform.MemoryTable
	down         atomic.Bool
	loseResponse atomic.Int64 // number of commits that take effect but return ErrOutcomeUnknown
	dropCommit   atomic.Int64 // number of commits that have no effect and return ErrOutcomeUnknown
}

// Commit implements platform.Table.
func (f *flakyTable) Commit(ctx context.Context, token string, writes []platform.Write) error {
	if f.down.Load() {
		return platform.ErrUnavailable
	}
	if f.dropCommit.Add(-1) >= 0 {
		return platform.ErrOutcomeUnknown
	}
	err := f.MemoryTable.Commit(ctx, token, writes)
	if f.loseResponse.Add(-1) >= 0 {
		return platform.ErrOutcomeUnknown
	}
	return err
}

// fakeDispatcher counts successful runs. If err is set, runs fail with it.
type fakeDispatcher struct {
	runs atomic.Int64
	err  error
	wait chan struct{} // if not nil, runs block until it is closed
}

func (d *fakeDispatcher) Stream(context.Context, *call.Call, call.Sink) error { return nil }

func (d *fakeDispatcher) Plain(_ context.Context, _ *call.Call) (*call.Response, error) {
	if d.wait != nil {
		<-d.wait
	}
	if d.err != nil {
		return nil, d.err
	}
	d.runs.Add(1)
	return &call.Response{Status: 201, Body: []byte("tin")}, nil
}

func newRecorder(t *testing.T, name string, table platform.Table, d serve.Dispatcher) *serve.Recorder {
	w := batch.New(table, batch.Options{})
	r := serve.NewRecorder(name, table, nil, w, d, hclog.NewNullLogger())
	t.Cleanup(func() {
		r.Close(context.Background())
		w.Close()
	})
	return r
}

func newOrder(key, body string) *call.Call {
	return &call.Call{
		Customer: &manifest.Customer{Name: "bakery"}, Service: &manifest.Service{Name: "orders"},
		Method: "POST", Path: "/orders", Body: []byte(body), IdempotencyKey: key, Deadline: time.Now().Add(10 * time.Second),
	}
}

func assertError(t *testing.T, err error, status int, outcome call.Outcome) {
	t.Helper()
	var ce *call.Error
	assert.Assert(t, errors.As(err, &ce), "not a call.Error: %v", err)
	assert.Equal(t, ce.Status, status, "%v", err)
	assert.Equal(t, ce.Outcome, outcome, "%v", err)
}

// TestKeyRunsOnce checks that requests with one key run once and get the same response,
// although the response to the dispatching commit is lost.
func TestKeyRunsOnce(t *testing.T) {
	ctx := context.Background()
	table := &flakyTable{MemoryTable: platform.NewMemoryTable()}
	d := &fakeDispatcher{}
	one, two := newRecorder(t, "one", table, d), newRecorder(t, "two", table, d)

	table.loseResponse.Store(1) // the response to the dispatching commit is lost
	resp, err := one.Plain(ctx, newOrder("k", "a"))
	assert.NilError(t, err)
	again, err := two.Plain(ctx, newOrder("k", "a"))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, resp)
	_, err = two.Plain(ctx, newOrder("k", "b"))
	assertError(t, err, 422, call.NotRun)
	assert.Equal(t, d.runs.Load(), int64(1))
}

// TestPendingThenLost checks that a second daemon doesn't dispatch a call that is running
// on the first one or whose response was lost.
func TestPendingThenLost(t *testing.T) {
	table := &flakyTable{MemoryTable: platform.NewMemoryTable()}
	d := &fakeDispatcher{wait: make(chan struct{}), err: call.MayHaveRunError("dispatch", "d1", 502, errors.New("connection closed"))}
	one, two := newRecorder(t, "one", table, d), newRecorder(t, "two", table, d)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := one.Plain(ctx, newOrder("k", "a"))
		failed <- err
	}()
	key := ledger.CallKey(ledger.RequestID("bakery", "k"))
	for {
		if _, err := table.Get(ctx, key); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err := two.Plain(ctx, newOrder("k", "a"))
	assertError(t, err, 409, call.Unknown)
	assert.ErrorContains(t, err, "is dispatched by daemon one")
	close(d.wait)
	assertError(t, <-failed, 502, call.Unknown)
	_, err = two.Plain(ctx, newOrder("k", "a"))
	assertError(t, err, 409, call.Unknown)
	assert.ErrorContains(t, err, "is lost by daemon one")
	cancel()
}

// TestResponseIsRecordedAfterCallerLeft checks that the response is recorded although the
// caller's context ended before it arrived.
func TestResponseIsRecordedAfterCallerLeft(t *testing.T) {
	table := &flakyTable{MemoryTable: platform.NewMemoryTable()}
	d := &fakeDispatcher{wait: make(chan struct{})}
	one := newRecorder(t, "one", table, d)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := one.Plain(ctx, newOrder("k", "a"))
	assertError(t, err, 504, call.Unknown)
	close(d.wait)
	one.Close(context.Background())
	_, err = one.Plain(context.Background(), newOrder("k", "a"))
	assert.NilError(t, err)
	assert.Equal(t, d.runs.Load(), int64(1))
}

// TestTableDownCallIsRejected checks that a call is not dispatched while the table is
// unavailable, and is dispatched afterwards.
func TestTableDownCallIsRejected(t *testing.T) {
	ctx := context.Background()
	table := &flakyTable{MemoryTable: platform.NewMemoryTable()}
	d := &fakeDispatcher{}
	one := newRecorder(t, "one", table, d)
	table.down.Store(true)
	_, err := one.Plain(ctx, newOrder("k", "a"))
	assertError(t, err, 503, call.NotRun)
	assert.Equal(t, d.runs.Load(), int64(0))
	table.down.Store(false)
	_, err = one.Plain(ctx, newOrder("k", "a"))
	assert.NilError(t, err)
}

// TestUncertainDispatchIsWithdrawn checks that a dispatch whose commit has an unknown
// outcome does not prevent a later dispatch by another daemon, whether or not the commit
// took effect, and that its withdrawal does not undo that later dispatch.
func TestUncertainDispatchIsWithdrawn(t *testing.T) {
	for name, fail := range map[string]func(*flakyTable){
		"no effect": func(f *flakyTable) { f.dropCommit.Store(1) },
		"effect":    func(f *flakyTable) { f.loseResponse.Store(1) },
	} {
		t.Run(name, func(t *testing.T) {
			table := &flakyTable{MemoryTable: platform.NewMemoryTable()}
			d := &fakeDispatcher{}
			one, two := newRecorder(t, "one", table, d), newRecorder(t, "two", table, d)
			fail(table)
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_, err := one.Plain(ctx, newOrder("k", "a"))
			assertError(t, err, 503, call.NotRun)
			time.Sleep(50 * time.Millisecond)
			one.Close(context.Background())
			_, err = two.Plain(context.Background(), newOrder("k", "a"))
			assert.NilError(t, err)
			assert.Equal(t, d.runs.Load(), int64(1))
		})
	}
}

// TestRefusedCallMayBeDispatchedAgain checks that a call that the upstream refused on one
// daemon is dispatched by another.
func TestRefusedCallMayBeDispatchedAgain(t *testing.T) {
	ctx := context.Background()
	table := &flakyTable{MemoryTable: platform.NewMemoryTable()}
	refusing := &fakeDispatcher{err: call.NotRunError("dispatch", "d1", 503, errors.New("overloaded"))}
	d := &fakeDispatcher{}
	one, two := newRecorder(t, "one", table, refusing), newRecorder(t, "two", table, d)
	_, err := one.Plain(ctx, newOrder("k", "a"))
	assertError(t, err, 503, call.NotRun)
	_, err = two.Plain(ctx, newOrder("k", "a"))
	assert.NilError(t, err)
	assert.Equal(t, d.runs.Load(), int64(1))
}

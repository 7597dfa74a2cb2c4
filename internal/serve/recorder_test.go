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

// flaky is a table whose commits fail as told.
type flaky struct {
	*platform.MemoryTable
	down    atomic.Bool
	lost    atomic.Int64 // answers of so many commits are lost after their effect
	dropped atomic.Int64 // so many commits are lost before any effect
}

// Commit implements platform.Table.
func (f *flaky) Commit(ctx context.Context, token string, writes []platform.Write) error {
	if f.down.Load() {
		return platform.ErrUnavailable
	}
	if f.dropped.Add(-1) >= 0 {
		return platform.ErrOutcomeUnknown
	}
	err := f.MemoryTable.Commit(ctx, token, writes)
	if f.lost.Add(-1) >= 0 {
		return platform.ErrOutcomeUnknown
	}
	return err
}

// desk is a dispatcher that counts runs and fails as told.
type desk struct {
	runs atomic.Int64
	err  error
	wait chan struct{}
}

func (d *desk) Stream(context.Context, *call.Call, call.Sink) error { return nil }

func (d *desk) Plain(_ context.Context, _ *call.Call) (*call.Reply, error) {
	if d.wait != nil {
		<-d.wait
	}
	if d.err != nil {
		return nil, d.err
	}
	d.runs.Add(1)
	return &call.Reply{Status: 201, Body: []byte("tin")}, nil
}

func recorder(t *testing.T, name string, table platform.Table, d serve.Dispatcher) *serve.Recorder {
	w := batch.New(table, batch.Options{})
	r := serve.NewRecorder(name, table, nil, w, d, hclog.NewNullLogger())
	t.Cleanup(func() {
		r.Close(context.Background())
		w.Close()
	})
	return r
}

func order(key, body string) *call.Call {
	return &call.Call{
		Customer: &manifest.Customer{Name: "bakery"}, Service: &manifest.Service{Name: "orders"},
		Method: "POST", Path: "/orders", Body: []byte(body), IdempotencyKey: key, Deadline: time.Now().Add(10 * time.Second),
	}
}

func wantError(t *testing.T, err error, status int, outcome call.Outcome) {
	t.Helper()
	var ce *call.Error
	assert.Assert(t, errors.As(err, &ce), "%v", err)
	assert.Equal(t, ce.Status, status, "%v", err)
	assert.Equal(t, ce.Outcome, outcome, "%v", err)
}

func TestKeyRunsOnce(t *testing.T) {
	ctx := context.Background()
	table := &flaky{MemoryTable: platform.NewMemoryTable()}
	d := &desk{}
	one, two := recorder(t, "one", table, d), recorder(t, "two", table, d)

	table.lost.Store(1) // the answer to the commit of the dispatch
	reply, err := one.Plain(ctx, order("k", "a"))
	assert.NilError(t, err)
	again, err := two.Plain(ctx, order("k", "a"))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, reply)
	_, err = two.Plain(ctx, order("k", "b"))
	wantError(t, err, 422, call.NotRun)
	assert.Equal(t, d.runs.Load(), int64(1))
}

func TestBusyThenLost(t *testing.T) {
	table := &flaky{MemoryTable: platform.NewMemoryTable()}
	d := &desk{wait: make(chan struct{}), err: call.Lost("dispatch", "d1", 502, errors.New("connection closed"))}
	one, two := recorder(t, "one", table, d), recorder(t, "two", table, d)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := one.Plain(ctx, order("k", "a"))
		failed <- err
	}()
	key := ledger.CallKey(ledger.RequestID("bakery", "k"))
	for {
		if _, err := table.Get(ctx, key); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err := two.Plain(ctx, order("k", "a"))
	wantError(t, err, 409, call.Unknown)
	assert.ErrorContains(t, err, "is dispatched by daemon one")
	close(d.wait)
	wantError(t, <-failed, 502, call.Unknown)
	_, err = two.Plain(ctx, order("k", "a"))
	wantError(t, err, 409, call.Unknown)
	assert.ErrorContains(t, err, "is lost by daemon one")
	cancel()
}

// TestCallerLeaves checks that the record holds the answer of a call whose
// caller left before it came.
func TestCallerLeaves(t *testing.T) {
	table := &flaky{MemoryTable: platform.NewMemoryTable()}
	d := &desk{wait: make(chan struct{})}
	one := recorder(t, "one", table, d)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := one.Plain(ctx, order("k", "a"))
	wantError(t, err, 504, call.Unknown)
	close(d.wait)
	one.Close(context.Background())
	_, err = one.Plain(context.Background(), order("k", "a"))
	assert.NilError(t, err)
	assert.Equal(t, d.runs.Load(), int64(1))
}

func TestTableDown(t *testing.T) {
	ctx := context.Background()
	table := &flaky{MemoryTable: platform.NewMemoryTable()}
	d := &desk{}
	one := recorder(t, "one", table, d)
	table.down.Store(true)
	_, err := one.Plain(ctx, order("k", "a"))
	wantError(t, err, 503, call.NotRun)
	assert.Equal(t, d.runs.Load(), int64(0))
	table.down.Store(false)
	_, err = one.Plain(ctx, order("k", "a"))
	assert.NilError(t, err)
}

// TestGivenUpDispatch checks that a dispatch that was given up does not keep
// the call from being dispatched later, whether its commit took effect or not,
// and that it takes nothing from another daemon's dispatch.
func TestGivenUpDispatch(t *testing.T) {
	for name, lose := range map[string]func(*flaky){
		"no effect": func(f *flaky) { f.dropped.Store(1) },
		"effect":    func(f *flaky) { f.lost.Store(1) },
	} {
		t.Run(name, func(t *testing.T) {
			table := &flaky{MemoryTable: platform.NewMemoryTable()}
			d := &desk{}
			one, two := recorder(t, "one", table, d), recorder(t, "two", table, d)
			lose(table)
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_, err := one.Plain(ctx, order("k", "a"))
			wantError(t, err, 503, call.NotRun)
			time.Sleep(50 * time.Millisecond)
			one.Close(context.Background())
			_, err = two.Plain(context.Background(), order("k", "a"))
			assert.NilError(t, err)
			assert.Equal(t, d.runs.Load(), int64(1))
		})
	}
}

func TestRefusedMayRunAgain(t *testing.T) {
	ctx := context.Background()
	table := &flaky{MemoryTable: platform.NewMemoryTable()}
	full := &desk{err: call.Refused("dispatch", "d1", 503, errors.New("overloaded"))}
	d := &desk{}
	one, two := recorder(t, "one", table, full), recorder(t, "two", table, d)
	_, err := one.Plain(ctx, order("k", "a"))
	wantError(t, err, 503, call.NotRun)
	_, err = two.Plain(ctx, order("k", "a"))
	assert.NilError(t, err)
	assert.Equal(t, d.runs.Load(), int64(1))
}

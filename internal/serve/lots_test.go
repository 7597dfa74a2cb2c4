package serve_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/dispatch"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
	"github.com/lagoonmux/lagoonmux/internal/serve"
)

// fakeGenerator is a fakeDispatcher that also generates tokens. Before token stopAfter it
// waits until gate is closed.
type fakeGenerator struct {
	fakeDispatcher
	gate      chan struct{} // closed to continue after stopAfter tokens
	stopAfter int           // tokens before the wait; -1 to never wait
	generated atomic.Int64
}

func (r *fakeGenerator) Resume(ctx context.Context, c *call.Call, partial dispatch.PartialResponse, sink call.Sink) error {
	for i := partial.Tokens; i < c.MaxTokens; i++ {
		if i == r.stopAfter {
			select {
			case <-r.gate:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		finish := ""
		if i == c.MaxTokens-1 {
			finish = "length"
		}
		r.generated.Add(1)
		if err := sink.Token(call.Token{Index: i, Text: completion.TokenAt(c.Prompt, i), Finish: finish}); err != nil {
			return err
		}
	}
	return nil
}

// cluster holds what the daemons of a test share.
type cluster struct {
	t         *testing.T
	table     *flakyTable
	objects   *platform.MemoryObjects
	manifests manifest.Current
	lots      map[string]*serve.Lots
}

func newCluster(t *testing.T) *cluster {
	s := &cluster{t: t, table: &flakyTable{MemoryTable: platform.NewMemoryTable()}, objects: platform.NewMemoryObjects(), lots: make(map[string]*serve.Lots)}
	s.manifests.Advance(manifest.NewActive(1, &manifest.Manifest{
		Services:  []manifest.Service{{Name: "fortune"}, {Name: "orders"}},
		Customers: []manifest.Customer{{Name: "bakery"}},
	}))
	return s
}

// peerNamed hands lots over to the named daemon of a cluster.
type peerNamed struct {
	cluster *cluster
	name    string
}

func (p peerNamed) HandOver(ctx context.Context, _ string, body []byte) (string, error) {
	if l := p.cluster.lots[p.name]; l != nil && l.Receive(ctx, "peer", body) {
		return p.name, nil
	}
	return "", errors.New("no daemon accepts the lot")
}

func (s *cluster) start(name, peer string, d serve.LotDispatcher) *serve.Lots {
	w := batch.New(s.table, batch.Options{RowsPerSecond: 1000, Daemons: 1})
	l := serve.NewLots(serve.LotsConfig{
		Daemon: name, Table: s.table, Objects: s.objects, Writer: w, Admitter: serve.Unlimited{}, Dispatcher: d,
		Manifests: &s.manifests, Peers: peerNamed{s, peer}, Log: hclog.NewNullLogger(),
	})
	s.lots[name] = l
	s.t.Cleanup(func() {
		l.HandOver(context.Background())
		w.Close()
	})
	return l
}

func (s *cluster) newCall(tokens int) *call.Call {
	a := s.manifests.Load()
	return &call.Call{Manifest: a, Customer: &a.Customers[0], Service: a.Service("fortune"), Prompt: "wedding", MaxTokens: tokens,
		Repeatable: true, Deadline: time.Now().Add(time.Minute)}
}

func expectedText(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(completion.TokenAt("wedding", i))
	}
	return b.String()
}

func closedGate() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// waitForStatus polls the status of a lot until done returns true for it.
func waitForStatus(t *testing.T, l *serve.Lots, id string, done func(*serve.Status) bool) *serve.Status {
	t.Helper()
	var s *serve.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		s, err = l.Status(context.Background(), "bakery", id)
		if err != nil || !done(s) {
			return poll.Continue("%+v %v", s, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	return s
}

// TestLotRunsOnce checks that requests with one key run as one lot, although the response
// to the accepting commit is lost, and that other customers can't read its status.
func TestLotRunsOnce(t *testing.T) {
	ctx := context.Background()
	s := newCluster(t)
	r := &fakeGenerator{gate: closedGate(), stopAfter: -1}
	one, two := s.start("one", "", r), s.start("two", "", r)
	c := s.newCall(5)
	c.IdempotencyKey = "k"
	s.table.loseResponse.Store(1) // the response to the accepting commit is lost
	id, err := one.Accept(ctx, c)
	assert.NilError(t, err)
	got := waitForStatus(t, two, id, (*serve.Status).Ended)
	assert.Equal(t, got.Text, expectedText(5))
	assert.Equal(t, got.Outcome, "answered")
	again, err := two.Accept(ctx, c)
	assert.NilError(t, err)
	assert.Equal(t, again, id)
	assert.Equal(t, r.generated.Load(), int64(5))
	c.Prompt = "another"
	_, err = two.Accept(ctx, c)
	assertError(t, err, 422, call.NotRun)
	_, err = two.Status(ctx, "another customer", id)
	assert.ErrorIs(t, err, serve.ErrNoRequest)
}

// TestPeerContinuesLotAfterHandOver checks that a peer continues a lot after the tokens
// that the previous owner generated, whether or not the table is available.
func TestPeerContinuesLotAfterHandOver(t *testing.T) {
	for _, down := range []bool{false, true} {
		s := newCluster(t)
		first := &fakeGenerator{gate: make(chan struct{}), stopAfter: 3}
		second := &fakeGenerator{gate: closedGate(), stopAfter: -1}
		one := s.start("one", "two", first)
		s.start("two", "", second)
		id, err := one.Accept(context.Background(), s.newCall(8))
		assert.NilError(t, err)
		waitForStatus(t, one, id, func(st *serve.Status) bool { return st.Tokens == 3 })
		s.table.down.Store(down)
		one.HandOver(context.Background())
		assert.Equal(t, one.OwnedCount(), 0)
		for second.generated.Load() < 5 {
			time.Sleep(time.Millisecond)
		}
		s.table.down.Store(false)
		got := waitForStatus(t, one, id, (*serve.Status).Ended)
		assert.Equal(t, got.Text, expectedText(8), "table down: %v", down)
		assert.Equal(t, second.generated.Load(), int64(5), "every token is generated once")
	}
}

// TestReleasedLotIsAdopted checks that a lot that no peer accepts is released, and that a
// scanning daemon adopts it and continues after the saved tokens.
func TestReleasedLotIsAdopted(t *testing.T) {
	s := newCluster(t)
	first := &fakeGenerator{gate: make(chan struct{}), stopAfter: 3}
	one := s.start("one", "", first)
	id, err := one.Accept(context.Background(), s.newCall(8))
	assert.NilError(t, err)
	waitForStatus(t, one, id, func(st *serve.Status) bool { return st.Tokens == 3 })
	one.HandOver(context.Background())
	second := &fakeGenerator{gate: closedGate(), stopAfter: -1}
	two := s.start("two", "", second)
	two.SetDaemons(1)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- two.Run(ctx) }()
	got := waitForStatus(t, two, id, (*serve.Status).Ended)
	cancel()
	assert.NilError(t, <-stopped)
	assert.Equal(t, got.Text, expectedText(8))
	assert.Equal(t, second.generated.Load(), int64(5), "continues after the saved tokens")
}

// TestFormerOwnerCannotOverwriteLot checks that an owner that was paused while another
// daemon adopted its lot records nothing, so that the new owner can record its result.
func TestFormerOwnerCannotOverwriteLot(t *testing.T) {
	ctx := context.Background()
	s := newCluster(t)
	gated := &fakeGenerator{gate: make(chan struct{}), stopAfter: 3}
	one := s.start("one", "", gated)
	id, err := one.Accept(ctx, s.newCall(8))
	assert.NilError(t, err)
	waitForStatus(t, one, id, func(st *serve.Status) bool { return st.Tokens == 3 })

	row, err := s.table.Get(ctx, ledger.OwnershipKey(id))
	assert.NilError(t, err)
	var ownership ledger.Ownership
	assert.NilError(t, ledger.DecodeRow(row, &ownership))
	lotRow, err := s.table.Get(ctx, ledger.LotKey(id))
	assert.NilError(t, err)
	open := ledger.OpenLot{Version: row.Version, Ownership: ownership}
	assert.NilError(t, ledger.DecodeRow(lotRow, &open.Lot))
	open, writes, err := ledger.UpdateLot(ledger.AssignOwner(open, "two", "token"), ledger.Adopt, time.Minute, time.Now())
	assert.NilError(t, err)
	assert.NilError(t, s.table.Commit(ctx, "adopt", writes))
	close(gated.gate)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if one.OwnedCount() > 0 {
			return poll.Continue("daemon one still owns the lot")
		}
		return poll.Success()
	})
	_, writes, err = ledger.EndLot(open, ledger.LotResult{Event: ledger.Answer, Outcome: "answered"}, time.Now())
	assert.NilError(t, err)
	assert.NilError(t, s.table.Commit(ctx, "end", writes), "the new owner's result is recorded")
}

// TestNonRepeatableLot checks that a non-repeatable lot runs once: it is dispatched again,
// by a peer, after the upstream refused it, but not after its response was lost.
func TestNonRepeatableLot(t *testing.T) {
	ctx := context.Background()
	nonRepeatableCall := func(s *cluster, key string) *call.Call {
		c := s.newCall(0)
		c.Service, c.Prompt, c.Repeatable = c.Manifest.Service("orders"), "", false
		c.Method, c.Path, c.Body, c.IdempotencyKey = "POST", "/bookings", []byte("two seats"), key
		return c
	}
	s := newCluster(t)
	refusing := &fakeGenerator{fakeDispatcher: fakeDispatcher{err: call.NotRunError("dispatch", "d", 503, errors.New("overloaded"))}}
	working, losing := &fakeGenerator{}, &fakeGenerator{fakeDispatcher: fakeDispatcher{err: call.MayHaveRunError("dispatch", "d", 502, errors.New("cut"))}}
	one, two, three := s.start("one", "two", refusing), s.start("two", "", working), s.start("three", "", losing)
	id, err := one.Accept(ctx, nonRepeatableCall(s, "a"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	one.HandOver(ctx)
	got := waitForStatus(t, two, id, (*serve.Status).Ended)
	assert.Equal(t, string(got.Response.Body), "tin")
	assert.Equal(t, working.runs.Load(), int64(1))
	id, err = three.Accept(ctx, nonRepeatableCall(s, "b"))
	assert.NilError(t, err)
	got = waitForStatus(t, three, id, (*serve.Status).Ended)
	assert.Equal(t, got.Outcome, "unknown")
}

// TestKeyForLotAndCall checks that a request runs once if its key is used for both a lot
// and a synchronous call, in either order, and that the key may be used again after the
// upstream refused the request.
func TestKeyForLotAndCall(t *testing.T) {
	ctx := context.Background()
	s := newCluster(t)
	working := &fakeGenerator{}
	lots, calls := s.start("one", "", working), newRecorder(t, "two", s.table, working)
	lotCall := func(key, body string) *call.Call {
		c := newOrder(key, body)
		c.Manifest = s.manifests.Load()
		return c
	}

	id, err := lots.Accept(ctx, lotCall("a", "one tin"))
	assert.NilError(t, err)
	waitForStatus(t, lots, id, (*serve.Status).Ended)
	resp, err := calls.Plain(ctx, newOrder("a", "one tin"))
	assert.NilError(t, err)
	assert.Equal(t, string(resp.Body), "tin")
	_, err = calls.Plain(ctx, newOrder("a", "two tins"))
	assertError(t, err, 422, call.NotRun)
	assert.Equal(t, working.runs.Load(), int64(1))

	_, err = calls.Plain(ctx, newOrder("b", "one tin"))
	assert.NilError(t, err)
	id, err = lots.Accept(ctx, lotCall("b", "one tin"))
	assert.NilError(t, err)
	got := waitForStatus(t, lots, id, (*serve.Status).Ended)
	assert.Equal(t, string(got.Response.Body), "tin")
	_, err = lots.Accept(ctx, lotCall("b", "two tins"))
	assertError(t, err, 422, call.NotRun)
	assert.Equal(t, working.runs.Load(), int64(2))

	refusing := &fakeDispatcher{err: call.NotRunError("dispatch", "d", 503, errors.New("overloaded"))}
	_, err = newRecorder(t, "three", s.table, refusing).Plain(ctx, newOrder("c", "one tin"))
	assertError(t, err, 503, call.NotRun)
	id, err = lots.Accept(ctx, lotCall("c", "one tin"))
	assert.NilError(t, err)
	waitForStatus(t, lots, id, (*serve.Status).Ended)
	assert.Equal(t, working.runs.Load(), int64(3))

	losing := &fakeDispatcher{err: call.MayHaveRunError("dispatch", "d", 502, errors.New("cut"))}
	_, err = newRecorder(t, "four", s.table, losing).Plain(ctx, newOrder("d", "one tin"))
	assertError(t, err, 502, call.Unknown)
	_, err = lots.Accept(ctx, lotCall("d", "one tin"))
	assertError(t, err, 409, call.Unknown)
	assert.Equal(t, working.runs.Load(), int64(3))
}

// TestTableDownLotIsRejected checks that no lot is accepted while the table is unavailable.
func TestTableDownLotIsRejected(t *testing.T) {
	s := newCluster(t)
	one := s.start("one", "", &fakeGenerator{gate: closedGate(), stopAfter: -1})
	s.table.down.Store(true)
	_, err := one.Accept(context.Background(), s.newCall(5))
	assertError(t, err, 503, call.NotRun)
}

// tokenCollector is a sink that collects the text and checks the indexes of tokens.
type tokenCollector struct {
	t    *testing.T
	next int
	text strings.Builder
}

func (c *tokenCollector) Token(tok call.Token) error {
	assert.Equal(c.t, tok.Index, c.next)
	c.next++
	c.text.WriteString(tok.Text)
	return nil
}

// TestFollowOnAnyDaemon checks that a caller can follow a running lot from any token, on
// its owner and on another daemon.
func TestFollowOnAnyDaemon(t *testing.T) {
	ctx := context.Background()
	s := newCluster(t)
	r := &fakeGenerator{gate: make(chan struct{}), stopAfter: 3}
	one, two := s.start("one", "", r), s.start("two", "", r)
	id, err := one.Accept(ctx, s.newCall(8))
	assert.NilError(t, err)
	waitForStatus(t, one, id, func(st *serve.Status) bool { return st.Tokens == 3 })
	time.AfterFunc(20*time.Millisecond, func() { close(r.gate) })
	for _, l := range []*serve.Lots{one, two} {
		sink := &tokenCollector{t: t, next: 2}
		assert.NilError(t, l.Follow(ctx, "bakery", id, 2, sink))
		assert.Equal(t, sink.text.String(), expectedText(8)[len(expectedText(2)):])
	}
}

// countingTable counts the reads, commits and written rows of a table.
type countingTable struct {
	platform.Table
	reads, commits, rows atomic.Int64
}

func (c *countingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	c.reads.Add(1)
	return c.Table.Get(ctx, key)
}

func (c *countingTable) Commit(ctx context.Context, token string, writes []platform.Write) error {
	c.commits.Add(1)
	c.rows.Add(int64(len(writes)))
	return c.Table.Commit(ctx, token, writes)
}

// TestTableCost checks the number of reads, commits and rows for each kind of request.
func TestTableCost(t *testing.T) {
	ctx := context.Background()
	s := newCluster(t)
	table := &countingTable{Table: s.table.MemoryTable}
	r := &fakeGenerator{gate: closedGate(), stopAfter: -1}
	w := batch.New(table, batch.Options{RowsPerSecond: 1000, Daemons: 1})
	defer w.Close()
	rec := serve.NewRecorder("one", table, s.objects, w, r, hclog.NewNullLogger())
	lots := serve.NewLots(serve.LotsConfig{Daemon: "one", Table: table, Objects: s.objects, Writer: w, Admitter: serve.Unlimited{},
		Dispatcher: r, Manifests: &s.manifests, Peers: peerNamed{s, ""}, Log: hclog.NewNullLogger()})
	accept := func(c *call.Call) {
		_, err := lots.Accept(ctx, c)
		assert.NilError(t, err)
		for lots.OwnedCount() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	nonRepeatable := s.newCall(0)
	nonRepeatable.Prompt, nonRepeatable.Repeatable, nonRepeatable.Body, nonRepeatable.IdempotencyKey = "", false, []byte("seat"), "b"
	for _, tc := range []struct {
		name                 string
		run                  func()
		reads, commits, rows int64
	}{
		{"order", func() { _, _ = rec.Plain(ctx, newOrder("k", "a")) }, 0, 2, 2},
		{"same key again", func() { _, _ = rec.Plain(ctx, newOrder("k", "a")) }, 1, 1, 1},
		{"lot shorter than the save interval", func() { accept(s.newCall(5)) }, 0, 2, 4},
		{"non-repeatable lot", func() { accept(nonRepeatable) }, 0, 3, 6}, // one row reserves the idempotency key
	} {
		reads, commits, rows := table.reads.Load(), table.commits.Load(), table.rows.Load()
		tc.run()
		assert.Equal(t, table.reads.Load()-reads, tc.reads, tc.name)
		assert.Equal(t, table.commits.Load()-commits, tc.commits, tc.name)
		assert.Equal(t, table.rows.Load()-rows, tc.rows, tc.name)
	}
}

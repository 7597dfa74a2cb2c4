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

// runner is a desk that generates tokens too, after which it waits for gate.
type runner struct {
	desk
	gate  chan struct{} // closed: never waits
	after int           // tokens before the wait
	made  atomic.Int64
}

func (r *runner) Resume(ctx context.Context, c *call.Call, kept dispatch.Kept, sink call.Sink) error {
	for i := kept.Tokens; i < c.MaxTokens; i++ {
		if i == r.after {
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
		r.made.Add(1)
		if err := sink.Token(call.Token{Index: i, Text: completion.WordAt(c.Prompt, i), Finish: finish}); err != nil {
			return err
		}
	}
	return nil
}

// site is what the daemons of a test share.
type site struct {
	t         *testing.T
	table     *flaky
	objects   *platform.MemoryObjects
	manifests manifest.Current
	lots      map[string]*serve.Lots
}

func newSite(t *testing.T) *site {
	s := &site{t: t, table: &flaky{Memory: platform.NewMemory()}, objects: platform.NewMemoryObjects(), lots: make(map[string]*serve.Lots)}
	s.manifests.Advance(manifest.NewActive(1, &manifest.Manifest{
		Services:  []manifest.Service{{Name: "fortune"}, {Name: "orders"}},
		Customers: []manifest.Customer{{Name: "bakery"}},
	}))
	return s
}

// toPeer hands lots to the named daemon.
type toPeer struct {
	site *site
	name string
}

func (p toPeer) HandOver(ctx context.Context, _ string, body []byte) (string, error) {
	if l := p.site.lots[p.name]; l != nil && l.Receive(ctx, "peer", body) {
		return p.name, nil
	}
	return "", errors.New("no daemon takes it")
}

func (s *site) start(name, peer string, d serve.LotDispatcher) *serve.Lots {
	w := batch.New(s.table, batch.Options{RowsPerSecond: 1000, Daemons: 1})
	l := serve.NewLots(serve.LotsConfig{
		Daemon: name, Table: s.table, Objects: s.objects, Writer: w, Admitter: serve.Unlimited{}, Dispatcher: d,
		Manifests: &s.manifests, Peers: toPeer{s, peer}, Log: hclog.NewNullLogger(),
	})
	s.lots[name] = l
	s.t.Cleanup(func() {
		l.HandOver(context.Background())
		w.Close()
	})
	return l
}

func (s *site) lot(tokens int) *call.Call {
	a := s.manifests.Load()
	return &call.Call{Active: a, Customer: &a.Customers[0], Service: a.Service("fortune"), Prompt: "wedding", MaxTokens: tokens,
		Repeatable: true, Deadline: time.Now().Add(time.Minute)}
}

func text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(completion.WordAt("wedding", i))
	}
	return b.String()
}

func open() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// wait returns the status of a lot once it fulfils f.
func wait(t *testing.T, l *serve.Lots, id string, f func(*serve.Status) bool) *serve.Status {
	t.Helper()
	var s *serve.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		s, err = l.Status(context.Background(), "bakery", id)
		if err != nil || !f(s) {
			return poll.Continue("%+v %v", s, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	return s
}

func TestLotIsAnsweredOnce(t *testing.T) {
	ctx := context.Background()
	s := newSite(t)
	r := &runner{gate: open(), after: -1}
	one, two := s.start("one", "", r), s.start("two", "", r)
	c := s.lot(5)
	c.IdempotencyKey = "k"
	s.table.lost.Store(1) // the answer to the acceptance
	id, err := one.Accept(ctx, c)
	assert.NilError(t, err)
	got := wait(t, two, id, (*serve.Status).Ended)
	assert.Equal(t, got.Text, text(5))
	assert.Equal(t, got.Outcome, "answered")
	again, err := two.Accept(ctx, c)
	assert.NilError(t, err)
	assert.Equal(t, again, id)
	assert.Equal(t, r.made.Load(), int64(5))
	c.Prompt = "another"
	_, err = two.Accept(ctx, c)
	wantError(t, err, 422, call.NotRun)
	_, err = two.Status(ctx, "another customer", id)
	assert.ErrorIs(t, err, serve.ErrNoRequest)
}

// TestHandOver checks that a lot goes on at a peer where it was, with the table
// up and down.
func TestHandOver(t *testing.T) {
	for _, down := range []bool{false, true} {
		s := newSite(t)
		first := &runner{gate: make(chan struct{}), after: 3}
		second := &runner{gate: open(), after: -1}
		one := s.start("one", "two", first)
		s.start("two", "", second)
		id, err := one.Accept(context.Background(), s.lot(8))
		assert.NilError(t, err)
		wait(t, one, id, func(st *serve.Status) bool { return st.Tokens == 3 })
		s.table.down.Store(down)
		one.HandOver(context.Background())
		assert.Equal(t, one.Held(), 0)
		for second.made.Load() < 5 {
			time.Sleep(time.Millisecond)
		}
		s.table.down.Store(false)
		got := wait(t, one, id, (*serve.Status).Ended)
		assert.Equal(t, got.Text, text(8), "table down: %v", down)
		assert.Equal(t, second.made.Load(), int64(5), "no token is generated twice")
	}
}

// TestReleased checks that a lot that no peer takes is adopted, and that of two
// owners one records the answer.
func TestReleased(t *testing.T) {
	s := newSite(t)
	first := &runner{gate: make(chan struct{}), after: 3}
	one := s.start("one", "", first)
	id, err := one.Accept(context.Background(), s.lot(8))
	assert.NilError(t, err)
	wait(t, one, id, func(st *serve.Status) bool { return st.Tokens == 3 })
	one.HandOver(context.Background())
	second := &runner{gate: open(), after: -1}
	two := s.start("two", "", second)
	two.SetDaemons(1)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- two.Run(ctx) }()
	got := wait(t, two, id, (*serve.Status).Ended)
	cancel()
	assert.NilError(t, <-stopped)
	assert.Equal(t, got.Text, text(8))
	assert.Equal(t, second.made.Load(), int64(5), "goes on from what was kept")
}

// TestTwoOwners checks that a daemon whose lot was taken while it was paused
// records nothing over the new owner's answer.
func TestTwoOwners(t *testing.T) {
	ctx := context.Background()
	s := newSite(t)
	paused := &runner{gate: make(chan struct{}), after: 3}
	one := s.start("one", "", paused)
	id, err := one.Accept(ctx, s.lot(8))
	assert.NilError(t, err)
	wait(t, one, id, func(st *serve.Status) bool { return st.Tokens == 3 })

	row, err := s.table.Get(ctx, ledger.OpenKey(id))
	assert.NilError(t, err)
	var o ledger.Open
	assert.NilError(t, ledger.Decode(row, &o))
	lotRow, err := s.table.Get(ctx, ledger.LotKey(id))
	assert.NilError(t, err)
	h := ledger.Hold{Version: row.Version, Open: o}
	assert.NilError(t, ledger.Decode(lotRow, &h.Lot))
	h, writes, err := ledger.Change(ledger.Take(h, "two", "token"), ledger.Adopt, time.Minute, time.Now())
	assert.NilError(t, err)
	assert.NilError(t, s.table.Commit(ctx, "adopt", writes))
	close(paused.gate)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if one.Held() > 0 {
			return poll.Continue("still held")
		}
		return poll.Success()
	})
	_, writes, err = ledger.EndLot(h, ledger.End{Event: ledger.Answer, Outcome: "answered"}, time.Now())
	assert.NilError(t, err)
	assert.NilError(t, s.table.Commit(ctx, "end", writes), "the new owner's record holds")
}

// TestBooking checks that a lot of a call that may not be repeated runs once,
// is dispatched again after a refusal, and never after a loss.
func TestBooking(t *testing.T) {
	ctx := context.Background()
	book := func(s *site, key string) *call.Call {
		c := s.lot(0)
		c.Service, c.Prompt, c.Repeatable = c.Active.Service("orders"), "", false
		c.Method, c.Path, c.Body, c.IdempotencyKey = "POST", "/bookings", []byte("two seats"), key
		return c
	}
	s := newSite(t)
	full := &runner{desk: desk{err: call.Refused("dispatch", "d", 503, errors.New("overloaded"))}}
	good, lossy := &runner{}, &runner{desk: desk{err: call.Lost("dispatch", "d", 502, errors.New("cut"))}}
	one, two, three := s.start("one", "two", full), s.start("two", "", good), s.start("three", "", lossy)
	id, err := one.Accept(ctx, book(s, "a"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	one.HandOver(ctx)
	got := wait(t, two, id, (*serve.Status).Ended)
	assert.Equal(t, string(got.Reply.Body), "tin")
	assert.Equal(t, good.runs.Load(), int64(1))
	id, err = three.Accept(ctx, book(s, "b"))
	assert.NilError(t, err)
	got = wait(t, three, id, (*serve.Status).Ended)
	assert.Equal(t, got.Outcome, "unknown")
}

// TestOneKeyBothWays checks that a key that is used for a lot and for a plain
// call runs once, in either order, and is free after a refusal.
func TestOneKeyBothWays(t *testing.T) {
	ctx := context.Background()
	s := newSite(t)
	good := &runner{}
	lots, calls := s.start("one", "", good), recorder(t, "two", s.table, good)
	later := func(key, body string) *call.Call {
		c := order(key, body)
		c.Active = s.manifests.Load()
		return c
	}

	id, err := lots.Accept(ctx, later("a", "one tin"))
	assert.NilError(t, err)
	wait(t, lots, id, (*serve.Status).Ended)
	reply, err := calls.Plain(ctx, order("a", "one tin"))
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Body), "tin")
	_, err = calls.Plain(ctx, order("a", "two tins"))
	wantError(t, err, 422, call.NotRun)
	assert.Equal(t, good.runs.Load(), int64(1))

	_, err = calls.Plain(ctx, order("b", "one tin"))
	assert.NilError(t, err)
	id, err = lots.Accept(ctx, later("b", "one tin"))
	assert.NilError(t, err)
	got := wait(t, lots, id, (*serve.Status).Ended)
	assert.Equal(t, string(got.Reply.Body), "tin")
	_, err = lots.Accept(ctx, later("b", "two tins"))
	wantError(t, err, 422, call.NotRun)
	assert.Equal(t, good.runs.Load(), int64(2))

	full := &desk{err: call.Refused("dispatch", "d", 503, errors.New("overloaded"))}
	_, err = recorder(t, "three", s.table, full).Plain(ctx, order("c", "one tin"))
	wantError(t, err, 503, call.NotRun)
	id, err = lots.Accept(ctx, later("c", "one tin"))
	assert.NilError(t, err)
	wait(t, lots, id, (*serve.Status).Ended)
	assert.Equal(t, good.runs.Load(), int64(3))

	lossy := &desk{err: call.Lost("dispatch", "d", 502, errors.New("cut"))}
	_, err = recorder(t, "four", s.table, lossy).Plain(ctx, order("d", "one tin"))
	wantError(t, err, 502, call.Unknown)
	_, err = lots.Accept(ctx, later("d", "one tin"))
	wantError(t, err, 409, call.Unknown)
	assert.Equal(t, good.runs.Load(), int64(3))
}

func TestTableDownLotIsRefused(t *testing.T) {
	s := newSite(t)
	one := s.start("one", "", &runner{gate: open(), after: -1})
	s.table.down.Store(true)
	_, err := one.Accept(context.Background(), s.lot(5))
	wantError(t, err, 503, call.NotRun)
}

// follower collects tokens and checks their order.
type follower struct {
	t    *testing.T
	next int
	text strings.Builder
}

func (o *follower) Token(tok call.Token) error {
	assert.Equal(o.t, tok.Index, o.next)
	o.next++
	o.text.WriteString(tok.Text)
	return nil
}

func TestFollow(t *testing.T) {
	ctx := context.Background()
	s := newSite(t)
	r := &runner{gate: make(chan struct{}), after: 3}
	one, two := s.start("one", "", r), s.start("two", "", r)
	id, err := one.Accept(ctx, s.lot(8))
	assert.NilError(t, err)
	wait(t, one, id, func(st *serve.Status) bool { return st.Tokens == 3 })
	time.AfterFunc(20*time.Millisecond, func() { close(r.gate) })
	for _, l := range []*serve.Lots{one, two} {
		sink := &follower{t: t, next: 2}
		assert.NilError(t, l.Follow(ctx, "bakery", id, 2, sink))
		assert.Equal(t, sink.text.String(), text(8)[len(text(2)):])
	}
}

// counting counts what passes to a table.
type counting struct {
	platform.Table
	reads, commits, rows atomic.Int64
}

func (c *counting) Get(ctx context.Context, key string) (platform.Row, error) {
	c.reads.Add(1)
	return c.Table.Get(ctx, key)
}

func (c *counting) Commit(ctx context.Context, token string, writes []platform.Write) error {
	c.commits.Add(1)
	c.rows.Add(int64(len(writes)))
	return c.Table.Commit(ctx, token, writes)
}

// TestTableCost fixes what each kind of request costs at the table.
func TestTableCost(t *testing.T) {
	ctx := context.Background()
	s := newSite(t)
	table := &counting{Table: s.table.Memory}
	r := &runner{gate: open(), after: -1}
	w := batch.New(table, batch.Options{RowsPerSecond: 1000, Daemons: 1})
	defer w.Close()
	rec := serve.NewRecorder("one", table, s.objects, w, r, hclog.NewNullLogger())
	lots := serve.NewLots(serve.LotsConfig{Daemon: "one", Table: table, Objects: s.objects, Writer: w, Admitter: serve.Unlimited{},
		Dispatcher: r, Manifests: &s.manifests, Peers: toPeer{s, ""}, Log: hclog.NewNullLogger()})
	accept := func(c *call.Call) {
		_, err := lots.Accept(ctx, c)
		assert.NilError(t, err)
		for lots.Held() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	booking := s.lot(0)
	booking.Prompt, booking.Repeatable, booking.Body, booking.IdempotencyKey = "", false, []byte("seat"), "b"
	for _, tc := range []struct {
		name                 string
		run                  func()
		reads, commits, rows int64
	}{
		{"order", func() { _, _ = rec.Plain(ctx, order("k", "a")) }, 0, 2, 2},
		{"same key again", func() { _, _ = rec.Plain(ctx, order("k", "a")) }, 1, 1, 1},
		{"lot shorter than the interval of records", func() { accept(s.lot(5)) }, 0, 2, 4},
		{"booking", func() { accept(booking) }, 0, 3, 6}, // one row reserves the key
	} {
		reads, commits, rows := table.reads.Load(), table.commits.Load(), table.rows.Load()
		tc.run()
		assert.Equal(t, table.reads.Load()-reads, tc.reads, tc.name)
		assert.Equal(t, table.commits.Load()-commits, tc.commits, tc.name)
		assert.Equal(t, table.rows.Load()-rows, tc.rows, tc.name)
	}
}

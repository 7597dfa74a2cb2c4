package silence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// fixture is a Watch over upstreams with entries, on a clock of its own.
type fixture struct {
	*Watch
	now     time.Duration
	entries map[string]*roster.Upstream
}

func newFixture(ids ...string) *fixture {
	f := &fixture{Watch: New(), now: time.Hour, entries: make(map[string]*roster.Upstream)}
	for _, id := range ids {
		f.entries[id] = &roster.Upstream{ID: id, Incarnation: 1, Service: "s"}
	}
	return f
}

func (f *fixture) send(id string) *Exchange {
	return f.Begin(f.entries[id], Request{ID: "r", Service: "s"}, f.now)
}

// pass lets time pass in steps of a tick, and returns the upstreams to check and to withdraw.
func (f *fixture) pass(d time.Duration) (a Actions) {
	for end := f.now + d; f.now < end; {
		f.now += 200 * time.Millisecond
		more := f.Tick(func(id string) *roster.Upstream { return f.entries[id] }, f.now)
		a.Check, a.Withdraw = append(a.Check, more.Check...), append(a.Withdraw, more.Withdraw...)
	}
	return a
}

func (f *fixture) take(id string) []Waiting { return f.Take(f.key(id), 0, f.now) }

func (f *fixture) key(id string) roster.Key { return roster.Key{ID: id, Incarnation: 1} }

// TestSilentUpstreamIsChecked covers each way in which a request waits in vain.
func TestSilentUpstreamIsChecked(t *testing.T) {
	for name, end := range map[string]func(f *fixture, x *Exchange){
		"open":     func(*fixture, *Exchange) {},
		"given up": func(f *fixture, x *Exchange) { f.GiveUp(x, f.now) },
	} {
		for _, stage := range []quarantine.Stage{quarantine.BeforeHead, quarantine.BeforeEvent, quarantine.AfterEvent} {
			f := newFixture("a")
			f.send("a").Received(f.now)
			x := f.send("a")
			if stage > quarantine.BeforeHead {
				x.Received(f.now)
			}
			if stage == quarantine.AfterEvent {
				x.Progressed(1, f.now)
			}
			f.now += 100 * time.Millisecond
			end(f, x)
			assert.Equal(t, len(f.pass(After-200*time.Millisecond).Check), 0, name)
			assert.Assert(t, len(f.pass(400*time.Millisecond).Check) > 0, name)
			list := f.take("a")
			assert.Assert(t, len(list) > 0, name)
			e := list[len(list)-1].End
			assert.Assert(t, e.Silent && !e.Doubtful && e.Stage == stage && e.At >= e.SentAt, "%s: %+v", name, e)
			assert.Equal(t, len(f.take("a")), 0, "reported once")
		}
	}
}

// TestSendingUpstreamIsNotChecked covers upstreams that owe nothing: they sent something on another
// connection, they completed the response, they leave, or this process was suspended.
func TestSendingUpstreamIsNotChecked(t *testing.T) {
	f := newFixture("a", "b", "c", "d")
	f.send("a")
	other := f.send("a")
	f.GiveUp(f.send("a"), f.now)
	f.Complete(f.send("b"))
	f.send("c")
	f.entries["c"] = &roster.Upstream{ID: "c", Incarnation: 1, Leaving: true}
	for range 20 {
		other.Received(f.now)
		a := f.pass(400 * time.Millisecond)
		assert.Equal(t, len(a.Check), 0)
	}
	f.Complete(other)
	f = newFixture("d")
	f.pass(200 * time.Millisecond)
	f.send("d")
	f.now += 5 * time.Second // suspended
	assert.Equal(t, len(f.pass(After-400*time.Millisecond).Check), 0)
	assert.Assert(t, len(f.pass(time.Second).Check) > 0)
}

// TestSlowUpstreamIsCheckedRarely guards against checks without end of an upstream that works on one
// request for long.
func TestSlowUpstreamIsCheckedRarely(t *testing.T) {
	f := newFixture("a")
	f.send("a")
	checks := 0
	for range 300 {
		for _, u := range f.pass(200 * time.Millisecond).Check {
			checks++
			f.Responded(u, f.now)
		}
	}
	assert.Assert(t, checks > 2 && checks < 10, "%d checks in a minute", checks)
	f.Responded(f.entries["a"], f.now)
	assert.Equal(t, len(f.take("a")), 0)
}

// TestEndsAreDoubtful checks when an upstream is known to have worked when a request was sent.
func TestEndsAreDoubtful(t *testing.T) {
	for _, tt := range []struct {
		here, there time.Duration // since it last sent something, when the request was sent; 0 for never
		doubtful    bool
	}{{0, 0, true}, {100 * time.Millisecond, 0, false}, {2 * time.Second, 0, true}, {2 * time.Second, 100 * time.Millisecond, false}} {
		f := newFixture("a")
		if tt.here > 0 {
			f.Responded(f.entries["a"], f.now-tt.here)
		}
		there := time.Duration(0)
		if tt.there > 0 {
			there = f.now - tt.there
		}
		f.send("a")
		f.pass(2 * time.Second)
		list := f.Take(f.key("a"), there, f.now)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].End.Doubtful, tt.doubtful, "%+v", tt)
	}
}

// TestReturningUpstreamIsWithdrawn tells a frozen upstream that goes on from one that was started
// again, under its ID or another one.
func TestReturningUpstreamIsWithdrawn(t *testing.T) {
	for _, how := range []string{"goes on", "restarted", "gone"} {
		f := newFixture("a")
		x := f.send("a")
		x.Received(f.now)
		f.pass(1400 * time.Millisecond)
		assert.Equal(t, len(f.take("a")), 1)
		f.pass(time.Second)
		f.Responded(f.entries["a"], f.now)
		f.now += 100 * time.Millisecond
		switch how {
		case "restarted":
			f.entries["a"] = &roster.Upstream{ID: "a", Incarnation: 2}
		case "gone":
			delete(f.entries, "a")
		}
		a := f.pass(returnMargin + time.Second)
		assert.Equal(t, len(a.Withdraw) == 1, how == "goes on", how)
	}
}

// TestLeftUpstream covers one whose entry is removed without a word, and which serves on until it
// exits.
func TestLeftUpstream(t *testing.T) {
	f := newFixture("a")
	x := f.send("a")
	x.Received(f.now)
	delete(f.entries, "a")
	f.pass(400 * time.Millisecond)
	x.Received(f.now + 100*time.Millisecond)
	f.pass(2 * time.Second)
	list := f.take("a")
	assert.Assert(t, len(list) == 1 && list[0].Left)
}

// TestWatchIsBounded checks that neither requests nor upstreams are kept for ever.
func TestWatchIsBounded(t *testing.T) {
	f := newFixture("a", "b")
	for range 10 * maxWaiting {
		f.GiveUp(f.send("a"), f.now)
	}
	assert.Equal(t, f.Stats(), maxWaiting)
	f.pass(2 * time.Second)
	f.take("a")
	f.pass(returnKnownFor + knownFor)
	assert.Equal(t, f.Stats(), 0)
	assert.Equal(t, len(f.upstreams), 0)
}

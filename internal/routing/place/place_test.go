package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const testService = "s"

// newPlacer returns a placer with n upstreams of a zone.
func newPlacer(n int) (*Placer, []*roster.Upstream) {
	p := New("a")
	list := upstreams(n)
	p.Update(roster.New(list), func(string) int { return 600000 })
	return p, list
}

func upstreams(n int) []*roster.Upstream {
	var list []*roster.Upstream
	for i := range n {
		list = append(list, &roster.Upstream{ID: fmt.Sprintf("u%02d", i), Service: testService, Zone: "a", Slots: 48, Address: "127.0.0.1:1"})
	}
	return list
}

func prompt(shared uint64, own uint64) Query {
	return Query{Service: testService, Prompt: []Part{{shared, 6000}, {own, 2000}}}
}

// pick chooses and, unless it stays under way, ends at once.
func pick(t *testing.T, p *Placer, q Query, now time.Duration) Choice {
	t.Helper()
	c, err := p.Pick(q, now)
	assert.NilError(t, err)
	return c
}

func finish(p *Placer, c Choice, took, now time.Duration) {
	p.First(c, took, now)
	p.Done(c, Answered, true, now)
}

// TestSharedPartsAreReadOnce replays requests that share a part one after the
// other: all go where the part is kept.
func TestSharedPartsAreReadOnce(t *testing.T) {
	p, _ := newPlacer(10)
	now := time.Hour
	first := pick(t, p, prompt(1, 100), now)
	assert.Equal(t, first.Missing, 8000)
	finish(p, first, first.Expected, now)
	for i := range 20 {
		now += 100 * time.Millisecond
		c := pick(t, p, prompt(1, uint64(200+i)), now)
		assert.Equal(t, c.Upstream.ID, first.Upstream.ID)
		assert.Equal(t, c.Missing, 2000)
		finish(p, c, c.Expected, now)
	}
}

// TestSharedPartSpreadsUnderLoad replays a burst on one shared part: it is read
// again elsewhere rather than waited for.
func TestSharedPartSpreadsUnderLoad(t *testing.T) {
	p, _ := newPlacer(10)
	used := make(map[string]int)
	for i := range 100 {
		used[pick(t, p, prompt(1, uint64(100+i)), time.Hour).Upstream.ID]++
	}
	assert.Equal(t, len(used), 10)
	for id, n := range used {
		assert.Assert(t, n <= 20, "%s got %d of 100", id, n)
	}
}

func TestLearntFromOtherDaemons(t *testing.T) {
	a, list := newPlacer(10)
	b := New("a")
	b.Update(roster.New(list), func(string) int { return 600000 })
	now := time.Hour
	c := pick(t, a, prompt(7, 1), now)
	finish(a, c, c.Expected, now)
	told := a.Told("b")
	assert.Equal(t, len(told), 1)
	assert.Equal(t, len(a.Told("b")), 0)
	assert.Equal(t, len(a.Told("c")), 1, "each daemon is told once")
	b.LearnKept(told, now)
	got := pick(t, b, prompt(7, 2), now)
	assert.Equal(t, got.Upstream.ID, c.Upstream.ID)
	b.Learn("a", map[string]Load{c.Upstream.ID: {Running: 40, Backlog: 100000}})
	got = pick(t, b, prompt(7, 3), now)
	assert.Assert(t, got.Upstream.ID != c.Upstream.ID, "the load of others counts")
}

// TestFailingUpstreamIsLeft replays an upstream that fails all requests while
// its entry is good.
func TestFailingUpstreamIsLeft(t *testing.T) {
	p, _ := newPlacer(3)
	now := time.Hour
	bad := 0
	for i := range 300 {
		now += 10 * time.Millisecond
		c := pick(t, p, prompt(uint64(i), uint64(1000+i)), now)
		if c.Upstream.ID == "u00" {
			bad++
			p.Done(c, Failed, false, now)
			continue
		}
		finish(p, c, c.Expected, now)
	}
	assert.Assert(t, bad < 10, "%d of 300", bad)
}

// TestSilentUpstreamIsLeft replays a link that swallows everything.
func TestSilentUpstreamIsLeft(t *testing.T) {
	p, list := newPlacer(2)
	now := time.Hour
	toSilent := prompt(1, 2)
	toSilent.Exclude = map[string]bool{"u01": true}
	for range 3 {
		pick(t, p, toSilent, now)
	}
	now += silentAfter + time.Millisecond
	assert.Assert(t, p.Silent(list[0].Key(), now))
	for range 20 {
		c := pick(t, p, prompt(1, 2), now)
		assert.Equal(t, c.Upstream.ID, "u01")
		finish(p, c, c.Expected, now)
	}
}

// TestSlowUpstreamGetsLess replays one that takes eight times as long.
func TestSlowUpstreamGetsLess(t *testing.T) {
	p, _ := newPlacer(4)
	now := time.Hour
	slow := 0
	for i := range 400 {
		now += 20 * time.Millisecond
		c := pick(t, p, prompt(uint64(i), uint64(5000+i)), now)
		took := c.Expected
		if c.Upstream.ID == "u00" {
			slow++
			took = 8 * 140 * time.Millisecond
		}
		finish(p, c, took, now)
	}
	assert.Assert(t, slow < 60, "%d of 400, a fair part is 100", slow)
}

// TestNewPlainUpstreamIsUsed replays an upstream that joins others whose times
// are known and short.
func TestNewPlainUpstreamIsUsed(t *testing.T) {
	p, _ := newPlacer(2)
	q := Query{Service: testService}
	now := time.Hour
	for range 50 {
		finish(p, pick(t, p, q, now), time.Millisecond, now)
	}
	p.Update(roster.New(upstreams(3)), func(string) int { return 0 })
	used := make(map[string]int)
	for range 60 {
		c := pick(t, p, q, now)
		used[c.Upstream.ID]++
		finish(p, c, time.Millisecond, now)
	}
	assert.Assert(t, used["u02"] > 5, "%v", used)
}

func TestRebornUpstreamKeepsNothing(t *testing.T) {
	p, list := newPlacer(1)
	now := time.Hour
	c := pick(t, p, prompt(1, 2), now)
	finish(p, c, c.Expected, now)
	again := *list[0]
	again.Born = 1
	p.Update(roster.New([]*roster.Upstream{&again}), func(string) int { return 600000 })
	assert.Equal(t, pick(t, p, prompt(1, 2), now).Missing, 8000)
}

func TestLeavingAndExcludedAreNotChosen(t *testing.T) {
	p, list := newPlacer(2)
	leaving := *list[0]
	leaving.Leaving = true
	p.Update(roster.New([]*roster.Upstream{&leaving, list[1]}), func(string) int { return 0 })
	q := prompt(1, 2)
	assert.Equal(t, pick(t, p, q, time.Hour).Upstream.ID, "u01")
	q.Exclude = map[string]bool{"u01": true}
	_, err := p.Pick(q, time.Hour)
	assert.ErrorIs(t, err, ErrNone)
}

func TestCacheYieldsTheOldest(t *testing.T) {
	c := newCache()
	c.limit = 1000
	for i := range uint64(10) {
		c.add(i, 100, time.Duration(i)*time.Second)
	}
	assert.Equal(t, c.missing([]Part{{9, 100}, {8, 100}}, 9*time.Second), 0)
	assert.Equal(t, c.missing([]Part{{0, 100}, {9, 100}}, 9*time.Second), 200, "what follows a missing part is read too")
	assert.Equal(t, c.missing([]Part{{9, 100}}, 9*time.Second+keptFor), 100)
}

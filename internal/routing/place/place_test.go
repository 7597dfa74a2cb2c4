package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const testService = "s"

// newPlacer returns a placer and n upstreams in its zone.
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

func prompt(shared uint64, unique uint64) Query {
	return Query{Service: testService, Prompt: []Segment{{shared, 6000}, {unique, 2000}}}
}

// pick places a request and leaves it in flight.
func pick(t *testing.T, p *Placer, q Query, now time.Duration) Choice {
	t.Helper()
	c, err := p.Pick(q, now)
	assert.NilError(t, err)
	return c
}

func finish(p *Placer, c Choice, took, now time.Duration) {
	p.FirstEvent(c, took, now)
	p.Done(c, Answered, true, now)
}

// TestSharedSegmentsArePrefilledOnce sends requests with one shared segment one after the
// other. All must go to the upstream that has it cached.
func TestSharedSegmentsArePrefilledOnce(t *testing.T) {
	p, _ := newPlacer(10)
	now := time.Hour
	first := pick(t, p, prompt(1, 100), now)
	assert.Equal(t, first.Prefill, 8000-int(homeHitProbDirect*6000), "at the home of the segment")
	finish(p, first, first.Expected, now)
	for i := range 20 {
		now += 100 * time.Millisecond
		c := pick(t, p, prompt(1, uint64(200+i)), now)
		assert.Equal(t, c.Upstream.ID, first.Upstream.ID)
		assert.Equal(t, c.Prefill, 2000)
		finish(p, c, c.Expected, now)
	}
}

// TestSharedSegmentSpreadsUnderLoad sends a burst with one shared segment. It must be
// prefilled again at other upstreams instead of queueing at the first one.
func TestSharedSegmentSpreadsUnderLoad(t *testing.T) {
	p, _ := newPlacer(10)
	used := make(map[string]int)
	for i := range 100 {
		used[pick(t, p, prompt(1, uint64(100+i)), time.Hour).Upstream.ID]++
	}
	assert.Equal(t, len(used), 10)
	for id, n := range used {
		assert.Assert(t, n <= 20, "%s got %d of 100 requests", id, n)
	}
}

func TestStateOfOtherDaemonsIsUsed(t *testing.T) {
	a, list := newPlacer(10)
	b := New("a")
	b.Update(roster.New(list), func(string) int { return 600000 })
	now := time.Hour
	a.TakeCached("b", false)
	a.TakeCached("c", false)
	c := pick(t, a, prompt(7, 1), now)
	finish(a, c, c.Expected, now)
	cached := a.TakeCached("b", false)
	assert.Equal(t, len(cached), 1)
	assert.Equal(t, len(a.TakeCached("b", false)), 0)
	assert.Equal(t, len(a.TakeCached("c", false)), 1, "each daemon has its own cursor")
	b.MergeCached(cached, false, now)
	got := pick(t, b, prompt(7, 2), now)
	assert.Equal(t, got.Upstream.ID, c.Upstream.ID)
	assert.Equal(t, got.Prefill, 2000)
	b.MergeLoads("a", 1, false, LoadChanges{Version: 1, List: []UpstreamLoad{{HashID(c.Upstream.ID), Load{Running: 40, Backlog: 100000}}}}, now)
	got = pick(t, b, prompt(7, 3), now)
	assert.Assert(t, got.Upstream.ID != c.Upstream.ID, "load of another daemon is ignored")
}

// TestDaemonsViaHubsChooseSameHome places requests with a shared segment at daemons that
// exchange state through hubs. All must pick the segment's home without an exchange. If the
// home is loaded, another upstream is picked, and that is reported to the other daemons.
func TestDaemonsViaHubsChooseSameHome(t *testing.T) {
	for _, n := range []int{3, 10, 30, 153} {
		now := time.Hour
		list := upstreams(n)
		daemon := func() *Placer {
			p := New("a")
			p.Update(roster.New(list), func(string) int { return 600000 })
			p.SetDaemons(295, true)
			p.TakeCached("b", true)
			return p
		}
		a, agreed := daemon(), 0
		used := make(map[string]int)
		const segments = 200
		for id := range uint64(segments) {
			c := pick(t, a, prompt(1000+id, 1), now)
			b := daemon()
			if pick(t, b, prompt(1000+id, 2), now).Upstream.ID == c.Upstream.ID {
				agreed++
			}
			used[c.Upstream.ID]++
			finish(a, c, c.Expected, now)
			assert.Equal(t, len(b.TakeCached("b", true)), 0, "segments cached at their home are not sent")
			b.MergeLoads("a", 1, false, LoadChanges{Version: 1, List: []UpstreamLoad{{HashID(c.Upstream.ID), Load{Running: 40, Backlog: 100000}}}}, now)
			got := pick(t, b, prompt(1000+id, 3), now)
			assert.Assert(t, got.Upstream.ID != c.Upstream.ID, "load of another daemon is ignored")
			assert.DeepEqual(t, b.TakeCached("b", true), []CachedSegment{{1000 + id, HashID(got.Upstream.ID)}})
		}
		assert.Assert(t, agreed >= segments*98/100, "%d upstreams: same home for %d of %d segments", n, agreed, segments)
		for id, count := range used {
			assert.Assert(t, count <= 3+4*segments/n, "%s is home of %d of %d segments", id, count, segments)
		}
	}
}

// TestRemovedUpstreamMovesOnlyItsHomes removes an upstream: only its segments may move.
func TestRemovedUpstreamMovesOnlyItsHomes(t *testing.T) {
	list := upstreams(20)
	before, after := newHashRing(list), newHashRing(list[1:])
	moved := 0
	for id := range uint64(2000) {
		oldHome, newHome := before.homes(id, nil)[0], after.homes(id, nil)[0]
		if oldHome != newHome {
			moved++
			assert.Equal(t, oldHome.ID, list[0].ID)
		}
	}
	assert.Assert(t, moved > 20 && moved < 300, "%d of 2000 segments moved", moved)
}

// TestPopularSegmentsCountAsCachedEverywhere mixes a segment that all daemons have several
// requests per second for with rare segments.
func TestPopularSegmentsCountAsCachedEverywhere(t *testing.T) {
	p, _ := newPlacer(10)
	p.SetDaemons(6, false)
	now := time.Hour
	for i := range uint64(60) {
		now += 300 * time.Millisecond
		c := pick(t, p, Query{Service: testService, Prompt: []Segment{{1, 3000}, {1000 + i, 4000}, {2000 + i, 1000}}}, now)
		finish(p, c, c.Expected, now)
	}
	q := Query{Service: testService, Prompt: []Segment{{1, 3000}, {9, 4000}, {10, 1000}}, Exclude: make(map[string]bool)}
	home := pick(t, p, q, now)
	q.Exclude[home.Upstream.ID] = true
	other := pick(t, p, q, now)
	assert.Equal(t, other.Prefill, 5000, "the popular segment counts as cached")
	for i := 0; len(p.popularity) > 4; i++ {
		now += sweepInterval
		finish(p, pick(t, p, prompt(9, 10), now), 0, now)
		assert.Assert(t, i < 40, "%d counts are left", len(p.popularity))
	}
}

// TestPickComparesBoundedCandidates checks that Pick compares a bounded number of thousands
// of upstreams and still finds idle ones.
func TestPickComparesBoundedCandidates(t *testing.T) {
	p, list := newPlacer(2500)
	now := time.Hour
	busy := LoadChanges{Version: 1}
	for _, u := range list[:2000] {
		busy.List = append(busy.List, UpstreamLoad{HashID(u.ID), Load{Running: 60, Backlog: 90000}})
	}
	p.MergeLoads("d", 1, false, busy, now)
	idle := 0
	for i := range uint64(500) {
		c := pick(t, p, prompt(i, 10000+i), now)
		assert.Assert(t, c.Candidates <= maxCandidates)
		if p.states[c.Upstream.Key()].remote.Running == 0 {
			idle++
		}
	}
	assert.Assert(t, idle >= 490, "%d of 500 requests at idle upstreams", idle)
}

// TestManyDaemonsDoNotHerd places requests at 295 daemons with the same outdated loads, in
// which one upstream is idle. It may get a few times the mean, not most of the requests.
func TestManyDaemonsDoNotHerd(t *testing.T) {
	list := upstreams(80)
	now := time.Hour
	loads := LoadChanges{Version: 1}
	for i, u := range list {
		loads.List = append(loads.List, UpstreamLoad{HashID(u.ID), Load{Running: 3 + i%4, Backlog: 2000 + 500*(i%5)}})
	}
	loads.List[7].Load = Load{}
	used := make(map[string]int)
	const daemons, each = 295, 4
	for range daemons {
		p := New("a")
		p.Update(roster.New(list), func(string) int { return 450000 })
		p.SetDaemons(daemons, true)
		p.MergeLoads("hub", 1, false, loads, now)
		for i := range each {
			used[pick(t, p, Query{Service: testService, Prompt: []Segment{{uint64(i), 2000}}}, now).Upstream.ID]++
		}
	}
	mean := float64(daemons*each) / float64(len(list))
	assert.Assert(t, float64(used[list[7].ID]) > 1.5*mean, "idle upstream got %d, mean %.1f", used[list[7].ID], mean)
	for id, n := range used {
		assert.Assert(t, float64(n) < (maxCandidatesViaHubs+1.5)*mean, "%s got %d, mean %.1f", id, n, mean)
	}
}

// TestLoadChangesConverge sends random load changes from one daemon to another, which
// restarts. Some messages are lost, delayed or delivered twice. Both daemons must hold the
// same loads in the end.
func TestLoadChangesConverge(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 9))
		a, list := newPlacer(12)
		newReceiver := func() *Placer {
			p := New("a")
			p.Update(roster.New(list), func(string) int { return 600000 })
			return p
		}
		b, now, inFlight := newReceiver(), time.Hour, []Choice(nil)
		var delayed []LoadChanges
		exchange := func(lost bool) {
			since, _ := b.LoadVersion("a")
			c := a.GroupChanges(since)
			if lost {
				delayed = append(delayed, c)
				return
			}
			b.MergeLoads("a", 1, false, c, now)
		}
		for range 300 {
			now += 50 * time.Millisecond
			switch rnd.IntN(5) {
			case 0:
				if len(inFlight) > 0 {
					finish(a, inFlight[0], inFlight[0].Expected, now)
					inFlight = inFlight[1:]
				}
			case 1:
				exchange(rnd.IntN(3) == 0)
			case 2:
				if len(delayed) > 0 && rnd.IntN(2) == 0 {
					b.MergeLoads("a", 1, false, delayed[rnd.IntN(len(delayed))], now)
				}
			case 3:
				if rnd.IntN(40) == 0 {
					b, delayed = newReceiver(), nil
				}
			default:
				inFlight = append(inFlight, pick(t, a, prompt(uint64(rnd.IntN(5)), rnd.Uint64()), now))
			}
		}
		exchange(false)
		exchange(false)
		for k, s := range a.states {
			assert.Equal(t, b.states[k].remote, s.local, "seed %d, %v", seed, k)
		}
		b.DropLoads("a")
		for k, s := range b.states {
			assert.Equal(t, s.remote, Load{}, "seed %d, %v", seed, k)
		}
	}
}

// TestRemoteFailuresCount reports failures at an upstream from another daemon. The upstream
// must be avoided without a failed request of this daemon.
func TestRemoteFailuresCount(t *testing.T) {
	p, list := newPlacer(4)
	now := time.Hour
	bad := HashID(list[0].ID)
	p.MergeLoads("d", 1, false, LoadChanges{Version: 1, List: []UpstreamLoad{{bad, Load{Answered: 5}}}}, now)
	p.MergeLoads("d", 1, false, LoadChanges{BaseVersion: 1, Version: 2, List: []UpstreamLoad{{bad, Load{Answered: 5, Failed: 16}}}}, now)
	for i := range uint64(40) {
		c := pick(t, p, prompt(i, 100+i), now)
		assert.Assert(t, c.Upstream.ID != list[0].ID)
		finish(p, c, c.Expected, now)
	}
}

// TestFailingUpstreamIsAvoided lets an upstream with a normal entry in the store fail all
// requests.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	p, _ := newPlacer(3)
	now := time.Hour
	failed := 0
	for i := range 300 {
		now += 10 * time.Millisecond
		c := pick(t, p, prompt(uint64(i), uint64(1000+i)), now)
		if c.Upstream.ID == "u00" {
			failed++
			p.Done(c, Failed, false, now)
			continue
		}
		finish(p, c, c.Expected, now)
	}
	assert.Assert(t, failed < 10, "%d of 300 requests at the failing upstream", failed)
}

// TestSilentUpstreamIsAvoided covers a link that drops all traffic: the upstream sends
// nothing for the requests in flight.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	p, list := newPlacer(2)
	now := time.Hour
	toSilent := prompt(1, 2)
	toSilent.Exclude = map[string]bool{"u01": true}
	for range 3 {
		pick(t, p, toSilent, now)
	}
	now += silentAfter + silentFactor*pick(t, p, toSilent, now).Expected + time.Millisecond
	assert.Assert(t, p.Silent(list[0].Key(), now))
	for range 20 {
		c := pick(t, p, prompt(1, 2), now)
		assert.Equal(t, c.Upstream.ID, "u01")
		finish(p, c, c.Expected, now)
	}
}

// TestSlowUpstreamGetsFewerRequests makes one upstream eight times as slow as the others.
func TestSlowUpstreamGetsFewerRequests(t *testing.T) {
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
	assert.Assert(t, slow < 60, "%d of 400 requests at the slow upstream, an equal share is 100", slow)
}

// TestNewPlainUpstreamIsUsed adds an upstream without measurements to others whose short
// times are known.
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

func TestRestartedUpstreamHasEmptyCache(t *testing.T) {
	p, list := newPlacer(1)
	now := time.Hour
	c := pick(t, p, prompt(1, 2), now)
	finish(p, c, c.Expected, now)
	restarted := *list[0]
	restarted.Incarnation = 1
	p.Update(roster.New([]*roster.Upstream{&restarted}), func(string) int { return 600000 })
	assert.Equal(t, pick(t, p, prompt(1, 2), now).Prefill, 8000)
	assert.Equal(t, pick(t, p, prompt(1, 3), now+homeWarmup+time.Second).Prefill, 2000, "prefilled by the previous request")
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
	assert.ErrorIs(t, err, ErrNoUpstream)
}

func TestCacheEvictsOldest(t *testing.T) {
	c := newPrefixCache()
	c.limit = 1000
	for i := range uint64(10) {
		c.add(i, 100, time.Duration(i)*time.Second)
	}
	assert.Equal(t, c.uncached([]Segment{{9, 100}, {8, 100}}, 0, 9*time.Second), 0)
	assert.Equal(t, c.uncached([]Segment{{0, 100}, {9, 100}}, 0, 9*time.Second), 200, "segments after an uncached one are not reused")
	assert.Equal(t, c.uncached([]Segment{{9, 100}}, 0, 9*time.Second+cacheTTL), 100)
}

// pausingRoster returns a roster of one upstream with an incarnation.
func pausingRoster(incarnation int64) *roster.Roster {
	return roster.New([]*roster.Upstream{{ID: "u", Incarnation: incarnation, Service: "s", Slots: 4}})
}

func noCache(string) int { return 0 }

// TestPauseOutlivesRosterEntry guards against a pause that is dropped with the upstream's entry.
func TestPauseOutlivesRosterEntry(t *testing.T) {
	p, now, k := New("z"), time.Hour, roster.Key{ID: "u", Incarnation: 1}
	p.Update(pausingRoster(1), noCache)
	p.Pause(k, 20*time.Second, now)
	p.Update(roster.New(nil), noCache)
	p.Pause(k, 25*time.Second, now+time.Second) // a refusal that was under way
	p.Update(pausingRoster(1), noCache)
	_, err := p.Pick(Query{Service: "s"}, now+25*time.Second)
	assert.ErrorIs(t, err, ErrNoUpstream)
	assert.Assert(t, !p.Accepts(k, now+25*time.Second) && p.PauseEnforced(k, now+25*time.Second))
	assert.Equal(t, p.UntilResume("s", now+25*time.Second), time.Second)
	assert.Assert(t, p.Accepts(k, now+26*time.Second))
	p.Update(pausingRoster(2), noCache)
	_, err = p.Pick(Query{Service: "s"}, now+5*time.Second)
	assert.NilError(t, err, "another incarnation")
}

// TestPausesAreBounded lets upstreams that never return ask for pauses without end, beside one
// in the roster and one that returns.
func TestPausesAreBounded(t *testing.T) {
	p, now, k := New("z"), time.Hour, roster.Key{ID: "u", Incarnation: 1}
	p.Update(pausingRoster(1), noCache)
	p.Pause(k, math.MaxInt64, now)
	back := roster.Key{ID: "back", Incarnation: 1}
	p.Pause(back, 20*time.Second, now)
	for i := range 3 * maxPauses {
		p.Pause(roster.Key{ID: fmt.Sprint(i)}, math.MaxInt64, now)
	}
	assert.Assert(t, len(p.pauses) <= maxPauses)
	assert.Assert(t, p.PauseEnforced(k, now+time.Minute) && p.PauseEnforced(back, now+10*time.Second))
	for i := range 2 * maxPauses {
		p.Pause(roster.Key{ID: fmt.Sprint("short", i)}, time.Second, now+time.Duration(i)*time.Second)
	}
	assert.Assert(t, len(p.pauses) <= maxPauses)
}

// TestUntilResumeCountsTriedUpstreams checks that a request which all upstreams have refused is
// told when the first pause ends, and that one which may return at once is told so.
func TestUntilResumeCountsTriedUpstreams(t *testing.T) {
	p, now := New("z"), time.Hour
	p.Update(roster.New([]*roster.Upstream{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}), noCache)
	p.Pause(roster.Key{ID: "a"}, time.Minute, now)
	assert.Equal(t, p.UntilResume("s", now), time.Duration(0))
	p.Pause(roster.Key{ID: "b"}, 2*time.Minute, now)
	_, err := p.Pick(Query{Service: "s", Exclude: map[string]bool{"a": true, "b": true}}, now)
	var none *NoUpstreamError
	assert.Assert(t, errors.As(err, &none) && none.RetryIn == time.Minute)
}

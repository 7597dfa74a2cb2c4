package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lagoonmux/lagoonmux/internal/manifest"

	_ "github.com/lagoonmux/lagoonmux/internal/fixedseed" // property tests
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTestRouter(n int, terms Terms) (*Router, *manifest.Active) {
	a := testActive(n, manifest.ExpectedLatency)
	r := NewRouter()
	r.SetTerms(terms)
	r.Update(a, allMembers(a))
	return r, a
}

// sendRequests runs count requests, ten at a time, ends each by calling end, and
// returns how many each upstream got.
func sendRequests(t *testing.T, r *Router, now *time.Time, count int, end func(a *Attempt, at time.Time)) map[string]int {
	t.Helper()
	rng := rand.New(rand.NewPCG(3, 4))
	got := make(map[string]int)
	for range count / 10 {
		*now = now.Add(50 * time.Millisecond)
		var open [10]Attempt
		for i := range open {
			a, err := r.Begin(*now, &Request{Service: "text", PromptTokens: 200, MaxTokens: 20, Random: rng.Uint64()})
			assert.NilError(t, err)
			got[a.Upstream.Name]++
			open[i] = a
		}
		for i := range open {
			end(&open[i], *now)
		}
	}
	return got
}

// succeed returns an end function that sends the first token after latency and
// ends the attempt after twice that.
func succeed(latency time.Duration) func(*Attempt, time.Time) {
	return func(a *Attempt, at time.Time) {
		a.FirstToken(at.Add(latency), 0)
		a.Done(at.Add(2*latency), Succeeded)
	}
}

// requestsToIdle runs six daemons with the same load report, in which one of
// four upstreams is idle. Each daemon sends 10 requests; the result is how many of
// the 60 the idle upstream receives.
func requestsToIdle(t *testing.T, terms Terms) int {
	t.Helper()
	idle := 0
	for d := range 6 {
		r, a := newTestRouter(4, terms)
		r.SetShare(1.0 / 6)
		for i, u := range a.Upstreams {
			report := LoadReport{Upstream: u.Name, At: start, Incarnation: 1, Running: 8, Waiting: 16, WaitingTokens: 4000}
			if i == 0 {
				report.Waiting, report.WaitingTokens = 0, 0
			}
			r.ObserveLoad(start, report)
		}
		rng := rand.New(rand.NewPCG(uint64(d), 1))
		for i := range 10 {
			at, err := r.Begin(start.Add(time.Duration(i)*time.Microsecond), &Request{Service: "text", Blocks: testBlocks(1, 1, 4, 4), PromptTokens: 200, Random: rng.Uint64()})
			assert.NilError(t, err)
			if at.Upstream.Name == "e0" {
				idle++
			}
		}
	}
	return idle
}

// TestStaleLoadCausesNoHerd guards against daemons with the same outdated load
// report overloading the upstream that it shows as idle. Without TermPeers, that
// upstream gets more than its fair share.
func TestStaleLoadCausesNoHerd(t *testing.T) {
	const fair = (3*4000 + 6*10*200) / 4 / 200 // requests after which all upstreams have equally many tokens waiting
	with, without := requestsToIdle(t, TermQueue|TermPeers|TermRandom), requestsToIdle(t, TermQueue|TermRandom)
	t.Logf("requests at the upstream reported idle: %d, without the correction: %d, fair: %d", with, without, fair)
	assert.Assert(t, with <= fair*4/3 && without > fair*4/3, "got %d, without the correction %d", with, without)
}

// TestSlowUpstreamLosesAndRegainsTraffic checks that an upstream that becomes ten
// times slower loses most requests, and gets them back once it has recovered.
func TestSlowUpstreamLosesAndRegainsTraffic(t *testing.T) {
	r, _ := newTestRouter(5, AllTerms)
	now := start
	e2After := func(latency time.Duration) func(*Attempt, time.Time) {
		return func(a *Attempt, at time.Time) {
			d := 20 * time.Millisecond
			if a.Upstream.Name == "e2" {
				d = latency
			}
			succeed(d)(a, at)
		}
	}
	before := sendRequests(t, r, &now, 500, e2After(20*time.Millisecond))["e2"]
	during := sendRequests(t, r, &now, 500, e2After(200*time.Millisecond))["e2"]
	after := 0
	for range 30 {
		now = now.Add(time.Second)
		after = sendRequests(t, r, &now, 500, e2After(20*time.Millisecond))["e2"]
	}
	assert.Assert(t, before > 50 && during < before/4 && after > before/2, "before %d, slow %d, after %d", before, during, after)
}

// TestAllUpstreamsFailing checks that requests stay spread over all upstreams when
// each attempt fails, and that suspect upstreams serve when none is live.
func TestAllUpstreamsFailing(t *testing.T) {
	r, a := newTestRouter(5, AllTerms)
	now := start
	got := sendRequests(t, r, &now, 500, func(at *Attempt, when time.Time) { at.Done(when.Add(time.Second), Failed) })
	assert.Equal(t, len(got), 5, "every upstream is still tried")
	for name, n := range got {
		assert.Assert(t, n < 250, "%s got %d of 500", name, n)
	}
	members := allMembers(a)
	for i := range members {
		members[i].State = Suspect
	}
	r.Update(a, members)
	_, err := r.Begin(now, &Request{Service: "text"})
	assert.NilError(t, err, "no suspect upstream serves though none is live")
}

func TestRestartEmptiesCache(t *testing.T) {
	r, _ := newTestRouter(1, AllTerms)
	r.ObserveLoad(start, LoadReport{Upstream: "e0", At: start, Incarnation: 1})
	req := &Request{Service: "text", Blocks: testBlocks(1, 1, 8, 8), PromptTokens: 128}
	begin := func() *Attempt {
		a, err := r.Begin(start, req)
		assert.NilError(t, err)
		return &a
	}
	a := begin()
	assert.Equal(t, a.cached, 0)
	a.FirstToken(start, 0)
	a.Done(start, Succeeded)
	a = begin()
	assert.Equal(t, a.cached, 128)
	a.Done(start, Canceled)
	r.ObserveLoad(start, LoadReport{Upstream: "e0", At: start, Incarnation: 2})
	r.ObserveLoad(start, LoadReport{Upstream: "e0", At: start, Incarnation: 1}) // delayed report of the earlier incarnation
	assert.Equal(t, begin().cached, 0)
}

// TestLostEvictionsLowerCacheAccuracy checks that missing eviction events don't
// make the router expect a cached prefix for ever: the upstream's responses
// lower the expectation.
func TestLostEvictionsLowerCacheAccuracy(t *testing.T) {
	r, _ := newTestRouter(1, AllTerms)
	req := &Request{Service: "text", Blocks: testBlocks(1, 1, 8, 8), PromptTokens: 128}
	var predicted []int
	for range 60 {
		a, err := r.Begin(start, req)
		assert.NilError(t, err)
		predicted = append(predicted, a.cached)
		a.FirstToken(start, 0) // evicted, but the event was lost
		a.Done(start, Succeeded)
	}
	assert.Equal(t, predicted[1], 128)
	assert.Assert(t, predicted[59] < 16, "predicted %v", predicted)
	evictions := CacheEvents{Upstream: "e0", Incarnation: 1}
	for _, b := range req.Blocks {
		evictions.Changes = append(evictions.Changes, CacheChange{Block: b, Evicted: true})
	}
	r.ObserveCache(evictions)
	a, err := r.Begin(start, req)
	assert.NilError(t, err)
	assert.Equal(t, a.cached, 0)
}

// TestClockJumps checks that steps of the wall clock in either direction leave no
// pending tokens behind and no slowdown below its minimum.
func TestClockJumps(t *testing.T) {
	r, _ := newTestRouter(3, AllTerms)
	for _, jump := range []time.Duration{0, -time.Hour, time.Hour, -24 * time.Hour} {
		now := start.Add(jump)
		r.ObserveLoad(now, LoadReport{Upstream: "e1", At: now.Add(time.Hour), Running: 3, WaitingTokens: 500})
		a, err := r.Begin(now, &Request{Service: "text", PromptTokens: 100, Deadline: now.Add(time.Second)})
		assert.NilError(t, err)
		a.FirstToken(now.Add(-time.Minute), 0)
		a.Done(now.Add(-2*time.Minute), Succeeded)
		for i := range r.view.Load().pickers["text"].(*leastExpectedTime).nodes {
			n := &r.view.Load().pickers["text"].(*leastExpectedTime).nodes[i]
			assert.Equal(t, n.pending.Load(), int64(0))
			assert.Assert(t, n.currentSlowdown(r.clock.nanos(now), 1) >= minSlowdown)
		}
	}
}

func TestRendezvousMovesOnlyPrefixesOfLostUpstream(t *testing.T) {
	a := testActive(20, manifest.PrefixHash)
	r := NewRouter()
	pick := func(members []Member) []string {
		r.Update(a, members)
		var names []string
		for i := range 500 {
			at, err := r.Begin(start, &Request{Service: "text", Blocks: testBlocks(uint64(i), 0, 4, 4)})
			assert.NilError(t, err)
			names = append(names, at.Upstream.Name)
		}
		return names
	}
	before := pick(allMembers(a))
	after := pick(slices.Delete(allMembers(a), 7, 8))
	for i := range before {
		assert.Assert(t, before[i] == after[i] || before[i] == "e7", "%s moved to %s", before[i], after[i])
	}
}

// TestRouterInvariants runs random attempts, failures, membership changes and
// clock steps.
func TestRouterInvariants(t *testing.T) {
	policies := []manifest.Policy{manifest.ExpectedLatency, manifest.RoundRobin, manifest.LeastInFlight, manifest.PrefixHash}
	rapid.Check(t, func(t *rapid.T) {
		a := testActive(6, rapid.SampledFrom(policies).Draw(t, "policy"))
		members := allMembers(a)
		r := NewRouter()
		r.Update(a, members)
		now := start
		var open []Attempt
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				tried := []string{fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "tried"))}
				req := &Request{Service: "text", Blocks: testBlocks(rapid.Uint64Range(0, 3).Draw(t, "prefix"), 1, 4, 6), PromptTokens: 100, Tried: tried, Random: rapid.Uint64().Draw(t, "random")}
				at, err := r.Begin(now, req)
				usable := 0
				for _, m := range members {
					if m.State == Live && m.Upstream.Name != tried[0] {
						usable++
					}
				}
				if err != nil {
					assert.Equal(t, usable, 0, "no upstream chosen though %d are usable", usable)
					return
				}
				i := slices.IndexFunc(members, func(m Member) bool { return m.Upstream == at.Upstream })
				assert.Equal(t, members[i].State, Live)
				assert.Assert(t, at.Upstream.Name != tried[0])
				open = append(open, at)
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				at := open[0]
				open = open[1:]
				if rapid.Bool().Draw(t, "started") {
					at.FirstToken(now, rapid.IntRange(-1, 100).Draw(t, "cached"))
				}
				at.Done(now, Result(rapid.IntRange(0, 3).Draw(t, "result")))
			},
			"member": func(t *rapid.T) {
				i := rapid.IntRange(1, 5).Draw(t, "member") // e0 stays live
				members[i].State = rapid.SampledFrom([]State{Live, Leaving, Dead}).Draw(t, "state")
				r.Update(a, members)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				v := r.view.Load()
				assert.Equal(t, v.shared["text"].inFlight.Load(), int64(len(open)))
				sum := int64(0)
				for _, x := range v.states {
					sum += x.inFlight.Load()
					assert.Assert(t, x.pending.Load() >= 0)
				}
				assert.Equal(t, sum, int64(len(open)))
			},
		})
	})
}

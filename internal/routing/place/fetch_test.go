package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fetchableQuery returns a prompt whose segments upstreams can fetch from each other.
func fetchableQuery(shared, unique uint64) Query {
	q := prompt(shared, unique)
	q.FetchRate = 2500 // tokens per millisecond
	return q
}

// makeBusy caches a shared segment at an upstream and then overloads that upstream.
func makeBusy(t *testing.T, p *Placer, q Query, now time.Duration) Choice {
	t.Helper()
	first := pick(t, p, q, now)
	finish(p, first, first.Expected, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[first.Upstream.Key()].local.Backlog = 400000
	return first
}

// TestSegmentsAreFetchedFromCache sends a burst with one shared segment. An upstream that
// has not cached it must fetch it from the one that has, and prefill only the rest.
func TestSegmentsAreFetchedFromCache(t *testing.T) {
	p, _ := newPlacer(4)
	now := time.Hour
	first := makeBusy(t, p, fetchableQuery(1, 100), now)
	assert.Assert(t, first.Source == nil, "no upstream has it cached")
	c := pick(t, p, fetchableQuery(1, 101), now)
	assert.Assert(t, c.Upstream != first.Upstream)
	assert.Equal(t, c.Source, first.Upstream)
	assert.Equal(t, c.Prefill, 2000)
	assert.Equal(t, c.Fetched, 6000-int(homeHitProbDirect*6000)*boolToInt(c.Home))
	assert.Equal(t, c.SharedPrefill, 0)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestFetchIsSkipped covers the cases without a fetch: engines without fetch support, a
// slow link, and a source that fails requests or is silent.
func TestFetchIsSkipped(t *testing.T) {
	now := time.Hour
	for name, prevent := range map[string]func(*Placer, Choice, *Query){
		"fetch unsupported": func(_ *Placer, _ Choice, q *Query) { q.FetchRate = 0 },
		"slow link":         func(_ *Placer, _ Choice, q *Query) { q.FetchRate = 10 },
		"failing source": func(p *Placer, c Choice, _ *Query) {
			for range 9 {
				p.Done(c, Failed, true, now)
			}
		},
		"silent source": func(p *Placer, c Choice, _ *Query) {
			s := p.states[c.Upstream.Key()]
			s.local.Running, s.waitingSince, s.lastReceived = 1, now-time.Minute, now-time.Minute
		},
	} {
		p, _ := newPlacer(4)
		first := makeBusy(t, p, fetchableQuery(1, 100), now)
		q := fetchableQuery(1, 101)
		prevent(p, first, &q)
		c := pick(t, p, q, now)
		assert.Assert(t, c.Upstream != first.Upstream, name)
		assert.Assert(t, c.Source == nil, name)
		assert.Assert(t, c.Prefill > 2000, name)
	}
}

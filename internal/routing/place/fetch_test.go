package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fetchable is a prompt whose parts upstreams may fetch from each other.
func fetchable(shared, own uint64) Query {
	q := prompt(shared, own)
	q.FetchRate = 2500 // tokens in a millisecond
	return q
}

// busy makes an upstream keep a shared part, and be too busy for other requests.
func busy(t *testing.T, p *Placer, q Query, now time.Duration) Choice {
	t.Helper()
	first := pick(t, p, q, now)
	finish(p, first, first.Expected, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[first.Upstream.Key()].own.Backlog = 400000
	return first
}

// TestPartsAreFetchedWhereTheyAreKept replays a burst on one part: another upstream than
// the one that read it reads only what is new.
func TestPartsAreFetchedWhereTheyAreKept(t *testing.T) {
	p, _ := newPlacer(4)
	now := time.Hour
	first := busy(t, p, fetchable(1, 100), now)
	assert.Assert(t, first.Source == nil, "nobody keeps it")
	c := pick(t, p, fetchable(1, 101), now)
	assert.Assert(t, c.Upstream != first.Upstream)
	assert.Equal(t, c.Source, first.Upstream)
	assert.Equal(t, c.Missing, 2000)
	assert.Equal(t, c.Fetched, 6000-int(homeTrustTold*6000)*b2i(c.Home))
	assert.Equal(t, c.Shared, 0)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestNothingIsFetchedInVain checks what speaks against a fetch: engines that cannot, a
// slow link, an upstream that fails, or says nothing.
func TestNothingIsFetchedInVain(t *testing.T) {
	now := time.Hour
	for name, spoil := range map[string]func(*Placer, Choice, *Query){
		"cannot": func(_ *Placer, _ Choice, q *Query) { q.FetchRate = 0 },
		"slow":   func(_ *Placer, _ Choice, q *Query) { q.FetchRate = 10 },
		"fails": func(p *Placer, c Choice, _ *Query) {
			for range 9 {
				p.Done(c, Failed, true, now)
			}
		},
		"silent": func(p *Placer, c Choice, _ *Query) {
			s := p.states[c.Upstream.Key()]
			s.own.Running, s.waitSince, s.heard = 1, now-time.Minute, now-time.Minute
		},
	} {
		p, _ := newPlacer(4)
		first := busy(t, p, fetchable(1, 100), now)
		q := fetchable(1, 101)
		spoil(p, first, &q)
		c := pick(t, p, q, now)
		assert.Assert(t, c.Upstream != first.Upstream, name)
		assert.Assert(t, c.Source == nil, name)
		assert.Assert(t, c.Missing > 2000, name)
	}
}

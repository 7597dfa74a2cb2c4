package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// randomRoster returns a roster with random upstreams, incarnations and leaving states.
func randomRoster(rnd *rand.Rand) *roster.Roster {
	var list []*roster.Upstream
	for i := range 8 {
		if rnd.IntN(5) == 0 {
			continue
		}
		list = append(list, &roster.Upstream{
			ID: fmt.Sprint("u", i), Incarnation: int64(rnd.IntN(3)), Service: "s", Zone: fmt.Sprint("z", i%3), Slots: 1 + rnd.IntN(48),
			Leaving: rnd.IntN(6) == 0,
		})
	}
	return roster.New(list)
}

// TestRandomEvents applies random roster changes, request results and updates from other
// daemons. No request may go to an upstream that is leaving, is gone or is excluded. The
// counts of requests in flight must never be negative and must return to zero.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		p := New("z0")
		now := time.Hour
		var inFlight []Choice
		for range 400 {
			now += time.Duration(rnd.IntN(200)) * time.Millisecond
			switch rnd.IntN(8) {
			case 0:
				p.Update(randomRoster(rnd), func(string) int { return 600000 })
			case 1:
				p.MergeLoads("d", 1, rnd.IntN(2) == 0, LoadChanges{Version: 1, List: []UpstreamLoad{{HashID(fmt.Sprint("u", rnd.IntN(8))), Load{Running: rnd.IntN(40), Backlog: rnd.IntN(50000)}}}}, now)
			case 2:
				p.MergeCached([]CachedSegment{{uint64(rnd.IntN(5)), HashID(fmt.Sprint("u", rnd.IntN(9)))}}, rnd.IntN(2) == 0, now)
				p.SetDaemons(1+rnd.IntN(300), rnd.IntN(2) == 0)
			case 3, 4:
				if len(inFlight) > 0 {
					i := rnd.IntN(len(inFlight))
					c := inFlight[i]
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
					gotFirst := rnd.IntN(2) == 0
					if gotFirst {
						p.FirstEvent(c, time.Duration(rnd.IntN(900))*time.Millisecond, now)
					}
					p.Done(c, Outcome(rnd.IntN(int(Canceled)+1)), gotFirst, now)
				}
			default:
				inFlight = append(inFlight, pickRandom(t, p, rnd, now, seed)...)
			}
			checkCounts(t, p, seed)
		}
		for _, c := range inFlight {
			p.Done(c, Answered, false, now)
		}
		for _, s := range p.states {
			assert.Assert(t, s.local.Running == 0 && s.local.Backlog == 0, "seed %d: %+v", seed, s.local)
		}
	}
}

// pickRandom places a random request and returns the choice, if there is one.
func pickRandom(t *testing.T, p *Placer, rnd *rand.Rand, now time.Duration, seed uint64) []Choice {
	q := Query{Service: "s", Exclude: map[string]bool{fmt.Sprint("u", rnd.IntN(8)): true}}
	if rnd.IntN(2) == 0 {
		q.Prompt = []Segment{{uint64(rnd.IntN(5)), 1 + rnd.IntN(6000)}, {rnd.Uint64(), 1 + rnd.IntN(3000)}}
	}
	c, err := p.Pick(q, now)
	if err != nil {
		for _, u := range p.roster.Usable("s") {
			assert.Assert(t, q.Exclude[u.ID], "seed %d: %s accepts requests, but none was picked", seed, u.ID)
		}
		return nil
	}
	assert.Assert(t, !q.Exclude[c.Upstream.ID] && !c.Upstream.Leaving, "seed %d: %s is excluded or leaving", seed, c.Upstream.ID)
	assert.Equal(t, p.roster.Get(c.Upstream.ID), c.Upstream, "seed %d: upstream is not in the roster", seed)
	return []Choice{c}
}

func checkCounts(t *testing.T, p *Placer, seed uint64) {
	for k, s := range p.states {
		assert.Assert(t, s.local.Running >= 0 && s.local.Backlog >= 0, "seed %d: %v: %+v", seed, k, s.local)
		assert.Assert(t, s.cache.tokens >= 0 && s.failureRate(time.Hour) >= 0 && s.failureRate(2*time.Hour) <= 1, "seed %d: %v", seed, k)
	}
}

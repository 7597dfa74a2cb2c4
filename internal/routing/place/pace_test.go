package place

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLatencyModelConverges replays engines that differ from the assumed ones in both rate
// and base, with queues of which nothing is known.
func TestLatencyModelConverges(t *testing.T) {
	for _, tt := range []struct{ base, rate float64 }{{15, 64}, {40, 120}, {5, 400}, {120, 20}} {
		rnd := rand.New(rand.NewPCG(1, 2))
		p := newLatencyModel()
		for range 1000 {
			tokens := 200 + rnd.ExpFloat64()*3000
			p.observe(tokens, tt.base+tokens/tt.rate+rnd.ExpFloat64()*10)
		}
		assert.Assert(t, math.Abs(p.msPerToken()*tt.rate-1) < 0.1, "%v: %v tokens a ms", tt, 1/p.msPerToken())
		assert.Assert(t, math.Abs(p.baseMS()-tt.base-10) < 10, "%v: base %v", tt, p.baseMS())
	}
}

// TestLatencyModelStaysBounded replays prompts of equal size, of which no
// line can be learnt, and times that make no sense.
func TestLatencyModelStaysBounded(t *testing.T) {
	p := newLatencyModel()
	for range 100000 {
		p.observe(1000, 1e6)
	}
	assert.Assert(t, p.msPerToken() <= modelBound/defaultPrefillRate && p.msPerToken() > 0)
	assert.Assert(t, p.baseMS() <= defaultFirstEventMS*modelBound && p.baseMS() > 0)
}

// TestPrefillFactorFollowsEngines lets a placer learn through its requests.
func TestPrefillFactorFollowsEngines(t *testing.T) {
	p, _ := newPlacer(4)
	now := time.Hour
	assert.Assert(t, math.Abs(p.PrefillFactor(testService)-1) < 0.01)
	rnd := rand.New(rand.NewPCG(3, 4))
	for i := range 1000 {
		now += 100 * time.Millisecond
		q := Query{Service: testService, Prompt: []Segment{{uint64(i), 1000 + rnd.IntN(8000)}}}
		c := pick(t, p, q, now)
		finish(p, c, time.Duration(float64(time.Millisecond)*(10+float64(c.Prefill)/128)), now)
	}
	assert.Assert(t, math.Abs(p.PrefillFactor(testService)-0.5) < 0.1, "%v", p.PrefillFactor(testService))
}

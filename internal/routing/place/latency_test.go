package place

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLatencyModelConverges fits engines with other prefill rates and base times than the
// defaults, with random queueing delays.
func TestLatencyModelConverges(t *testing.T) {
	for _, tt := range []struct{ base, rate float64 }{{15, 64}, {40, 120}, {5, 400}, {120, 20}} {
		rnd := rand.New(rand.NewPCG(1, 2))
		m := newLatencyModel()
		for range 1000 {
			tokens := 200 + rnd.ExpFloat64()*3000
			m.observe(tokens, tt.base+tokens/tt.rate+rnd.ExpFloat64()*10)
		}
		assert.Assert(t, math.Abs(m.msPerToken()*tt.rate-1) < 0.1, "%v: %v tokens per ms", tt, 1/m.msPerToken())
		assert.Assert(t, math.Abs(m.baseMS()-tt.base-10) < 10, "%v: base %v", tt, m.baseMS())
	}
}

// TestLatencyModelStaysBounded feeds prompts of equal length, which determine no slope, and
// times to the first event of 1,000 s.
func TestLatencyModelStaysBounded(t *testing.T) {
	m := newLatencyModel()
	for range 100000 {
		m.observe(1000, 1e6)
	}
	assert.Assert(t, m.msPerToken() <= maxModelFactor/defaultPrefillRate && m.msPerToken() > 0)
	assert.Assert(t, m.baseMS() <= defaultFirstEventMS*maxModelFactor && m.baseMS() > 0)
}

// TestPrefillFactorFollowsEngines measures engines at twice the default prefill rate.
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

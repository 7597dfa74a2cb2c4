package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRandomDrains checks random drains, arrivals and deadlines: a request is refused for a
// drain exactly if it arrived after RefuseAfter and its deadline is after the end, and
// never without a drain.
func TestRandomDrains(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 6))
	for range 20000 {
		p := New(Config{})
		start := time.Unix(1_700_000_000, 0)
		arrived := start.Add(time.Duration(rnd.IntN(9000)) * time.Millisecond)
		deadline := arrived.Add(time.Duration(rnd.IntN(15000)) * time.Millisecond)
		assert.Assert(t, !p.outlastsDrain(arrived, deadline))
		d := Drain{RefuseAfter: start.Add(time.Duration(rnd.IntN(3000)) * time.Millisecond)}
		d.End = d.RefuseAfter.Add(time.Duration(rnd.IntN(8000)) * time.Millisecond)
		p.SetDrain(d)
		switch late := p.outlastsDrain(arrived, deadline); {
		case !arrived.After(d.RefuseAfter):
			assert.Assert(t, !late)
		case !late:
			assert.Assert(t, !deadline.After(d.End))
		default:
			assert.Assert(t, deadline.After(d.End))
		}
	}
}

package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryBudgetAcrossDaemons draws loads on daemons that never ask each other, with
// every request repeated where allowed, and checks every window of the platform.
func TestRetryBudgetAcrossDaemons(t *testing.T) {
	limit := RetryLimit{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}
	for seed := range uint64(10) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		const daemons = 6
		var list []*RetryBudget
		for range daemons {
			b := NewRetryBudget(limit)
			b.SetShare(1.0 / daemons)
			list = append(list, b)
		}
		const step = 100 * time.Millisecond
		var requests, repeats []int
		for now := time.Hour; now < time.Hour+60*time.Second; now += step {
			asked, again := 0, 0
			burst := 1 + rnd.IntN(4)
			for i, b := range list {
				for range rnd.IntN(burst * (i + 1)) {
					b.CountRequest("s", now)
					asked++
					if b.AllowRetry("s", now) {
						again++
					}
				}
			}
			requests, repeats = append(requests, asked), append(repeats, again)
		}
		const window = int(10 * time.Second / step)
		for end := window; end <= len(requests); end++ {
			asked, again := 0, 0
			for i := end - window; i < end; i++ {
				asked += requests[i]
				again += repeats[i]
			}
			assert.Assert(t, float64(again) <= limit.Ratio*float64(asked)+limit.Extra, "seed %d: %d repeats of %d", seed, again, asked)
		}
	}
}

func TestRetryBudgetAllowsRetries(t *testing.T) {
	b := NewRetryBudget(RetryLimit{Ratio: 0.2, Extra: 52, Window: 10 * time.Second})
	b.SetShare(1.0 / 6)
	now := time.Hour
	n := 0
	for range 100 {
		b.CountRequest("s", now)
		if b.AllowRetry("s", now) {
			n++
		}
	}
	assert.Assert(t, n >= 14, "%d", n)
	assert.Assert(t, !b.Available("s", now))
	assert.Assert(t, b.Available("s", now+20*time.Second), "the extra is there again")
}

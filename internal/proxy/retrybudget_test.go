package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryBudgetAcrossDaemons checks that daemons that do not communicate stay within the
// platform's limit together, in every window of random loads, when every request is
// retried if its daemon's budget allows it.
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
		var requests, retries []int
		for now := time.Hour; now < time.Hour+60*time.Second; now += step {
			requested, retried := 0, 0
			burst := 1 + rnd.IntN(4)
			for i, b := range list {
				for range rnd.IntN(burst * (i + 1)) {
					b.CountRequest("s", now)
					requested++
					if b.AllowRetry("s", now) {
						retried++
					}
				}
			}
			requests, retries = append(requests, requested), append(retries, retried)
		}
		const window = int(10 * time.Second / step)
		for end := window; end <= len(requests); end++ {
			requested, retried := 0, 0
			for i := end - window; i < end; i++ {
				requested += requests[i]
				retried += retries[i]
			}
			assert.Assert(t, float64(retried) <= limit.Ratio*float64(requested)+limit.Extra, "seed %d: %d retries of %d requests", seed, retried, requested)
		}
	}
}

// TestRetryBudgetAllowsRetries checks that a daemon's share of the budget can be used, and
// is available again after the window.
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
	assert.Assert(t, n >= 14, "%d retries allowed", n)
	assert.Assert(t, !b.Available("s", now))
	assert.Assert(t, b.Available("s", now+20*time.Second), "no retry available after the window")
}

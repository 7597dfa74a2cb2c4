package serve

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff spaces repetitions, twice as far each time up to a bound, with
// jitter.
type backoff struct {
	delay time.Duration
	max   time.Duration
}

func newBackoff(first time.Duration) *backoff { return &backoff{delay: first, max: maxBackoff} }

// wait waits for the next repetition and reports whether ctx still lives.
func (b *backoff) wait(ctx context.Context) bool {
	d := b.delay
	b.delay = min(2*b.delay, b.max)
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

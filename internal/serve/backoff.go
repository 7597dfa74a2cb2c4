package serve

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff computes the delays between retries: exponential up to max, with jitter.
type backoff struct {
	delay time.Duration
	max   time.Duration
}

func newBackoff(first time.Duration) *backoff { return &backoff{delay: first, max: maxBackoff} }

// wait sleeps until the next retry is due. It returns false if ctx ends before.
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

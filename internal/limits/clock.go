package limits

import "time"

// clock counts the time that has passed. A step back of the clock that it is
// given counts as no time, a step forward as time passed.
type clock struct {
	last    time.Time
	elapsed time.Duration
}

// advance returns the time passed since the first call.
func (c *clock) advance(now time.Time) time.Duration {
	if !c.last.IsZero() {
		c.elapsed += max(now.Sub(c.last), 0)
	}
	c.last = now
	return c.elapsed
}

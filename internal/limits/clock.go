package limits

import "time"

// clock turns wall-clock times into elapsed time that never decreases. A backward
// step of the wall clock counts as no time, a forward step as elapsed time.
type clock struct {
	last    time.Time     // wall-clock time of the last call of advance
	elapsed time.Duration // since the first call of advance
}

// advance returns the time elapsed since the first call.
func (c *clock) advance(now time.Time) time.Duration {
	if !c.last.IsZero() {
		c.elapsed += max(now.Sub(c.last), 0)
	}
	c.last = now
	return c.elapsed
}

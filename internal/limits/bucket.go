package limits

import "time"

// burstDuration is how long a bucket takes to fill at its rate.
const burstDuration = time.Second

// bucket is a token bucket whose rate may change. Its level may become negative:
// a request larger than the bucket is admitted when the bucket is full, and the
// debt is refilled afterwards.
type bucket struct {
	rate        float64 // tokens per second
	level       float64 // tokens available at updatedAt
	updatedAt   time.Duration
	initialized bool // setRate was called; the bucket starts full at its first rate
}

// capacity returns the maximum level. It is at least 1, so that one request always
// fits.
func (b *bucket) capacity() float64 { return max(b.rate*burstDuration.Seconds(), 1) }

// advance refills the bucket for the time up to now at its current rate.
func (b *bucket) advance(now time.Duration) {
	b.level = min(b.level+b.rate*(now-b.updatedAt).Seconds(), b.capacity())
	b.updatedAt = now
}

// setRate changes the rate as of now.
func (b *bucket) setRate(now time.Duration, rate float64) {
	b.advance(now)
	b.rate = rate
	if !b.initialized {
		b.initialized = true
		b.level = b.capacity()
	}
	b.level = min(b.level, b.capacity())
}

// wait returns the time until cost may be taken, or 0 if it may be taken now.
func (b *bucket) wait(cost float64) time.Duration {
	missing := min(cost, b.capacity()) - b.level
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return never
	}
	return min(time.Duration(missing/b.rate*float64(time.Second))+1, never)
}

func (b *bucket) take(cost float64) { b.level -= cost }

// refund puts back tokens that were taken but not used.
func (b *bucket) refund(cost float64) { b.level = min(b.level+cost, b.capacity()) }

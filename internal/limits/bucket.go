package limits

import "time"

// burstDuration is how long a bucket fills at its rate before it is full.
const burstDuration = time.Second

// bucket is a token bucket whose rate may change. It may fall below zero: a
// request larger than the bucket is let through when the bucket is full and
// paid off afterwards.
type bucket struct {
	rate        float64 // a second
	level       float64
	updatedAt   time.Duration
	initialized bool // has had a rate, with which it starts full
}

// capacity is the highest level; one request always fits.
func (b *bucket) capacity() float64 { return max(b.rate*burstDuration.Seconds(), 1) }

// advance fills the bucket up to now at its present rate.
func (b *bucket) advance(now time.Duration) {
	b.level = min(b.level+b.rate*(now-b.updatedAt).Seconds(), b.capacity())
	b.updatedAt = now
}

// setRate changes the rate from now on.
func (b *bucket) setRate(now time.Duration, rate float64) {
	b.advance(now)
	b.rate = rate
	if !b.initialized {
		b.initialized = true
		b.level = b.capacity()
	}
	b.level = min(b.level, b.capacity())
}

// wait returns the time until cost may be taken, 0 for at once.
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

// refund returns what was taken too much.
func (b *bucket) refund(cost float64) { b.level = min(b.level+cost, b.capacity()) }

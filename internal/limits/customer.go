package limits

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	demandWindow = 2 * time.Second
	maxDemand    = 10.0 // of a customer's limits, in reports
	maxQueued    = 512  // requests of one customer in one service and class
)

// customer is the state of one customer at this daemon, in all services.
type customer struct {
	name          string
	weight        float64
	limits        manifest.Customer
	requestBucket bucket
	tokenBucket   bucket
	running       int
	queued        int
	maxRunning    int // concurrency allowed here now

	offeredRequests decayingRate
	offeredTokens   decayingRate
	peakRequests    int // most requests running or queued since the last report
	stats           map[manifest.Class]*Stats
}

// decayingRate is a rate that decays over demandWindow.
type decayingRate struct {
	value     float64
	updatedAt time.Duration
}

func (a *decayingRate) decay(now time.Duration) {
	passed := float64(now-a.updatedAt) / float64(demandWindow)
	a.value /= 1 + passed
	a.updatedAt = now
}

func (a *decayingRate) add(now time.Duration, x float64) {
	a.decay(now)
	a.value += x / demandWindow.Seconds()
}

// recordArrival notes that an item has arrived, whatever becomes of it.
func (c *customer) recordArrival(now time.Duration, r *Request) {
	c.offeredRequests.add(now, 1)
	c.offeredTokens.add(now, float64(r.Tokens))
	c.peakRequests = max(c.peakRequests, c.running+c.queued+1)
}

// demand returns the part of the customer's limits that the demand here amounts
// to.
func (c *customer) demand(now time.Duration) float64 {
	c.offeredRequests.decay(now)
	c.offeredTokens.decay(now)
	demand := max(
		c.offeredRequests.value/c.limits.Requests,
		c.offeredTokens.value/c.limits.Tokens,
		float64(c.peakRequests)/float64(c.limits.Concurrency),
	)
	c.peakRequests = c.running + c.queued
	return min(demand, maxDemand)
}

// setShare puts the customer's part of its limits in force.
func (c *customer) setShare(now time.Duration, fraction float64, maxRunning int) {
	c.requestBucket.setRate(now, c.limits.Requests*fraction)
	c.tokenBucket.setRate(now, c.limits.Tokens*fraction)
	c.maxRunning = maxRunning
}

// wait returns how long the customer's own limits hold back an item after the
// given items before it, 0 for not at all.
func (c *customer) wait(now time.Duration, r *Request, queuedBefore int) time.Duration {
	c.requestBucket.advance(now)
	c.tokenBucket.advance(now)
	wait := max(c.requestBucket.wait(1), c.tokenBucket.wait(float64(r.Tokens)))
	if queuedBefore > 0 && c.requestBucket.rate > 0 {
		wait += time.Duration(float64(queuedBefore) / c.requestBucket.rate * float64(time.Second))
	}
	return min(wait, never)
}

// allows tells whether an item may start now.
func (c *customer) allows(now time.Duration, r *Request) bool {
	return c.running < c.maxRunning && c.wait(now, r, 0) == 0
}

func (c *customer) start(r *Request) {
	c.running++
	c.requestBucket.take(1)
	c.tokenBucket.take(float64(r.Tokens))
}

// finish returns what the item was charged for tokens that it did not use.
func (c *customer) finish(now time.Duration, r *Request, used int) {
	c.running--
	c.tokenBucket.advance(now)
	c.tokenBucket.refund(float64(max(r.Tokens-used, 0)))
}

func (c *customer) statsFor(class manifest.Class) *Stats {
	s := c.stats[class]
	if s == nil {
		s = &Stats{Rejected: make(map[Reason]int64)}
		c.stats[class] = s
	}
	return s
}

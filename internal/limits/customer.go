package limits

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	demandWindow = 2 * time.Second
	maxDemand    = 10.0 // highest demand in a report, as a multiple of the customer's limits
	maxQueued    = 512  // requests of one customer at this daemon, in all services and classes
)

// customer is the state of a customer at this daemon, over all services.
type customer struct {
	name          string
	weight        float64
	limits        manifest.Customer
	requestBucket bucket
	tokenBucket   bucket
	running       int
	queued        int
	maxRunning    int // current share of the customer's concurrency limit

	offeredRequests decayingRate
	offeredTokens   decayingRate
	peakRequests    int // maximum of running and queued requests together since the last report
	stats           map[manifest.Class]*Stats
}

// decayingRate is a rate per second, averaged over about demandWindow.
type decayingRate struct {
	value     float64
	updatedAt time.Duration
}

func (d *decayingRate) decay(now time.Duration) {
	passed := float64(now-d.updatedAt) / float64(demandWindow)
	d.value /= 1 + passed
	d.updatedAt = now
}

func (d *decayingRate) add(now time.Duration, x float64) {
	d.decay(now)
	d.value += x / demandWindow.Seconds()
}

// recordArrival counts a submitted request as demand, whether it is admitted or
// not.
func (c *customer) recordArrival(now time.Duration, r *Request) {
	c.offeredRequests.add(now, 1)
	c.offeredTokens.add(now, float64(r.Tokens))
	c.peakRequests = max(c.peakRequests, c.running+c.queued+1)
}

// demand returns the customer's demand at this daemon as a fraction of its limits,
// at most maxDemand. It is the highest of the fractions of the three limits.
func (c *customer) demand(now time.Duration) float64 {
	c.offeredRequests.decay(now)
	c.offeredTokens.decay(now)
	demand := max(
		c.offeredRequests.value/c.limits.RequestsPerSecond,
		c.offeredTokens.value/c.limits.TokensPerSecond,
		float64(c.peakRequests)/float64(c.limits.Concurrency),
	)
	c.peakRequests = c.running + c.queued
	return min(demand, maxDemand)
}

// setShare sets this daemon's share of the customer's limits: a fraction of its
// rates, and a number of concurrent requests.
func (c *customer) setShare(now time.Duration, fraction float64, maxRunning int) {
	c.requestBucket.setRate(now, c.limits.RequestsPerSecond*fraction)
	c.tokenBucket.setRate(now, c.limits.TokensPerSecond*fraction)
	c.maxRunning = maxRunning
}

// wait returns how long the customer's rate limits delay a request that has
// queuedBefore others before it, or 0 if they don't.
func (c *customer) wait(now time.Duration, r *Request, queuedBefore int) time.Duration {
	c.requestBucket.advance(now)
	c.tokenBucket.advance(now)
	wait := max(c.requestBucket.wait(1), c.tokenBucket.wait(float64(r.Tokens)))
	if queuedBefore > 0 && c.requestBucket.rate > 0 {
		wait += time.Duration(float64(queuedBefore) / c.requestBucket.rate * float64(time.Second))
	}
	return min(wait, never)
}

// allows reports whether the customer's limits allow the request to start now.
func (c *customer) allows(now time.Duration, r *Request) bool {
	return c.running < c.maxRunning && c.wait(now, r, 0) == 0
}

func (c *customer) start(r *Request) {
	c.running++
	c.requestBucket.take(1)
	c.tokenBucket.take(float64(r.Tokens))
}

// finish ends a running request and refunds the tokens that it did not use.
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

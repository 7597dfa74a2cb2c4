package limits

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	demandWindow    = 2 * time.Second
	maxNeed         = 10.0 // of a customer's limits, in reports
	maxQueuedPerKey = 512  // requests of one customer in one service and class
)

// customer is the state of one customer at this daemon, in all services.
type customer struct {
	name     string
	weight   float64
	limits   manifest.Customer
	requests bucket
	tokens   bucket
	running  int
	queued   int
	units    int // concurrency allowed here now

	offeredRequests average
	offeredTokens   average
	peak            int // most requests running or queued since the last report
	stats           map[manifest.Class]*Stats
}

// average is a rate that decays over demandWindow.
type average struct {
	value float64
	at    time.Duration
}

func (a *average) decay(now time.Duration) {
	passed := float64(now-a.at) / float64(demandWindow)
	a.value /= 1 + passed
	a.at = now
}

func (a *average) add(now time.Duration, x float64) {
	a.decay(now)
	a.value += x / demandWindow.Seconds()
}

// offer notes that an item has arrived, whatever becomes of it.
func (c *customer) offer(now time.Duration, it *Item) {
	c.offeredRequests.add(now, 1)
	c.offeredTokens.add(now, float64(it.Tokens))
	c.peak = max(c.peak, c.running+c.queued+1)
}

// need returns the part of the customer's limits that the demand here amounts
// to.
func (c *customer) need(now time.Duration) float64 {
	c.offeredRequests.decay(now)
	c.offeredTokens.decay(now)
	need := max(
		c.offeredRequests.value/c.limits.RequestsPerSecond,
		c.offeredTokens.value/c.limits.TokensPerSecond,
		float64(c.peak)/float64(c.limits.Concurrency),
	)
	c.peak = c.running + c.queued
	return min(need, maxNeed)
}

// setShare puts the customer's part of its limits in force.
func (c *customer) setShare(now time.Duration, fraction float64, units int) {
	c.requests.setRate(now, c.limits.RequestsPerSecond*fraction)
	c.tokens.setRate(now, c.limits.TokensPerSecond*fraction)
	c.units = units
}

// wait returns how long the customer's own limits hold back an item after the
// given items before it, 0 for not at all.
func (c *customer) wait(now time.Duration, it *Item, before int) time.Duration {
	c.requests.advance(now)
	c.tokens.advance(now)
	wait := max(c.requests.wait(1), c.tokens.wait(float64(it.Tokens)))
	if before > 0 && c.requests.rate > 0 {
		wait += time.Duration(float64(before) / c.requests.rate * float64(time.Second))
	}
	return min(wait, never)
}

// allows tells whether an item may start now.
func (c *customer) allows(now time.Duration, it *Item) bool {
	return c.running < c.units && c.wait(now, it, 0) == 0
}

func (c *customer) startItem(it *Item) {
	c.running++
	c.requests.take(1)
	c.tokens.take(float64(it.Tokens))
}

// endItem returns what the item was charged for tokens that it did not use.
func (c *customer) endItem(now time.Duration, it *Item, used int) {
	c.running--
	c.tokens.advance(now)
	c.tokens.refund(float64(max(it.Tokens-used, 0)))
}

func (c *customer) stat(class manifest.Class) *Stats {
	s := c.stats[class]
	if s == nil {
		s = &Stats{Refused: make(map[Reason]int64)}
		c.stats[class] = s
	}
	return s
}

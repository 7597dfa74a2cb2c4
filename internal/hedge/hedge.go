// Package hedge decides when a request that an upstream has not answered yet is sent to a
// second upstream beside the first, a hedge.
//
// A hedge is due after a delay, a high quantile of the recent latencies of the request's own
// route. Hedges are limited to shares of the requests and of the upstream time of the daemon
// itself: the sum over all daemons then keeps to the same shares, without any message between
// them.
//
// The package does no I/O and reads no clock.
package hedge

import (
	"sync"
	"time"
)

// Limits are the shares that hedges may take. Hedging is off unless both are positive.
type Limits struct {
	RequestShare float64 // hedges divided by requests
	TimeShare    float64 // upstream time lost to hedges divided by that of all attempts
}

// Enabled reports whether the limits allow any hedge.
func (l Limits) Enabled() bool { return l.RequestShare > 0 && l.TimeShare > 0 }

// Reason tells why no hedge was sent for a request whose delay passed.
type Reason int

// Reasons. Send means that the hedge is to be sent.
const (
	Send         Reason = iota
	Overloaded          // the service recently refused, or nearly refused, a request
	Suspected           // there is evidence that the request ends upstreams
	RequestLimit        // the share of requests is used up
	TimeLimit           // the share of upstream time is used up
	NoUpstream          // no other upstream accepts the request
	Slower              // another upstream would need longer than the first one still needs
	NoRetry             // the retry budget allows no further send
	NoConn              // no connection, or the upstream stopped accepting requests
	Throttled           // the upstream names a rate that allows no request now
	Answered            // the first upstream answered while the hedge was prepared
	Failed              // the first attempt ended without an answer while the hedge was prepared
	ReasonCount
)

// String returns the name that logs and metrics use.
func (r Reason) String() string {
	return [...]string{"sent", "overloaded", "suspected", "request_limit", "time_limit", "no_upstream", "slower", "no_retry", "no_conn",
		"throttled", "answered", "failed"}[r]
}

// Question describes a request whose delay has passed without an answer.
type Question struct {
	Service   string
	Suspected bool          // there is evidence against the request or a segment of its prompt
	Reserve   time.Duration // upstream time that the hedge is expected to cost
}

// Controller holds what one daemon knows for its decisions. It is safe for concurrent use;
// now is boot time. A nil Controller never hedges.
type Controller struct {
	mu       sync.Mutex
	credit   credit
	routes   map[string]*latencies    // by route
	pressure map[string]time.Duration // when the overload of a service is over, by service
}

// NewController returns a Controller, nil if the limits allow no hedge.
func NewController(l Limits) *Controller {
	if !l.Enabled() {
		return nil
	}
	return &Controller{credit: credit{limits: l}, routes: make(map[string]*latencies), pressure: make(map[string]time.Duration)}
}

// Decide returns whether to send a hedge now. After Send the hedge is counted, and Settle
// must be called once it has ended.
func (c *Controller) Decide(q Question, now time.Duration) Reason {
	if c == nil {
		return RequestLimit
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case q.Suspected:
		return Suspected
	case now < c.pressure[q.Service]:
		return Overloaded
	}
	return c.credit.take(q.Reserve)
}

// Settle replaces the reserved upstream time of a hedge by the time that it cost. A hedge that
// was not sent is uncounted.
func (c *Controller) Settle(reserved, cost time.Duration, sent bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.credit.settle(reserved, cost, sent)
}

// CountRequest counts a request that is sent to upstreams.
func (c *Controller) CountRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.credit.addRequest()
}

// CountTime adds the upstream time of an attempt.
func (c *Controller) CountTime(took time.Duration) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.credit.addTime(took)
}

const (
	// pressureTime is how long no hedges are sent to a service after it refused, or nearly
	// refused, a request. Queues of overloaded upstreams drain in one to two seconds.
	pressureTime = 2 * time.Second
	// nearFraction is the fraction of the longest accepted wait above which a request counts
	// as nearly refused.
	nearFraction = 0.5
)

// NoteWait records for how long a request to a service will wait, and the longest wait that
// is accepted, 0 for no limit.
func (c *Controller) NoteWait(service string, wait, limit, now time.Duration) {
	if c == nil || limit <= 0 || float64(wait) <= nearFraction*float64(limit) {
		return
	}
	c.NoteRefusal(service, now)
}

// NoteRefusal records that the service, or one of its upstreams, refused a request.
func (c *Controller) NoteRefusal(service string, now time.Duration) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pressure[service] = now + pressureTime
}

// Observe records how long the first attempt at a request of a route took to answer, or how
// long it had not answered when it was given up for its hedge.
func (c *Controller) Observe(route string, took, now time.Duration) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.routes[route]
	if l == nil {
		if len(c.routes) >= maxRoutes {
			return
		}
		l = newLatencies(c.quantile(), now)
		c.routes[route] = l
	}
	l.observe(took, now)
}

// Delay returns how long after its send a request of a route is hedged whose responses are due
// within target, 0 for none. ok is false while too little is known of the route.
func (c *Controller) Delay(route string, target time.Duration) (d time.Duration, ok bool) {
	if c == nil {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.routes[route]
	if l == nil || l.delay == 0 {
		return 0, false
	}
	return max(l.delay, time.Duration(floorFraction*float64(target)), minFloor), true
}

// StillNeeded estimates the remaining time of an attempt: what is left of its estimate, but at
// least the time it has already taken. What is late at the delay is likely to be much later, and
// the limits bound what a wrong guess costs. With the median of the latencies above the delay, a
// replay of uneven upstreams sent no hedge at all.
func StillNeeded(expected, elapsed time.Duration) time.Duration {
	return max(expected-elapsed, elapsed)
}

// quantile returns the quantile of latencies at which hedges are due. The slowest RequestShare
// of requests use the limit up; a lower quantile would spend it on less slow ones.
func (c *Controller) quantile() float64 {
	return min(max(1-c.credit.limits.RequestShare, minQuantile), maxQuantile)
}

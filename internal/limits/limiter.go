package limits

import (
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	minRetryAfter    = 100 * time.Millisecond
	maxRetryAfter    = time.Minute
	targetDivisor    = 2                     // a request may queue for 1/targetDivisor of the first-token target
	pollInterval     = 20 * time.Millisecond // between ticks while requests are queued, since customers' limits refill with time
	retryUnavailable = time.Second           // retry-after without an estimate: no capacity, or other daemons hold the customer's whole concurrency limit
)

// Limiter admits, queues and rejects requests. It must be used by one goroutine.
type Limiter struct {
	clock     clock
	shares    *shares
	customers map[string]*customer
	services  map[string]*service
	decide    func(Decision)
}

// NewLimiter returns a limiter for the daemon self, without customers. seq, the
// first sequence number of its reports, must be random. The limiter passes each
// decision to decide, which must not call the limiter.
func NewLimiter(self Member, seq uint64, decide func(Decision)) *Limiter {
	return &Limiter{
		shares:    newShares(self, seq),
		customers: make(map[string]*customer),
		services:  make(map[string]*service),
		decide:    decide,
	}
}

// SetManifest applies a manifest. Queued and running requests are kept.
func (l *Limiter) SetManifest(at time.Time, m *manifest.Manifest) {
	now := l.clock.advance(at)
	l.removeCustomers(m)
	for i := range m.Customers {
		declared := &m.Customers[i]
		c := l.customers[declared.Name]
		if c == nil {
			c = &customer{name: declared.Name, stats: make(map[manifest.Class]*Stats)}
			l.customers[declared.Name] = c
		}
		c.limits, c.weight = *declared, declared.Weight
	}
	for i := range m.Services {
		declared := &m.Services[i]
		s := l.services[declared.Name]
		if s == nil {
			s = &service{name: declared.Name, msPerCost: initialMSPerCost}
			l.services[declared.Name] = s
		}
		s.firstTokenTarget = time.Duration(declared.Target.FirstTokenMS) * time.Millisecond
	}
	l.applyShares(now)
	l.startAllQueued(now)
}

// removeCustomers removes customers that are not in the manifest and have no
// queued or running requests.
func (l *Limiter) removeCustomers(m *manifest.Manifest) {
	for name, c := range l.customers {
		declared := slices.ContainsFunc(m.Customers, func(d manifest.Customer) bool { return d.Name == name })
		if declared || c.running+c.queued > 0 {
			continue
		}
		delete(l.customers, name)
		for _, s := range l.services {
			s.removeFlows(c)
		}
	}
}

// SetMembers sets the daemons that share the limits, this one included.
func (l *Limiter) SetMembers(at time.Time, members []Member) {
	now := l.clock.advance(at)
	l.shares.setMembers(now, members)
	l.applyShares(now)
	l.startAllQueued(now)
}

// SetCapacity sets the request capacity of a service's upstreams.
func (l *Limiter) SetCapacity(at time.Time, c Capacity) {
	now := l.clock.advance(at)
	s := l.services[c.Service]
	if s == nil {
		return
	}
	s.capacityKnown, s.slots = true, c.Slots
	s.ceiling = s.running + int(float64(c.Free)*s.share+0.5)
	l.startQueued(now, s)
}

// Share returns this daemon's fraction of the cores of all daemons, which is its
// share of a service's slots and its base share of customers' limits.
func (l *Limiter) Share() float64 { return l.shares.baseShare(l.shares.self.Cores) }

// ReportInterval returns the time until the next Report is due.
func (l *Limiter) ReportInterval() time.Duration { return l.shares.interval() }

// Report returns the encoded demand report for all other daemons.
func (l *Limiter) Report(at time.Time) ([]byte, error) {
	now := l.clock.advance(at)
	demands := make(map[string]float64)
	for name, c := range l.customers {
		if demand := c.demand(now); demand >= minDemand/2 {
			demands[name] = demand
		}
	}
	data, err := l.shares.report(now, demands)
	l.applyShares(now)
	return data, err
}

// MergeReport applies a demand report of another daemon. It returns an error if
// data cannot be decoded.
func (l *Limiter) MergeReport(at time.Time, data []byte) error {
	now := l.clock.advance(at)
	err := l.shares.mergeReport(now, data)
	l.applyShares(now)
	l.startAllQueued(now)
	return err
}

func (l *Limiter) applyShares(now time.Duration) {
	for name, c := range l.customers {
		c.setShare(now, l.shares.fraction(now, name), l.shares.wholeUnits(now, name, c.limits.Concurrency))
	}
	for _, s := range l.services {
		s.share = l.Share()
	}
}

// Submit admits, queues or rejects a new request.
func (l *Limiter) Submit(at time.Time, r *Request) {
	now := l.clock.advance(at)
	r.customer, r.service = l.customers[r.Customer], l.services[r.Service]
	if r.customer == nil || r.service == nil {
		l.reject(r, NoCapacity, retryUnavailable)
		return
	}
	l.startQueued(now, r.service)
	r.cost = float64(r.Tokens + requestBaseCost)
	r.customer.recordArrival(now, r)
	r.latestStart = l.latestStart(now, r.Deadline.Sub(at), r)
	if reason, retry := l.rejectReason(now, r); reason != "" {
		l.reject(r, reason, retry)
		return
	}
	r.service.enqueue(r)
	l.startQueued(now, r.service)
}

// latestStart returns until when a request may stay queued: until it can no longer
// finish by its deadline, or, for a service with a first-token target and a class
// other than Lot, until 1/targetDivisor of that target has passed.
func (l *Limiter) latestStart(now, timeout time.Duration, r *Request) time.Duration {
	s := r.service
	latest := now + timeout - min(s.estimateDuration(r)+slack, timeout/2)
	if s.firstTokenTarget > 0 && r.Class != manifest.Lot {
		latest = min(latest, now+s.firstTokenTarget/targetDivisor)
	}
	return latest
}

// rejectReason returns why a request cannot start in time and after what time a
// retry can, or an empty reason if it can be queued.
func (l *Limiter) rejectReason(now time.Duration, r *Request) (Reason, time.Duration) {
	c, s := r.customer, r.service
	maxWait := r.latestStart - now
	if s.capacityKnown && s.slots == 0 {
		return NoCapacity, retryUnavailable
	}
	if wait := s.estimateWait(r); wait > maxWait {
		return Overloaded, wait - maxWait + slack
	}
	if c.maxRunning == 0 {
		return OverLimit, retryUnavailable
	}
	if wait := c.wait(now, r, c.queued); wait > maxWait {
		return OverLimit, wait - maxWait + slack
	}
	if wait := c.concurrencyWait(s, r); wait > maxWait {
		return OverLimit, wait - maxWait + slack
	}
	if c.queued >= maxQueued {
		return QueueFull, s.estimateWait(r)
	}
	return "", 0
}

// concurrencyWait estimates how long the customer's concurrency limit delays one
// more request.
func (c *customer) concurrencyWait(s *service, r *Request) time.Duration {
	over := c.running + c.queued - c.maxRunning + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(s.estimateDuration(r)) * float64(over) / float64(max(c.maxRunning, 1)))
}

func (l *Limiter) reject(r *Request, reason Reason, retry time.Duration) {
	r.state = stateEnded
	if r.customer != nil {
		r.customer.statsFor(r.Class).Rejected[reason]++
	}
	l.decide(Decision{Request: r, Reason: reason, RetryAfter: min(max(retry, minRetryAfter), maxRetryAfter)})
}

// Cancel removes a queued request whose caller is gone. It has no effect on a
// running request, for which Done must be called.
func (l *Limiter) Cancel(at time.Time, r *Request) {
	now := l.clock.advance(at)
	if r.state == stateQueued {
		r.service.remove(r)
		r.state = stateEnded
		l.startQueued(now, r.service)
	}
}

// Done ends an admitted request that used the given number of tokens. measured
// reports whether its duration counts for the service's average.
func (l *Limiter) Done(at time.Time, r *Request, used int, measured bool) {
	now := l.clock.advance(at)
	if r.state != stateRunning {
		return
	}
	r.state = stateEnded
	r.customer.finish(now, r, used)
	r.service.finish(now, r, measured)
	l.startAllQueued(now)
}

// Tick rejects requests that were queued too long and starts those that may start
// now. It returns the time until it must be called again, or 0 if nothing is
// queued.
func (l *Limiter) Tick(at time.Time) time.Duration {
	now := l.clock.advance(at)
	l.applyShares(now)
	l.startAllQueued(now)
	wait := time.Duration(0)
	for _, s := range l.services {
		for i := range s.queues {
			if s.queues[i].hasQueued() {
				wait = pollInterval
			}
		}
	}
	return wait
}

func (l *Limiter) startAllQueued(now time.Duration) {
	for _, s := range l.services {
		l.startQueued(now, s)
	}
}

// startQueued rejects the service's expired requests and starts all that may start.
func (l *Limiter) startQueued(now time.Duration, s *service) {
	l.rejectExpired(now, s)
	for {
		r := s.next(now)
		if r == nil {
			return
		}
		s.remove(r)
		s.start(now, r)
		r.customer.start(r)
		r.customer.statsFor(r.Class).Admitted++
		l.decide(Decision{Request: r, Admitted: true})
	}
}

// rejectExpired rejects the queued requests whose latest start has passed.
func (l *Limiter) rejectExpired(now time.Duration, s *service) {
	for _, r := range s.expired(now) {
		s.remove(r)
		if c := r.customer; !c.allows(now, r) {
			l.reject(r, OverLimit, max(c.wait(now, r, c.queued), c.concurrencyWait(s, r)))
			continue
		}
		l.reject(r, Overloaded, s.estimateWait(r))
	}
}

// Stats returns the counts of decisions by customer and class.
func (l *Limiter) Stats() map[string]map[manifest.Class]Stats {
	all := make(map[string]map[manifest.Class]Stats, len(l.customers))
	for name, c := range l.customers {
		all[name] = make(map[manifest.Class]Stats, len(c.stats))
		for class, s := range c.stats {
			copied := Stats{Admitted: s.Admitted, Queued: c.queued, Rejected: make(map[Reason]int64, len(s.Rejected))}
			for reason, count := range s.Rejected {
				copied.Rejected[reason] = count
			}
			all[name][class] = copied
		}
	}
	return all
}

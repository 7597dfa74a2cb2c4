package limits

import (
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	retryMin     = 100 * time.Millisecond
	retryMax     = time.Minute
	startPart    = 2                     // of the first-token target, one part may pass in the queue
	pollInterval = 20 * time.Millisecond // between looks at a queue that waits for a customer's limits
	retryNoUnits = time.Second           // when other daemons hold the customer's whole concurrency
)

// Limiter admits, queues and refuses items. It belongs to one goroutine.
type Limiter struct {
	clock     clock
	shares    *shares
	customers map[string]*customer
	services  map[string]*service
	decide    func(Decision)
}

// NewLimiter returns a limiter of the daemon self that knows no customer. seq
// must be random. It passes every decision to decide, which must not call the
// limiter.
func NewLimiter(self Member, seq uint64, decide func(Decision)) *Limiter {
	return &Limiter{
		shares:    newShares(self, seq),
		customers: make(map[string]*customer),
		services:  make(map[string]*service),
		decide:    decide,
	}
}

// Update puts a manifest in force. Items in progress stay.
func (l *Limiter) Update(at time.Time, m *manifest.Manifest) {
	now := l.clock.advance(at)
	l.dropCustomers(m)
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
			s = &service{name: declared.Name, msByCost: firstCostMS}
			l.services[declared.Name] = s
		}
		s.target = time.Duration(declared.Target.FirstTokenMS) * time.Millisecond
	}
	l.applyShares(now)
	l.run(now)
}

// dropCustomers forgets idle customers that the manifest no longer names.
func (l *Limiter) dropCustomers(m *manifest.Manifest) {
	for name, c := range l.customers {
		named := slices.ContainsFunc(m.Customers, func(d manifest.Customer) bool { return d.Name == name })
		if named || c.running+c.queued > 0 {
			continue
		}
		delete(l.customers, name)
		for _, s := range l.services {
			s.dropFlows(c)
		}
	}
}

// SetMembers tells the daemons that share the limits, this one included.
func (l *Limiter) SetMembers(at time.Time, members []Member) {
	now := l.clock.advance(at)
	l.shares.setMembers(now, members)
	l.applyShares(now)
	l.run(now)
}

// SetCapacity tells what the upstreams of a service can take.
func (l *Limiter) SetCapacity(at time.Time, c Capacity) {
	now := l.clock.advance(at)
	s := l.services[c.Service]
	if s == nil {
		return
	}
	s.known, s.slots = true, c.Slots
	s.ceiling = s.running + int(float64(c.Free)*s.share+0.5)
	l.runService(now, s)
}

// Share returns this daemon's part of all requests by its size.
func (l *Limiter) Share() float64 { return l.shares.base(l.shares.self.Cores) }

// ReportInterval returns the time until the next Report is due.
func (l *Limiter) ReportInterval() time.Duration { return l.shares.interval() }

// Report returns the message for all other daemons.
func (l *Limiter) Report(at time.Time) ([]byte, error) {
	now := l.clock.advance(at)
	needs := make(map[string]float64)
	for name, c := range l.customers {
		if need := c.need(now); need >= minNeed/2 {
			needs[name] = need
		}
	}
	data, err := l.shares.report(now, needs)
	l.applyShares(now)
	return data, err
}

// Observe takes in a report of another daemon.
func (l *Limiter) Observe(at time.Time, data []byte) error {
	now := l.clock.advance(at)
	err := l.shares.observe(now, data)
	l.applyShares(now)
	l.run(now)
	return err
}

func (l *Limiter) applyShares(now time.Duration) {
	for name, c := range l.customers {
		c.setShare(now, l.shares.fraction(now, name), l.shares.units(now, name, c.limits.Concurrency))
	}
	for _, s := range l.services {
		s.share = l.Share()
	}
}

// Arrive admits, queues or refuses a new item.
func (l *Limiter) Arrive(at time.Time, it *Item) {
	now := l.clock.advance(at)
	it.customer, it.service = l.customers[it.Customer], l.services[it.Service]
	if it.customer == nil || it.service == nil {
		l.refuse(it, NoCapacity, retryNoUnits)
		return
	}
	l.runService(now, it.service)
	it.cost = float64(it.Tokens + costPerRequest)
	it.customer.offer(now, it)
	it.latest = l.latestStart(now, it.Deadline.Sub(at), it)
	if reason, retry := l.judge(now, it); reason != "" {
		l.refuse(it, reason, retry)
		return
	}
	it.service.push(it)
	l.runService(now, it.service)
}

// latestStart returns when starting the item becomes useless: when it can no
// longer end by its deadline, or, for a service with a target of the first
// token and unless it is a lot, when too little of the target is left.
func (l *Limiter) latestStart(now, patience time.Duration, it *Item) time.Duration {
	s := it.service
	latest := now + patience - min(s.duration(it)+slack, patience/2)
	if s.target > 0 && it.Class != manifest.Lot {
		latest = min(latest, now+s.target/startPart)
	}
	return latest
}

// judge returns why an item cannot start in time and when a retry can.
func (l *Limiter) judge(now time.Duration, it *Item) (Reason, time.Duration) {
	c, s := it.customer, it.service
	patience := it.latest - now
	if s.known && s.slots == 0 {
		return NoCapacity, retryNoUnits
	}
	if wait := s.wait(it); wait > patience {
		return Overloaded, wait - patience + slack
	}
	if c.units == 0 {
		return OverLimit, retryNoUnits
	}
	if wait := c.wait(now, it, c.queued); wait > patience {
		return OverLimit, wait - patience + slack
	}
	if wait := c.concurrencyWait(s, it); wait > patience {
		return OverLimit, wait - patience + slack
	}
	if c.queued >= maxQueuedPerKey {
		return QueueFull, s.wait(it)
	}
	return "", 0
}

// concurrencyWait estimates how long the customer's own running requests hold
// back one more.
func (c *customer) concurrencyWait(s *service, it *Item) time.Duration {
	over := c.running + c.queued - c.units + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(s.duration(it)) * float64(over) / float64(max(c.units, 1)))
}

func (l *Limiter) refuse(it *Item, reason Reason, retry time.Duration) {
	it.state = itemEnded
	if it.customer != nil {
		it.customer.stat(it.Class).Refused[reason]++
	}
	l.decide(Decision{Item: it, Reason: reason, RetryAfter: min(max(retry, retryMin), retryMax)})
}

// Cancel takes back an item whose caller is gone. An item that runs already
// must be ended by Done.
func (l *Limiter) Cancel(at time.Time, it *Item) {
	now := l.clock.advance(at)
	if it.state == itemQueued {
		it.service.remove(it)
		it.state = itemEnded
		l.runService(now, it.service)
	}
}

// Done ends an admitted item that used the given tokens. served tells whether
// its duration says something about the service.
func (l *Limiter) Done(at time.Time, it *Item, used int, served bool) {
	now := l.clock.advance(at)
	if it.state != itemRunning {
		return
	}
	it.state = itemEnded
	it.customer.endItem(now, it, used)
	it.service.end(now, it, served)
	l.run(now)
}

// Tick refuses what has waited too long and starts what may start now. It
// returns when it must be called next at the latest; 0 for no need.
func (l *Limiter) Tick(at time.Time) time.Duration {
	now := l.clock.advance(at)
	l.applyShares(now)
	l.run(now)
	wait := time.Duration(0)
	for _, s := range l.services {
		for r := range s.levels {
			if s.levels[r].waiting() {
				wait = pollInterval
			}
		}
	}
	return wait
}

func (l *Limiter) run(now time.Duration) {
	for _, s := range l.services {
		l.runService(now, s)
	}
}

// runService refuses the items that are too late and starts all that may.
func (l *Limiter) runService(now time.Duration, s *service) {
	l.expire(now, s)
	for {
		it := s.next(now)
		if it == nil {
			return
		}
		s.remove(it)
		s.begin(now, it)
		it.customer.startItem(it)
		it.customer.stat(it.Class).Admitted++
		l.decide(Decision{Item: it, Admitted: true})
	}
}

// expire refuses the queued items whose latest start has passed.
func (l *Limiter) expire(now time.Duration, s *service) {
	for _, it := range s.late(now) {
		s.remove(it)
		if c := it.customer; !c.allows(now, it) {
			l.refuse(it, OverLimit, max(c.wait(now, it, c.queued), c.concurrencyWait(s, it)))
			continue
		}
		l.refuse(it, Overloaded, s.wait(it))
	}
}

// Stats returns the decisions by customer and class.
func (l *Limiter) Stats() map[string]map[manifest.Class]Stats {
	all := make(map[string]map[manifest.Class]Stats, len(l.customers))
	for name, c := range l.customers {
		all[name] = make(map[manifest.Class]Stats, len(c.stats))
		for class, s := range c.stats {
			copied := Stats{Admitted: s.Admitted, Queued: c.queued, Refused: make(map[Reason]int64, len(s.Refused))}
			for reason, n := range s.Refused {
				copied.Refused[reason] = n
			}
			all[name][class] = copied
		}
	}
	return all
}

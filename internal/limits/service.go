package limits

import (
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	classCount        = 3
	maxSkipped        = 16 // starts of higher classes before a lower class gets one
	lotReserveDivisor = 8  // one slot in so many is kept from lots
	requestBaseCost   = 32 // in tokens, beside the tokens of the request
	durationSmoothing = 0.1
	initialMSPerCost  = 1.0 // of service for a unit of cost, before any evidence
	slack             = 20 * time.Millisecond
)

// service is the state of one service: its queues and what it can take.
type service struct {
	name             string
	firstTokenTarget time.Duration // of the first token; 0 for none
	capacityKnown    bool          // capacity was told
	slots            int           // of all live upstreams
	ceiling          int           // this daemon's running items when capacity was told, and its part of the free slots
	earliestExpiry   time.Duration // no queued item's latest start is before
	share            float64       // of this daemon in the slots
	running          int
	runningLots      int     // running
	runningCost      float64 // of the running items
	msPerCost        float64 // duration of an item by its cost
	queues           [classCount]classQueue
}

// classQueue is the queue of one class.
type classQueue struct {
	virtualTime float64 // start tag of the item started last
	flows       []*flow
	skipped     int // starts of higher classes while this one waited
}

// flow is the queue of one customer in one class.
type flow struct {
	customer  *customer
	requests  []*Request
	cost      float64 // of the items
	finishTag float64 // finish tag of the item queued last
}

func priorityOf(c manifest.Class) int {
	switch c {
	case manifest.Urgent:
		return 0
	case manifest.Lot:
		return 2
	default:
		return 1
	}
}

// maxRunning returns the requests that this daemon may have running.
func (s *service) maxRunning() int {
	if !s.capacityKnown {
		return 1 << 30
	}
	if s.slots == 0 {
		return 0
	}
	own := max(int(float64(s.slots)*s.share), 1)
	return max(own, s.ceiling)
}

// hasCapacity tells whether an item of the class may start.
func (s *service) hasCapacity(class manifest.Class) bool {
	limit := s.maxRunning()
	if class == manifest.Lot {
		return s.running < limit && s.runningLots < max(limit-limit/lotReserveDivisor, 1)
	}
	return s.running < limit
}

func (s *service) flowOf(c *customer, class manifest.Class) *flow {
	q := &s.queues[priorityOf(class)]
	for _, f := range q.flows {
		if f.customer == c {
			return f
		}
	}
	f := &flow{customer: c, finishTag: q.virtualTime}
	q.flows = append(q.flows, f)
	return f
}

func (s *service) removeFlows(c *customer) {
	for i := range s.queues {
		q := &s.queues[i]
		q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool { return f.customer == c })
	}
}

// enqueue appends the item to its customer's queue and tags it.
func (s *service) enqueue(r *Request) {
	q := &s.queues[priorityOf(r.Class)]
	f := s.flowOf(r.customer, r.Class)
	r.startTag = max(q.virtualTime, f.finishTag)
	f.finishTag = r.startTag + r.cost/r.customer.weight
	f.requests = append(f.requests, r)
	f.cost += r.cost
	r.customer.queued++
	r.state = stateQueued
	s.earliestExpiry = min(s.earliestExpiry, r.latestStart)
}

// remove takes the item out of its queue.
func (s *service) remove(r *Request) {
	f := s.flowOf(r.customer, r.Class)
	i := slices.Index(f.requests, r)
	f.requests = slices.Delete(f.requests, i, i+1)
	f.cost -= r.cost
	r.customer.queued--
}

// next returns the item to start now, or nil. A class goes before the lower
// ones, but after starvationStep starts that passed over a waiting class, that
// class gets one.
func (s *service) next(now time.Duration) *Request {
	for i := classCount - 1; i > 0; i-- {
		if s.queues[i].skipped >= maxSkipped {
			if r := s.queues[i].nextEligible(s, now); r != nil {
				return r
			}
		}
	}
	for i := range s.queues {
		if r := s.queues[i].nextEligible(s, now); r != nil {
			return r
		}
	}
	return nil
}

// nextEligible returns the item with the least start tag among the heads that may
// start.
func (q *classQueue) nextEligible(s *service, now time.Duration) *Request {
	var best *Request
	for _, f := range q.flows {
		if len(f.requests) == 0 {
			continue
		}
		r := f.requests[0]
		if best != nil && r.startTag >= best.startTag || !s.hasCapacity(r.Class) || !f.customer.allows(now, r) {
			continue
		}
		best = r
	}
	return best
}

// start counts the item as running.
func (s *service) start(now time.Duration, r *Request) {
	priority := priorityOf(r.Class)
	s.queues[priority].virtualTime = max(s.queues[priority].virtualTime, r.startTag)
	s.queues[priority].skipped = 0
	for lower := priority + 1; lower < classCount; lower++ {
		if s.queues[lower].hasQueued() {
			s.queues[lower].skipped++
		}
	}
	s.running++
	s.runningCost += r.cost
	if r.Class == manifest.Lot {
		s.runningLots++
	}
	r.admittedAt = now
	r.state = stateRunning
}

func (q *classQueue) hasQueued() bool {
	for _, f := range q.flows {
		if len(f.requests) > 0 {
			return true
		}
	}
	return false
}

// expired returns the queued items whose latest start has passed.
func (s *service) expired(now time.Duration) []*Request {
	if now < s.earliestExpiry {
		return nil
	}
	var late []*Request
	s.earliestExpiry = now + never
	for i := range s.queues {
		for _, f := range s.queues[i].flows {
			for _, r := range f.requests {
				if now >= r.latestStart {
					late = append(late, r)
					continue
				}
				s.earliestExpiry = min(s.earliestExpiry, r.latestStart)
			}
		}
	}
	return late
}

// finish takes a running item out and learns from its duration.
func (s *service) finish(now time.Duration, r *Request, measured bool) {
	s.running--
	s.runningCost -= r.cost
	if r.Class == manifest.Lot {
		s.runningLots--
	}
	if !measured {
		return
	}
	durationMS := float64(now-r.admittedAt) / float64(time.Millisecond)
	s.msPerCost += durationSmoothing * (durationMS/r.cost - s.msPerCost)
}

// estimateDuration estimates how long the item runs once started.
func (s *service) estimateDuration(r *Request) time.Duration {
	return time.Duration(r.cost * s.msPerCost * float64(time.Millisecond))
}

// estimateWait estimates how long the item would queue for room: the cost that goes
// before it, at the rate at which the running items finish.
func (s *service) estimateWait(r *Request) time.Duration {
	limit := s.maxRunning()
	if limit == 0 {
		return never
	}
	ahead := s.costAhead(r)
	if s.hasCapacity(r.Class) && ahead == 0 {
		return 0
	}
	ms := (ahead + r.cost) * s.msPerCost / float64(limit)
	return min(time.Duration(ms*float64(time.Millisecond)), never)
}

// costAhead returns the cost queued before the item: all of the higher classes,
// its own customer's, and of the others as much as their weights allow them in
// the same time.
func (s *service) costAhead(r *Request) float64 {
	priority := priorityOf(r.Class)
	sum := 0.0
	for higher := range priority {
		for _, f := range s.queues[higher].flows {
			sum += f.cost
		}
	}
	own := r.cost
	for _, f := range s.queues[priority].flows {
		if f.customer == r.customer {
			own += f.cost
			sum += f.cost
		}
	}
	for _, f := range s.queues[priority].flows {
		if f.customer != r.customer {
			sum += min(f.cost, own*f.customer.weight/r.customer.weight)
		}
	}
	return sum
}

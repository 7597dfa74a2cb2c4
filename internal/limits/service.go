package limits

import (
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	classCount        = 3
	maxSkipped        = 16                    // starts of higher classes after which a waiting lower class gets one
	lotReserveDivisor = 8                     // 1/8 of the slots is reserved for requests other than lots
	requestBaseCost   = 32                    // in tokens, in addition to the tokens of the request
	durationSmoothing = 0.1                   // weight of a new duration in the moving average msPerCost
	initialMSPerCost  = 1.0                   // msPerCost of a service until requests have been measured
	slack             = 20 * time.Millisecond // margin added to estimated durations and retry times
)

// service is the state of a service: its queues and its capacity.
type service struct {
	name             string
	firstTokenTarget time.Duration // target for the time to the first token; 0 for none
	capacityKnown    bool          // SetCapacity was called; until then the number of running requests is not limited
	slots            int           // of all live upstreams
	ceiling          int           // running requests at the last SetCapacity plus this daemon's share of the free slots
	earliestExpiry   time.Duration // lower bound of latestStart of all queued requests
	share            float64       // this daemon's fraction of the slots
	running          int
	runningLots      int     // running requests of class Lot
	runningCost      float64 // summed cost of the running requests
	msPerCost        float64 // moving average of a request's duration in ms per unit of cost
	queues           [classCount]classQueue
}

// classQueue holds the queued requests of one class, by customer. It implements
// weighted fair queueing with start tags.
type classQueue struct {
	virtualTime float64 // start tag of the request started last
	flows       []*flow
	skipped     int // starts of higher classes while this one had queued requests
}

// flow is the queue of one customer within a class.
type flow struct {
	customer  *customer
	requests  []*Request
	cost      float64 // summed cost of requests
	finishTag float64 // finish tag of the request queued last
}

// priorityOf returns the index of the class in service.queues; 0 is the most
// urgent.
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

// maxRunning returns how many requests this daemon may have running: its share of
// the slots, or more while other daemons leave slots free.
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

// hasCapacity reports whether a request of the class may start.
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

// enqueue appends the request to its customer's queue and sets its start tag.
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

// remove removes the request from its queue.
func (s *service) remove(r *Request) {
	f := s.flowOf(r.customer, r.Class)
	i := slices.Index(f.requests, r)
	f.requests = slices.Delete(f.requests, i, i+1)
	f.cost -= r.cost
	r.customer.queued--
}

// next returns the request to start now, or nil. Higher classes go first, but a
// class with queued requests gets one start after maxSkipped starts of higher
// classes, so that it does not starve.
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

// nextEligible returns, of the first requests of all flows that may start now, the
// one with the lowest start tag, or nil.
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

// start counts the request as running.
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

// expired returns the queued requests whose latest start has passed.
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

// finish removes a running request from the counts. If measured is set, it updates
// msPerCost with the request's duration.
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

// estimateDuration estimates how long the request runs once started.
func (s *service) estimateDuration(r *Request) time.Duration {
	return time.Duration(r.cost * s.msPerCost * float64(time.Millisecond))
}

// estimateWait estimates how long the request would queue for capacity: the cost
// queued before it, at the rate at which the running requests finish.
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

// costAhead returns the cost queued before the request: that of all higher classes,
// that of its own customer in its class, and of each other customer as much as its
// weight lets start in the same time.
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

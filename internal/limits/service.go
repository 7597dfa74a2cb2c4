package limits

import (
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	classes        = 3
	starvationStep = 16 // starts of higher classes before a lower class gets one
	lotReserve     = 8  // one slot in so many is kept from lots
	costPerRequest = 32 // in tokens, beside the tokens of the request
	costWeight     = 0.1
	firstCostMS    = 1.0 // of service for a unit of cost, before any evidence
	slack          = 20 * time.Millisecond
)

// service is the state of one service: its queues and what it can take.
type service struct {
	name     string
	target   time.Duration // of the first token; 0 for none
	known    bool          // capacity was told
	slots    int           // of all live upstreams
	ceiling  int           // this daemon's running items when capacity was told, and its part of the free slots
	expiry   time.Duration // no queued item's latest start is before
	share    float64       // of this daemon in the slots
	running  int
	lots     int     // running
	cost     float64 // of the running items
	msByCost float64 // duration of an item by its cost
	levels   [classes]level
}

// level is the queue of one class.
type level struct {
	virtual float64 // start tag of the item started last
	flows   []*flow
	skipped int // starts of higher classes while this one waited
}

// flow is the queue of one customer in one class.
type flow struct {
	customer *customer
	items    []*Item
	cost     float64 // of the items
	finish   float64 // finish tag of the item queued last
}

func rank(c manifest.Class) int {
	switch c {
	case manifest.Urgent:
		return 0
	case manifest.Lot:
		return 2
	default:
		return 1
	}
}

// limit returns the requests that this daemon may have running.
func (s *service) limit() int {
	if !s.known {
		return 1 << 30
	}
	if s.slots == 0 {
		return 0
	}
	own := max(int(float64(s.slots)*s.share), 1)
	return max(own, s.ceiling)
}

// hasRoom tells whether an item of the class may start.
func (s *service) hasRoom(class manifest.Class) bool {
	limit := s.limit()
	if class == manifest.Lot {
		return s.running < limit && s.lots < max(limit-limit/lotReserve, 1)
	}
	return s.running < limit
}

func (s *service) flowOf(c *customer, class manifest.Class) *flow {
	l := &s.levels[rank(class)]
	for _, f := range l.flows {
		if f.customer == c {
			return f
		}
	}
	f := &flow{customer: c, finish: l.virtual}
	l.flows = append(l.flows, f)
	return f
}

func (s *service) dropFlows(c *customer) {
	for r := range s.levels {
		l := &s.levels[r]
		l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool { return f.customer == c })
	}
}

// push appends the item to its customer's queue and tags it.
func (s *service) push(it *Item) {
	l := &s.levels[rank(it.Class)]
	f := s.flowOf(it.customer, it.Class)
	it.start = max(l.virtual, f.finish)
	f.finish = it.start + it.cost/it.customer.weight
	f.items = append(f.items, it)
	f.cost += it.cost
	it.customer.queued++
	it.state = itemQueued
	s.expiry = min(s.expiry, it.latest)
}

// remove takes the item out of its queue.
func (s *service) remove(it *Item) {
	f := s.flowOf(it.customer, it.Class)
	i := slices.Index(f.items, it)
	f.items = slices.Delete(f.items, i, i+1)
	f.cost -= it.cost
	it.customer.queued--
}

// next returns the item to start now, or nil. A class goes before the lower
// ones, but after starvationStep starts that passed over a waiting class, that
// class gets one.
func (s *service) next(now time.Duration) *Item {
	for r := classes - 1; r > 0; r-- {
		if s.levels[r].skipped >= starvationStep {
			if it := s.levels[r].first(s, now); it != nil {
				return it
			}
		}
	}
	for r := range s.levels {
		if it := s.levels[r].first(s, now); it != nil {
			return it
		}
	}
	return nil
}

// first returns the item with the least start tag among the heads that may
// start.
func (l *level) first(s *service, now time.Duration) *Item {
	var best *Item
	for _, f := range l.flows {
		if len(f.items) == 0 {
			continue
		}
		it := f.items[0]
		if best != nil && it.start >= best.start || !s.hasRoom(it.Class) || !f.customer.allows(now, it) {
			continue
		}
		best = it
	}
	return best
}

// begin counts the item as running.
func (s *service) begin(now time.Duration, it *Item) {
	r := rank(it.Class)
	s.levels[r].virtual = max(s.levels[r].virtual, it.start)
	s.levels[r].skipped = 0
	for lower := r + 1; lower < classes; lower++ {
		if s.levels[lower].waiting() {
			s.levels[lower].skipped++
		}
	}
	s.running++
	s.cost += it.cost
	if it.Class == manifest.Lot {
		s.lots++
	}
	it.admitted = now
	it.state = itemRunning
}

func (l *level) waiting() bool {
	for _, f := range l.flows {
		if len(f.items) > 0 {
			return true
		}
	}
	return false
}

// late returns the queued items whose latest start has passed.
func (s *service) late(now time.Duration) []*Item {
	if now < s.expiry {
		return nil
	}
	var list []*Item
	s.expiry = now + never
	for r := range s.levels {
		for _, f := range s.levels[r].flows {
			for _, it := range f.items {
				if now >= it.latest {
					list = append(list, it)
					continue
				}
				s.expiry = min(s.expiry, it.latest)
			}
		}
	}
	return list
}

// end takes a running item out and learns from its duration.
func (s *service) end(now time.Duration, it *Item, served bool) {
	s.running--
	s.cost -= it.cost
	if it.Class == manifest.Lot {
		s.lots--
	}
	if !served {
		return
	}
	took := float64(now-it.admitted) / float64(time.Millisecond)
	s.msByCost += costWeight * (took/it.cost - s.msByCost)
}

// duration estimates how long the item runs once started.
func (s *service) duration(it *Item) time.Duration {
	return time.Duration(it.cost * s.msByCost * float64(time.Millisecond))
}

// wait estimates how long the item would queue for room: the cost that goes
// before it, at the rate at which the running items finish.
func (s *service) wait(it *Item) time.Duration {
	limit := s.limit()
	if limit == 0 {
		return never
	}
	ahead := s.ahead(it)
	if s.hasRoom(it.Class) && ahead == 0 {
		return 0
	}
	ms := (ahead + it.cost) * s.msByCost / float64(limit)
	return min(time.Duration(ms*float64(time.Millisecond)), never)
}

// ahead returns the cost queued before the item: all of the higher classes,
// its own customer's, and of the others as much as their weights allow them in
// the same time.
func (s *service) ahead(it *Item) float64 {
	r := rank(it.Class)
	sum := 0.0
	for higher := range r {
		for _, f := range s.levels[higher].flows {
			sum += f.cost
		}
	}
	own := it.cost
	for _, f := range s.levels[r].flows {
		if f.customer == it.customer {
			own += f.cost
			sum += f.cost
		}
	}
	for _, f := range s.levels[r].flows {
		if f.customer != it.customer {
			sum += min(f.cost, own*f.customer.weight/it.customer.weight)
		}
	}
	return sum
}

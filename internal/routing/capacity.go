package routing

import "time"

const (
	maxQueueMS       = 200.0 // of prefill, beyond which an upstream takes no more
	maxQueueFraction = 0.5   // the same as a part of the target of the first token
)

// Capacity is what the upstreams of one service can take.
type Capacity struct {
	Service string
	Slots   int // requests that the live upstreams can work on
	Free    int // slots that no daemon uses, estimated
}

// Capacity returns what the upstreams of each service can take now.
func (r *Router) Capacity(at time.Time) []Capacity {
	v := r.view.Load()
	now := r.clock.nanos(at)
	list := make([]Capacity, 0, len(v.snapshots))
	for name, s := range v.snapshots {
		slots, free := s.capacity(now)
		list = append(list, Capacity{Service: name, Slots: slots, Free: free})
	}
	return list
}

// capacity adds up the slots of the nodes. A node whose prefill queue is long
// counts only with what it has, and a failing one by its successes.
func (s *snapshot) capacity(now int64) (slots, free int) {
	maxMS := maxQueueMS
	if s.targetMS > 0 {
		maxMS = s.targetMS * maxQueueFraction
	}
	total, unused := 0.0, 0.0
	for i := range s.nodes {
		n := &s.nodes[i]
		tokens, requests := s.estimate(n, now, true)
		usable := n.slots * (1 - n.currentFailureRate(now))
		if tokens*n.currentSlowdown(now, s.shared.meanSlowdown.load())/n.prefillRate > maxMS {
			usable = min(usable, requests)
		}
		total += usable
		unused += max(usable-requests, 0)
	}
	if len(s.nodes) == 0 {
		return 0, 0
	}
	return max(int(total), 1), int(unused)
}

package routing

import "time"

const (
	maxQueueMS             = 200.0 // prefill queue beyond which an upstream has no free slots, if there is no target
	maxQueueTargetFraction = 0.5   // the same as a fraction of the target for the first token, if there is one
)

// Capacity is the number of requests that the upstreams of one service can run.
type Capacity struct {
	Service string
	Slots   int // usable slots of the upstreams
	Free    int // estimated number of slots that no daemon uses
}

// Capacity returns the current capacity of each service, in no order.
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

// capacity adds up the slots of the nodes. The slots of a node are multiplied by
// its success rate; one with a long prefill queue counts at most the requests
// that it has.
func (s *snapshot) capacity(now int64) (slots, free int) {
	maxMS := maxQueueMS
	if s.targetMS > 0 {
		maxMS = s.targetMS * maxQueueTargetFraction
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

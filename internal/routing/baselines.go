package routing

import "slices"

// prefixHashBlocks is the number of leading blocks that two prompts must share for
// the policy prefixHash to send them to the same upstream.
const prefixHashBlocks = 16

// choice is the outcome of a pick.
type choice struct {
	node       *node
	cached     int     // prompt tokens expected in the upstream's cache
	expectedMS float64 // time to first token at the declared prefill rate
}

// picker chooses among the upstreams of one snapshot. pick may be called from
// any goroutine, takes no lock and allocates nothing. now is in nanoseconds on
// the router's clock. The node of the choice is nil if no upstream can take the
// request.
type picker interface {
	pick(now int64, r *Request) choice
}

// excluded reports whether the request must not go to the node: it has failed
// there, or the node is leaving.
func (n *node) excluded(r *Request) bool {
	return n.leaving.Load() || len(r.Tried) > 0 && slices.Contains(r.Tried, n.upstream.Name)
}

// roundRobin is the baseline policy that cycles through the upstreams.
type roundRobin struct{ *snapshot }

func (p roundRobin) pick(_ int64, r *Request) choice {
	for range p.nodes {
		n := &p.nodes[p.shared.nextIndex.Add(1)%uint64(len(p.nodes))]
		if !n.excluded(r) {
			return choice{node: n}
		}
	}
	return choice{}
}

// leastInFlight is the baseline policy that picks the upstream with the fewest
// attempts of this daemon in flight per slot.
type leastInFlight struct{ *snapshot }

func (p leastInFlight) pick(_ int64, r *Request) choice {
	var best choice
	var least float64
	offset := int(r.Random % uint64(max(len(p.nodes), 1)))
	for i := range p.nodes {
		n := &p.nodes[(i+offset)%len(p.nodes)]
		load := float64(n.inFlight.Load()) / n.slots
		if n.excluded(r) || best.node != nil && load >= least {
			continue
		}
		best.node, least = n, load
	}
	return best
}

// prefixHash is the baseline policy that sends equal prefixes to the same
// upstream by rendezvous hashing, regardless of load.
type prefixHash struct{ *snapshot }

func (p prefixHash) pick(_ int64, r *Request) choice {
	if len(p.nodes) == 0 {
		return choice{}
	}
	key := r.Random
	if len(r.Blocks) > 0 {
		key = r.Blocks[min(len(r.Blocks), prefixHashBlocks)-1]
	}
	for range len(p.nodes) {
		for _, i := range p.winners(key) {
			if n := &p.nodes[i]; !n.excluded(r) {
				return choice{node: n}
			}
		}
		key = mix(key)
	}
	return roundRobin(p).pick(0, r)
}

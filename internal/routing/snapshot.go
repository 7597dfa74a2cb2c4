package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	rendezvousBuckets  = 1 << 11
	maxWinners         = 2
	defaultPrefillRate = 10.0 // prompt tokens per millisecond
	msPerDay           = 24 * 60 * 60 * 1000
)

// snapshot is the immutable view of one service's upstreams.
type snapshot struct {
	nodes            []node
	byID             []int32 // index into nodes plus one, by upstream id; 0 if absent
	winnerTable      []int32 // indexes into nodes: the rendezvous winners of each bucket
	winnersPerBucket int     // entries of table for each bucket
	shared           *serviceState
	targetMS         float64 // target for the time to first token in ms, 0 for none
	kind             manifest.Kind
	daemons          float64 // effective number of daemons: requests of all daemons per request of this one
}

func newSnapshot(a *manifest.Active, s *manifest.Service, nodes []node, idCount int, shared *serviceState) *snapshot {
	v := &snapshot{nodes: nodes, byID: make([]int32, idCount), shared: shared}
	v.kind = s.Kind
	v.targetMS = float64(s.Target.FirstTokenMS)
	for i := range nodes {
		v.byID[nodes[i].id] = int32(i + 1)
	}
	setClassValues(a, nodes)
	if s.Policy != manifest.RoundRobin && s.Policy != manifest.LeastInFlight {
		v.buildTable()
	}
	return v
}

// buildTable computes the winners of rendezvous hashing for each bucket of
// block hashes. Daemons with the same upstreams get the same table, and adding
// or removing an upstream changes only the buckets that it wins.
func (v *snapshot) buildTable() {
	n := len(v.nodes)
	v.winnersPerBucket = min(maxWinners, n)
	hashes := make([]uint64, n)
	for i := range v.nodes {
		hashes[i] = xxhash.Sum64String(v.nodes[i].upstream.Name)
	}
	v.winnerTable = make([]int32, rendezvousBuckets*v.winnersPerBucket)
	for b := range rendezvousBuckets {
		v.computeWinners(uint64(b), hashes, v.winnerTable[b*v.winnersPerBucket:(b+1)*v.winnersPerBucket])
	}
}

// computeWinners writes the nodes with the highest scores for bucket b to winners,
// best first. hashes are the hashes of the nodes' names.
func (v *snapshot) computeWinners(b uint64, hashes []uint64, winners []int32) {
	var best [maxWinners]uint64
	for i, h := range hashes {
		score := mix(h ^ mix(b+1))
		for k := range winners {
			if score < best[k] {
				continue
			}
			copy(best[k+1:], best[k:])
			copy(winners[k+1:], winners[k:])
			best[k], winners[k] = score, int32(i)
			break
		}
	}
}

// winners returns the indexes of the nodes that win the block's bucket.
func (v *snapshot) winners(block uint64) []int32 {
	b := int(block % rendezvousBuckets)
	return v.winnerTable[b*v.winnersPerBucket : (b+1)*v.winnersPerBucket]
}

// node returns the index of the node with an upstream id, and false if it is not
// in the snapshot.
func (v *snapshot) node(id uint16) (int32, bool) {
	if int(id) >= len(v.byID) || v.byID[id] == 0 {
		return 0, false
	}
	return v.byID[id] - 1, true
}

// setClassValues sets the fields of nodes that depend on their VM classes.
func setClassValues(a *manifest.Active, nodes []node) {
	cheapest := 0.0
	for i := range nodes {
		n := &nodes[i]
		c := vmClass(a, n.upstream.VMClass)
		n.slots = float64(max(n.upstream.Slots, 1))
		n.prefillRate = declaredPrefillRate(n.upstream, c)
		n.pricePremium = hourlyPrice(n.upstream, c) / n.prefillRate
		if n.upstream.Reclaimable && c != nil {
			n.reclaimRate = c.ReclaimsPerDay / msPerDay
		}
		if cheapest == 0 || n.pricePremium < cheapest {
			cheapest = n.pricePremium
		}
	}
	for i := range nodes {
		if cheapest > 0 {
			nodes[i].pricePremium = nodes[i].pricePremium/cheapest - 1
		}
	}
}

func vmClass(a *manifest.Active, name string) *manifest.VMClass {
	i := slices.IndexFunc(a.VMClasses, func(c manifest.VMClass) bool { return c.Name == name })
	if i < 0 {
		return nil
	}
	return &a.VMClasses[i]
}

func declaredPrefillRate(u *manifest.Upstream, c *manifest.VMClass) float64 {
	switch {
	case u.PrefillPerMS > 0:
		return float64(u.PrefillPerMS)
	case c != nil && c.PrefillPerMS > 0:
		return float64(c.PrefillPerMS)
	default:
		return defaultPrefillRate
	}
}

func hourlyPrice(u *manifest.Upstream, c *manifest.VMClass) float64 {
	switch {
	case c == nil:
		return 0
	case u.Reclaimable:
		return c.ReclaimablePerHour
	default:
		return c.OnDemandPerHour
	}
}

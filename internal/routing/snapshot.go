package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	rendezvousBuckets  = 1 << 11
	rendezvousPerEntry = 2
	defaultSpeed       = 10.0 // prompt tokens a millisecond
	msPerDay           = 24 * 60 * 60 * 1000
)

// snapshot is the immutable view of one service's upstreams.
type snapshot struct {
	nodes    []node
	byID     []int32 // index into nodes plus one, by runner id; 0 for none
	table    []int32 // indexes into nodes: the winners of the rendezvous for each bucket
	perPick  int     // winners for each bucket
	shared   *serviceState
	targetMS float64 // target of the first token in milliseconds, 0 for none
	kind     manifest.Kind
	peers    float64 // requests of all daemons for each of this daemon's
}

func newSnapshot(a *manifest.Active, s *manifest.Service, nodes []node, ids int, shared *serviceState) *snapshot {
	v := &snapshot{nodes: nodes, byID: make([]int32, ids), shared: shared}
	v.kind = s.Kind
	v.targetMS = float64(s.Target.FirstTokenMS)
	for i := range nodes {
		v.byID[nodes[i].id] = int32(i + 1)
	}
	setPrices(a, nodes)
	if s.Policy != manifest.RoundRobin && s.Policy != manifest.LeastInFlight {
		v.buildTable()
	}
	return v
}

// buildTable computes the rendezvous of each bucket of hashes. All daemons
// with the same upstreams get the same table, and a change of one upstream
// moves only its own buckets.
func (v *snapshot) buildTable() {
	n := len(v.nodes)
	v.perPick = min(rendezvousPerEntry, n)
	hashes := make([]uint64, n)
	for i := range v.nodes {
		hashes[i] = xxhash.Sum64String(v.nodes[i].upstream.Name)
	}
	v.table = make([]int32, rendezvousBuckets*v.perPick)
	for b := range rendezvousBuckets {
		v.rendezvous(uint64(b), hashes, v.table[b*v.perPick:(b+1)*v.perPick])
	}
}

// rendezvous writes the nodes with the highest hashes for bucket b to winners.
func (v *snapshot) rendezvous(b uint64, hashes []uint64, winners []int32) {
	var best [rendezvousPerEntry]uint64
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

// winners returns the nodes that the rendezvous gives to a block.
func (v *snapshot) winners(block uint64) []int32 {
	b := int(block % rendezvousBuckets)
	return v.table[b*v.perPick : (b+1)*v.perPick]
}

// node returns the node of a runner id, or nil if it is not in the snapshot.
func (v *snapshot) node(id uint16) (int32, bool) {
	if int(id) >= len(v.byID) || v.byID[id] == 0 {
		return 0, false
	}
	return v.byID[id] - 1, true
}

// setPrices fills what depends on the VM classes.
func setPrices(a *manifest.Active, nodes []node) {
	cheapest := 0.0
	for i := range nodes {
		n := &nodes[i]
		c := vmClass(a, n.upstream.VMClass)
		n.slots = float64(max(n.upstream.Slots, 1))
		n.speed = declaredSpeed(n.upstream, c)
		n.dearness = hourlyPrice(n.upstream, c) / n.speed
		if n.upstream.Reclaimable && c != nil {
			n.risk = c.ReclaimsPerDay / msPerDay
		}
		if cheapest == 0 || n.dearness < cheapest {
			cheapest = n.dearness
		}
	}
	for i := range nodes {
		if cheapest > 0 {
			nodes[i].dearness = nodes[i].dearness/cheapest - 1
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

func declaredSpeed(u *manifest.Upstream, c *manifest.VMClass) float64 {
	switch {
	case u.PrefillPerMS > 0:
		return float64(u.PrefillPerMS)
	case c != nil && c.PrefillPerMS > 0:
		return float64(c.PrefillPerMS)
	default:
		return defaultSpeed
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

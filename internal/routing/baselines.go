package routing

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// counters holds the attempts in flight of each upstream of this daemon. It
// outlives the snapshots that share it.
type counters struct {
	inFlight []*atomic.Int64
}

// leastInFlight is the baseline policy that takes the upstream with the fewest
// attempts of this daemon in flight for each of its slots.
type leastInFlight struct {
	upstreams []*manifest.Upstream
	counters  counters
}

// NewLeastInFlight returns a Picker that takes the upstream with the fewest
// attempts in flight. inFlight holds one counter for each upstream.
func NewLeastInFlight(upstreams []*manifest.Upstream, inFlight []*atomic.Int64) Picker {
	return &leastInFlight{upstreams: upstreams, counters: counters{inFlight: inFlight}}
}

// Pick implements Picker.
func (p *leastInFlight) Pick(_ time.Time, r *Request) (*manifest.Upstream, error) {
	var best *manifest.Upstream
	var least float64
	offset := int(r.Random % uint64(max(len(p.upstreams), 1)))
	for i := range p.upstreams {
		j := (i + offset) % len(p.upstreams)
		u := p.upstreams[j]
		if slices.Contains(r.Tried, u.Name) {
			continue
		}
		load := float64(p.counters.inFlight[j].Load()) / float64(u.Slots)
		if best == nil || load < least {
			best, least = u, load
		}
	}
	if best == nil {
		return nil, ErrNoUpstream
	}
	return best, nil
}

// prefixHash is the baseline policy that sends equal prefixes to the same
// upstream by rendezvous hashing, whatever its load.
type prefixHash struct {
	upstreams []*manifest.Upstream
	hashes    []uint64
}

// prefixHashBlocks is the number of leading blocks that must be equal.
const prefixHashBlocks = 4

// NewPrefixHash returns a Picker that sends equal prefixes to the same upstream.
func NewPrefixHash(upstreams []*manifest.Upstream) Picker {
	p := &prefixHash{upstreams: upstreams, hashes: make([]uint64, len(upstreams))}
	for i, u := range upstreams {
		p.hashes[i] = xxhash.Sum64String(u.Name)
	}
	return p
}

// Pick implements Picker.
func (p *prefixHash) Pick(_ time.Time, r *Request) (*manifest.Upstream, error) {
	key := r.Random
	if len(r.Blocks) > 0 {
		key = r.Blocks[min(len(r.Blocks), prefixHashBlocks)-1]
	}
	var best *manifest.Upstream
	var highest uint64
	for i, u := range p.upstreams {
		if slices.Contains(r.Tried, u.Name) {
			continue
		}
		if score := mix(key ^ p.hashes[i]); best == nil || score > highest {
			best, highest = u, score
		}
	}
	if best == nil {
		return nil, ErrNoUpstream
	}
	return best, nil
}

// mix spreads x over all 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

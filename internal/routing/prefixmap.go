package routing

import "sync/atomic"

const (
	entriesPerBucket = 8 // one CPU cache line
	prefixBuckets    = 1 << 16
)

// prefixMap maps blocks of prompt prefixes to the upstreams that have them
// cached. Its size is fixed: when a bucket is full, a random entry is
// overwritten. Its methods may be called from any goroutine; a lost update only
// makes an estimate less accurate.
type prefixMap struct {
	buckets []bucket
}

// bucket holds the entries of blocks whose hashes have the same low bits.
type bucket [entriesPerBucket]atomic.Uint64

// entry packs the high 32 bits of a block's hash, the id of an upstream (16
// bits) and the generation of that upstream's cache (16 bits). 0 is an unused
// entry.
type entry uint64

func newEntry(block uint64, id uint16, generation uint32) entry {
	return entry(block&^0xffffffff | uint64(id)<<16 | uint64(uint16(generation)))
}

func (e entry) id() uint16                { return uint16(e >> 16) }
func (e entry) generation() uint16        { return uint16(e) }
func (e entry) matches(block uint64) bool { return uint64(e)^block < 1<<32 }

func newPrefixMap() *prefixMap {
	return &prefixMap{buckets: make([]bucket, prefixBuckets)}
}

func (m *prefixMap) bucket(block uint64) *bucket {
	return &m.buckets[block&(prefixBuckets-1)]
}

// store records that the upstream has block cached.
func (m *prefixMap) store(block uint64, u *upstreamState) {
	b := m.bucket(block)
	e := newEntry(block, u.id, u.generation.Load())
	free := -1
	for i := range b {
		old := entry(b[i].Load())
		if old.matches(block) && old.id() == u.id {
			b[i].Store(uint64(e))
			return
		}
		if old == 0 {
			free = i
		}
	}
	if free < 0 {
		free = int(mix(block^uint64(u.id)^b[0].Load()) % entriesPerBucket)
	}
	b[free].Store(uint64(e))
}

// evict records that the upstream no longer has block cached.
func (m *prefixMap) evict(block uint64, u *upstreamState) {
	b := m.bucket(block)
	for i := range b {
		old := entry(b[i].Load())
		if old.matches(block) && old.id() == u.id {
			b[i].CompareAndSwap(uint64(old), 0)
		}
	}
}

// mix spreads x over all 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

package engine

import (
	"container/list"
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

const (
	maxEvents         = 16384   // cache events that an engine remembers
	maxComputedBlocks = 4 << 20 // blocks that a Seen remembers
)

// Operations of cache events.
const (
	opStore = "store"
	opEvict = "evict"
)

// event is one change of the cache.
type event struct {
	seq   int64
	at    time.Time
	op    string
	block uint64
}

// prefixCache holds prefix blocks, the least recently used evicted first. It
// belongs to the engine's task.
type prefixCache struct {
	blocks  map[uint64]*list.Element
	lru     *list.List // of uint64, most recent first
	events  []event
	lastSeq int64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// match returns how many leading blocks are cached and marks them as used, the
// earlier as used later.
func (c *prefixCache) match(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.blocks[blocks[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[blocks[i]])
	}
	return n
}

// insert stores the blocks. The later blocks of a prefix are evicted before
// the earlier, without which they are useless.
func (c *prefixCache) insert(blocks []uint64, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if e, ok := c.blocks[blocks[i]]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[blocks[i]] = c.lru.PushFront(blocks[i])
		c.record(opStore, blocks[i], now)
	}
}

// evictTo evicts blocks until at most limit are left.
func (c *prefixCache) evictTo(limit int, now time.Time) {
	for len(c.blocks) > max(limit, 0) {
		last := c.lru.Back()
		b := last.Value.(uint64)
		c.lru.Remove(last)
		delete(c.blocks, b)
		c.record(opEvict, b, now)
	}
}

func (c *prefixCache) record(op string, block uint64, now time.Time) {
	c.lastSeq++
	if len(c.events) >= 2*maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents:]...)
	}
	c.events = append(c.events, event{seq: c.lastSeq, at: now, op: op, block: block})
}

// eventsAfter returns the events after seq that happened before until, at most limit.
func (c *prefixCache) eventsAfter(seq int64, until time.Time, limit int) []event {
	var out []event
	for _, e := range c.events {
		if e.seq > seq && e.at.Before(until) && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}

// ComputedBlocks remembers the blocks that any of the engines that share it has
// computed, by which tokens that are computed again are counted. Its methods
// may be called from any goroutine.
type ComputedBlocks struct {
	mu     sync.Mutex
	blocks map[uint64]struct{}
}

// NewComputedBlocks returns a Seen without blocks.
func NewComputedBlocks() *ComputedBlocks { return &ComputedBlocks{blocks: make(map[uint64]struct{})} }

// add remembers the blocks and returns the number of their tokens that had
// been computed before.
func (c *ComputedBlocks) add(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	recomputed := 0
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok {
			recomputed++
			continue
		}
		if len(c.blocks) < maxComputedBlocks {
			c.blocks[b] = struct{}{}
		}
	}
	return recomputed * completion.BlockTokens
}

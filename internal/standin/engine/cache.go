package engine

import (
	"container/list"
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

const (
	maxEvents         = 16384   // cache events kept; the log is cut to these when it is twice as long
	maxComputedBlocks = 4 << 20 // limit of a ComputedBlocks; later blocks are not added
)

// Operations of cache events.
const (
	opStore = "store"
	opEvict = "evict"
)

// event records that a block was stored or evicted.
type event struct {
	seq   int64 // counts up from 1
	at    time.Time
	op    string
	block uint64
}

// prefixCache is an LRU cache of prefix blocks. Only the goroutine of Engine.Run uses
// it.
type prefixCache struct {
	blocks  map[uint64]*list.Element // by block hash
	lru     *list.List               // of block hashes (uint64), most recently used first
	events  []event
	lastSeq int64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// match returns the number of leading blocks that are cached. It moves them to the front
// of the LRU list, the first block foremost, so that it is evicted last.
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

// insert stores the blocks of a prefix. It puts the first block foremost in the LRU
// list: later blocks are evicted before earlier ones, without which they are useless.
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

// evictTo evicts the least recently used blocks until at most limit are left.
func (c *prefixCache) evictTo(limit int, now time.Time) {
	for len(c.blocks) > max(limit, 0) {
		last := c.lru.Back()
		b := last.Value.(uint64)
		c.lru.Remove(last)
		delete(c.blocks, b)
		c.record(opEvict, b, now)
	}
}

// record appends an event to the log.
func (c *prefixCache) record(op string, block uint64, now time.Time) {
	c.lastSeq++
	if len(c.events) >= 2*maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents:]...)
	}
	c.events = append(c.events, event{seq: c.lastSeq, at: now, op: op, block: block})
}

// eventsAfter returns at most limit events, oldest first, with numbers above seq and
// times before until.
func (c *prefixCache) eventsAfter(seq int64, until time.Time, limit int) []event {
	var out []event
	for _, e := range c.events {
		if e.seq > seq && e.at.Before(until) && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}

// ComputedBlocks is the set of blocks that any of the engines sharing it has computed.
// It serves to count recomputed tokens. Its methods may be called from any goroutine.
type ComputedBlocks struct {
	mu     sync.Mutex
	blocks map[uint64]struct{}
}

// NewComputedBlocks returns an empty set.
func NewComputedBlocks() *ComputedBlocks { return &ComputedBlocks{blocks: make(map[uint64]struct{})} }

// add adds the blocks and returns the number of tokens in those that were in the set
// already.
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

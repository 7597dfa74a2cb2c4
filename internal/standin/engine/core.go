package engine

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

const maxQueuedIDs = 1 << 20 // ids of requests that an engine remembers

// sequence is one request in the queue or the batch.
type sequence struct {
	id            string
	attempt       int
	priority      int
	arrival       uint64
	context       string // prompt, and the answer before the first token wanted
	generator     completion.TokenGenerator
	blocks        []uint64 // of the context
	contextTokens int      // of the context
	first         int      // index of the first token wanted
	next          int      // index of the next token
	end           int      // index after the last token
	unprefilled   int      // tokens still to prefill
	chunk         int      // of them, prefilled in this step
	cached        int      // of the context, found in the cache
	resumed       bool     // another attempt computed the context already
	stream        *stream
}

// waitQueue orders waiting sequences by priority, then by arrival.
type waitQueue []*sequence

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	s := old[len(old)-1]
	*q = old[:len(old)-1]
	return s
}

// core is the state of one engine: its queue, batch and cache. It has no clock
// of its own and belongs to the engine's task.
type core struct {
	cfg       Config
	epoch     int64
	arrivals  uint64
	waiting   waitQueue
	running   []*sequence
	cache     *prefixCache
	computed  *ComputedBlocks
	exports   map[string][]uint64 // blocks by handle
	orders    orderLog
	queuedIDs map[string]struct{} // ids of requests that were queued
	stats     Stats
}

func newCore(cfg Config, epoch int64) *core {
	return &core{cfg: cfg, epoch: epoch, cache: newPrefixCache(), computed: cfg.Computed, exports: make(map[string][]uint64), queuedIDs: make(map[string]struct{})}
}

// submit queues s.
func (c *core) submit(s *sequence) {
	c.arrivals++
	s.arrival = c.arrivals
	c.stats.Requests++
	if len(c.queuedIDs) < maxQueuedIDs {
		c.queuedIDs[s.id] = struct{}{}
	}
	heap.Push(&c.waiting, s)
}

// admit moves sequences from the queue into free slots of the batch.
func (c *core) admit() {
	for len(c.running) < c.cfg.Slots && len(c.waiting) > 0 {
		s := heap.Pop(&c.waiting).(*sequence)
		cachedBlocks := c.cache.match(s.blocks)
		s.cached = min(cachedBlocks*completion.BlockTokens, s.contextTokens-1)
		s.unprefilled = s.contextTokens - s.cached
		c.stats.CachedTokens += int64(s.cached)
		c.stats.RecomputedTokens += int64(c.countRecomputed(s, cachedBlocks))
		s.stream.cached.Store(int64(s.cached))
		c.running = append(c.running, s)
	}
}

// countRecomputed returns how many of the tokens to prefill had been computed
// before, here or by another engine.
func (c *core) countRecomputed(s *sequence, cachedBlocks int) int {
	known := c.computed.add(s.blocks[cachedBlocks:])
	if s.resumed {
		return s.unprefilled
	}
	return min(known, s.unprefilled)
}

// idle tells whether there is nothing to do.
func (c *core) idle() bool { return len(c.running) == 0 && len(c.waiting) == 0 }

// planStep shares the prefill of the next step among the batch and returns how
// long the step takes.
func (c *core) planStep() time.Duration {
	budget := c.cfg.ChunkTokens
	prefillTokens, decoding := 0, 0
	for _, s := range c.running {
		s.chunk = min(s.unprefilled, budget)
		budget -= s.chunk
		prefillTokens += s.chunk
		if s.unprefilled == 0 {
			decoding++
		}
	}
	d := time.Duration(float64(prefillTokens) / c.cfg.PrefillPerMS * float64(time.Millisecond))
	if decoding > 0 {
		d += time.Duration(float64(c.cfg.DecodeStep) * (1 + c.cfg.BatchGrowth*float64(decoding-1)/float64(c.cfg.Slots)))
	}
	c.stats.PrefilledTokens += int64(prefillTokens)
	c.stats.Steps++
	c.stats.BusyMS += float64(d) / float64(time.Millisecond)
	return d
}

// finishStep applies the step that plan began.
func (c *core) finishStep(now time.Time) {
	c.running = slices.DeleteFunc(c.running, func(s *sequence) bool { return c.advance(s, now) })
	c.evictExcess(now)
}

// advance applies one step to s and reports whether it has left the batch.
func (c *core) advance(s *sequence, now time.Time) bool {
	if s.unprefilled > 0 {
		s.unprefilled -= s.chunk
		if s.unprefilled > 0 {
			return false
		}
		c.cache.insert(s.blocks, now)
	}
	s.next++
	c.stats.GeneratedTokens++
	s.stream.emit(s.next)
	if s.next < s.end {
		return false
	}
	c.cacheSequence(s, now)
	c.stats.Finished++
	s.stream.close(nil)
	return true
}

// cacheSequence leaves the context and the answer so far of s in the cache.
func (c *core) cacheSequence(s *sequence, now time.Time) {
	if s.unprefilled > 0 {
		return
	}
	blocks := completion.BlockHashes(s.fullText())
	c.computed.add(blocks)
	c.cache.insert(blocks, now)
}

// fullText returns the context and the answer so far.
func (s *sequence) fullText() string {
	b := []byte(s.context)
	for i := s.first; i < s.next; i++ {
		b = append(b, s.generator.Token(i)...)
	}
	return string(b)
}

// evictExcess evicts blocks that do not fit beside the answers of the batch.
func (c *core) evictExcess(now time.Time) {
	c.cache.evictTo((c.cfg.CacheTokens-c.uncachedTokens())/completion.BlockTokens, now)
}

// uncachedTokens returns the tokens of the batch that are not in the cache.
func (c *core) uncachedTokens() int {
	n := 0
	for _, s := range c.running {
		n += s.next - s.first
		if s.unprefilled > 0 {
			n += s.contextTokens - s.unprefilled
		}
	}
	return n
}

// cancel removes the sequences of a request and returns how many there were.
// Attempt 0 means all attempts.
func (c *core) cancel(id string, attempt int, now time.Time) int {
	n := c.cancelMatching(func(s *sequence) bool { return s.id == id && (attempt == 0 || attempt == s.attempt) }, now)
	c.stats.Canceled += int64(n)
	return n
}

// cancelMatching ends the sequences that match and returns how many there were.
func (c *core) cancelMatching(match func(*sequence) bool, now time.Time) int {
	n := 0
	cancel := func(s *sequence) bool {
		if !match(s) {
			return false
		}
		n++
		s.stream.close(errCanceled)
		return true
	}
	c.running = slices.DeleteFunc(c.running, func(s *sequence) bool {
		matched := cancel(s)
		if matched {
			c.cacheSequence(s, now)
		}
		return matched
	})
	waitingBefore := len(c.waiting)
	c.waiting = slices.DeleteFunc(c.waiting, cancel)
	if len(c.waiting) < waitingBefore {
		heap.Init(&c.waiting)
	}
	c.evictExcess(now)
	return n
}

// restarted loses everything, as a restart of the engine's process does.
func (c *core) restarted() *core {
	c.cancelMatching(func(*sequence) bool { return true }, time.Time{})
	fresh := newCore(c.cfg, c.epoch+1)
	fresh.stats, fresh.queuedIDs = c.stats, c.queuedIDs
	return fresh
}

// waitingTokens returns the prompt tokens that are still to prefill.
func (c *core) waitingTokens() int {
	n := 0
	for _, s := range c.waiting {
		n += s.contextTokens
	}
	for _, s := range c.running {
		n += s.unprefilled
	}
	return n
}

// findRunning returns the sequence of a request, or nil.
func (c *core) findRunning(id string) *sequence {
	matches := func(s *sequence) bool { return s.id == id }
	if i := slices.IndexFunc(c.running, matches); i >= 0 {
		return c.running[i]
	}
	return nil
}

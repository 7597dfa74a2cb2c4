package engine

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

const maxQueuedIDs = 1 << 20 // request ids kept for PathRan; later ones are not recorded

// sequence is one request in the queue or the batch.
type sequence struct {
	id            string
	attempt       int
	priority      int
	arrival       uint64
	context       string // prompt and, for a resumed response, its text before the first requested token
	generator     completion.TokenGenerator
	blocks        []uint64 // block hashes of context
	contextTokens int      // tokens in context
	first         int      // index of the first requested token
	next          int      // index of the next token to generate
	end           int      // index after the last requested token
	unprefilled   int      // context tokens left to prefill
	chunk         int      // context tokens prefilled in this step
	cached        int      // context tokens found in the cache at admission
	resumed       bool     // an earlier attempt has already computed the context
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

// core is the state of one engine: its queue, batch and cache. Callers pass the time.
// Only the goroutine of Engine.Run uses it.
type core struct {
	cfg       Config
	epoch     int64
	arrivals  uint64
	waiting   waitQueue
	running   []*sequence
	cache     *prefixCache
	computed  *ComputedBlocks
	exports   map[string][]uint64 // block hashes by export handle
	orders    orderLog
	queuedIDs map[string]struct{} // ids of all requests ever queued
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

// countRecomputed returns how many of the tokens to prefill for s were computed
// before, by this engine or another. cachedBlocks is the number of leading blocks found
// in the cache.
func (c *core) countRecomputed(s *sequence, cachedBlocks int) int {
	known := c.computed.add(s.blocks[cachedBlocks:])
	if s.resumed {
		return s.unprefilled
	}
	return min(known, s.unprefilled)
}

// idle reports whether the queue and the batch are empty.
func (c *core) idle() bool { return len(c.running) == 0 && len(c.waiting) == 0 }

// planStep divides the next step's prefill chunk among the batch, in the order of
// admission, and returns the duration of the step.
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

// finishStep applies the step that planStep planned.
func (c *core) finishStep(now time.Time) {
	c.running = slices.DeleteFunc(c.running, func(s *sequence) bool { return c.advance(s, now) })
	c.evictExcess(now)
}

// advance applies one step to s and reports whether s has finished.
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

// cacheSequence inserts the context of s and the response so far into the cache, unless
// the prefill has not finished.
func (c *core) cacheSequence(s *sequence, now time.Time) {
	if s.unprefilled > 0 {
		return
	}
	blocks := completion.BlockHashes(s.fullText())
	c.computed.add(blocks)
	c.cache.insert(blocks, now)
}

// fullText returns the context and the response so far.
func (s *sequence) fullText() string {
	b := []byte(s.context)
	for i := s.first; i < s.next; i++ {
		b = append(b, s.generator.Token(i)...)
	}
	return string(b)
}

// evictExcess evicts blocks until the cached blocks and batchTokens fit in CacheTokens.
func (c *core) evictExcess(now time.Time) {
	c.cache.evictTo((c.cfg.CacheTokens-c.batchTokens())/completion.BlockTokens, now)
}

// batchTokens returns the number of KV tokens counted for the batch besides the cached
// blocks: the generated tokens and, until the prefill of a sequence has finished, its
// context tokens so far. Context tokens found in the cache are also part of a cached
// block, and are counted twice until then.
func (c *core) batchTokens() int {
	n := 0
	for _, s := range c.running {
		n += s.next - s.first
		if s.unprefilled > 0 {
			n += s.contextTokens - s.unprefilled
		}
	}
	return n
}

// cancel cancels the sequences of a request and returns their number. Attempt 0 means
// all attempts.
func (c *core) cancel(id string, attempt int, now time.Time) int {
	n := c.cancelMatching(func(s *sequence) bool { return s.id == id && (attempt == 0 || attempt == s.attempt) }, now)
	c.stats.Canceled += int64(n)
	return n
}

// cancelMatching cancels the queued and running sequences that match and returns their
// number.
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

// restarted cancels all requests and returns the core after a restart of the process:
// empty, with the next epoch. It keeps the statistics and what serves audits (queuedIDs
// and the computed blocks).
func (c *core) restarted() *core {
	c.cancelMatching(func(*sequence) bool { return true }, time.Time{})
	fresh := newCore(c.cfg, c.epoch+1)
	fresh.stats, fresh.queuedIDs = c.stats, c.queuedIDs
	return fresh
}

// waitingTokens returns the number of context tokens left to prefill, counting those of
// queued sequences as uncached.
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

// findRunning returns the sequence of the request in the batch, or nil.
func (c *core) findRunning(id string) *sequence {
	matches := func(s *sequence) bool { return s.id == id }
	if i := slices.IndexFunc(c.running, matches); i >= 0 {
		return c.running[i]
	}
	return nil
}

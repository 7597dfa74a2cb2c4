package engine

import (
	"container/heap"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

const maxRan = 1 << 20 // ids of requests that an engine remembers

// sequence is one request in the queue or the batch.
type sequence struct {
	id       string
	attempt  int
	priority int
	arrival  uint64
	context  string // prompt, and the answer before the first token wanted
	words    completion.TokenGenerator
	blocks   []uint64 // of the context
	tokens   int      // of the context
	first    int      // index of the first token wanted
	next     int      // index of the next token
	end      int      // index after the last token
	left     int      // tokens still to prefill
	chunk    int      // of them, prefilled in this step
	cached   int      // of the context, found in the cache
	resumed  bool     // another attempt computed the context already
	out      *stream
}

// queue orders waiting sequences by priority, then by arrival.
type queue []*sequence

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	s := old[len(old)-1]
	*q = old[:len(old)-1]
	return s
}

// core is the state of one engine: its queue, batch and cache. It has no clock
// of its own and belongs to the engine's task.
type core struct {
	cfg      Config
	epoch    int64
	arrivals uint64
	waiting  queue
	running  []*sequence
	cache    *prefixCache
	seen     *Seen
	exports  map[string][]uint64 // blocks by handle
	orders   orderBook
	ran      map[string]struct{} // ids of requests that were queued
	stats    Stats
}

func newCore(cfg Config, epoch int64) *core {
	return &core{cfg: cfg, epoch: epoch, cache: newPrefixCache(), seen: cfg.Seen, exports: make(map[string][]uint64), ran: make(map[string]struct{})}
}

// submit queues s.
func (c *core) submit(s *sequence) {
	c.arrivals++
	s.arrival = c.arrivals
	c.stats.Requests++
	if len(c.ran) < maxRan {
		c.ran[s.id] = struct{}{}
	}
	heap.Push(&c.waiting, s)
}

// admit moves sequences from the queue into free slots of the batch.
func (c *core) admit() {
	for len(c.running) < c.cfg.Slots && len(c.waiting) > 0 {
		s := heap.Pop(&c.waiting).(*sequence)
		hit := c.cache.match(s.blocks)
		s.cached = min(hit*completion.BlockTokens, s.tokens-1)
		s.left = s.tokens - s.cached
		c.stats.CachedTokens += int64(s.cached)
		c.stats.RecomputedTokens += int64(c.recomputed(s, hit))
		s.out.cached.Store(int64(s.cached))
		c.running = append(c.running, s)
	}
}

// recomputed returns how many of the tokens to prefill had been computed
// before, here or by another engine.
func (c *core) recomputed(s *sequence, hit int) int {
	again := c.seen.add(s.blocks[hit:])
	if s.resumed {
		return s.left
	}
	return min(again, s.left)
}

// idle tells whether there is nothing to do.
func (c *core) idle() bool { return len(c.running) == 0 && len(c.waiting) == 0 }

// plan shares the prefill of the next step among the batch and returns how
// long the step takes.
func (c *core) plan() time.Duration {
	budget := c.cfg.ChunkTokens
	prefill, decoding := 0, 0
	for _, s := range c.running {
		s.chunk = min(s.left, budget)
		budget -= s.chunk
		prefill += s.chunk
		if s.left == 0 {
			decoding++
		}
	}
	d := time.Duration(float64(prefill) / c.cfg.PrefillPerMS * float64(time.Millisecond))
	if decoding > 0 {
		d += time.Duration(float64(c.cfg.Decode) * (1 + c.cfg.BatchGrowth*float64(decoding-1)/float64(c.cfg.Slots)))
	}
	c.stats.PrefilledTokens += int64(prefill)
	c.stats.Steps++
	c.stats.BusyMS += float64(d) / float64(time.Millisecond)
	return d
}

// finish applies the step that plan began.
func (c *core) finish(now time.Time) {
	c.running = slices.DeleteFunc(c.running, func(s *sequence) bool { return c.advance(s, now) })
	c.shrink(now)
}

// advance applies one step to s and reports whether it has left the batch.
func (c *core) advance(s *sequence, now time.Time) bool {
	if s.left > 0 {
		s.left -= s.chunk
		if s.left > 0 {
			return false
		}
		c.cache.insert(s.blocks, now)
	}
	s.next++
	c.stats.GeneratedTokens++
	s.out.emit(s.next)
	if s.next < s.end {
		return false
	}
	c.keep(s, now)
	c.stats.Finished++
	s.out.close(nil)
	return true
}

// keep leaves the context and the answer so far of s in the cache.
func (c *core) keep(s *sequence, now time.Time) {
	if s.left > 0 {
		return
	}
	blocks := completion.BlockHashes(s.text())
	c.seen.add(blocks)
	c.cache.insert(blocks, now)
}

// text returns the context and the answer so far.
func (s *sequence) text() string {
	b := []byte(s.context)
	for i := s.first; i < s.next; i++ {
		b = append(b, s.words.Token(i)...)
	}
	return string(b)
}

// shrink evicts blocks that do not fit beside the answers of the batch.
func (c *core) shrink(now time.Time) {
	c.cache.shrink((c.cfg.CacheTokens-c.privateTokens())/completion.BlockTokens, now)
}

// privateTokens returns the tokens of the batch that are not in the cache.
func (c *core) privateTokens() int {
	n := 0
	for _, s := range c.running {
		n += s.next - s.first
		if s.left > 0 {
			n += s.tokens - s.left
		}
	}
	return n
}

// cancel removes the sequences of a request and returns how many there were.
// Attempt 0 means all attempts.
func (c *core) cancel(id string, attempt int, now time.Time) int {
	n := c.remove(func(s *sequence) bool { return s.id == id && (attempt == 0 || attempt == s.attempt) }, now)
	c.stats.Canceled += int64(n)
	return n
}

// remove ends the sequences that match and returns how many there were.
func (c *core) remove(match func(*sequence) bool, now time.Time) int {
	n := 0
	end := func(s *sequence) bool {
		if !match(s) {
			return false
		}
		n++
		s.out.close(errCanceled)
		return true
	}
	c.running = slices.DeleteFunc(c.running, func(s *sequence) bool {
		hit := end(s)
		if hit {
			c.keep(s, now)
		}
		return hit
	})
	before := len(c.waiting)
	c.waiting = slices.DeleteFunc(c.waiting, end)
	if len(c.waiting) < before {
		heap.Init(&c.waiting)
	}
	c.shrink(now)
	return n
}

// restart loses everything, as a restart of the engine's process does.
func (c *core) restart() *core {
	c.remove(func(*sequence) bool { return true }, time.Time{})
	next := newCore(c.cfg, c.epoch+1)
	next.stats, next.ran = c.stats, c.ran
	return next
}

// waitingTokens returns the prompt tokens that are still to prefill.
func (c *core) waitingTokens() int {
	n := 0
	for _, s := range c.waiting {
		n += s.tokens
	}
	for _, s := range c.running {
		n += s.left
	}
	return n
}

// find returns the sequence of a request, or nil.
func (c *core) find(id string) *sequence {
	same := func(s *sequence) bool { return s.id == id }
	if i := slices.IndexFunc(c.running, same); i >= 0 {
		return c.running[i]
	}
	return nil
}

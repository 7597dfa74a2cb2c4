package place

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const (
	// keptPart is the part of an engine's memory in which prompts are taken to
	// be kept; the rest is for running requests.
	keptPart = 0.7
	// keptFor bounds how long a part counts as kept without being used.
	keptFor = 30 * time.Second
	// maxKept bounds the parts remembered for one upstream.
	maxKept = 4096
	// maxTold bounds the parts remembered to be told to other daemons.
	maxTold = 512
)

// Kept tells that an upstream has read a part of a prompt.
type Kept struct {
	Part     uint64
	Upstream string
}

// cache is what an upstream is taken to keep of prompts.
type cache struct {
	limit int // tokens; 0 if not known
	used  map[uint64]kept
	sum   int
}

type kept struct {
	tokens int
	at     time.Duration // of the last use
}

func newCache() *cache { return &cache{used: make(map[uint64]kept)} }

// missing returns the tokens from the first part on that is not kept.
func (c *cache) missing(prompt []Part, now time.Duration) int {
	sum, whole := 0, true
	for _, part := range prompt {
		if whole {
			k, ok := c.used[part.ID]
			whole = ok && now-k.at < keptFor
		}
		if !whole {
			sum += part.Tokens
		}
	}
	return sum
}

// add notes that a part was read. The oldest parts yield.
func (c *cache) add(id uint64, tokens int, now time.Duration) {
	if old, ok := c.used[id]; ok {
		c.sum -= old.tokens
		tokens = max(tokens, old.tokens)
	}
	c.used[id] = kept{tokens, now}
	c.sum += tokens
	for len(c.used) > 1 && (len(c.used) > maxKept || c.limit > 0 && float64(c.sum) > keptPart*float64(c.limit)) {
		c.dropOldest()
	}
}

// dropOldest drops the least recently used part and those of about its age.
func (c *cache) dropOldest() {
	oldest, id := time.Duration(1<<62), uint64(0)
	for i, k := range c.used {
		if k.at < oldest {
			oldest, id = k.at, i
		}
	}
	c.sum -= c.used[id].tokens
	delete(c.used, id)
}

// keep notes that an upstream will read a prompt. The caller holds mu.
func (p *Placer) keep(s *state, prompt []Part, now time.Duration) {
	for i, part := range prompt {
		s.cache.add(part.ID, part.Tokens, now)
		if shared := i < len(prompt)-1; shared {
			p.told.add(Kept{part.ID, s.up.ID})
		}
	}
}

// told is the list of parts that other daemons are to learn of.
type told struct {
	list []Kept
	base uint64            // number of the first of list
	next map[string]uint64 // by daemon, number of the first that it was not told
}

func (t *told) add(k Kept) {
	if len(t.list) == maxTold {
		t.list = append(t.list[:0], t.list[maxTold/2:]...)
		t.base += maxTold / 2
	}
	t.list = append(t.list, k)
}

// Told returns the shared parts that upstreams have read for this daemon since
// the call before for the same other daemon. A few may be left out.
func (p *Placer) Told(daemon string) []Kept {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := max(p.told.next[daemon], p.told.base) - p.told.base
	p.told.next[daemon] = p.told.base + uint64(len(p.told.list))
	return append([]Kept(nil), p.told.list[from:]...)
}

// LearnKept takes in what upstreams have read for another daemon.
func (p *Placer) LearnKept(list []Kept, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range list {
		u := p.ros.Get(k.Upstream)
		if u == nil {
			continue
		}
		if s := p.states[roster.Key{ID: u.ID, Born: u.Born}]; s != nil {
			s.cache.add(k.Part, 0, now)
		}
	}
}

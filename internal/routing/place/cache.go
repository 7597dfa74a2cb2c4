package place

import (
	"time"
)

const (
	// cacheFraction is the part of an engine's memory in which prompts are taken to
	// be kept; the rest is for running requests.
	cacheFraction = 0.7
	// cacheTTL bounds how long a part counts as kept without being used.
	cacheTTL = 30 * time.Second
	// maxCached bounds the parts remembered for one upstream.
	maxCached = 4096
)

// prefixCache is what an upstream is taken to keep of prompts.
type prefixCache struct {
	limit   int // tokens; 0 if not known
	entries map[uint64]cacheEntry
	tokens  int
}

type cacheEntry struct {
	tokens   int
	lastUsed time.Duration // of the last use
}

func newCache() *prefixCache { return &prefixCache{entries: make(map[uint64]cacheEntry)} }

// uncached returns the tokens from the first part on that is not kept; so many at the
// start are kept for certain.
func (c *prefixCache) uncached(prompt []Segment, leading int, now time.Duration) int {
	tokens, hit := 0, true
	for i, segment := range prompt {
		if hit && i >= leading {
			entry, ok := c.entries[segment.ID]
			hit = ok && now-entry.lastUsed < cacheTTL
		}
		if !hit {
			tokens += segment.Tokens
		}
	}
	return tokens
}

// add notes that a part was read. The oldest parts yield.
func (c *prefixCache) add(id uint64, tokens int, now time.Duration) {
	if old, ok := c.entries[id]; ok {
		c.tokens -= old.tokens
		tokens = max(tokens, old.tokens)
	}
	c.entries[id] = cacheEntry{tokens, now}
	c.tokens += tokens
	for len(c.entries) > 1 && (len(c.entries) > maxCached || c.limit > 0 && float64(c.tokens) > cacheFraction*float64(c.limit)) {
		c.evictOldest()
	}
}

// evictOldest drops the least recently used part and those of about its age.
func (c *prefixCache) evictOldest() {
	lastUsed, id := time.Duration(1<<62), uint64(0)
	for key, entry := range c.entries {
		if entry.lastUsed < lastUsed {
			lastUsed, id = entry.lastUsed, key
		}
	}
	c.tokens -= c.entries[id].tokens
	delete(c.entries, id)
}

// expire drops the parts that were not used for long.
func (c *prefixCache) expire(now time.Duration) {
	for id, entry := range c.entries {
		if now-entry.lastUsed >= cacheTTL {
			c.tokens -= entry.tokens
			delete(c.entries, id)
		}
	}
}

// cachePrompt notes that an upstream will read a prompt.
func (s *upstreamState) cachePrompt(prompt []Segment, now time.Duration) {
	for _, segment := range prompt {
		s.cache.add(segment.ID, segment.Tokens, now)
	}
}

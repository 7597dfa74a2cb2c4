package place

import (
	"time"
)

const (
	// cacheMemoryFraction is the fraction of an engine's memory assumed to hold cached
	// prompts. The rest is for running requests.
	cacheMemoryFraction = 0.7
	// cacheTTL is how long an unused segment is assumed to stay cached.
	cacheTTL = 30 * time.Second
	// maxCachedSegments bounds the segments tracked per upstream.
	maxCachedSegments = 4096
)

// prefixCache estimates which prompt segments an upstream has cached.
type prefixCache struct {
	limit   int                   // cache size in tokens; 0 if unknown
	entries map[uint64]cacheEntry // by segment ID
	tokens  int
}

type cacheEntry struct {
	tokens   int
	lastUsed time.Duration
}

func newPrefixCache() *prefixCache { return &prefixCache{entries: make(map[uint64]cacheEntry)} }

// uncached returns the tokens from the first segment that is not cached to the end of
// the prompt. The first leading segments are assumed to be cached.
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

// add records that a segment was prefilled, and evicts the least recently used ones if
// the cache is full.
func (c *prefixCache) add(id uint64, tokens int, now time.Duration) {
	if old, ok := c.entries[id]; ok {
		c.tokens -= old.tokens
		tokens = max(tokens, old.tokens)
	}
	c.entries[id] = cacheEntry{tokens, now}
	c.tokens += tokens
	for len(c.entries) > 1 && (len(c.entries) > maxCachedSegments || c.limit > 0 && float64(c.tokens) > cacheMemoryFraction*float64(c.limit)) {
		c.evictOldest()
	}
}

// evictOldest drops the least recently used segment.
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

// expire drops the segments that were not used for cacheTTL.
func (c *prefixCache) expire(now time.Duration) {
	for id, entry := range c.entries {
		if now-entry.lastUsed >= cacheTTL {
			c.tokens -= entry.tokens
			delete(c.entries, id)
		}
	}
}

// cachePrompt records that the upstream will prefill a prompt.
func (s *upstreamState) cachePrompt(prompt []Segment, now time.Duration) {
	for _, segment := range prompt {
		s.cache.add(segment.ID, segment.Tokens, now)
	}
}

package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

func newTestCore(cfg Config) *core {
	cfg.setDefaults()
	return newCore(cfg, 1)
}

func newTestSequence(id, prompt string, priority, end int) *sequence {
	s := &sequence{id: id, priority: priority, context: prompt, end: end, stream: newStream(0)}
	s.generator = completion.NewTokenGenerator(prompt)
	s.blocks = completion.BlockHashes(prompt)
	s.contextTokens = completion.CountTokens(prompt)
	return s
}

// Sequences enter the batch by priority, not by arrival. A step takes the prefill time
// of its chunk, or the decode time lengthened by the size of the batch.
func TestBatchSharesStepsAndFollowsPriority(t *testing.T) {
	c := newTestCore(Config{Slots: 2, PrefillPerMS: 1, DecodeStep: 10 * time.Millisecond, BatchGrowth: 1, ChunkTokens: 4})
	c.submit(newTestSequence("lot", "12345678", 0, 2))
	c.submit(newTestSequence("normal", "abcdefgh", 1, 2))
	c.submit(newTestSequence("urgent", "ABCDEFGH", 2, 2))
	c.admit()
	assert.Equal(t, c.running[0].id, "urgent")
	assert.Equal(t, c.running[1].id, "normal")
	assert.Equal(t, c.planStep(), 4*time.Millisecond, "both prompts fit in one chunk")
	c.finishStep(time.Time{})
	assert.Equal(t, c.planStep(), 15*time.Millisecond, "both slots decode")
	c.finishStep(time.Time{})
	assert.Equal(t, len(c.running), 0)
	c.admit()
	assert.Equal(t, c.running[0].id, "lot")
}

// When blocks exceed the memory, the ends of the least recently used prefixes are evicted
// first, so that the remaining blocks can still be matched.
func TestCacheEvictsLeastRecentSuffixesFirst(t *testing.T) {
	c := newTestCore(Config{CacheTokens: 8 * completion.BlockTokens})
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	c.cache.insert(blocks, time.Time{})
	c.evictExcess(time.Time{})
	assert.Equal(t, c.cache.match(blocks), 8)
	c.cache.insert([]uint64{100, 101}, time.Time{})
	c.evictExcess(time.Time{})
	assert.Equal(t, len(c.cache.blocks), 8)
	assert.Equal(t, c.cache.match([]uint64{100, 101}), 2)
	assert.Equal(t, c.cache.match(blocks), 6)
}

package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
)

// The same seed gives the same requests, so that all variants get the same load; another seed gives
// others.
func TestRequestsAreDeterministic(t *testing.T) {
	for i := range Mixes {
		m := &Mixes[i]
		s := &Scenario{Name: "s", FloodFactor: 2, ShiftInterval: time.Second}
		first := GenerateRequests(m, s, 50, 3*time.Second, 1)
		second := GenerateRequests(m, s, 50, 3*time.Second, 1)
		assert.DeepEqual(t, first, second)
		assert.Assert(t, len(first) > 100)
		assert.Assert(t, GenerateRequests(m, s, 50, 3*time.Second, 2)[0].Prompt != first[0].Prompt)
	}
}

// More than half of the prompt blocks of a mix have occurred before, so that routing by cached
// prefixes matters, but not all of them.
func TestPromptsSharePrefixes(t *testing.T) {
	for i := range Mixes {
		seen := make(map[uint64]bool)
		shared, all := 0, 0
		for _, r := range GenerateRequests(&Mixes[i], &Scenario{}, 50, 4*time.Second, 1) {
			for _, block := range completion.BlockHashes(r.Prompt) {
				all++
				if seen[block] {
					shared++
				}
				seen[block] = true
			}
		}
		assert.Assert(t, shared > all/2 && shared < all, "%s: %d of %d", Mixes[i].Name, shared, all)
	}
}

// Every request after the warm-up counts once: as complete, not-run or incomplete. Requests during the
// warm-up don't count.
func TestRowCountsEveryRequestOnce(t *testing.T) {
	results := []result{
		{customer: 1, arrival: time.Second, outcome: string(call.Answered), complete: true, firstToken: 100 * time.Millisecond},
		{customer: 1, arrival: time.Second, outcome: string(call.Answered), complete: true, firstToken: time.Second},
		{customer: floodingCustomer, arrival: time.Second, outcome: string(call.NotRun)},
		{customer: 1, arrival: time.Second, outcome: string(call.Unknown)},
		{customer: 1, arrival: 0, outcome: string(call.NotRun)}, // before the warm-up ends
	}
	row := summarize(results, time.Second)
	assert.Equal(t, row.Requests, 4)
	assert.Equal(t, row.NotRun, 1)
	assert.Equal(t, row.Incomplete, 1)
	assert.Equal(t, row.OnTime, 0.25)
	assert.Assert(t, !row.meetsTarget())
}

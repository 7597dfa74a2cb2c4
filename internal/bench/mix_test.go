package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
)

func TestRequestsAreDeterministic(t *testing.T) {
	for i := range Mixes {
		m := &Mixes[i]
		s := &Scenario{Name: "s", FloodFactor: 2, ShiftInterval: time.Second}
		a := GenerateRequests(m, s, 50, 3*time.Second, 1)
		b := GenerateRequests(m, s, 50, 3*time.Second, 1)
		assert.DeepEqual(t, a, b)
		assert.Assert(t, len(a) > 100)
		assert.Assert(t, GenerateRequests(m, s, 50, 3*time.Second, 2)[0].Prompt != a[0].Prompt)
	}
}

func TestPromptsSharePrefixes(t *testing.T) {
	for i := range Mixes {
		seen := make(map[uint64]bool)
		shared, all := 0, 0
		for _, a := range GenerateRequests(&Mixes[i], &Scenario{}, 50, 4*time.Second, 1) {
			for _, b := range completion.BlockHashes(a.Prompt) {
				all++
				if seen[b] {
					shared++
				}
				seen[b] = true
			}
		}
		assert.Assert(t, shared > all/2 && shared < all, "%s: %d of %d", Mixes[i].Name, shared, all)
	}
}

func TestRowCountsEveryRequestOnce(t *testing.T) {
	results := []result{
		{customer: 1, arrival: time.Second, outcome: string(call.Answered), complete: true, firstToken: 100 * time.Millisecond},
		{customer: 1, arrival: time.Second, outcome: string(call.Answered), complete: true, firstToken: time.Second},
		{customer: floodingCustomer, arrival: time.Second, outcome: string(call.NotRun)},
		{customer: 1, arrival: time.Second, outcome: string(call.Unknown)},
		{customer: 1, arrival: 0, outcome: string(call.NotRun)}, // before the warm-up ends
	}
	r := summarize(results, time.Second)
	assert.Equal(t, r.Requests, 4)
	assert.Equal(t, r.NotRun, 1)
	assert.Equal(t, r.Incomplete, 1)
	assert.Equal(t, r.OnTime, 0.25)
	assert.Assert(t, !r.meetsTarget())
}

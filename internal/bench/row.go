package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

// Row holds the results of one variant in one scenario. Latencies are in milliseconds.
type Row struct {
	Mix, Scenario, Variant string
	Upstreams              int
	Requests               int
	FirstP50, FirstP95     float64 // time to the first token
	FirstP99               float64
	BetweenP95             float64 // time between two tokens
	OnTime                 float64 // fraction of all requests that were complete with the first token within the target
	NotRun                 int
	Incomplete             int // neither complete nor not-run: broken off, lost or wrong
	RecomputedTokens       int64
	PrefilledTokens        int64
	OthersFirstP95         float64 // as FirstP95, of the customers other than the flooding one
	OthersOnTime           float64
	Routing                routing.Stats
	CostAtTarget           float64 // price an hour of the cheapest fleet that meets the target; 0 if not searched or not found
}

// summarize returns the results of the requests that arrived after the warm-up. Sets neither the
// names nor the token counters of the row.
func summarize(results []result, warmup time.Duration) Row {
	r := Row{}
	var firstTokens, tokenGaps, othersFirstTokens []time.Duration
	onTime, othersRequests, othersOnTime := 0, 0, 0
	for i := range results {
		res := &results[i]
		if res.arrival < warmup {
			continue
		}
		r.Requests++
		onTimeRequest := res.complete && res.firstToken <= firstTokenMS*time.Millisecond
		if res.customer != floodingCustomer {
			othersRequests++
		}
		switch {
		case res.complete:
			firstTokens = append(firstTokens, res.firstToken)
			tokenGaps = append(tokenGaps, res.tokenGaps...)
			if res.customer != floodingCustomer {
				othersFirstTokens = append(othersFirstTokens, res.firstToken)
			}
		case res.outcome == string(call.NotRun):
			r.NotRun++
		default:
			r.Incomplete++
		}
		if onTimeRequest {
			onTime++
			if res.customer != floodingCustomer {
				othersOnTime++
			}
		}
	}
	r.FirstP50, r.FirstP95, r.FirstP99 = quantile(firstTokens, 0.5), quantile(firstTokens, 0.95), quantile(firstTokens, 0.99)
	r.BetweenP95 = quantile(tokenGaps, 0.95)
	r.OthersFirstP95 = quantile(othersFirstTokens, 0.95)
	r.OnTime = float64(onTime) / float64(max(r.Requests, 1))
	r.OthersOnTime = float64(othersOnTime) / float64(max(othersRequests, 1))
	return r
}

// quantile returns the q-quantile in milliseconds, 0 for no values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := min(int(q*float64(len(values))), len(values)-1)
	return float64(values[i]) / float64(time.Millisecond)
}

// meetsTarget reports whether at least 95 % of the requests were on time and the 95th percentile of
// the time between tokens is within the target.
func (r *Row) meetsTarget() bool {
	return r.OnTime >= 0.95 && r.BetweenP95 <= betweenTokensMS
}

// String formats the row as key=value pairs.
func (r Row) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "mix=%s scenario=%s policy=%s runners=%d requests=%d", r.Mix, r.Scenario, r.Variant, r.Upstreams, r.Requests)
	fmt.Fprintf(&b, " first_p50_ms=%.0f first_p95_ms=%.0f first_p99_ms=%.0f between_p95_ms=%.1f", r.FirstP50, r.FirstP95, r.FirstP99, r.BetweenP95)
	fmt.Fprintf(&b, " on_time=%.3f not_run=%d cut=%d recomputed_tokens=%d prefilled_tokens=%d", r.OnTime, r.NotRun, r.Incomplete, r.RecomputedTokens, r.PrefilledTokens)
	fmt.Fprintf(&b, " others_first_p95_ms=%.0f others_on_time=%.3f", r.OthersFirstP95, r.OthersOnTime)
	switch {
	case r.CostAtTarget > 0:
		fmt.Fprintf(&b, " cost_at_target=%.2f", r.CostAtTarget)
	case r.Scenario == costScenario:
		b.WriteString(" cost_at_target=none")
	}
	return b.String()
}

package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

// Row is the measurement of one variant in one scenario.
type Row struct {
	Mix, Scenario, Variant string
	Upstreams              int
	Requests               int
	FirstP50, FirstP95     float64 // milliseconds to the first token
	FirstP99               float64
	BetweenP95             float64 // milliseconds between tokens
	OnTime                 float64 // share of all requests: whole, first token within the target
	NotRun                 int
	Incomplete             int // begun and not ended, lost or wrong
	RecomputedTokens       int64
	PrefilledTokens        int64
	OthersFirstP95         float64 // milliseconds, of the customers that do not flood
	OthersOnTime           float64
	Routing                routing.Stats
	CostAtTarget           float64 // price an hour of the cheapest fleet; 0 where not searched
}

// summarize sums up how the requests after warm ended.
func summarize(results []result, warm time.Duration) Row {
	r := Row{}
	var first, between, others []time.Duration
	onTime, othersAll, othersOnTime := 0, 0, 0
	for i := range results {
		e := &results[i]
		if e.arrival < warm {
			continue
		}
		r.Requests++
		good := e.complete && e.firstToken <= firstTokenMS*time.Millisecond
		if e.customer != floodingCustomer {
			othersAll++
		}
		switch {
		case e.complete:
			first = append(first, e.firstToken)
			between = append(between, e.tokenGaps...)
			if e.customer != floodingCustomer {
				others = append(others, e.firstToken)
			}
		case e.outcome == string(call.NotRun):
			r.NotRun++
		default:
			r.Incomplete++
		}
		if good {
			onTime++
			if e.customer != floodingCustomer {
				othersOnTime++
			}
		}
	}
	r.FirstP50, r.FirstP95, r.FirstP99 = quantile(first, 0.5), quantile(first, 0.95), quantile(first, 0.99)
	r.BetweenP95 = quantile(between, 0.95)
	r.OthersFirstP95 = quantile(others, 0.95)
	r.OnTime = float64(onTime) / float64(max(r.Requests, 1))
	r.OthersOnTime = float64(othersOnTime) / float64(max(othersAll, 1))
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

// meetsTarget tells whether 95 in 100 requests got the first token in time and
// 95 in 100 gaps between tokens were short enough.
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

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
	Runners                int
	Requests               int
	First50, First95       float64 // milliseconds to the first token
	First99                float64
	Between95              float64 // milliseconds between tokens
	OnTime                 float64 // share of all requests: whole, first token within the target
	NotRun                 int
	Cut                    int // begun and not ended, lost or wrong
	Recomputed             int64
	Prefilled              int64
	OthersFirst95          float64 // milliseconds, of the customers that do not flood
	OthersOnTime           float64
	Routed                 routing.Stats
	CostAtTarget           float64 // price an hour of the cheapest fleet; 0 where not searched
}

// newRow sums up how the requests after warm ended.
func newRow(results []ended, warm time.Duration) Row {
	r := Row{}
	var first, between, others []time.Duration
	onTime, othersAll, othersOnTime := 0, 0, 0
	for i := range results {
		e := &results[i]
		if e.at < warm {
			continue
		}
		r.Requests++
		good := e.whole && e.first <= firstTokenMS*time.Millisecond
		if e.customer != floodCustomer {
			othersAll++
		}
		switch {
		case e.whole:
			first = append(first, e.first)
			between = append(between, e.between...)
			if e.customer != floodCustomer {
				others = append(others, e.first)
			}
		case e.outcome == string(call.NotRun):
			r.NotRun++
		default:
			r.Cut++
		}
		if good {
			onTime++
			if e.customer != floodCustomer {
				othersOnTime++
			}
		}
	}
	r.First50, r.First95, r.First99 = quantile(first, 0.5), quantile(first, 0.95), quantile(first, 0.99)
	r.Between95 = quantile(between, 0.95)
	r.OthersFirst95 = quantile(others, 0.95)
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
	return r.OnTime >= 0.95 && r.Between95 <= betweenMS
}

// String formats the row as key=value pairs.
func (r Row) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "mix=%s scenario=%s policy=%s runners=%d requests=%d", r.Mix, r.Scenario, r.Variant, r.Runners, r.Requests)
	fmt.Fprintf(&b, " first_p50_ms=%.0f first_p95_ms=%.0f first_p99_ms=%.0f between_p95_ms=%.1f", r.First50, r.First95, r.First99, r.Between95)
	fmt.Fprintf(&b, " on_time=%.3f not_run=%d cut=%d recomputed_tokens=%d prefilled_tokens=%d", r.OnTime, r.NotRun, r.Cut, r.Recomputed, r.Prefilled)
	fmt.Fprintf(&b, " others_first_p95_ms=%.0f others_on_time=%.3f", r.OthersFirst95, r.OthersOnTime)
	switch {
	case r.CostAtTarget > 0:
		fmt.Fprintf(&b, " cost_at_target=%.2f", r.CostAtTarget)
	case r.Scenario == costScenario:
		b.WriteString(" cost_at_target=none")
	}
	return b.String()
}

package obs

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// Report holds the counters and histograms of a daemon since it started.
type Report struct {
	Since     time.Time        `json:"since"`
	Groups    []GroupReport    `json:"groups"`
	Upstreams []UpstreamReport `json:"upstreams"`
}

// GroupReport covers the requests of one customer and class.
type GroupReport struct {
	Customer      string         `json:"customer"`
	Class         manifest.Class `json:"class"`
	Counters      Counters       `json:"counters"`
	FirstToken    Quantiles      `json:"first_token"`
	BetweenTokens Quantiles      `json:"between_tokens"`
	Total         Quantiles      `json:"total"`
}

// UpstreamReport covers the requests whose last attempt was sent to one upstream.
type UpstreamReport struct {
	Upstream string   `json:"upstream"`
	Counters Counters `json:"counters"`
}

// Quantiles summarizes a histogram, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

func newQuantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}

package node

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonmux/lagoonmux/internal/proxy"
)

const (
	// Histograms hold milliseconds up to the longest time-out of a route.
	maxMillis       = 120_000
	histogramDigits = 2
	// maxSeries bounds the distinct label sets of counters and of histograms.
	maxSeries = 2000
)

// series names one counter or histogram by customer, kind of request and cause.
type series struct{ customer, kind, cause string }

// metrics are counters and histograms of requests. Any goroutine may use them.
type metrics struct {
	mu       sync.Mutex
	counts   map[series]int64
	first    map[series]*hdrhistogram.Histogram
	leftOut  int64
	repeated int64
}

func newMetrics() *metrics {
	return &metrics{counts: make(map[series]int64), first: make(map[series]*hdrhistogram.Histogram)}
}

// cause names what became of a request.
func cause(r *proxy.Record) string {
	switch {
	case r.Gone:
		return "caller_left"
	case r.Cut:
		return "cut"
	case r.Status >= 200 && r.Status < 300 && r.Late:
		return "answered_late"
	case r.Status >= 200 && r.Status < 300:
		return "answered"
	}
	return fmt.Sprintf("status_%d", r.Status)
}

// add counts a request that has ended.
func (m *metrics) add(r *proxy.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := series{r.Customer, r.Kind.String(), cause(r)}
	if _, ok := m.counts[s]; !ok && len(m.counts) >= maxSeries {
		m.leftOut++
		return
	}
	m.counts[s]++
	m.repeated += int64(max(r.Sends-1, 0))
	if r.First.IsZero() {
		return
	}
	key := series{customer: r.Customer, kind: r.Kind.String()}
	h := m.first[key]
	if h == nil {
		h = hdrhistogram.New(1, maxMillis, histogramDigits)
		m.first[key] = h
	}
	_ = h.RecordValue(min(max(int64(r.First.Sub(r.Arrived)/time.Millisecond), 1), maxMillis))
}

// write prints all metrics, one a line.
func (m *metrics) write(w io.Writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lines []string
	for s, n := range m.counts {
		lines = append(lines, fmt.Sprintf("lagoonmux_requests_total{customer=%q,kind=%q,cause=%q} %d", s.customer, s.kind, s.cause, n))
	}
	for s, h := range m.first {
		for _, q := range []float64{50, 95, 99, 100} {
			lines = append(lines, fmt.Sprintf("lagoonmux_first_ms{customer=%q,kind=%q,quantile=\"%g\"} %d", s.customer, s.kind, q/100, h.ValueAtQuantile(q)))
		}
	}
	slices.Sort(lines)
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
	_, _ = fmt.Fprintf(w, "lagoonmux_repeated_total %d\nlagoonmux_series_left_out_total %d\n", m.repeated, m.leftOut)
}

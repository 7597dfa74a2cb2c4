package node

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonmux/lagoonmux/internal/invariant"
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
	mu         sync.Mutex
	counts     map[series]int64
	first      map[series]*hdrhistogram.Histogram
	upstream   map[tried]int64
	leftOut    int64
	unanswered atomic.Int64 // questions that no hub has answered
	repeated   int64        // sends beyond the first of each request
	resumed    int64        // streams that went on at another upstream
	read       int64        // prompt tokens that first sends made upstreams read
	again      int64        // the same of later sends
}

// tried names one upstream and how attempts there ended.
type tried struct{ upstream, end string }

func newMetrics() *metrics {
	return &metrics{counts: make(map[series]int64), first: make(map[series]*hdrhistogram.Histogram),
		upstream: make(map[tried]int64)}
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
	m.addAttempts(r)
	s := series{r.Customer, r.Kind.String(), cause(r)}
	if _, ok := m.counts[s]; !ok && len(m.counts) >= maxSeries {
		m.leftOut++
		return
	}
	m.counts[s]++
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

// addAttempts counts where a request was sent. The caller holds mu.
func (m *metrics) addAttempts(r *proxy.Record) {
	m.repeated += int64(max(r.Sends-1, 0))
	if r.Resumed {
		m.resumed++
	}
	for i, a := range r.Attempts {
		if i == 0 {
			m.read += int64(a.Prefill)
		} else {
			m.again += int64(a.Prefill)
		}
		key := tried{a.Upstream, a.End}
		if _, ok := m.upstream[key]; !ok && len(m.upstream) >= maxSeries {
			m.upstream = make(map[tried]int64) // most are of upstreams that are gone
		}
		m.upstream[key]++
	}
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
	for t, n := range m.upstream {
		lines = append(lines, fmt.Sprintf("lagoonmux_attempts_total{upstream=%q,end=%q} %d", t.upstream, t.end, n))
	}
	for name, n := range map[string]int64{
		"repeated_total": m.repeated, "resumed_total": m.resumed, "prompt_tokens_read_total": m.read,
		"prompt_tokens_read_again_total": m.again, "series_left_out_total": m.leftOut, "invariants_broken_total": invariant.Count(),
		"questions_unanswered_total": m.unanswered.Load(),
	} {
		lines = append(lines, fmt.Sprintf("lagoonmux_%s %d", name, n))
	}
	slices.Sort(lines)
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
}

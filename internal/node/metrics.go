package node

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonmux/lagoonmux/internal/admission"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
	"github.com/lagoonmux/lagoonmux/internal/proxy"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
)

const (
	// maxMillis is the upper bound of the histograms, the longest timeout of a route.
	maxMillis = 120_000
	// histogramDigits is the number of significant digits that the histograms keep.
	histogramDigits = 2
	// maxSeries bounds the number of label sets of each metric.
	maxSeries = 2000
)

// series is the label set of a request counter or histogram; histograms have no cause.
type series struct{ customer, kind, cause string }

// metrics holds counters and histograms of requests. Its methods may be called from any
// goroutine.
type metrics struct {
	mu                  sync.Mutex
	requests            map[series]int64                   // requests by label set
	firstEvent          map[series]*hdrhistogram.Histogram // milliseconds until the first event or the response
	attempts            map[attemptKey]int64               // attempts by upstream and result
	uncountedRequests   int64                              // requests not counted because of maxSeries
	unansweredQuestions atomic.Int64                       // questions that no hub has answered
	shed                map[shedKey]int64                  // requests that admission rejected
	broken              map[quarantine.Stage]int64         // responses that upstreams broke off
	malformed           atomic.Int64                       // responses that were not valid HTTP
	retries             int64                              // sends beyond the first of each request
	resumed             int64                              // streams that were resumed at another upstream
	prefillTokens       int64                              // prompt tokens prefilled by upstreams for first attempts
	retryPrefillTokens  int64                              // prompt tokens prefilled for later attempts
	customerCost        *customerCost
	hedges              *hedgeMetrics // nil if hedging is off
}

// shedKey is the label set of a counter of requests that admission rejected.
type shedKey struct {
	service string
	class   int
	cause   admission.Cause
}

// attemptKey is the label set of an attempt counter: an upstream and how attempts there
// ended.
type attemptKey struct{ upstream, end string }

func newMetrics() *metrics {
	return &metrics{requests: make(map[series]int64), firstEvent: make(map[series]*hdrhistogram.Histogram),
		attempts: make(map[attemptKey]int64), broken: make(map[quarantine.Stage]int64), shed: make(map[shedKey]int64),
		customerCost: newCustomerCost()}
}

// causeLabel returns the value of the cause label: how a request ended.
func causeLabel(r *proxy.Record) string {
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
	if r.Shed != "" {
		m.shed[shedKey{r.Service, r.Class, r.Shed}]++
	}
	m.hedges.add(r.Hedge)
	s := series{r.Customer, r.Kind.String(), causeLabel(r)}
	if _, ok := m.requests[s]; !ok && len(m.requests) >= maxSeries {
		m.uncountedRequests++
		return
	}
	m.requests[s]++
	if r.First.IsZero() {
		return
	}
	key := series{customer: r.Customer, kind: r.Kind.String()}
	h := m.firstEvent[key]
	if h == nil {
		h = hdrhistogram.New(1, maxMillis, histogramDigits)
		m.firstEvent[key] = h
	}
	_ = h.RecordValue(min(max(int64(r.First.Sub(r.Arrived)/time.Millisecond), 1), maxMillis))
}

// addAttempts counts the attempts of a request by upstream and result. The caller holds
// mu.
func (m *metrics) addAttempts(r *proxy.Record) {
	m.retries += int64(max(r.Sends-1, 0))
	if r.Resumed {
		m.resumed++
	}
	for i, a := range r.Attempts {
		if i == 0 {
			m.prefillTokens += int64(a.Prefill)
		} else {
			m.retryPrefillTokens += int64(a.Prefill)
		}
		key := attemptKey{a.Upstream, a.Result}
		if _, ok := m.attempts[key]; !ok && len(m.attempts) >= maxSeries {
			m.attempts = make(map[attemptKey]int64) // most entries are of upstreams that are gone
		}
		m.attempts[key]++
	}
}

// addBroken counts a response that an upstream broke off.
func (m *metrics) addBroken(s quarantine.Stage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.broken[s]++
}

// write writes all metrics, one per line.
func (m *metrics) write(w io.Writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lines []string
	for s, n := range m.requests {
		lines = append(lines, fmt.Sprintf("lagoonmux_requests_total{customer=%q,kind=%q,cause=%q} %d", s.customer, s.kind, s.cause, n))
	}
	for s, h := range m.firstEvent {
		for _, q := range []float64{50, 95, 99, 100} {
			lines = append(lines, fmt.Sprintf("lagoonmux_first_ms{customer=%q,kind=%q,quantile=\"%g\"} %d", s.customer, s.kind, q/100, h.ValueAtQuantile(q)))
		}
	}
	for t, n := range m.attempts {
		lines = append(lines, fmt.Sprintf("lagoonmux_attempts_total{upstream=%q,end=%q} %d", t.upstream, t.end, n))
	}
	for name, n := range map[string]int64{
		"repeated_total": m.retries, "resumed_total": m.resumed, "prompt_tokens_read_total": m.prefillTokens,
		"prompt_tokens_read_again_total": m.retryPrefillTokens, "series_left_out_total": m.uncountedRequests, "invariants_broken_total": invariant.BrokenCount(),
		"questions_unanswered_total": m.unansweredQuestions.Load(), "answers_malformed_total": m.malformed.Load(),
	} {
		lines = append(lines, fmt.Sprintf("lagoonmux_%s %d", name, n))
	}
	for s, n := range m.shed {
		lines = append(lines, fmt.Sprintf("lagoonmux_shed_total{service=%q,class=\"%d\",cause=%q} %d", s.service, s.class, s.cause, n))
	}
	for s, n := range m.broken {
		lines = append(lines, fmt.Sprintf("lagoonmux_answers_broken_total{stage=%q} %d", s, n))
	}
	lines = append(lines, m.customerCost.lines()...)
	lines = m.hedges.appendTo(lines)
	slices.Sort(lines)
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
}

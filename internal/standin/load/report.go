package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyUS      = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxSamples        = 20 // maximum number of samples in a report
)

// Quantiles summarizes a histogram. The times are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

// Group holds the results of one customer and class at one service.
type Group struct {
	Customer      string            `json:"customer"`
	Class         string            `json:"class"`
	Service       string            `json:"service"`
	Sent          int64             `json:"sent"`
	Verdicts      map[Verdict]int64 `json:"verdicts"`
	Statuses      map[int]int64     `json:"statuses"`    // responses by status other than 200
	Retries       int64             `json:"asked_again"` // sends after an unknown outcome, under the same key
	Tokens        int64             `json:"tokens"`
	FirstToken    Quantiles         `json:"first_token"`
	BetweenTokens Quantiles         `json:"between_tokens"`
	Total         Quantiles         `json:"total"` // of complete responses
}

// Sample is one request whose verdict is neither a complete response nor a clear
// refusal.
type Sample struct {
	ID      string  `json:"id"`
	Verdict Verdict `json:"verdict"`
	Group   string  `json:"group"`
	Detail  string  `json:"detail"`
}

// Report holds the results of one run.
type Report struct {
	Seed             uint64        `json:"seed"`
	Seconds          float64       `json:"seconds"`
	Groups           []Group       `json:"groups"`
	Doubled          []string      `json:"doubled"`      // keys that ran more than once
	RanNotRun        []string      `json:"ran_not_run"`  // keys and IDs of requests that ran although their outcome was not-run
	LostEffects      []string      `json:"lost_effects"` // keys of requests that never ran although their outcome was answered
	RecomputedTokens int64         `json:"recomputed_tokens"`
	GeneratedTokens  int64         `json:"generated_tokens"`
	CachedTokens     int64         `json:"cached_tokens"`
	Cost             float64       `json:"cost"`
	Samples          []Sample      `json:"samples,omitempty"`
	AfterNotice      []AfterNotice `json:"after_notice,omitempty"`
}

// AfterNotice counts the new requests that reached an upstream after the notice that
// it leaves.
type AfterNotice struct {
	Upstream string `json:"upstream"`
	Requests int64  `json:"requests"`
	LastMS   int64  `json:"last_ms"` // from the notice to the newest of them
}

// Count returns the number of requests of all groups with the verdict.
func (r *Report) Count(v Verdict) int64 {
	var n int64
	for i := range r.Groups {
		n += r.Groups[i].Verdicts[v]
	}
	return n
}

// Violations returns the number of violations of the daemons' guarantees: responses
// that were wrong or crossed, keys that ran more than once, requests that ran with
// outcome not-run, and keys that never ran with outcome answered.
func (r *Report) Violations() int64 {
	return r.Count(Wrong) + r.Count(Crossed) + int64(len(r.Doubled)+len(r.RanNotRun)+len(r.LostEffects))
}

// Unanswered returns the number of requests with neither a complete response nor a
// clear refusal.
func (r *Report) Unanswered() int64 { return r.Count(Cut) + r.Count(NoResponse) + r.Count(Unknown) }

// group collects the results of one customer and class at one service.
type group struct {
	mu            sync.Mutex
	report        Group
	firstToken    *hdrhistogram.Histogram // in microseconds, like betweenTokens and total
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
}

func newGroup(c *Caller) *group {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUS, significantDigits) }
	return &group{
		report: Group{Customer: c.Customer, Class: c.Class, Service: c.Service,
			Verdicts: make(map[Verdict]int64), Statuses: make(map[int]int64)},
		firstToken: h(), betweenTokens: h(), total: h(),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS))
}

// add counts one result.
func (g *group) add(res *result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Sent++
	g.report.Verdicts[res.verdict]++
	g.report.Retries += int64(res.retries)
	if res.status != 0 && res.status != 200 {
		g.report.Statuses[res.status]++
	}
	if res.firstToken > 0 {
		record(g.firstToken, res.firstToken)
		g.report.Tokens += int64(len(res.gaps)) + 1
	}
	for _, d := range res.gaps {
		record(g.betweenTokens, d)
	}
	if res.verdict == OnTime || res.verdict == Late {
		record(g.total, res.total)
	}
}

func (g *group) summary() Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.report
	out.FirstToken, out.BetweenTokens, out.Total = quantiles(g.firstToken), quantiles(g.betweenTokens), quantiles(g.total)
	return out
}

// tableVerdicts lists the columns of the table and the totals of the summary, in
// order.
var tableVerdicts = []Verdict{OnTime, Late, NotRun, Unknown, Cut, NoResponse, HungUp, Crossed, Wrong}

// Summary formats the totals of all groups as key=value pairs on one line.
func (r *Report) Summary() string {
	var b strings.Builder
	var sent, retries int64
	for i := range r.Groups {
		sent += r.Groups[i].Sent
		retries += r.Groups[i].Retries
	}
	fmt.Fprintf(&b, "summary seconds=%.1f sent=%d asked_again=%d", r.Seconds, sent, retries)
	for _, v := range tableVerdicts {
		fmt.Fprintf(&b, " %s=%d", v, r.Count(v))
	}
	fmt.Fprintf(&b, " doubled=%d ran_not_run=%d lost_effects=%d", len(r.Doubled), len(r.RanNotRun), len(r.LostEffects))
	fmt.Fprintf(&b, " generated_tokens=%d cached_tokens=%d recomputed_tokens=%d cost=%.4f",
		r.GeneratedTokens, r.CachedTokens, r.RecomputedTokens, r.Cost)
	return b.String()
}

// WriteTable writes the report as tables, followed by the summary, the samples and
// the requests after notices.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "customer\tclass\tservice\tsent")
	for _, v := range tableVerdicts {
		fmt.Fprintf(t, "\t%s", v)
	}
	fmt.Fprintln(t, "\t")
	for i := range r.Groups {
		g := &r.Groups[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d", g.Customer, g.Class, g.Service, g.Sent)
		for _, v := range tableVerdicts {
			fmt.Fprintf(t, "\t%d", g.Verdicts[v])
		}
		fmt.Fprintln(t, "\t")
	}
	fmt.Fprintln(t, "\ncustomer\tclass\tms\tcount\tp50\tp95\tp99\tp99.9\tmax\t")
	for i := range r.Groups {
		r.Groups[i].writeLatency(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	_, err := fmt.Fprintln(w, r.Summary())
	for _, s := range r.Samples {
		fmt.Fprintf(w, "sample verdict=%s id=%s group=%s detail=%q\n", s.Verdict, s.ID, s.Group, s.Detail)
	}
	for _, a := range r.AfterNotice {
		fmt.Fprintf(w, "after_notice upstream=%s requests=%d last_ms=%d\n", a.Upstream, a.Requests, a.LastMS)
	}
	return err
}

func (g *Group) writeLatency(w io.Writer) {
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", g.FirstToken}, {"between tokens", g.BetweenTokens}, {"total", g.Total}} {
		q := row.q
		if q.Count == 0 {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", g.Customer, g.Class, row.name, q.Count, q.P50, q.P95, q.P99, q.P999, q.Max)
	}
}

func sortGroups(groups []Group) {
	sort.Slice(groups, func(i, j int) bool {
		a, b := &groups[i], &groups[j]
		if a.Customer != b.Customer {
			return a.Customer < b.Customer
		}
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		return a.Service < b.Service
	})
}

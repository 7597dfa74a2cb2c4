package obs

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

const (
	maxSampleUS       = int64(time.Hour / time.Microsecond)
	significantDigits = 2  // resolution of the histograms
	logLinesPerSecond = 20 // log lines about individual requests
	logBurst          = 50
)

// groupKey identifies a group of requests: those of one customer and class.
type groupKey struct {
	customer string
	class    manifest.Class
}

// group holds the counters and latency histograms of one customer and class.
type group struct {
	mu            sync.Mutex
	counters      Counters
	firstToken    *hdrhistogram.Histogram // in microseconds, like betweenTokens and total
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
}

func newGroup() *group {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxSampleUS, significantDigits) }
	return &group{firstToken: h(), betweenTokens: h(), total: h()}
}

func recordSample(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxSampleUS)) // cannot fail: the value is clamped to the range of the histogram
}

// upstreamCounters counts the requests whose last attempt was sent to one upstream.
type upstreamCounters struct {
	mu       sync.Mutex
	counters Counters
}

// Registry holds the counters, histograms and recent requests of one daemon.
// Its methods may be called from any goroutine.
type Registry struct {
	log        hclog.Logger
	since      time.Time
	groups     sync.Map // groupKey to *group
	upstreams  sync.Map // string to *upstreamCounters
	recent     *recent
	logLimiter *rate.Limiter

	mu         sync.Mutex
	suppressed int64 // lines suppressed by logLimiter since the last logged one
}

// NewRegistry returns an empty registry that logs individual requests to log.
func NewRegistry(log hclog.Logger, now time.Time) *Registry {
	return &Registry{log: log, since: now, recent: newRecent(), logLimiter: rate.NewLimiter(logLinesPerSecond, logBurst)}
}

func (g *Registry) group(c *call.Call) *group {
	key := groupKey{class: c.Class}
	if c.Customer != nil {
		key.customer = c.Customer.Name
	}
	if v, ok := g.groups.Load(key); ok {
		return v.(*group)
	}
	v, _ := g.groups.LoadOrStore(key, newGroup())
	return v.(*group)
}

// Merge adds the gaps between tokens that r has collected to the histogram of its
// group and clears them in r.
func (g *Registry) Merge(r *Request) {
	group := g.group(r.Call)
	group.mu.Lock()
	defer group.mu.Unlock()
	for _, gap := range r.gaps {
		recordSample(group.betweenTokens, gap)
	}
	r.gaps = r.gaps[:0]
}

// End records a request that ended at now. Requests without a customer are not
// counted, only logged and listed among the recent requests.
func (g *Registry) End(r *Request, now time.Time) {
	sum := r.Call.Trace.Summary()
	late := r.lateness(now)
	delta := r.counters(late, sum)
	if r.Call.Customer != nil {
		g.addCounts(r, now, &delta, sum.Upstream)
	}
	g.recent.add(newRecord(r, now, &delta, sum), delta.notable())
	g.logEnd(r, now, &delta, sum)
}

func (g *Registry) addCounts(r *Request, now time.Time, delta *Counters, upstream string) {
	g.Merge(r)
	group := g.group(r.Call)
	group.mu.Lock()
	group.counters.add(delta)
	if !r.firstToken.IsZero() {
		recordSample(group.firstToken, r.firstToken.Sub(r.Call.Arrived))
	}
	recordSample(group.total, now.Sub(r.Call.Arrived))
	group.mu.Unlock()
	if upstream == "" {
		return
	}
	v, ok := g.upstreams.Load(upstream)
	if !ok {
		v, _ = g.upstreams.LoadOrStore(upstream, &upstreamCounters{})
	}
	u := v.(*upstreamCounters)
	u.mu.Lock()
	u.counters.add(delta)
	u.mu.Unlock()
}

// counters returns the counts that r contributes. late holds the targets
// that it missed, sum summarizes its attempts.
func (r *Request) counters(late lateness, sum trace.Summary) Counters {
	d := Counters{Crossed: int64(sum.Crossed), Retries: int64(max(sum.Attempts-1, 0))}
	if !r.firstToken.IsZero() {
		d.Tokens = int64(r.gapCount) + 1
	}
	d.Repeated = min(d.Retries, 1)
	d.LateFirst, d.LateBetween, d.LateTotal = boolToInt(late.first), boolToInt(late.between), boolToInt(late.total)
	switch {
	case r.Gone:
		d.Gone = 1
	case r.Cut:
		d.Cut = 1
	case r.Outcome == call.NotRun:
		d.NotRun = 1
	case r.Outcome == call.Unknown:
		d.Unknown = 1
	case late.any():
		d.Late = 1
	default:
		d.OnTime = 1
	}
	return d
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// logEnd logs an ended request: at info level if it was late, cut, unknown or
// repeated, unless the rate limit suppresses the line; other requests at debug
// level.
func (g *Registry) logEnd(r *Request, now time.Time, delta *Counters, sum trace.Summary) {
	atInfo := delta.needsLogLine()
	if !atInfo && !g.log.IsDebug() {
		return
	}
	if atInfo && !g.logLimiter.AllowN(now, 1) {
		g.mu.Lock()
		g.suppressed++
		g.mu.Unlock()
		return
	}
	record := newRecord(r, now, delta, sum)
	args := []any{"request", record.ID, "customer", record.Customer, "class", record.Class, "service", record.Service,
		"upstream", record.Upstream, "result", record.Result, "status", record.Status, "attempts", record.Attempts,
		"first_token_ms", record.FirstTokenMS, "total_ms", record.TotalMS}
	if !atInfo {
		g.log.Debug("request ended", args...)
		return
	}
	g.mu.Lock()
	args = append(args, "lines_suppressed", g.suppressed)
	g.suppressed = 0
	g.mu.Unlock()
	g.log.Info("request ended", args...)
}

// Explain returns the record of a recent request.
func (g *Registry) Explain(id string) (*Record, bool) { return g.recent.find(id) }

// Report returns all counters and histograms, sorted by customer and class and by
// upstream.
func (g *Registry) Report() Report {
	report := Report{Since: g.since, Groups: []GroupReport{}, Upstreams: []UpstreamReport{}}
	g.groups.Range(func(k, v any) bool {
		report.Groups = append(report.Groups, v.(*group).report(k.(groupKey)))
		return true
	})
	g.upstreams.Range(func(k, v any) bool {
		u := v.(*upstreamCounters)
		u.mu.Lock()
		defer u.mu.Unlock()
		report.Upstreams = append(report.Upstreams, UpstreamReport{Upstream: k.(string), Counters: u.counters})
		return true
	})
	slices.SortFunc(report.Groups, func(a, b GroupReport) int {
		return strings.Compare(a.Customer+"/"+string(a.Class), b.Customer+"/"+string(b.Class))
	})
	slices.SortFunc(report.Upstreams, func(a, b UpstreamReport) int { return strings.Compare(a.Upstream, b.Upstream) })
	return report
}

func (g *group) report(key groupKey) GroupReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GroupReport{
		Customer:      key.customer,
		Class:         key.class,
		Counters:      g.counters,
		FirstToken:    newQuantiles(g.firstToken),
		BetweenTokens: newQuantiles(g.betweenTokens),
		Total:         newQuantiles(g.total),
	}
}

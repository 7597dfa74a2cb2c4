package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minQuantile and maxQuantile bound the quantile of latencies at which hedges are due.
	minQuantile = 0.80
	maxQuantile = 0.99
	// minFloor and floorFraction, of the route's latency target, bound the delay from below:
	// faster answers are early enough for callers.
	minFloor      = 5 * time.Millisecond
	floorFraction = 0.1
	// minSamples is the number of latencies below which a quantile is not trusted.
	minSamples = 40
	// windowTime and windowSamples end a window of latencies, whichever comes first, but not
	// before minSamples. The quantile is that of the current and the previous window.
	windowTime    = 10 * time.Second
	windowSamples = 512
	// refreshSamples is the number of latencies after which the delay is computed again.
	refreshSamples = 16
	// maxRoutes bounds the routes whose latencies are kept, 20 KB each.
	maxRoutes = 256
	// Latencies are kept in units of latencyUnit, up to maxLatency, with histogramDigits
	// significant digits.
	latencyUnit     = 100 * time.Microsecond
	maxLatency      = 120 * time.Second
	histogramDigits = 2
)

// latencies holds the recent latencies of one route.
type latencies struct {
	quantile          float64
	current, previous *hdrhistogram.Histogram
	started           time.Duration // of the current window
	fresh             int           // latencies since delay was computed
	delay             time.Duration // the quantile; 0 while there are too few latencies
}

func newLatencies(quantile float64, now time.Duration) *latencies {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, int64(maxLatency/latencyUnit), histogramDigits)
	}
	return &latencies{quantile: quantile, current: newHistogram(), previous: newHistogram(), started: now}
}

// observe adds a latency.
func (l *latencies) observe(took, now time.Duration) {
	_ = l.current.RecordValue(int64(min(max(took, latencyUnit), maxLatency) / latencyUnit))
	l.fresh++
	n := l.current.TotalCount()
	if n+l.previous.TotalCount() >= minSamples && (l.fresh >= refreshSamples || l.delay == 0) {
		l.refresh()
	}
	if n >= windowSamples || n >= minSamples && now-l.started >= windowTime {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.started = now
	}
}

// refresh computes the delay from both windows.
func (l *latencies) refresh() {
	both := l.current.Clone()
	both.Merge(l.previous)
	l.delay = time.Duration(both.ValueAtQuantile(100*l.quantile)) * latencyUnit
	l.fresh = 0
}

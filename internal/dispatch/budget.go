package dispatch

import (
	"sync"
	"time"
)

const (
	retryBurst   = 10 // attempts that a quiet service may spend at once
	maxRetryDebt = 50 // further attempts that resumed streams may take in advance
)

// retryBudget bounds the attempts that cost upstreams work twice, as a share of the
// requests of a service. Its methods may be called from any goroutine.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// addRequest counts one request of the service.
func (b *retryBudget) addRequest(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, retryBurst)
}

// take takes one attempt and reports whether there was one to take.
func (b *retryBudget) take() bool { return b.takeAbove(1) }

// takeOnCredit takes one attempt for an answer that has begun, in advance of requests
// to come. The debt is bounded, so that a failing service is not flooded.
func (b *retryBudget) takeOnCredit() bool { return b.takeAbove(-maxRetryDebt) }

func (b *retryBudget) takeAbove(minTokens float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < minTokens {
		return false
	}
	b.tokens--
	return true
}

const (
	latencyWeight   = 0.1 // of one observation
	hedgeDeviations = 4   // mean deviations above the mean
	hedgeSamples    = 20
	minHedgeAfter   = 5 * time.Millisecond
)

// latency estimates how long the short reads of a service take. Its methods
// may be called from any goroutine.
type latency struct {
	mu        sync.Mutex
	samples   int
	mean, dev float64 // seconds
}

func (l *latency) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := d.Seconds()
	if l.samples == 0 {
		l.mean, l.dev = s, s/2
	}
	l.samples++
	l.dev += latencyWeight * (max(s-l.mean, l.mean-s) - l.dev)
	l.mean += latencyWeight * (s - l.mean)
}

// hedgeAfter returns how long a read may take before a second attempt is
// worth it, and whether enough reads were seen to know.
func (l *latency) hedgeAfter() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	after := time.Duration((l.mean + hedgeDeviations*l.dev) * float64(time.Second))
	return max(after, minHedgeAfter), l.samples >= hedgeSamples
}

package dispatch

import (
	"sync"
	"time"
)

const (
	budgetBurst = 10 // attempts that a quiet service may spend at once
	budgetDebt  = 50 // further attempts that resumed streams may take in advance
)

// budget bounds the attempts that cost upstreams work twice, as a share of the
// requests of a service. Its methods may be called from any goroutine.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetBurst} }

// request counts one request of the service.
func (b *budget) request(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, budgetBurst)
}

// spend takes one attempt and reports whether there was one to take.
func (b *budget) spend() bool { return b.take(1) }

// owe takes one attempt for an answer that has begun, in advance of requests
// to come. The debt is bounded, so that a failing service is not flooded.
func (b *budget) owe() bool { return b.take(-budgetDebt) }

func (b *budget) take(least float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < least {
		return false
	}
	b.tokens--
	return true
}

const (
	latencyWeight  = 0.1 // of one observation
	hedgeDeviation = 4   // mean deviations above the mean
	hedgeSamples   = 20
	minHedgeAfter  = 5 * time.Millisecond
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
	after := time.Duration((l.mean + hedgeDeviation*l.dev) * float64(time.Second))
	return max(after, minHedgeAfter), l.samples >= hedgeSamples
}

package dispatch

import (
	"sync"
	"time"
)

const (
	retryBurst   = 10 // most retries that the budget can hold
	maxRetryDebt = 50 // further retries that streams may take in advance after their first token
)

// retryBudget limits the retries and hedges that may repeat an upstream's work to a
// fraction of the requests of a service. Its methods may be called from any
// goroutine.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64 // retries allowed now; negative if streams took retries in advance
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// addRequest adds share retries for a new request, up to retryBurst.
func (b *retryBudget) addRequest(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, retryBurst)
}

// take subtracts one retry and reports whether the budget had one.
func (b *retryBudget) take() bool { return b.takeAbove(1) }

// takeOnCredit subtracts one retry for a partly delivered response and reports
// whether it could. It may overdraw the budget; later requests make up for it. The
// debt is limited, so that retries don't overload a failing service.
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
	latencyWeight   = 0.1 // of one observation in the moving averages
	hedgeDeviations = 4   // mean absolute deviations above the mean
	hedgeSamples    = 20  // reads observed before hedging begins
	minHedgeAfter   = 5 * time.Millisecond
)

// latency estimates the latency of the reads of a service that may be hedged. Its
// methods may be called from any goroutine.
type latency struct {
	mu        sync.Mutex
	samples   int
	mean, dev float64 // mean and mean absolute deviation in seconds
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

// hedgeAfter returns how long to wait for a read before starting a second attempt,
// and whether enough reads were observed for this.
func (l *latency) hedgeAfter() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	after := time.Duration((l.mean + hedgeDeviations*l.dev) * float64(time.Second))
	return max(after, minHedgeAfter), l.samples >= hedgeSamples
}

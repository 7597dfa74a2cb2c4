package proxy

import (
	"math"
	"sync"
	"time"
)

const (
	// prefillRate is the prompt tokens that an engine of the assumed pace reads in a
	// millisecond, less the steps of running requests between them.
	prefillRate = 110.0
	// outputTokenWork is the time that an output token takes there among others.
	outputTokenWork = 0.15 // ms
	// workDecay is the time over which work is averaged.
	workDecay = 5 * time.Second
	// sharedDecay is the same for shared parts that are read again. A daemon that has just
	// started does not know what upstreams keep, and upstreams that have just come keep
	// nothing: both pass, and more upstreams would not make it pass sooner.
	sharedDecay = 20 * time.Second
	// minObserved is the least time over which a rate is told.
	minObserved = 2 * time.Second
)

// WorkMeter measures how much time of upstreams is asked for. Its methods may be
// called from any goroutine.
type WorkMeter struct {
	mu       sync.Mutex
	services map[string]*serviceWork
	first    time.Duration // boot time of the first request; 0 for none
}

// FirstRequest returns the boot time of the first request, 0 if there was none.
func (w *WorkMeter) FirstRequest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.first
}

// serviceWork is what is asked for of one service.
type serviceWork struct {
	unshared rate          // what requests bring themselves
	shared   rate          // shared parts
	firstAt  time.Duration // of the first request
}

// value returns the rate of all work. What requests bring is made up for the time before
// the first one.
func (l *serviceWork) value(now time.Duration) float64 {
	seen := 1 - math.Exp(-max(now-l.firstAt, minObserved).Seconds()/workDecay.Seconds())
	return l.unshared.value(now)/seen + l.shared.value(now)
}

// rate is a decayed rate.
type rate struct {
	decay     time.Duration
	perSecond float64
	updated   time.Duration
}

func (r *rate) add(amount float64, now time.Duration) {
	r.perSecond = r.value(now) + amount/r.decay.Seconds()
}

func (r *rate) value(now time.Duration) float64 {
	if now > r.updated {
		r.perSecond *= math.Exp(-(now - r.updated).Seconds() / r.decay.Seconds())
		r.updated = now
	}
	return r.perSecond
}

// RequestWork is what a request that was sent asks of its upstream.
type RequestWork struct {
	UnsharedTokens  int     // prompt tokens that it brings itself
	SharedTokens    int     // prompt tokens of shared parts that are to be read
	MaxOutputTokens int     // tokens at most
	Pace            float64 // of the engines, as a multiple of the assumed one
}

// NewWorkMeter returns a measure that has seen nothing.
func NewWorkMeter() *WorkMeter { return &WorkMeter{services: make(map[string]*serviceWork)} }

// Add counts a request that was sent to an engine.
func (w *WorkMeter) Add(service string, a RequestWork, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first == 0 {
		w.first = now
	}
	l := w.services[service]
	if l == nil {
		l = &serviceWork{unshared: rate{decay: workDecay, updated: now}, shared: rate{decay: sharedDecay, updated: now}, firstAt: now}
		w.services[service] = l
	}
	l.unshared.add(a.Pace*(float64(a.UnsharedTokens)/prefillRate+outputTokenWork*float64(a.MaxOutputTokens)), now)
	l.shared.add(a.Pace*float64(a.SharedTokens)/prefillRate, now)
}

// Rates returns the milliseconds of upstream time asked for per second, by
// service.
func (w *WorkMeter) Rates(now time.Duration) map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make(map[string]float64, len(w.services))
	for name, l := range w.services {
		list[name] = l.value(now)
	}
	return list
}

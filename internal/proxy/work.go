package proxy

import (
	"math"
	"sync"
	"time"
)

const (
	// readRate is the prompt tokens that an engine of the assumed pace reads in a
	// millisecond, less the steps of running requests between them.
	readRate = 110.0
	// tokenWork is the time that an output token takes there among others.
	tokenWork = 0.15 // ms
	// workDecay is the time over which work is averaged.
	workDecay = 5 * time.Second
	// minSeen is the least time over which a rate is told.
	minSeen = 2 * time.Second
)

// Work measures how much time of upstreams is asked for. Its methods may be
// called from any goroutine.
type Work struct {
	mu       sync.Mutex
	services map[string]*rate
	first    time.Duration // boot time of the first request; 0 for none
}

// First returns the boot time of the first request, 0 if there was none.
func (w *Work) First() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.first
}

// rate is a decayed rate.
type rate struct {
	perSecond float64
	at        time.Duration
	since     time.Duration // of the first request
}

// value returns the rate, made up for the time before the first request.
func (r *rate) value(now time.Duration) float64 {
	r.decay(now)
	seen := 1 - math.Exp(-max(now-r.since, minSeen).Seconds()/workDecay.Seconds())
	return r.perSecond / seen
}

// NewWork returns a measure that has seen nothing.
func NewWork() *Work { return &Work{services: make(map[string]*rate)} }

// Add counts a request that was sent to an engine whose pace is a multiple of the
// assumed one.
func (w *Work) Add(service string, missing, output int, pace float64, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first == 0 {
		w.first = now
	}
	r := w.services[service]
	if r == nil {
		r = &rate{at: now, since: now}
		w.services[service] = r
	}
	r.decay(now)
	r.perSecond += pace * (float64(missing)/readRate + tokenWork*float64(output)) / workDecay.Seconds()
}

func (r *rate) decay(now time.Duration) {
	if now > r.at {
		r.perSecond *= math.Exp(-(now - r.at).Seconds() / workDecay.Seconds())
		r.at = now
	}
}

// Rates returns the milliseconds of upstream time asked for per second, by
// service.
func (w *Work) Rates(now time.Duration) map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make(map[string]float64, len(w.services))
	for name, r := range w.services {
		list[name] = r.value(now)
	}
	return list
}

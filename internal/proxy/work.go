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
	// againDecay is the same for shared parts that are read again. A daemon that has just
	// started does not know what upstreams keep, and upstreams that have just come keep
	// nothing: both pass, and more upstreams would not make it pass sooner.
	againDecay = 20 * time.Second
	// minSeen is the least time over which a rate is told.
	minSeen = 2 * time.Second
)

// Work measures how much time of upstreams is asked for. Its methods may be
// called from any goroutine.
type Work struct {
	mu       sync.Mutex
	services map[string]*load
	first    time.Duration // boot time of the first request; 0 for none
}

// First returns the boot time of the first request, 0 if there was none.
func (w *Work) First() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.first
}

// load is what is asked for of one service.
type load struct {
	own   rate          // what requests bring themselves
	again rate          // shared parts
	since time.Duration // of the first request
}

// value returns the rate of all work. What requests bring is made up for the time before
// the first one.
func (l *load) value(now time.Duration) float64 {
	seen := 1 - math.Exp(-max(now-l.since, minSeen).Seconds()/workDecay.Seconds())
	return l.own.value(now)/seen + l.again.value(now)
}

// rate is a decayed rate.
type rate struct {
	over      time.Duration
	perSecond float64
	at        time.Duration
}

func (r *rate) add(amount float64, now time.Duration) {
	r.perSecond = r.value(now) + amount/r.over.Seconds()
}

func (r *rate) value(now time.Duration) float64 {
	if now > r.at {
		r.perSecond *= math.Exp(-(now - r.at).Seconds() / r.over.Seconds())
		r.at = now
	}
	return r.perSecond
}

// Asked is what a request that was sent asks of its upstream.
type Asked struct {
	Own    int     // prompt tokens that it brings itself
	Shared int     // prompt tokens of shared parts that are to be read
	Output int     // tokens at most
	Pace   float64 // of the engines, as a multiple of the assumed one
}

// NewWork returns a measure that has seen nothing.
func NewWork() *Work { return &Work{services: make(map[string]*load)} }

// Add counts a request that was sent to an engine.
func (w *Work) Add(service string, a Asked, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first == 0 {
		w.first = now
	}
	l := w.services[service]
	if l == nil {
		l = &load{own: rate{over: workDecay, at: now}, again: rate{over: againDecay, at: now}, since: now}
		w.services[service] = l
	}
	l.own.add(a.Pace*(float64(a.Own)/readRate+tokenWork*float64(a.Output)), now)
	l.again.add(a.Pace*float64(a.Shared)/readRate, now)
}

// Rates returns the milliseconds of upstream time asked for per second, by
// service.
func (w *Work) Rates(now time.Duration) map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make(map[string]float64, len(w.services))
	for name, l := range w.services {
		list[name] = l.value(now)
	}
	return list
}

package proxy

import (
	"math"
	"sync"
	"time"
)

const (
	// prefillRate is the number of prompt tokens that an engine with PrefillFactor 1
	// prefills per millisecond, not counting the decode steps of running requests in between.
	prefillRate = 110.0
	// outputTokenMS is the time that such an engine needs for an output token that it
	// generates in a batch with other requests.
	outputTokenMS = 0.15 // ms
	// workDecay is the time constant of the averaged rate of work.
	workDecay = 5 * time.Second
	// sharedDecay is the time constant for shared prompt segments. It is longer because a
	// peak there is temporary: a daemon that has just started does not know what upstreams
	// have cached, and upstreams that have just started have cached nothing. More
	// upstreams would not end it sooner.
	sharedDecay = 20 * time.Second
	// minObservedTime is the least time since the first request that serviceWork.value assumes.
	// It bounds the correction of rates measured over a shorter time.
	minObservedTime = 2 * time.Second
)

// WorkMeter measures how much upstream time the requests of each service need. It is safe
// for concurrent use.
type WorkMeter struct {
	mu       sync.Mutex
	services map[string]*serviceWork // by service
	first    time.Duration           // boot time of the first request; 0 for none
}

// FirstRequest returns the boot time of the first request, 0 if there was none.
func (w *WorkMeter) FirstRequest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.first
}

// serviceWork is the work requested of one service, in ms per second.
type serviceWork struct {
	unshared rate          // the requests' own prompt segments and their output
	shared   rate          // prompt segments that requests share
	requests rate          // per second
	firstAt  time.Duration // boot time of the first request
}

// value returns the total rate. The unshared rate is corrected for the time before the
// first request, which its average includes: without that it would start at zero and take
// several workDecay to reach the actual rate.
func (s *serviceWork) value(now time.Duration) float64 {
	observed := 1 - math.Exp(-max(now-s.firstAt, minObservedTime).Seconds()/workDecay.Seconds())
	return s.unshared.value(now)/observed + s.shared.value(now)
}

// rate is an exponentially decaying average of amounts per second.
type rate struct {
	decay     time.Duration // time constant
	perSecond float64       // at the time of updated
	updated   time.Duration // boot time
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

// RequestWork is the work that a request causes at its upstream.
type RequestWork struct {
	UnsharedTokens  int     // prompt tokens to prefill that no other request shares
	SharedTokens    int     // prompt tokens to prefill of segments that requests share
	MaxOutputTokens int     // 0 if not known
	PrefillFactor   float64 // the service's prefill time per token relative to the default
}

// NewWorkMeter returns a meter without measurements.
func NewWorkMeter() *WorkMeter { return &WorkMeter{services: make(map[string]*serviceWork)} }

// Add counts a request that is sent to an upstream, or that no upstream accepts.
func (w *WorkMeter) Add(service string, r RequestWork, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first == 0 {
		w.first = now
	}
	s := w.services[service]
	if s == nil {
		s = &serviceWork{unshared: rate{decay: workDecay, updated: now}, shared: rate{decay: sharedDecay, updated: now},
			requests: rate{decay: workDecay, updated: now}, firstAt: now}
		w.services[service] = s
	}
	s.requests.add(1, now)
	s.unshared.add(r.PrefillFactor*(float64(r.UnsharedTokens)/prefillRate+outputTokenMS*float64(r.MaxOutputTokens)), now)
	s.shared.add(r.PrefillFactor*float64(r.SharedTokens)/prefillRate, now)
}

// PerRequest returns the mean milliseconds of upstream time that a request to a service
// needs, 0 if that is not known.
func (w *WorkMeter) PerRequest(service string, now time.Duration) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	if s == nil || s.requests.value(now) <= 0 {
		return 0
	}
	return (s.unshared.value(now) + s.shared.value(now)) / s.requests.value(now)
}

// Rates returns the milliseconds of upstream time requested per second, by service.
func (w *WorkMeter) Rates(now time.Duration) map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	rates := make(map[string]float64, len(w.services))
	for name, s := range w.services {
		rates[name] = s.value(now)
	}
	return rates
}

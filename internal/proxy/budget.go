package proxy

import (
	"sync"
	"time"
)

const (
	// budgetSlots is into how many parts the window of the budget is divided.
	budgetSlots = 10
	// budgetFraction is the part of the platform's budget that is used: its windows
	// slide, and a request that was counted here may have been lost on its way.
	budgetFraction = 0.7
)

// RetryLimit is how many sends beyond the first of each request all daemons
// together may make to a service.
type RetryLimit struct {
	Ratio  float64       // of the requests in the window
	Extra  float64       // beside these
	Window time.Duration // slides
}

// RetryBudget counts the repeats of one daemon. Each has the ratio of its own requests
// and a part of the extra, which its hub may hold for it with those of others; so
// they need not ask each other.
type RetryBudget struct {
	limit RetryLimit

	// AskHub asks whoever shares out the extra for one repeat more; nil for nobody.
	AskHub func(service string) bool

	mu       sync.Mutex
	share    float64 // of the extra, for this daemon
	services map[string]*window
}

// window counts requests and repeats in the slots of a sliding window.
type window struct {
	slot     int64 // number of the newest
	requests [budgetSlots]int
	retries  [budgetSlots]int
}

// NewRetryBudget returns a budget for a single daemon.
func NewRetryBudget(l RetryLimit) *RetryBudget {
	return &RetryBudget{limit: l, share: 1, services: make(map[string]*window)}
}

// SetShare tells which part of the extra is this daemon's.
func (b *RetryBudget) SetShare(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = part
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	w.requests[w.slot%budgetSlots]++
}

// AllowRetry counts a repeat if the budget allows it, or whoever holds more of it does.
func (b *RetryBudget) AllowRetry(service string, now time.Duration) bool {
	return b.TakeLocal(service, now) || b.AskHub != nil && b.AskHub(service)
}

// TakeLocal counts a repeat if this daemon's own budget allows it.
func (b *RetryBudget) TakeLocal(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	if !b.allows(w) {
		return false
	}
	w.retries[w.slot%budgetSlots]++
	return true
}

// Available tells whether a repeat would be allowed.
func (b *RetryBudget) Available(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.windowAt(service, now))
}

func (b *RetryBudget) allows(w *window) bool {
	requests, repeats := 0, 0
	for i := range budgetSlots {
		requests += w.requests[i]
		repeats += w.retries[i]
	}
	allowed := budgetFraction * (b.limit.Ratio*float64(requests) + b.limit.Extra*b.share)
	return float64(repeats+1) <= allowed
}

// windowAt returns the window of a service, moved on to now.
func (b *RetryBudget) windowAt(service string, now time.Duration) *window {
	w := b.services[service]
	slot := int64(now / (b.limit.Window / budgetSlots))
	if w == nil {
		w = &window{slot: slot}
		b.services[service] = w
	}
	for n := 0; w.slot < slot && n < budgetSlots; n++ {
		w.slot++
		w.requests[w.slot%budgetSlots], w.retries[w.slot%budgetSlots] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return w
}

package proxy

import (
	"sync"
	"time"
)

const (
	// windowSlots is the number of slots into which the window of a budget is divided.
	windowSlots = 10
	// usedBudgetFraction is the fraction of the platform's retry budget that is used. The rest
	// is a margin: the platform's windows slide continuously, those here by whole slots,
	// and a request that was counted here may be lost before the platform counts it.
	usedBudgetFraction = 0.7
)

// RetryLimit bounds the retries (sends beyond the first of each request) of all daemons
// together, for each service: Ratio times the requests in the window, plus Extra.
type RetryLimit struct {
	Ratio  float64
	Extra  float64       // retries per window
	Window time.Duration // sliding
}

// RetryBudget limits the retries of one daemon. A daemon may use the ratio of its own
// requests and its share of the extra retries, so that daemons need not ask each other.
// A hub's share can include those of its members, which then ask the hub.
type RetryBudget struct {
	limit RetryLimit

	// AskHub reports whether the daemon's hub allows one retry beyond this budget, and
	// counts it there; nil for no hub.
	AskHub func(service string) bool

	mu       sync.Mutex
	share    float64            // fraction of the extra retries that this daemon may use
	services map[string]*window // by service
}

// window counts requests and retries in the slots of a sliding window.
type window struct {
	slot     int64 // number of the newest slot; its index is the number modulo windowSlots
	requests [windowSlots]int
	retries  [windowSlots]int
}

// NewRetryBudget returns a budget whose share of the extra retries is 1, as for a single
// daemon.
func NewRetryBudget(l RetryLimit) *RetryBudget {
	return &RetryBudget{limit: l, share: 1, services: make(map[string]*window)}
}

// SetShare sets the fraction of the extra retries that this daemon may use.
func (b *RetryBudget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// CountRequest counts a request, but none of its retries.
func (b *RetryBudget) CountRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	w.requests[w.slot%windowSlots]++
}

// AllowRetry reports whether a retry is allowed, by this daemon's budget or by its hub's,
// and counts it there.
func (b *RetryBudget) AllowRetry(service string, now time.Duration) bool {
	return b.AllowLocalRetry(service, now) || b.AskHub != nil && b.AskHub(service)
}

// AllowLocalRetry reports whether this daemon's own budget allows a retry, and counts it.
func (b *RetryBudget) AllowLocalRetry(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	if !b.allows(w) {
		return false
	}
	w.retries[w.slot%windowSlots]++
	return true
}

// Available reports whether this daemon's own budget would allow a retry now.
func (b *RetryBudget) Available(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.windowAt(service, now))
}

// allows reports whether the budget allows one more retry. The caller holds mu.
func (b *RetryBudget) allows(w *window) bool {
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := usedBudgetFraction * (b.limit.Ratio*float64(requests) + b.limit.Extra*b.share)
	return float64(retries+1) <= allowed
}

// windowAt returns the window of a service, advanced to now. The caller holds mu.
func (b *RetryBudget) windowAt(service string, now time.Duration) *window {
	w := b.services[service]
	slot := int64(now / (b.limit.Window / windowSlots))
	if w == nil {
		w = &window{slot: slot}
		b.services[service] = w
	}
	for n := 0; w.slot < slot && n < windowSlots; n++ {
		w.slot++
		w.requests[w.slot%windowSlots], w.retries[w.slot%windowSlots] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return w
}

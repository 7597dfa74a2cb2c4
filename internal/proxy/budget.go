package proxy

import (
	"sync"
	"time"
)

const (
	// budgetSlots is into how many parts the window of the budget is divided.
	budgetSlots = 10
	// budgetPart is the part of the platform's budget that is used: its windows
	// slide, and a request that was counted here may have been lost on its way.
	budgetPart = 0.7
)

// BudgetLimit is how many sends beyond the first of each request all daemons
// together may make to a service.
type BudgetLimit struct {
	Ratio  float64       // of the requests in the window
	Extra  float64       // beside these
	Window time.Duration // slides
}

// Budget counts the repeats of one daemon. Each has the ratio of its own
// requests and an equal share of the extra; so they need not ask each other.
type Budget struct {
	limit BudgetLimit

	mu       sync.Mutex
	daemons  int
	services map[string]*window
}

// window counts requests and repeats in the slots of a sliding window.
type window struct {
	slot     int64 // number of the newest
	requests [budgetSlots]int
	repeats  [budgetSlots]int
}

// NewBudget returns a budget for a single daemon.
func NewBudget(l BudgetLimit) *Budget {
	return &Budget{limit: l, daemons: 1, services: make(map[string]*window)}
}

// SetDaemons tells how many daemons share the budget.
func (b *Budget) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(n, 1)
}

// Request counts a request.
func (b *Budget) Request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	w.requests[w.slot%budgetSlots]++
}

// Repeat counts a repeat if the budget allows it.
func (b *Budget) Repeat(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	if !b.allows(w) {
		return false
	}
	w.repeats[w.slot%budgetSlots]++
	return true
}

// Left tells whether a repeat would be allowed.
func (b *Budget) Left(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.at(service, now))
}

func (b *Budget) allows(w *window) bool {
	requests, repeats := 0, 0
	for i := range budgetSlots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := budgetPart * (b.limit.Ratio*float64(requests) + b.limit.Extra/float64(b.daemons))
	return float64(repeats+1) <= allowed
}

// at returns the window of a service, moved on to now.
func (b *Budget) at(service string, now time.Duration) *window {
	w := b.services[service]
	slot := int64(now / (b.limit.Window / budgetSlots))
	if w == nil {
		w = &window{slot: slot}
		b.services[service] = w
	}
	for n := 0; w.slot < slot && n < budgetSlots; n++ {
		w.slot++
		w.requests[w.slot%budgetSlots], w.repeats[w.slot%budgetSlots] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return w
}

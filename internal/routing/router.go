package routing

import (
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// State is what membership knows of an upstream.
type State int

// States of an upstream.
const (
	Live    State = iota
	Suspect       // silent for a while; no new work while others are live
	Leaving       // reclaimed or stopping: no new work
	Dead
)

// Member is one upstream and its state.
type Member struct {
	Upstream *manifest.Upstream
	State    State
}

// Result is how an attempt ended.
type Result int

// Results of an attempt.
const (
	Succeeded Result = iota
	Failed           // error, cut or no progress
	Refused          // refused by protocol, not run
	Canceled         // the caller or a hedge ended it; says nothing about the upstream
)

// LoadReport is what an upstream says of its load. It arrives with a lag.
type LoadReport struct {
	Upstream      string    `json:"upstream"`
	At            time.Time `json:"at"`             // when the upstream measured
	Epoch         int64     `json:"epoch"`          // changes when the upstream restarts, which empties its cache
	Running       int       `json:"running"`        // requests in the batch
	Waiting       int       `json:"waiting"`        // requests in its queue
	WaitingTokens int       `json:"waiting_tokens"` // prompt tokens still to prefill
	KVUsed        int       `json:"kv_used_tokens"`
	KVCapacity    int       `json:"kv_capacity_tokens"`
	Leaving       bool      `json:"leaving,omitempty"`       // it will stop and takes no new work
	LeavingInMS   int64     `json:"leaving_in_ms,omitempty"` // until it stops
}

// Router holds the pickers of all services and learns from attempts and load
// reports. Its methods may be called from any goroutine.
type Router struct {
	set atomic.Pointer[map[string]Picker]
}

// NewRouter returns a router that knows no upstream.
func NewRouter() *Router { return &Router{} }

// Update rebuilds the pickers for a manifest and the members known of it.
func (r *Router) Update(a *manifest.Active, members []Member) {
	byService := make(map[string][]*manifest.Upstream, len(a.Services))
	for _, m := range members {
		if m.State == Live {
			byService[m.Upstream.Service] = append(byService[m.Upstream.Service], m.Upstream)
		}
	}
	set := make(map[string]Picker, len(a.Services))
	for i := range a.Services {
		name := a.Services[i].Name
		set[name] = NewRoundRobin(byService[name])
	}
	r.set.Store(&set)
}

// ObserveLoad takes in a load report of an upstream.
func (r *Router) ObserveLoad(time.Time, LoadReport) {}

// Attempt is one attempt in flight at an upstream. It belongs to one
// goroutine, which must call Done once.
type Attempt struct {
	Upstream *manifest.Upstream
}

// Begin picks an upstream for the request and counts the attempt in flight
// there. It returns ErrNoUpstream when none may take it.
func (r *Router) Begin(now time.Time, req *Request) (Attempt, error) {
	set := r.set.Load()
	if set == nil {
		return Attempt{}, ErrNoUpstream
	}
	p, ok := (*set)[req.Service]
	if !ok {
		return Attempt{}, ErrNoUpstream
	}
	u, err := p.Pick(now, req)
	return Attempt{Upstream: u}, err
}

// FirstToken reports the first token, and how many tokens of the prompt the
// upstream found in its cache.
func (a *Attempt) FirstToken(_ time.Time, _ int) {}

// Done reports the end of the attempt.
func (a *Attempt) Done(time.Time, Result) {}

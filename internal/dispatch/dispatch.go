// Package dispatch runs the attempts of a call against upstreams and decides
// whether a failed attempt may be followed by another.
//
// An attempt follows another where the request provably did not run, or where
// it may be repeated and the retry budget of its service allows.
package dispatch

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const maxReplyBytes = 16 << 20

// Headers between lagoonmux and upstreams.
const (
	HeaderRequestID      = "Lagoonmux-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout" // seconds that are left
)

// Dispatcher runs calls. Its methods may be called from any goroutine.
type Dispatcher struct {
	pool      *upstream.Pool
	router    *routing.Router
	canceller *canceller
	stats     counters
	leaving   func(upstream string) // may be nil
	notices   Notices               // may be nil

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is what the calls of one service share.
type serviceState struct {
	budget  *budget
	latency latency
}

// New returns a Dispatcher that chooses upstreams by router.
func New(pool *upstream.Pool, router *routing.Router) *Dispatcher {
	return &Dispatcher{
		pool:      pool,
		router:    router,
		canceller: &canceller{pool: pool, slots: make(chan struct{}, maxCancels)},
		services:  make(map[string]*serviceState),
	}
}

// OnLeaving calls f with each upstream that refuses a call because it leaves. It
// must be called before the first call; f must not block.
func (d *Dispatcher) OnLeaving(f func(upstream string)) { d.leaving = f }

// service returns the state of a service and counts one request of it.
func (d *Dispatcher) service(c *call.Call) *serviceState {
	d.mu.Lock()
	s := d.services[c.Service.Name]
	if s == nil {
		s = &serviceState{budget: newBudget()}
		d.services[c.Service.Name] = s
	}
	d.mu.Unlock()
	s.budget.request(c.Service.RetryShare)
	return s
}

// request describes a call to the router.
func request(c *call.Call, tried []string) *routing.Request {
	req := &routing.Request{
		Service:   c.Service.Name,
		MaxTokens: c.MaxTokens,
		Class:     c.Class,
		Deadline:  c.Deadline,
		Tried:     tried,
		Random:    rand.Uint64(),
	}
	if c.Prompt != "" {
		req.Blocks = completion.BlockHashes(c.Prompt)
		req.PromptTokens = completion.CountTokens(c.Prompt)
	}
	return req
}

// begin picks the upstream for the next attempt. When all have been tried, it
// starts over with all of them.
func (d *Dispatcher) begin(s *attempts, req *routing.Request) (routing.Attempt, bool) {
	req.Tried = s.tried
	a, err := d.router.Begin(time.Now(), req)
	if err != nil && len(s.tried) > 0 {
		s.tried = s.tried[:0]
		req.Tried = nil
		a, err = d.router.Begin(time.Now(), req)
	}
	return a, err == nil
}

// setTimeout passes on what is left of the caller's patience.
func setTimeout(req *fasthttp.Request, c *call.Call) {
	left := max(time.Until(c.Deadline), time.Millisecond)
	req.Header.Set(HeaderRequestTimeout, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
}

// Package dispatch runs the attempts of a call at upstreams and decides whether
// to retry a failed attempt.
//
// A call is retried if the failed attempt provably did not run, or if the call
// is repeatable and the retry budget of its service allows it.
package dispatch

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	maxResponseBytes  = 16 << 20
	logLinesPerSecond = 20 // log lines about single attempts
	logBurst          = 50
)

// Header fields of requests to upstreams and of their responses.
const (
	HeaderRequestID      = "Lagoonmux-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout" // seconds until the caller's deadline
)

// Dispatcher runs calls. Its methods may be called from any goroutine.
type Dispatcher struct {
	pool       *upstream.Pool
	router     *routing.Router
	canceler   *canceler
	stats      counters
	log        hclog.Logger
	logLimiter *rate.Limiter
	onLeaving  func(upstream string) // may be nil
	notices    LeavingNotices        // may be nil

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is shared by the calls of one service.
type serviceState struct {
	retries *retryBudget
	latency latency
}

// New returns a Dispatcher that sends requests over pool to the upstreams that
// router picks.
func New(pool *upstream.Pool, router *routing.Router) *Dispatcher {
	return &Dispatcher{
		pool:       pool,
		router:     router,
		canceler:   &canceler{pool: pool, slots: make(chan struct{}, maxCancels)},
		services:   make(map[string]*serviceState),
		log:        hclog.NewNullLogger(),
		logLimiter: rate.NewLimiter(logLinesPerSecond, logBurst),
	}
}

// SetLog sets the log of attempts that failed with a broken response. It must be called before
// the first call.
func (d *Dispatcher) SetLog(log hclog.Logger) { d.log = log }

// SetOnLeaving sets the function that is called with the name of an upstream each
// time it refuses a call because it is leaving. SetOnLeaving must be called before
// the first call; f must not block.
func (d *Dispatcher) SetOnLeaving(f func(upstream string)) { d.onLeaving = f }

// service returns the state of the call's service and adds the call to its retry
// budget.
func (d *Dispatcher) service(c *call.Call) *serviceState {
	d.mu.Lock()
	s := d.services[c.Service.Name]
	if s == nil {
		s = &serviceState{retries: newRetryBudget()}
		d.services[c.Service.Name] = s
	}
	d.mu.Unlock()
	s.retries.addRequest(c.Service.RetryShare)
	return s
}

// newRoutingRequest returns the router's request for a call. tried holds the names
// of the upstreams to avoid.
func newRoutingRequest(c *call.Call, tried []string) *routing.Request {
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

// begin picks the upstream for the next attempt. If every usable upstream
// has been tried, it picks among all of them again.
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

// setTimeout sets the header field with the time left until the call's deadline.
func setTimeout(req *fasthttp.Request, c *call.Call) {
	remaining := max(time.Until(c.Deadline), time.Millisecond)
	req.Header.Set(HeaderRequestTimeout, strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
}

// Package plain is a stand-in for a plain service that counts how often each
// idempotency key was run.
package plain

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/httpjson"
)

// Paths beside those of the service.
const (
	RunsPath  = "/debug/runs"  // the runs of each key as a JSON object
	StatsPath = "/debug/stats" // Stats
	LoadPath  = "/load"        // routing.LoadReport
)

// Counter counts the runs of each key. Several services may share one. Its
// methods may be called from any goroutine.
type Counter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewCounter returns a counter without runs.
func NewCounter() *Counter { return &Counter{runs: make(map[string]int)} }

func (c *Counter) add(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
	return c.runs[key]
}

// Runs returns a copy of the runs of each key.
func (c *Counter) Runs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.runs))
	for k, n := range c.runs {
		out[k] = n
	}
	return out
}

// Config is the speed of a service.
type Config struct {
	Name         string
	Slots        int           // calls that run at once; 0 for no bound
	WorkTime     time.Duration // of one call
	PricePerHour float64
	Counter      *Counter // shared by the services whose runs count together; nil for its own
}

// Service is one plain service.
type Service struct {
	cfg      Config
	faults   *faults.Set
	slots    chan struct{} // nil for no bound
	started  time.Time
	epoch    atomic.Int64 // Unix milliseconds
	calls    atomic.Int64
	inFlight atomic.Int64 // calls running or waiting
}

// New returns a service with the faults of set.
func New(cfg Config, set *faults.Set) *Service {
	if cfg.Counter == nil {
		cfg.Counter = NewCounter()
	}
	s := &Service{cfg: cfg, faults: set, started: time.Now()}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	s.epoch.Store(s.started.UnixMilli())
	set.On(faults.Restart, func(faults.Fault) { s.epoch.Add(1) })
	return s
}

// Result is the answer to a call.
type Result struct {
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	Run  int    `json:"run,omitempty"` // how often the key has run, this time included
	Echo string `json:"echo,omitempty"`
}

// Stats counts what a service has done.
type Stats struct {
	Name  string  `json:"name"`
	Calls int64   `json:"calls"` // that had an effect, whether or not the answer arrived
	UpMS  int64   `json:"up_ms"`
	Cost  float64 `json:"cost"` // price of the time up
	faults.LeavingStats
}

// Handle serves one request.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case RunsPath:
		httpjson.Write(ctx, s.cfg.Counter.Runs())
	case StatsPath:
		httpjson.Write(ctx, s.stats())
	case LoadPath:
		httpjson.Write(ctx, s.loadReport(time.Now()))
	default:
		if !s.faults.RefuseLeaving(ctx) {
			s.respond(ctx)
		}
	}
}

// respond runs a call and marks the answer with the id of its request.
func (s *Service) respond(ctx *fasthttp.RequestCtx) {
	httpjson.Write(ctx, s.run(ctx))
	if id := ctx.Request.Header.Peek(faults.RequestIDHeader); len(id) > 0 {
		ctx.Response.Header.SetBytesV(faults.RequestIDHeader, id)
	}
}

// run carries out one call. Its effect counts even if the answer is lost.
func (s *Service) run(ctx *fasthttp.RequestCtx) Result {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.slots != nil {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
	}
	time.Sleep(s.cfg.WorkTime)
	s.calls.Add(1)
	res := Result{Path: string(ctx.Path()), Echo: string(ctx.PostBody())}
	if key := ctx.Request.Header.Peek("Idempotency-Key"); len(key) > 0 {
		res.Key = string(key)
		res.Run = s.cfg.Counter.add(res.Key)
	}
	return res
}

func (s *Service) stats() Stats {
	up := time.Since(s.started)
	return Stats{
		Name:         s.cfg.Name,
		Calls:        s.calls.Load(),
		UpMS:         up.Milliseconds(),
		Cost:         up.Hours() * s.cfg.PricePerHour,
		LeavingStats: s.faults.LeavingStats(),
	}
}

func (s *Service) loadReport(now time.Time) routing.LoadReport {
	active := int(s.inFlight.Load())
	running := active
	if s.slots != nil {
		running = len(s.slots)
	}
	r := routing.LoadReport{Upstream: s.cfg.Name, At: now, Epoch: s.epoch.Load(), Running: running, Waiting: max(active-running, 0)}
	if at, ok := s.faults.Leaving(); ok {
		r.Leaving = true
		r.LeavingInMS = max(at.Sub(now).Milliseconds(), 0)
	}
	return r
}

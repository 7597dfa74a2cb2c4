// Package plain is a stand-in for a plain (non-model) HTTP service. It counts how often
// a call with each idempotency key was run.
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

// Paths with functions of the stand-in. All other paths are calls of the service.
const (
	RunsPath  = "/debug/runs"  // JSON object of the number of runs by key
	StatsPath = "/debug/stats" // Stats
	LoadPath  = "/load"        // routing.LoadReport
)

// Counter counts runs by idempotency key. Services may share it. Its methods may be
// called from any goroutine.
type Counter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{runs: make(map[string]int)} }

// add counts a run of key and returns its number of runs.
func (c *Counter) add(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
	return c.runs[key]
}

// Runs returns the number of runs by key.
func (c *Counter) Runs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.runs))
	for k, n := range c.runs {
		out[k] = n
	}
	return out
}

// Config sets the size and speed of a service.
type Config struct {
	Name         string
	Slots        int           // maximum number of concurrent calls; 0 for no limit
	WorkTime     time.Duration // duration of one call
	PricePerHour float64
	Counter      *Counter // shared by services whose runs are counted together; nil for a counter of its own
}

// Service is one plain service.
type Service struct {
	cfg      Config
	faults   *faults.Set
	slots    chan struct{} // semaphore; nil for no limit
	started  time.Time
	epoch    atomic.Int64 // start time in Unix milliseconds, plus the number of restarts
	calls    atomic.Int64 // calls completed
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

// Result is the response to a call.
type Result struct {
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	Run  int    `json:"run,omitempty"`  // number of runs of the key, this one included
	Echo string `json:"echo,omitempty"` // body of the request
}

// Stats holds the counters of a service.
type Stats struct {
	Name  string  `json:"name"`
	Calls int64   `json:"calls"` // calls that had an effect, even if the response was lost
	UpMS  int64   `json:"up_ms"`
	Cost  float64 `json:"cost"` // UpMS at PricePerHour
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

// respond runs a call and copies the request id header to the response.
func (s *Service) respond(ctx *fasthttp.RequestCtx) {
	httpjson.Write(ctx, s.run(ctx))
	if id := ctx.Request.Header.Peek(faults.RequestIDHeader); len(id) > 0 {
		ctx.Response.Header.SetBytesV(faults.RequestIDHeader, id)
	}
}

// run executes one call. The call is counted even if a fault drops the response.
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
	r := routing.LoadReport{Upstream: s.cfg.Name, At: now, Incarnation: s.epoch.Load(), Running: running, Waiting: max(active-running, 0)}
	if at, ok := s.faults.Leaving(); ok {
		r.Leaving = true
		r.LeavingInMS = max(at.Sub(now).Milliseconds(), 0)
	}
	return r
}

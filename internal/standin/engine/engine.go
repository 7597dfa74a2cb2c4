// Package engine is a stand-in for a model engine, with continuous batching, a prefix
// cache in limited memory and request priorities. The text of a response is a function
// of the prompt, and a timing model sets the rate of its tokens.
//
// One goroutine, Engine.Run, owns the queue, the batch and the cache. HTTP handlers
// send it operations and stream the tokens that it generates.
package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
)

// Defaults of a Config.
const (
	defaultSlots          = 16
	defaultPrefillPerMS   = 10
	defaultDecodeStep     = 10 * time.Millisecond
	defaultChunkTokens    = 512
	defaultCacheTokens    = 64 << 10
	defaultWaitingPerSlot = 16 // queued requests per slot
)

// Config sets the size and speed of an engine. Zero fields get defaults.
type Config struct {
	Name         string
	Slots        int           // maximum number of requests in the batch
	PrefillPerMS float64       // prompt tokens prefilled per millisecond
	DecodeStep   time.Duration // duration of a decode step with one request in the batch
	BatchGrowth  float64       // a decode step with n requests takes DecodeStep*(1+BatchGrowth*(n-1)/Slots)
	ChunkTokens  int           // maximum number of prompt tokens prefilled in one step (chunked prefill)
	CacheTokens  int           // capacity of the KV cache in tokens
	MaxWaiting   int           // queue length at which requests are refused
	LoadLag      time.Duration // age of the load reports
	EventLag     time.Duration // delay of the cache events
	ChecksFence  bool          // refuses expired orders and orders with an old fencing token
	PricePerHour float64
	Computed     *ComputedBlocks // shared by the engines whose recomputed tokens are counted together
}

func (c *Config) setDefaults() {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.PrefillPerMS == 0 {
		c.PrefillPerMS = defaultPrefillPerMS
	}
	if c.DecodeStep == 0 {
		c.DecodeStep = defaultDecodeStep
	}
	if c.ChunkTokens == 0 {
		c.ChunkTokens = defaultChunkTokens
	}
	if c.CacheTokens == 0 {
		c.CacheTokens = defaultCacheTokens
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultWaitingPerSlot * c.Slots
	}
	if c.Computed == nil {
		c.Computed = NewComputedBlocks()
	}
}

// Engine is one model engine.
type Engine struct {
	cfg        Config
	faults     *faults.Set
	operations chan operation
	stopped    chan struct{}
	started    time.Time
	refused    atomic.Int64
	loads      loadHistory
}

// operation is a function that the goroutine of Run executes on its core.
type operation func(c *core, now time.Time)

// New returns an engine with the faults of set. Its requests wait until Run is called.
func New(cfg Config, set *faults.Set) *Engine {
	cfg.setDefaults()
	e := &Engine{cfg: cfg, faults: set, operations: make(chan operation, cfg.Slots), stopped: make(chan struct{}), started: time.Now()}
	e.loads.lag = cfg.LoadLag
	set.On(faults.Restart, func(faults.Fault) { e.restart() })
	return e
}

// Serve calls Run in a goroutine and serves the engine's HTTP API at address until
// ctx ends.
func (e *Engine) Serve(ctx context.Context, address string) error {
	go e.Run(ctx)
	return e.faults.Serve(ctx, address, e.Handle)
}

// Run executes operations and batch steps until ctx ends. It must be called once.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	c := newCore(e.cfg, time.Now().UnixMilli())
	var current step
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if !current.active && !c.idle() {
			timer.Reset(time.Until(current.start(c, time.Now())))
		}
		select {
		case <-ctx.Done():
			c.cancelMatching(func(*sequence) bool { return true }, time.Now())
			return
		case op := <-e.operations:
			op(c, time.Now())
		case <-timer.C:
			current.finish(c, time.Now())
		}
		e.loads.record(c, time.Now())
	}
}

// step is the timing of the batch step in progress.
type step struct {
	active      bool
	consecutive bool // the next step begins at the planned end of the previous one
	end         time.Time
}

// start plans a step and returns when it ends. A step that follows another begins at
// the planned end of that one, so that timer delays don't add up, or at now if this is
// later by more than the duration of the new step.
func (s *step) start(c *core, now time.Time) time.Time {
	c.admit()
	d := c.planStep()
	if !s.consecutive || now.Sub(s.end) > d {
		s.end = now
	}
	s.end = s.end.Add(d)
	s.active = true
	return s.end
}

// finish applies the step in progress, if any, to c.
func (s *step) finish(c *core, now time.Time) {
	if !s.active {
		return
	}
	c.finishStep(now)
	s.active = false
	s.consecutive = !c.idle()
}

// do enqueues op and waits until it has been executed. It returns an error if the
// engine has stopped.
func (e *Engine) do(op operation) error {
	done := make(chan struct{})
	err := e.enqueue(func(c *core, now time.Time) {
		op(c, now)
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-e.stopped:
		return errors.New("engine stopped")
	}
}

// enqueue passes op to Run. It returns an error if the engine has stopped.
func (e *Engine) enqueue(op operation) error {
	select {
	case e.operations <- op:
		return nil
	case <-e.stopped:
		return errors.New("engine stopped")
	}
}

// restart drops the batch, the queue and the cache.
func (e *Engine) restart() {
	_ = e.do(func(c *core, _ time.Time) { *c = *c.restarted() })
}

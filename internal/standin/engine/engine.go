// Package engine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes in limited memory, honours priorities, and answers
// with text that is a function of the prompt, at a rate set by a timing model.
//
// One goroutine owns the batch of an engine. Handlers send it messages, and
// read tokens as they are emitted.
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
	defaultWaitingPerSlot = 16 // longest queue for each slot
)

// Config is the size and speed of an engine. Zero fields take defaults.
type Config struct {
	Name         string
	Slots        int           // requests in one batch
	PrefillPerMS float64       // prompt tokens a millisecond
	DecodeStep   time.Duration // a step that decodes one request
	BatchGrowth  float64       // by which share a full batch lengthens the step
	ChunkTokens  int           // most prompt tokens prefilled in one step
	CacheTokens  int           // KV memory
	MaxWaiting   int           // longest queue; a request beyond it is refused
	LoadLag      time.Duration // age of the load reports
	EventLag     time.Duration // delay of the cache events
	ChecksFence  bool          // refuses orders with an old fencing number
	PricePerHour float64
	Computed     *ComputedBlocks // shared by the engines whose recomputed tokens count together
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

// operation is work for the engine's task on the state that it owns.
type operation func(c *core, now time.Time)

// New returns an engine with the faults of set. Nothing runs before Run.
func New(cfg Config, set *faults.Set) *Engine {
	cfg.setDefaults()
	e := &Engine{cfg: cfg, faults: set, operations: make(chan operation, cfg.Slots), stopped: make(chan struct{}), started: time.Now()}
	e.loads.lag = cfg.LoadLag
	set.On(faults.Restart, func(faults.Fault) { e.restart() })
	return e
}

// Serve runs the engine and serves it at address until ctx ends.
func (e *Engine) Serve(ctx context.Context, address string) error {
	go e.Run(ctx)
	return e.faults.Serve(ctx, address, e.Handle)
}

// Run owns the batch until ctx ends. It must be called once.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	c := newCore(e.cfg, time.Now().UnixMilli())
	var step step
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if !step.active && !c.idle() {
			timer.Reset(time.Until(step.start(c, time.Now())))
		}
		select {
		case <-ctx.Done():
			c.cancelMatching(func(*sequence) bool { return true }, time.Now())
			return
		case m := <-e.operations:
			m(c, time.Now())
		case <-timer.C:
			step.finish(c, time.Now())
		}
		e.loads.record(c, time.Now())
	}
}

// step is the step of the batch that is in progress.
type step struct {
	active      bool
	consecutive bool // the next step follows the last without a gap
	end         time.Time
}

// start plans a step and returns when it ends.
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

// finish applies the step, if one is in progress.
func (s *step) finish(c *core, now time.Time) {
	if !s.active {
		return
	}
	c.finishStep(now)
	s.active = false
	s.consecutive = !c.idle()
}

// do runs m in the engine's task and waits for it.
func (e *Engine) do(m operation) error {
	done := make(chan struct{})
	err := e.enqueue(func(c *core, now time.Time) {
		m(c, now)
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

func (e *Engine) enqueue(m operation) error {
	select {
	case e.operations <- m:
		return nil
	case <-e.stopped:
		return errors.New("engine stopped")
	}
}

// restart loses the batch, the queue and the cache.
func (e *Engine) restart() {
	_ = e.do(func(c *core, _ time.Time) { *c = *c.restarted() })
}

package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	evidenceWeight  = 0.1  // of one observation in a moving average
	usualWeight     = 0.01 // of one observation in the usual slowness of a service
	trustWeight     = 0.05 // of one observation of the cache estimate
	maxSlowness     = 64.0
	minSlowness     = 1.0 / 16
	slownessFloorMS = 10.0             // added to both sides of a ratio of times
	evidenceHalfAge = 5 * time.Second  // after which bad evidence counts half
	maxLoadAge      = 10 * time.Second // an older report says nothing
	refusalShare    = 0.5              // of a failure in the failure rate
	probeInterval   = 2 * time.Second  // between probes of an upstream that looks bad, for all daemons together
	probeSlowness   = 1.5              // times the usual, above which an upstream looks bad
	probeFailures   = 0.1
)

// atomicFloat is a float64 that goroutines may share.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// average moves the value towards v by weight.
func (f *atomicFloat) average(v, weight float64) {
	for {
		old := f.bits.Load()
		was := math.Float64frombits(old)
		if f.bits.CompareAndSwap(old, math.Float64bits(was+weight*(v-was))) {
			return
		}
	}
}

// load is a report with what was this daemon's own when it was measured.
type load struct {
	LoadReport
	at          int64 // nanoseconds on the router's clock
	pendingThen int64
	ownThen     int64
}

// runner is what this daemon has learnt of one upstream. It outlives
// snapshots. All fields may be used from any goroutine.
type runner struct {
	id         uint16
	generation atomic.Uint32 // of its entries in the prefix map
	epoch      atomic.Int64  // last reported; 0 before the first report
	inFlight   atomic.Int64  // attempts of this daemon
	pending    atomic.Int64  // prompt tokens sent that have no first token yet
	leaving    atomic.Bool   // by its own report
	proven     atomic.Int64  // first tokens since the last restart
	load       atomic.Pointer[load]
	slowness   atomicFloat // observed over expected time to the first token
	slowAt     atomic.Int64
	probedAt   atomic.Int64
	failures   atomicFloat // share of recent attempts that failed
	failAt     atomic.Int64
	trust      atomicFloat // share of the tokens believed cached that were
	serviceMS  atomicFloat // whole duration of an attempt
	history    history
}

func newRunner(id runnerID) *runner {
	r := &runner{id: id.id}
	r.generation.Store(id.generation)
	r.slowness.store(1)
	r.trust.store(1)
	return r
}

// runnerID is an id with the first generation that is free under it.
type runnerID struct {
	id         uint16
	generation uint32
}

// restarted forgets what a restart of the upstream invalidates.
func (r *runner) restarted() {
	r.generation.Add(1)
	r.proven.Store(0)
	r.leaving.Store(false)
	r.trust.store(1)
}

// aged reduces the excess of v over neutral by the age of the evidence, so
// that an upstream without traffic is tried again little by little.
func aged(v, neutral float64, now, at int64) float64 {
	if v <= neutral {
		return v
	}
	age := float64(max(now-at, 0)) / float64(evidenceHalfAge)
	return neutral + (v-neutral)*math.Exp2(-age)
}

// slownessAt returns the slowness, which reverts to what is usual for the
// service when it was worse and is not confirmed.
func (r *runner) slownessAt(now int64, usual float64) float64 {
	return aged(r.slowness.load(), usual, now, r.slowAt.Load())
}

func (r *runner) failuresAt(now int64) float64 {
	return aged(r.failures.load(), 0, now, r.failAt.Load())
}

// takeProbe tells whether the upstream looks bad on old evidence and this
// request shall test it. Of concurrent requests one is told so.
func (r *runner) takeProbe(now int64, usual, peers float64) bool {
	if r.slowness.load() < probeSlowness*usual && r.failures.load() < probeFailures {
		return false
	}
	interval := int64(float64(probeInterval) * peers)
	last := r.probedAt.Load()
	newest := max(last, r.slowAt.Load(), r.failAt.Load())
	return now-newest > interval && r.probedAt.CompareAndSwap(last, now)
}

// note records the work in the history.
func (r *runner) note(now int64) {
	r.history.note(now, r.pending.Load(), r.inFlight.Load())
}

// observeStart takes in the time to the first token against the expectation.
func (r *runner) observeStart(now int64, observedMS, expectedMS float64, usual *atomicFloat) {
	ratio := (observedMS + slownessFloorMS) / (expectedMS + slownessFloorMS)
	ratio = min(max(ratio, minSlowness), maxSlowness)
	r.slowness.store(r.slownessAt(now, usual.load()))
	r.slowness.average(ratio, evidenceWeight)
	usual.average(ratio, usualWeight)
	r.slowAt.Store(now)
	r.proven.Add(1)
}

func (r *runner) observeEnd(now int64, tookMS float64, result Result) {
	failed := 0.0
	switch result {
	case Canceled:
		return
	case Failed:
		failed = 1
	case Refused:
		failed = refusalShare
	case Succeeded:
		if was := r.serviceMS.load(); was == 0 {
			r.serviceMS.store(tookMS)
		} else {
			r.serviceMS.average(tookMS, evidenceWeight)
		}
	}
	r.failures.store(r.failuresAt(now))
	r.failures.average(failed, evidenceWeight)
	r.failAt.Store(now)
}

// node is one upstream of a snapshot with its declared properties.
type node struct {
	*runner
	upstream *manifest.Upstream
	speed    float64 // declared prompt tokens a millisecond
	slots    float64
	dearness float64 // price of a token over the cheapest of the service, minus one
	risk     float64 // probability of a reclaim in a millisecond
}

const (
	historySlots = 128
	historyStep  = 50 * time.Millisecond
)

// history remembers for some seconds how much of this daemon's work an upstream
// had at which time.
type history struct {
	ticks   [historySlots]atomic.Int64
	pending [historySlots]atomic.Int64
	own     [historySlots]atomic.Int64
}

// note records the work after a change at now.
func (h *history) note(now, pending, own int64) {
	tick := now / int64(historyStep)
	i := tick % historySlots
	h.pending[i].Store(pending)
	h.own[i].Store(own)
	h.ticks[i].Store(tick)
}

// at returns the work at a past time: as it was after the last change before.
func (h *history) at(past int64) (pending, own int64) {
	first := max(past, 0) / int64(historyStep)
	for tick := first; tick >= max(0, first-historySlots+1); tick-- {
		i := tick % historySlots
		if h.ticks[i].Load() == tick {
			return h.pending[i].Load(), h.own[i].Load()
		}
	}
	return 0, 0
}

package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	observationWeight   = 0.1  // of one observation in a moving average
	meanSlowdownWeight  = 0.01 // of one observation in the usual slowness of a service
	cacheAccuracyWeight = 0.05 // of one observation of the cache estimate
	maxSlowdown         = 64.0
	minSlowdown         = 1.0 / 16
	slowdownOffsetMS    = 10.0             // added to both sides of a ratio of times
	observationHalfLife = 5 * time.Second  // after which bad evidence counts half
	maxLoadAge          = 10 * time.Second // an older report says nothing
	refusalWeight       = 0.5              // of a failure in the failure rate
	probeInterval       = 2 * time.Second  // between probes of an upstream that looks bad, for all daemons together
	probeSlowdown       = 1.5              // times the usual, above which an upstream looks bad
	probeFailureRate    = 0.1
)

// atomicFloat is a float64 that goroutines may share.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// moveToward moves the value towards v by weight.
func (f *atomicFloat) moveToward(v, weight float64) {
	for {
		old := f.bits.Load()
		current := math.Float64frombits(old)
		if f.bits.CompareAndSwap(old, math.Float64bits(current+weight*(v-current))) {
			return
		}
	}
}

// load is a report with what was this daemon's own when it was measured.
type load struct {
	LoadReport
	at          int64 // nanoseconds on the router's clock
	ownPending  int64
	ownInFlight int64
}

// upstreamState is what this daemon has learnt of one upstream. It outlives
// snapshots. All fields may be used from any goroutine.
type upstreamState struct {
	id              uint16
	generation      atomic.Uint32 // of its entries in the prefix map
	epoch           atomic.Int64  // last reported; 0 before the first report
	inFlight        atomic.Int64  // attempts of this daemon
	pending         atomic.Int64  // prompt tokens sent that have no first token yet
	leaving         atomic.Bool   // by its own report
	firstTokens     atomic.Int64  // first tokens since the last restart
	load            atomic.Pointer[load]
	slowdown        atomicFloat // observed over expected time to the first token
	slowdownTime    atomic.Int64
	probeTime       atomic.Int64
	failureRate     atomicFloat // share of recent attempts that failed
	failureRateTime atomic.Int64
	cacheAccuracy   atomicFloat // share of the tokens believed cached that were
	durationMS      atomicFloat // whole duration of an attempt
	history         history
}

func newUpstreamState(id upstreamID) *upstreamState {
	u := &upstreamState{id: id.id}
	u.generation.Store(id.generation)
	u.slowdown.store(1)
	u.cacheAccuracy.store(1)
	return u
}

// upstreamID is an id with the first generation that is free under it.
type upstreamID struct {
	id         uint16
	generation uint32
}

// reset forgets what a restart of the upstream invalidates.
func (u *upstreamState) reset() {
	u.generation.Add(1)
	u.firstTokens.Store(0)
	u.leaving.Store(false)
	u.cacheAccuracy.store(1)
}

// decayExcess reduces the excess of v over neutral by the age of the evidence, so
// that an upstream without traffic is tried again little by little.
func decayExcess(v, baseline float64, now, observedAt int64) float64 {
	if v <= baseline {
		return v
	}
	halfLives := float64(max(now-observedAt, 0)) / float64(observationHalfLife)
	return baseline + (v-baseline)*math.Exp2(-halfLives)
}

// currentSlowdown returns the slowness, which reverts to what is usual for the
// service when it was worse and is not confirmed.
func (u *upstreamState) currentSlowdown(now int64, mean float64) float64 {
	return decayExcess(u.slowdown.load(), mean, now, u.slowdownTime.Load())
}

func (u *upstreamState) currentFailureRate(now int64) float64 {
	return decayExcess(u.failureRate.load(), 0, now, u.failureRateTime.Load())
}

// claimProbe tells whether the upstream looks bad on old evidence and this
// request shall test it. Of concurrent requests one is told so.
func (u *upstreamState) claimProbe(now int64, meanSlowdown, daemons float64) bool {
	if u.slowdown.load() < probeSlowdown*meanSlowdown && u.failureRate.load() < probeFailureRate {
		return false
	}
	interval := int64(float64(probeInterval) * daemons)
	last := u.probeTime.Load()
	latest := max(last, u.slowdownTime.Load(), u.failureRateTime.Load())
	return now-latest > interval && u.probeTime.CompareAndSwap(last, now)
}

// recordHistory records the work in the history.
func (u *upstreamState) recordHistory(now int64) {
	u.history.record(now, u.pending.Load(), u.inFlight.Load())
}

// observeLatency takes in the time to the first token against the expectation.
func (u *upstreamState) observeLatency(now int64, observedMS, expectedMS float64, meanSlowdown *atomicFloat) {
	ratio := (observedMS + slowdownOffsetMS) / (expectedMS + slowdownOffsetMS)
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	u.slowdown.store(u.currentSlowdown(now, meanSlowdown.load()))
	u.slowdown.moveToward(ratio, observationWeight)
	meanSlowdown.moveToward(ratio, meanSlowdownWeight)
	u.slowdownTime.Store(now)
	u.firstTokens.Add(1)
}

func (u *upstreamState) observeEnd(now int64, durationMS float64, result Result) {
	failed := 0.0
	switch result {
	case Canceled:
		return
	case Failed:
		failed = 1
	case Refused:
		failed = refusalWeight
	case Succeeded:
		if average := u.durationMS.load(); average == 0 {
			u.durationMS.store(durationMS)
		} else {
			u.durationMS.moveToward(durationMS, observationWeight)
		}
	}
	u.failureRate.store(u.currentFailureRate(now))
	u.failureRate.moveToward(failed, observationWeight)
	u.failureRateTime.Store(now)
}

// node is one upstream of a snapshot with its declared properties.
type node struct {
	*upstreamState
	upstream     *manifest.Upstream
	prefillRate  float64 // declared prompt tokens a millisecond
	slots        float64
	pricePremium float64 // price of a token over the cheapest of the service, minus one
	reclaimRate  float64 // probability of a reclaim in a millisecond
}

const (
	historySlots = 128
	historyStep  = 50 * time.Millisecond
)

// history remembers for some seconds how much of this daemon's work an upstream
// had at which time.
type history struct {
	ticks    [historySlots]atomic.Int64
	pending  [historySlots]atomic.Int64
	inFlight [historySlots]atomic.Int64
}

// record records the work after a change at now.
func (h *history) record(now, pending, inFlight int64) {
	tick := now / int64(historyStep)
	i := tick % historySlots
	h.pending[i].Store(pending)
	h.inFlight[i].Store(inFlight)
	h.ticks[i].Store(tick)
}

// at returns the work at a past time: as it was after the last change before.
func (h *history) at(t int64) (pending, inFlight int64) {
	first := max(t, 0) / int64(historyStep)
	for tick := first; tick >= max(0, first-historySlots+1); tick-- {
		i := tick % historySlots
		if h.ticks[i].Load() == tick {
			return h.pending[i].Load(), h.inFlight[i].Load()
		}
	}
	return 0, 0
}

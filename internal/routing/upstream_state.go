package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	observationWeight   = 0.1  // weight of one observation in a moving average
	meanSlowdownWeight  = 0.01 // weight of one observation in the mean slowdown of a service
	cacheAccuracyWeight = 0.05 // weight of one observation in the cache accuracy
	maxSlowdown         = 64.0
	minSlowdown         = 1.0 / 16
	slowdownOffsetMS    = 10.0             // added to observed and expected time, so that short times give no extreme ratio
	observationHalfLife = 5 * time.Second  // time after which the excess of a slowdown or failure rate over its baseline has halved
	maxLoadAge          = 10 * time.Second // older load reports are ignored
	refusalWeight       = 0.5              // weight of a refusal in the failure rate; a failure has weight 1
	probeInterval       = 2 * time.Second  // time between probes of a degraded upstream by all daemons together
	probeSlowdown       = 1.5              // multiple of the mean slowdown from which an upstream is degraded
	probeFailureRate    = 0.1              // failure rate from which an upstream is degraded
)

// atomicFloat is a float64 with atomic access.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

// moveToward adds v to an exponential moving average, with the given weight.
func (f *atomicFloat) moveToward(v, weight float64) {
	for {
		old := f.bits.Load()
		current := math.Float64frombits(old)
		if f.bits.CompareAndSwap(old, math.Float64bits(current+weight*(v-current))) {
			return
		}
	}
}

// load is a load report and this daemon's own work at the time of measurement.
type load struct {
	LoadReport
	at          int64 // nanoseconds on the router's clock
	ownPending  int64 // prompt tokens that had no first token yet
	ownInFlight int64 // attempts in flight
}

// upstreamState holds what this daemon has observed of one upstream. It is kept
// across snapshots. All fields may be used from any goroutine.
type upstreamState struct {
	id              uint16
	generation      atomic.Uint32 // of its entries in the prefix map
	incarnation     atomic.Int64  // last reported; 0 before the first report
	inFlight        atomic.Int64  // attempts of this daemon
	pending         atomic.Int64  // uncached prompt tokens of attempts without a first token
	leaving         atomic.Bool   // the upstream has reported that it is leaving
	firstTokens     atomic.Int64  // first tokens since the last restart
	load            atomic.Pointer[load]
	slowdown        atomicFloat  // observed over expected time to first token; above 1 is slower
	slowdownTime    atomic.Int64 // time of the last observation
	probeTime       atomic.Int64 // time of the last probe
	failureRate     atomicFloat  // moving average; 1 if all recent attempts failed
	failureRateTime atomic.Int64 // time of the last observation
	cacheAccuracy   atomicFloat  // fraction of the tokens predicted to be cached that were
	durationMS      atomicFloat  // mean duration of successful attempts
	history         history
}

func newUpstreamState(id upstreamID) *upstreamState {
	u := &upstreamState{id: id.id}
	u.generation.Store(id.generation)
	u.slowdown.store(1)
	u.cacheAccuracy.store(1)
	return u
}

// upstreamID is a free id and the first generation that no entry of the prefix
// map has used with it.
type upstreamID struct {
	id         uint16
	generation uint32
}

// reset discards what a restart of the upstream invalidates.
func (u *upstreamState) reset() {
	u.generation.Add(1)
	u.firstTokens.Store(0)
	u.leaving.Store(false)
	u.cacheAccuracy.store(1)
}

// decayExcess returns v with its excess over baseline halved for each
// observationHalfLife since it was observed, so that an upstream without traffic
// gradually gets requests again.
func decayExcess(v, baseline float64, now, observedAt int64) float64 {
	if v <= baseline {
		return v
	}
	halfLives := float64(max(now-observedAt, 0)) / float64(observationHalfLife)
	return baseline + (v-baseline)*math.Exp2(-halfLives)
}

// currentSlowdown returns the slowdown. Above the mean of the service, it decays
// to that mean unless new observations confirm it.
func (u *upstreamState) currentSlowdown(now int64, mean float64) float64 {
	return decayExcess(u.slowdown.load(), mean, now, u.slowdownTime.Load())
}

func (u *upstreamState) currentFailureRate(now int64) float64 {
	return decayExcess(u.failureRate.load(), 0, now, u.failureRateTime.Load())
}

// claimProbe reports whether this request must be sent as a probe: the upstream is
// degraded, and the last observation or probe is old. Only one of several
// concurrent requests gets true.
func (u *upstreamState) claimProbe(now int64, meanSlowdown, daemons float64) bool {
	if u.slowdown.load() < probeSlowdown*meanSlowdown && u.failureRate.load() < probeFailureRate {
		return false
	}
	interval := int64(float64(probeInterval) * daemons)
	last := u.probeTime.Load()
	latest := max(last, u.slowdownTime.Load(), u.failureRateTime.Load())
	return now-latest > interval && u.probeTime.CompareAndSwap(last, now)
}

// recordHistory adds the current work to the history.
func (u *upstreamState) recordHistory(now int64) {
	u.history.record(now, u.pending.Load(), u.inFlight.Load())
}

// observeLatency updates the slowdowns by the observed and the expected time to
// first token, or to the whole response of a plain service.
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

// node is an upstream of a snapshot with its declared properties.
type node struct {
	*upstreamState
	upstream     *manifest.Upstream
	prefillRate  float64 // declared prompt tokens per millisecond
	slots        float64
	pricePremium float64 // price per token relative to the cheapest of the service, minus 1
	reclaimRate  float64 // expected reclaims per millisecond
}

const (
	historySlots = 128
	historyStep  = 50 * time.Millisecond
)

// history is a ring of the work that this daemon had at an upstream over the
// last 6.4 s (historySlots times historyStep).
type history struct {
	ticks    [historySlots]atomic.Int64 // time of the slot, in units of historyStep
	pending  [historySlots]atomic.Int64
	inFlight [historySlots]atomic.Int64
}

// record stores the work after a change at now.
func (h *history) record(now, pending, inFlight int64) {
	tick := now / int64(historyStep)
	i := tick % historySlots
	h.pending[i].Store(pending)
	h.inFlight[i].Store(inFlight)
	h.ticks[i].Store(tick)
}

// at returns the work after the last change up to time t, or zeros if the history
// has no such change.
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

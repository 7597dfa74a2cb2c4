package routing

import (
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// Attempt is an attempt in flight at an upstream. It is not safe for concurrent
// use. Done must be called once.
type Attempt struct {
	Upstream *manifest.Upstream

	router        *Router
	state         *upstreamState
	shared        *serviceState
	blocks        []uint64
	promptTokens  int
	cached        int // prompt tokens expected in the upstream's cache
	expectedMS    float64
	beganAt       int64 // nanoseconds on the router's clock
	hasFirstToken bool
}

// Begin picks an upstream for the request and counts the attempt in flight
// there. It returns ErrNoUpstream if none can take it. The request's blocks
// must not change until Done.
func (r *Router) Begin(now time.Time, req *Request) (Attempt, error) {
	v := r.view.Load()
	p := v.pickers[req.Service]
	if p == nil {
		return Attempt{}, ErrNoUpstream
	}
	t := r.clock.nanos(now)
	ch := p.pick(t, req)
	if ch.node == nil {
		return Attempt{}, ErrNoUpstream
	}
	a := Attempt{
		Upstream:     ch.node.upstream,
		router:       r,
		state:        ch.node.upstreamState,
		shared:       v.shared[req.Service],
		blocks:       req.Blocks,
		promptTokens: req.PromptTokens,
		cached:       ch.cached,
		expectedMS:   ch.expectedMS,
		beganAt:      t,
	}
	a.countBegin(t)
	return a, nil
}

func (a *Attempt) uncachedTokens() int64 { return int64(a.promptTokens - a.cached) }

// removePending subtracts the prompt's uncached tokens from the pending ones.
func (a *Attempt) removePending() {
	a.shared.pending.Add(-a.uncachedTokens())
	a.state.pending.Add(-a.uncachedTokens())
}

func (a *Attempt) countBegin(t int64) {
	u := a.state
	a.shared.inFlight.Add(1)
	a.shared.pending.Add(a.uncachedTokens())
	u.inFlight.Add(1)
	u.pending.Add(a.uncachedTokens())
	u.recordHistory(t)
	a.router.stats.picks.Add(1)
	a.router.stats.promptTokens.Add(int64(a.promptTokens))
	a.router.stats.expectedCached.Add(int64(a.cached))
}

// FirstToken records that the first token arrived. cached is the number of
// prompt tokens that the upstream found in its cache, negative if unknown.
func (a *Attempt) FirstToken(now time.Time, cached int) {
	if a.state == nil || a.hasFirstToken {
		return
	}
	a.hasFirstToken = true
	u := a.state
	t := a.router.clock.nanos(now)
	a.removePending()
	u.recordHistory(t)
	expected := a.expectedMS
	if cached >= 0 {
		a.router.stats.cached.Add(int64(cached))
		u.observeCached(a.cached, cached)
	}
	u.observeLatency(t, milliseconds(t-a.beganAt), expected, &a.shared.meanSlowdown)
	for _, b := range a.blocks {
		a.router.prefixes.store(b, u)
	}
}

// observeCached updates the cache accuracy by the tokens predicted to be cached
// and those found in the cache.
func (u *upstreamState) observeCached(predicted, found int) {
	if predicted > 0 {
		u.cacheAccuracy.moveToward(min(float64(found)/float64(predicted), 1), cacheAccuracyWeight)
	}
}

// Done records the end of the attempt.
func (a *Attempt) Done(now time.Time, result Result) {
	if a.state == nil {
		return
	}
	u := a.state
	t := a.router.clock.nanos(now)
	if !a.hasFirstToken {
		a.removePending()
	}
	a.shared.inFlight.Add(-1)
	u.inFlight.Add(-1)
	u.recordHistory(t)
	durationMS := milliseconds(t - a.beganAt)
	if !a.hasFirstToken && a.promptTokens == 0 && result == Succeeded {
		u.observeLatency(t, durationMS, a.expectedMS, &a.shared.meanSlowdown)
	}
	u.observeEnd(t, durationMS, result)
	if result == Failed {
		a.router.stats.failed.Add(1)
	}
	a.state = nil
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

// counters holds the totals that Stats returns.
type counters struct {
	picks, failed                        atomic.Int64
	promptTokens, expectedCached, cached atomic.Int64
}

// Stats counts attempts and prompt tokens since the router was created.
type Stats struct {
	Picks          int64 `json:"picks"`
	Failed         int64 `json:"failed"`
	PromptTokens   int64 `json:"prompt_tokens"`
	ExpectedCached int64 `json:"believed_cached_tokens"` // predicted when picking the upstream
	Cached         int64 `json:"cached_tokens"`          // reported by the upstreams
}

// Stats returns the counters. It may be called from any goroutine.
func (r *Router) Stats() Stats {
	return Stats{
		Picks:          r.stats.picks.Load(),
		Failed:         r.stats.failed.Load(),
		PromptTokens:   r.stats.promptTokens.Load(),
		ExpectedCached: r.stats.expectedCached.Load(),
		Cached:         r.stats.cached.Load(),
	}
}

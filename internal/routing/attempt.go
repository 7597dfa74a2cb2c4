package routing

import (
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// Attempt is one attempt in flight at an upstream. It belongs to one
// goroutine, which must call Done once.
type Attempt struct {
	Upstream *manifest.Upstream

	router   *Router
	runner   *runner
	shared   *serviceState
	blocks   []uint64
	prompt   int
	cached   int // prompt tokens believed cached
	expected float64
	began    int64
	started  bool // first token received
}

// Begin picks an upstream for the request and counts the attempt in flight
// there. It returns ErrNoUpstream when none may take it. The request's blocks
// must not change until Done.
func (r *Router) Begin(now time.Time, req *Request) (Attempt, error) {
	v := r.view.Load()
	p := v.pickers[req.Service]
	if p == nil {
		return Attempt{}, ErrNoUpstream
	}
	t := r.clock.of(now)
	ch := p.pick(t, req)
	if ch.node == nil {
		return Attempt{}, ErrNoUpstream
	}
	a := Attempt{
		Upstream: ch.node.upstream,
		router:   r,
		runner:   ch.node.runner,
		shared:   v.shared[req.Service],
		blocks:   req.Blocks,
		prompt:   req.PromptTokens,
		cached:   ch.cached,
		expected: ch.expectedMS,
		began:    t,
	}
	a.count(t)
	return a, nil
}

func (a *Attempt) compute() int64 { return int64(a.prompt - a.cached) }

// computed takes the prompt out of the pending tokens.
func (a *Attempt) computed() {
	a.shared.pending.Add(-a.compute())
	a.runner.pending.Add(-a.compute())
}

func (a *Attempt) count(t int64) {
	x := a.runner
	a.shared.inFlight.Add(1)
	a.shared.pending.Add(a.compute())
	x.inFlight.Add(1)
	x.pending.Add(a.compute())
	x.note(t)
	a.router.stats.picks.Add(1)
	a.router.stats.prompt.Add(int64(a.prompt))
	a.router.stats.believed.Add(int64(a.cached))
}

// FirstToken reports the first token, and how many tokens of the prompt the
// upstream found in its cache; negative where it did not tell.
func (a *Attempt) FirstToken(now time.Time, cached int) {
	if a.runner == nil || a.started {
		return
	}
	a.started = true
	x := a.runner
	t := a.router.clock.of(now)
	a.computed()
	x.note(t)
	expected := a.expected
	if cached >= 0 {
		a.router.stats.cached.Add(int64(cached))
		x.learnTrust(a.cached, cached)
	}
	x.observeStart(t, milliseconds(t-a.began), expected, &a.shared.usual)
	for _, b := range a.blocks {
		a.router.prefixes.store(b, x)
	}
}

// learnTrust compares the tokens believed cached with those found.
func (r *runner) learnTrust(believed, found int) {
	if believed > 0 {
		r.trust.average(min(float64(found)/float64(believed), 1), trustWeight)
	}
}

// Done reports the end of the attempt.
func (a *Attempt) Done(now time.Time, result Result) {
	if a.runner == nil {
		return
	}
	x := a.runner
	t := a.router.clock.of(now)
	if !a.started {
		a.computed()
	}
	a.shared.inFlight.Add(-1)
	x.inFlight.Add(-1)
	x.note(t)
	took := milliseconds(t - a.began)
	if !a.started && a.prompt == 0 && result == Succeeded {
		x.observeStart(t, took, a.expected, &a.shared.usual)
	}
	x.observeEnd(t, took, result)
	if result == Failed {
		a.router.stats.failed.Add(1)
	}
	a.runner = nil
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

// counters counts since the daemon started.
type counters struct {
	picks, failed            atomic.Int64
	prompt, believed, cached atomic.Int64
}

// Stats counts attempts and prompt tokens since the router was made.
type Stats struct {
	Picks          int64 `json:"picks"`
	Failed         int64 `json:"failed"`
	PromptTokens   int64 `json:"prompt_tokens"`
	BelievedCached int64 `json:"believed_cached_tokens"` // expected by the pick
	Cached         int64 `json:"cached_tokens"`          // reported by the upstreams
}

// Stats returns the counters. It may be called from any goroutine.
func (r *Router) Stats() Stats {
	return Stats{
		Picks:          r.stats.picks.Load(),
		Failed:         r.stats.failed.Load(),
		PromptTokens:   r.stats.prompt.Load(),
		BelievedCached: r.stats.believed.Load(),
		Cached:         r.stats.cached.Load(),
	}
}

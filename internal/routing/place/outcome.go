package place

import (
	"math"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// Outcome is the result of a request at an upstream.
type Outcome int

// Outcomes of requests.
const (
	Answered  Outcome = iota // the upstream responded
	Refused                  // the upstream was full and did not run the request
	Failed                   // the upstream or its connection failed
	Misplaced                // the address now belongs to another upstream
	Canceled                 // ended by the caller or the deadline; not counted for or against the upstream
)

// FirstEvent records that the first event or the complete response arrived after took.
func (p *Placer) FirstEvent(c Choice, took time.Duration, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[c.Upstream.Key()]
	if s == nil {
		return
	}
	s.lastReceived = now
	s.local.Backlog = max(s.local.Backlog-c.Prefill, 0)
	ms := float64(took) / float64(time.Millisecond)
	if c.Prefill == 0 {
		s.plainMS = ewma(s.plainMS, ms/p.reportedDuring(s, took, now))
		p.plainMS[s.upstream.Service] = ewma(p.plainMS[s.upstream.Service], ms)
		return
	}
	p.updateLatency(s, c, took, now)
}

// ewma returns an exponentially weighted moving average after one value; old is 0 if
// there was none before.
func ewma(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + ewmaWeight*(value-old)
}

// MarkActive records that data has arrived from an upstream.
func (p *Placer) MarkActive(k roster.Key, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.states[k]; s != nil {
		s.lastReceived = now
	}
}

// pauseGrace is how long after the start of a pause requests may still be sent, because
// they were on their way when the upstream asked for the pause.
const pauseGrace = 500 * time.Millisecond

// MarkLeaving records that an upstream announced its shutdown in a response.
func (p *Placer) MarkLeaving(k roster.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.states[k]; s != nil {
		s.leaving = true
	}
}

// Pause stops placing requests at an upstream for d, as the upstream asked this daemon
// or as the rate that it names requires. It binds also while the upstream has no entry.
func (p *Placer) Pause(k roster.Key, d, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses.add(k, d, now, func(k roster.Key) bool { return p.states[k] != nil })
}

// PauseEnforced reports whether sending a request to an upstream would violate its
// pause, pauseGrace after its start.
func (p *Placer) PauseEnforced(k roster.Key, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.until(k, now) > 0 && now-p.pauses[k].since > pauseGrace
}

// Accepts reports whether an upstream picked earlier still accepts requests from this
// daemon.
func (p *Placer) Accepts(k roster.Key, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[k]
	return s != nil && !s.leaving && !s.upstream.Leaving && s.upstream.Cohort != roster.Excluded && p.pauses.until(k, now) == 0
}

// SetReport stores the load that an upstream reported.
func (p *Placer) SetReport(k roster.Key, r LoadReport, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[k]
	if s == nil || s.reportedAt > now {
		return
	}
	s.report, s.reportedAt = r, now
	if r.Slowdown > 0 {
		p.setSlowdown(s, r.Slowdown, now)
	}
}

// Done ends a request counted by Pick. gotFirst is set if FirstEvent was called for it.
func (p *Placer) Done(c Choice, o Outcome, gotFirst bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[c.Upstream.Key()]
	if s == nil {
		return
	}
	s.local.Running = max(s.local.Running-1, 0)
	if !gotFirst {
		s.local.Backlog = max(s.local.Backlog-c.Prefill, 0)
	}
	if s.local.Running == 0 {
		s.local.Backlog = 0
		s.waitingSince = 0
	}
	switch o {
	case Answered:
		s.lastReceived = now
		s.local.Answered++
		s.addOutcomes(1, 0, now)
	case Refused:
		s.lastReceived = now
		s.fullUntil = now + refusalTTL
	case Failed, Misplaced:
		s.local.Failed++
		s.addOutcomes(0, 1, now)
	}
}

// remoteEWMAWeight is the weight of one measurement by another daemon. All daemons receive
// the same measurements; with a larger weight, queueing delays in them would make the
// estimates of all daemons oscillate together.
const remoteEWMAWeight = 0.01

// mergeOutcomes adds the results of requests of other daemons at the upstream.
func (s *upstreamState) mergeOutcomes(l Load, now time.Duration) {
	s.addOutcomes(float64(l.Answered), float64(l.Failed), now)
	if n := float64(l.Samples); n > 0 {
		ratio := min(max(float64(l.RatioSum)/100/n, minSlowdown), maxSlowdown)
		s.slowdown += (1 - math.Pow(1-remoteEWMAWeight, n)) * (ratio - s.slowdown)
	}
}

package place

import (
	"math"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// Outcome is how a request ended at an upstream.
type Outcome int

// Outcomes.
const (
	Answered  Outcome = iota
	Refused           // the upstream was full and did not run it
	Failed            // the upstream or its connection failed
	Misplaced         // another upstream has the address
	Canceled          // ended by the caller or its deadline; says nothing of the upstream
)

// FirstEvent notes that the first event or the answer of a request has come, after
// took.
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
		s.plainMS = ewma(s.plainMS, ms)
		p.plainMS[s.upstream.Service] = ewma(p.plainMS[s.upstream.Service], ms)
		return
	}
	p.updateLatency(s, c, took)
}

// ewma moves an average by one value; 0 is one that has seen none.
func ewma(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + ewmaWeight*(value-old)
}

// MarkActive notes that an upstream has sent something.
func (p *Placer) MarkActive(k roster.Key, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.states[k]; s != nil {
		s.lastReceived = now
	}
}

// pauseGrace is how long after the answer that asked for it a pause may still be
// broken by requests that are on their way out.
const pauseGrace = 500 * time.Millisecond

// MarkLeaving notes that an upstream has said in an answer that it leaves.
func (p *Placer) MarkLeaving(k roster.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.states[k]; s != nil {
		s.leaving = true
	}
}

// Pause notes that an upstream wants nothing from this daemon for some time.
func (p *Placer) Pause(k roster.Key, d, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.states[k]; s != nil {
		if now >= s.pausedUntil {
			s.pausedSince = now
		}
		s.pausedUntil = max(s.pausedUntil, now+d)
	}
}

// PauseEnforced tells whether sending to an upstream would break its pause.
func (p *Placer) PauseEnforced(k roster.Key, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[k]
	return s != nil && now < s.pausedUntil && now-s.pausedSince > pauseGrace
}

// Accepts tells whether an upstream that was chosen some time ago still takes
// requests from this daemon.
func (p *Placer) Accepts(k roster.Key, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[k]
	return s != nil && !s.leaving && !s.upstream.Leaving && now >= s.pausedUntil
}

// SetReport takes in an upstream's word on its load.
func (p *Placer) SetReport(k roster.Key, r LoadReport, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.states[k]; s != nil {
		s.report, s.reportedAt = r, now
	}
}

// Done ends the count of a request. begun tells whether First was called.
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

// remoteEWMAWeight is how much one measurement of another daemon moves the speed. All
// daemons hear of the same ones: what they believe alike must not swing with the queues
// that are in it.
const remoteEWMAWeight = 0.01

// mergeOutcomes takes in what other daemons have seen of an upstream.
func (s *upstreamState) mergeOutcomes(l Load, now time.Duration) {
	s.addOutcomes(float64(l.Answered), float64(l.Failed), now)
	if n := float64(l.Samples); n > 0 {
		ratio := min(max(float64(l.RatioSum)/100/n, minSlowdown), maxSlowdown)
		s.slowdown += (1 - math.Pow(1-remoteEWMAWeight, n)) * (ratio - s.slowdown)
	}
}

package place

import "time"

// tooSlow reports whether the best choice for a query is no use: it would take longer than
// the query allows, or the upstream is nearly full. The caller holds mu.
func (p *Placer) tooSlow(q Query, best Choice, now time.Duration) bool {
	if q.MaxExpected <= 0 {
		return false
	}
	s := p.states[best.Upstream.Key()]
	full := float64(best.Running) >= nearFullFraction*float64(s.upstream.Slots) || now < s.fullUntil
	return best.Expected > q.MaxExpected || full || s.silent(now)
}

// ObserveCanceled records that a request was given up for its hedge, which answered first, when it had
// not been answered for a time. The time is a lower bound of what the upstream needed: it
// counts only if the upstream is estimated to be faster than that, and as updateLatency does only
// with the part that reports don't explain. Done must be called too.
func (p *Placer) ObserveCanceled(c Choice, elapsed, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[c.Upstream.Key()]
	if s == nil || elapsed <= c.Expected {
		return
	}
	ms, reported := float64(elapsed)/float64(time.Millisecond), p.reportedDuring(s, elapsed, now)
	if c.Prefill == 0 {
		if ms /= reported; ms > s.plainMS {
			s.plainMS = ewma(s.plainMS, ms)
		}
		return
	}
	model := p.model(s.upstream.Service)
	nominal := float64(c.Backlog+c.Prefill) * model.msPerToken()
	if ratio := min((ms-model.baseMS())/max(nominal, 1)/reported, maxSlowdown); c.Prefill >= minMeasuredTokens && ratio > s.slowdown {
		s.slowdown += ewmaWeight * (ratio - s.slowdown)
	}
}

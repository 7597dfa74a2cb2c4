package place

import (
	"math"
	"time"
)

const (
	// workDecay is the time constant of the recent work of this daemon at each upstream. A
	// shorter constant, 30 s, covers too few requests per upstream at a daemon among many.
	workDecay = 90 * time.Second
	// fairWork is the recent work of an upstream, relative to the mean and to its speed, from
	// which it costs more to choose it.
	fairWork = 1.05
	// minWorkMS is the mean recent work per upstream below which shares are not compared.
	minWorkMS = 50.0 // ms
	// fullExcess is the work above fairWork from which the whole surcharge is added.
	fullExcess = 0.15
)

// recentWork is prefill work in ms at the upstream's own speed, decaying over workDecay.
type recentWork struct {
	ms float64
	at time.Duration
}

func (w *recentWork) value(now time.Duration) float64 {
	return w.ms * math.Exp(-(now-w.at).Seconds()/workDecay.Seconds())
}

// add adds work, or takes it back, of which a part has decayed since it was added.
func (w *recentWork) add(ms float64, now time.Duration) { w.ms, w.at = max(w.value(now)+ms, 0), now }

// addWork counts the work that this daemon gives to an upstream. It takes longer at a slower
// one, which is what shares are compared by. It returns the ms counted. The caller holds mu.
func (p *Placer) addWork(s *upstreamState, tokens int, model *latencyModel, now time.Duration) float64 {
	ms := model.baseMS() + float64(tokens)*model.msPerToken()*s.slowdown
	s.work.add(ms, now)
	key := ringKey{s.upstream.Service, s.upstream.Cohort}
	total := p.work[key]
	if total == nil {
		total = &recentWork{}
		p.work[key] = total
	}
	total.add(ms, now)
	return ms
}

// Withdraw takes back what Pick counted as demand and work for a choice that was not sent. Done
// must be called too.
func (p *Placer) Withdraw(c Choice, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := c.Upstream
	if s := p.states[u.Key()]; s != nil {
		s.work.add(-c.workMS, now)
	}
	if total := p.work[ringKey{u.Service, u.Cohort}]; total != nil {
		total.add(-c.workMS, now)
	}
	p.countRequest(u.Service, c.shared, -1, -c.Prefill, now)
}

// excessMS returns the surcharge for an upstream that recently got more than its share of this
// daemon's work, at most the prefill time of the whole prompt. Each daemon balances its own work, so
// no exchange is needed and stale loads cannot make daemons act together. The bound keeps requests
// whose cached segments save most of the prefill. The caller holds mu.
func (p *Placer) excessMS(s *upstreamState, q Query, upstreams int, model *latencyModel, now time.Duration) float64 {
	total := p.work[ringKey{s.upstream.Service, s.upstream.Cohort}]
	if !p.viaHubs || total == nil || q.plain() {
		return 0
	}
	mean := total.value(now) / float64(max(upstreams, 1))
	excess := s.work.value(now)/max(mean, minWorkMS) - fairWork
	return min(max(excess/fullExcess, 0), 1) * float64(q.tokens()) * model.msPerToken()
}

// shared returns the segments of the prompt that other requests may have too: all but the last one.
func (q Query) shared() []Segment {
	return q.Prompt[:max(len(q.Prompt)-1, 0)]
}

// tokens returns the prompt length.
func (q Query) tokens() int {
	if len(q.Prompt) == 0 {
		return q.PromptTokens
	}
	sum := 0
	for _, s := range q.Prompt {
		sum += s.Tokens
	}
	return sum
}

package place

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
)

const (
	// defaultPrefillRate is the prompt tokens that an engine is taken to read in a millisecond
	// beside running requests, until its service was measured: 1,024 tokens take
	// 9.3 ms, and a step of the others 6 to 8.
	defaultPrefillRate = 64.0
	// defaultFirstEventMS is the time to a first event where nothing is to be read, until the
	// service was measured: two steps and a round trip.
	defaultFirstEventMS = 15.0 // ms
	// priorWeight is how many requests the assumed pace counts for.
	priorWeight = 40.0
	// priorTokens is the spread of the prompts that it counts for.
	priorTokens = 2000.0 // tokens
	// modelDecay is how much less each request counts than the one after it.
	modelDecay = 0.995
	// modelBound is how many times faster or slower than assumed a service may be.
	modelBound = 16.0
)

// latencyModel is how long first events of a service take: a line over the tokens that are
// to be read before, fitted to the requests of late. Older ones count less.
type latencyModel struct {
	weight      float64
	meanX       float64 // tokens
	meanY       float64 // ms
	varX, covXY float64 // sums of squares and products around the means
}

func newLatencyModel() *latencyModel {
	m := &latencyModel{weight: priorWeight, meanX: priorTokens}
	m.meanY = defaultFirstEventMS + m.meanX/defaultPrefillRate
	m.varX = priorWeight * priorTokens * priorTokens
	m.covXY = m.varX / defaultPrefillRate
	return m
}

// observe takes in one first event.
func (m *latencyModel) observe(tokens, ms float64) {
	m.weight, m.varX, m.covXY = m.weight*modelDecay+1, m.varX*modelDecay, m.covXY*modelDecay
	dx := tokens - m.meanX
	m.meanX += dx / m.weight
	dy := ms - m.meanY
	m.meanY += dy / m.weight
	m.varX += dx * (tokens - m.meanX)
	m.covXY += dx * (ms - m.meanY)
}

// msPerToken returns the milliseconds that a token takes to be read.
func (m *latencyModel) msPerToken() float64 {
	if m.varX <= 0 {
		return 1 / defaultPrefillRate
	}
	return min(max(m.covXY/m.varX, 1/(defaultPrefillRate*modelBound)), modelBound/defaultPrefillRate)
}

// baseMS returns the milliseconds to a first event where nothing is to be read.
func (m *latencyModel) baseMS() float64 {
	return min(max(m.meanY-m.msPerToken()*m.meanX, defaultFirstEventMS/modelBound), defaultFirstEventMS*modelBound)
}

// PrefillFactor returns how long the engines of a service take to read a prompt token, as
// a multiple of what is assumed of engines that were not measured.
func (p *Placer) PrefillFactor(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.model(service).msPerToken() * defaultPrefillRate
}

// model returns the pace of a service. The caller holds mu.
func (p *Placer) model(service string) *latencyModel {
	m := p.models[service]
	if m == nil {
		m = newLatencyModel()
		p.models[service] = m
	}
	return m
}

// updateLatency takes in how long a first event took after its request had found so
// many tokens to be read before it. The caller holds mu.
func (p *Placer) updateLatency(s *upstreamState, c Choice, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	model := p.model(s.upstream.Service)
	tokens := float64(c.Backlog + c.Prefill)
	predicted := model.baseMS() + tokens*model.msPerToken()*s.slowdown
	if c.Prefill >= minMeasuredTokens && !ablation.Without(ablation.Speeds) {
		ratio := (ms - model.baseMS()) / max((predicted-model.baseMS())/s.slowdown, 1)
		ratio = min(max(ratio, minSlowdown), maxSlowdown)
		s.slowdown += ewmaWeight * (ratio - s.slowdown)
		s.local.Samples++
		s.local.RatioSum += uint32(100 * ratio)
	}
	if c.Backlog == 0 {
		model.observe(tokens, min(ms, maxSlowdown*predicted))
	}
}

package place

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
)

const (
	// defaultPrefillRate is the assumed prefill rate of an engine with running requests,
	// in tokens per millisecond, until its service has been measured: a prefill of 1,024
	// tokens takes 9.3 ms, and a decoding step of the other requests 6 to 8 ms.
	defaultPrefillRate = 64.0
	// defaultFirstEventMS is the assumed time to the first event without prefill, until
	// the service has been measured: two decoding steps and a round trip.
	defaultFirstEventMS = 15.0 // ms
	// priorWeight is the number of requests that the default values count for.
	priorWeight = 40.0
	// priorTokens is the mean and the spread of the prompt lengths assumed for them.
	priorTokens = 2000.0 // tokens
	// modelDecay is the weight of a request relative to the next one.
	modelDecay = 0.995
	// maxModelFactor is the maximum factor between the fitted values and the defaults.
	maxModelFactor = 16.0
)

// latencyModel predicts the time to the first event at a service as a linear function of
// the tokens to prefill before it. The line is fitted to recent requests by least squares
// with decaying weights.
type latencyModel struct {
	weight      float64 // sum of the weights of all requests
	meanX       float64 // mean tokens
	meanY       float64 // mean time in ms
	varX, covXY float64 // weighted sums of squares and products of deviations
}

func newLatencyModel() *latencyModel {
	m := &latencyModel{weight: priorWeight, meanX: priorTokens}
	m.meanY = defaultFirstEventMS + m.meanX/defaultPrefillRate
	m.varX = priorWeight * priorTokens * priorTokens
	m.covXY = m.varX / defaultPrefillRate
	return m
}

// observe adds one measured first event.
func (m *latencyModel) observe(tokens, ms float64) {
	m.weight, m.varX, m.covXY = m.weight*modelDecay+1, m.varX*modelDecay, m.covXY*modelDecay
	dx := tokens - m.meanX
	m.meanX += dx / m.weight
	dy := ms - m.meanY
	m.meanY += dy / m.weight
	m.varX += dx * (tokens - m.meanX)
	m.covXY += dx * (ms - m.meanY)
}

// msPerToken returns the prefill time per token in milliseconds.
func (m *latencyModel) msPerToken() float64 {
	if m.varX <= 0 {
		return 1 / defaultPrefillRate
	}
	return min(max(m.covXY/m.varX, 1/(defaultPrefillRate*maxModelFactor)), maxModelFactor/defaultPrefillRate)
}

// baseMS returns the milliseconds to the first event without prefill.
func (m *latencyModel) baseMS() float64 {
	return min(max(m.meanY-m.msPerToken()*m.meanX, defaultFirstEventMS/maxModelFactor), defaultFirstEventMS*maxModelFactor)
}

// PrefillFactor returns the prefill time per token at a service relative to the default,
// above 1 for slower engines.
func (p *Placer) PrefillFactor(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.model(service).msPerToken() * defaultPrefillRate
}

// model returns the latency model of a service. The caller holds mu.
func (p *Placer) model(service string) *latencyModel {
	m := p.models[service]
	if m == nil {
		m = newLatencyModel()
		p.models[service] = m
	}
	return m
}

// updateLatency updates the slowdown of the upstream and the latency model of its service
// with the time from sending a request to its first event. The slowdown is measured relative
// to the transient one that reports tell of, so that it doesn't count twice. The caller holds mu.
func (p *Placer) updateLatency(s *upstreamState, c Choice, took, now time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	model := p.model(s.upstream.Service)
	tokens := float64(c.Backlog + c.Prefill)
	predicted := model.baseMS() + tokens*model.msPerToken()*s.slowdown
	if c.Prefill >= minMeasuredTokens && !ablation.Disabled(ablation.SlowdownEstimates) {
		ratio := (ms - model.baseMS()) / max((predicted-model.baseMS())/s.slowdown, 1)
		ratio = min(max(ratio/p.reportedDuring(s, took, now), minSlowdown), maxSlowdown)
		s.slowdown += ewmaWeight * (ratio - s.slowdown)
		s.local.Samples++
		s.local.RatioSum += uint32(100 * ratio)
	}
	if c.Backlog == 0 {
		model.observe(tokens, min(ms, maxSlowdown*predicted))
	}
}

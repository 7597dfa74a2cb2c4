package place

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
)

const (
	// readRate is the prompt tokens that an engine is taken to read in a millisecond
	// beside running requests, until its service was measured: 1,024 tokens take
	// 9.3 ms, and a step of the others 6 to 8.
	readRate = 64.0
	// firstEvent is the time to a first event where nothing is to be read, until the
	// service was measured: two steps and a round trip.
	firstEvent = 15.0 // ms
	// priorWeight is how many requests the assumed pace counts for.
	priorWeight = 40.0
	// priorSpread is the spread of the prompts that it counts for.
	priorSpread = 2000.0 // tokens
	// paceDecay is how much less each request counts than the one after it.
	paceDecay = 0.995
	// paceBound is how many times faster or slower than assumed a service may be.
	paceBound = 16.0
)

// pace is how long first events of a service take: a line over the tokens that are
// to be read before, fitted to the requests of late. Older ones count less.
type pace struct {
	weight   float64
	meanX    float64 // tokens
	meanY    float64 // ms
	varX, co float64 // sums of squares and products around the means
}

func newPace() *pace {
	p := &pace{weight: priorWeight, meanX: priorSpread}
	p.meanY = firstEvent + p.meanX/readRate
	p.varX = priorWeight * priorSpread * priorSpread
	p.co = p.varX / readRate
	return p
}

// add takes in one first event.
func (p *pace) add(tokens, ms float64) {
	p.weight, p.varX, p.co = p.weight*paceDecay+1, p.varX*paceDecay, p.co*paceDecay
	dx := tokens - p.meanX
	p.meanX += dx / p.weight
	dy := ms - p.meanY
	p.meanY += dy / p.weight
	p.varX += dx * (tokens - p.meanX)
	p.co += dx * (ms - p.meanY)
}

// perToken returns the milliseconds that a token takes to be read.
func (p *pace) perToken() float64 {
	if p.varX <= 0 {
		return 1 / readRate
	}
	return min(max(p.co/p.varX, 1/(readRate*paceBound)), paceBound/readRate)
}

// base returns the milliseconds to a first event where nothing is to be read.
func (p *pace) base() float64 {
	return min(max(p.meanY-p.perToken()*p.meanX, firstEvent/paceBound), firstEvent*paceBound)
}

// Pace returns how long the engines of a service take to read a prompt token, as
// a multiple of what is assumed of engines that were not measured.
func (p *Placer) Pace(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace(service).perToken() * readRate
}

// pace returns the pace of a service. The caller holds mu.
func (p *Placer) pace(service string) *pace {
	l := p.paces[service]
	if l == nil {
		l = newPace()
		p.paces[service] = l
	}
	return l
}

// learnPace takes in how long a first event took after its request had found so
// many tokens to be read before it. The caller holds mu.
func (p *Placer) learnPace(s *state, c Choice, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	line := p.pace(s.up.Service)
	tokens := float64(c.Ahead + c.Missing)
	usual := line.base() + tokens*line.perToken()*s.speed
	if c.Missing >= measuredTokens && !ablation.Disabled(ablation.SlowdownEstimates) {
		ratio := (ms - line.base()) / max((usual-line.base())/s.speed, 1)
		ratio = min(max(ratio, minSpeed), maxSpeed)
		s.speed += speedWeight * (ratio - s.speed)
		s.own.Sampled++
		s.own.Ratio += uint32(100 * ratio)
	}
	if c.Ahead == 0 {
		line.add(tokens, min(ms, maxSpeed*usual))
	}
}

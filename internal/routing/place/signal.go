package place

import (
	"math"
	"time"
)

const (
	// meanReports is the number of reports over which the usual slowdown of an upstream is
	// averaged.
	meanReports = 50
	// shortestGap is the upper end of the first class of gaps between two reports; each
	// further class is twice as wide.
	shortestGap = 50 * time.Millisecond
	// gapClasses is the number of classes; the last one ends at 12.8 s.
	gapClasses = 9
	// agreementDecay is the weight of a pair of reports relative to the next one.
	agreementDecay = 0.998
	// agreementPrior is the sum of squared deviations assumed in addition to those seen,
	// without any agreement: reports count only once they have proved to predict later ones.
	agreementPrior = 1.0
)

// slowSignal is the slowdown that an upstream reports about itself.
type slowSignal struct {
	value float64 // last reported; 0 if none was
	mean  float64 // moving average of the reported values, starting at 1
	at    time.Duration
}

// deviation returns how far a reported slowdown is from the mean of the upstream, relative to
// the mean.
func (s *slowSignal) deviation(value float64) float64 { return value/s.mean - 1 }

// agreement tells how far reports predict later reports of the same upstream, by the time
// between them. It is a regression of the later deviation on the earlier one in each class
// of gaps.
type agreement struct{ products, squares [gapClasses]float64 }

// gapClass returns the class of a gap, and gapClasses if it is longer than all.
func gapClass(gap time.Duration) int {
	class := 0
	for end := shortestGap; class < gapClasses && gap >= end; end *= 2 {
		class++
	}
	return class
}

// observe adds two successive deviations of one upstream.
func (a *agreement) observe(earlier, later float64, gap time.Duration) {
	c := gapClass(gap)
	if c == gapClasses {
		return
	}
	a.products[c] = a.products[c]*agreementDecay + earlier*later
	a.squares[c] = a.squares[c]*agreementDecay + earlier*earlier
}

// weight returns the part of a report's deviation that is expected to be left after a time,
// from 0 to 1. It is at least what is left after a longer time: there may be few pairs of
// reports with a short gap. It is 0 for nil, a service without reports.
func (a *agreement) weight(age time.Duration) float64 {
	if a == nil {
		return 0
	}
	w := 0.0
	for c := gapClass(max(age, 0)); c < gapClasses; c++ {
		w = max(w, a.products[c]/(a.squares[c]+agreementPrior))
	}
	return min(w, 1)
}

// setSlowdown stores a slowdown that an upstream reported. It is bounded as measured ones are:
// a single outlier would move the mean so far that all later reports seem fast. The caller holds mu.
func (p *Placer) setSlowdown(s *upstreamState, value float64, now time.Duration) {
	value = min(max(value, minSlowdown), maxSlowdown)
	a := p.agreements[s.upstream.Service]
	if a == nil {
		a = &agreement{}
		p.agreements[s.upstream.Service] = a
	}
	g := &s.signal
	if g.value == 0 {
		g.mean = 1
	} else if now > g.at {
		a.observe(g.deviation(g.value), g.deviation(value), now-g.at)
	}
	g.value, g.at = value, now
	g.mean += (value - g.mean) / meanReports
}

// transientFactor returns the factor on the measured slowdown of an upstream that its last report
// leads to expect, the given time after that report; 1 without a report. The caller holds mu.
func (p *Placer) transientFactor(s *upstreamState, age time.Duration) float64 {
	if s.signal.value == 0 {
		return 1
	}
	f := 1 + p.agreements[s.upstream.Service].weight(age)*s.signal.deviation(s.signal.value)
	return math.Min(math.Max(f, minSlowdown), maxSlowdown)
}

// slowdownAt returns the slowdown expected while the upstream processes a request that it gets
// now, with the given tokens to prefill before its first event. The caller holds mu.
func (p *Placer) slowdownAt(s *upstreamState, tokens int, model *latencyModel, now time.Duration) float64 {
	if s.signal.value == 0 {
		return s.slowdown
	}
	ahead := fromMS(float64(tokens) * model.msPerToken() * s.slowdown / 2) // to the middle of the work
	return s.slowdown * p.transientFactor(s, now-s.signal.at+ahead)
}

// reportedDuring returns the factor on the measured slowdown, as reported, for work that took a
// time and has just ended. The caller holds mu.
func (p *Placer) reportedDuring(s *upstreamState, took, now time.Duration) float64 {
	middle := now - took/2
	return p.transientFactor(s, (middle - s.signal.at).Abs())
}

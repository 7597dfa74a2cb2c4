package admission

import (
	"math"
	"time"
)

const (
	// predictionDecay is the time constant of the samples.
	predictionDecay = 3 * time.Second
	// predictionTTL is the time without a sample after which the earlier ones no longer count. While
	// requests are refused there are no samples, and old ones would keep them refused.
	predictionTTL = time.Second
	// priorSamples is the number of samples assumed in addition to those observed, with waits as estimated.
	priorSamples = 10
	// priorDeviation is the standard deviation of the estimates of these samples.
	priorDeviation = 0.1 // s
	// medianStep is the fraction by which the median moves with one sample, and medianFloor the least
	// value that it is a fraction of, in s.
	medianStep  = 0.08
	medianFloor = 0.05
	// Waits above maxOverMedian times the median plus overMedianSlack count as that: single slow upstreams
	// take longer for a request that does not wait.
	maxOverMedian   = 2
	overMedianSlack = 0.1 // s
)

// prediction predicts waits from estimates that may be old, by a linear regression over the
// recent requests of this daemon. Where the estimates still hold when the requests arrive, the
// prediction is the estimate; where they don't, it is the mean wait.
type prediction struct {
	n, x, y, xx, xy float64 // decaying sums of estimates x and waits y, in s
	median          float64 // of the waits, in s
	at              time.Duration
}

func (p *prediction) add(estimate, wait, now time.Duration) {
	if now-p.at > predictionTTL {
		*p = prediction{}
	}
	f := math.Exp(-max(now-p.at, 0).Seconds() / predictionDecay.Seconds())
	x, y := estimate.Seconds(), wait.Seconds()
	step := medianStep * (p.median + medianFloor)
	p.median = max(p.median+math.Copysign(step, y-p.median), 0)
	y = min(y, maxOverMedian*p.median+overMedianSlack)
	p.n, p.x, p.y, p.xx, p.xy = f*p.n+1, f*p.x+x, f*p.y+y, f*p.xx+x*x, f*p.xy+x*y
	p.at = max(p.at, now)
}

// predict returns the expected wait of a request whose wait is estimated.
func (p *prediction) predict(estimate, now time.Duration) time.Duration {
	if p.n <= 0 || now-p.at > predictionTTL {
		return estimate
	}
	n := p.n * math.Exp(-max(now-p.at, 0).Seconds()/predictionDecay.Seconds())
	meanX, meanY := p.x/p.n, p.y/p.n
	prior := priorSamples * priorDeviation * priorDeviation
	varX, cov := n*(p.xx/p.n-meanX*meanX), n*(p.xy/p.n-meanX*meanY)
	slope := min(max((cov+prior)/(varX+prior), 0), 1)
	weight := n / (n + priorSamples)
	x := estimate.Seconds()
	y := (1-weight)*x + weight*(meanY+slope*(x-meanX))
	return time.Duration(max(y, 0) * float64(time.Second))
}

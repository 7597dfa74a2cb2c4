package obs

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/call"
)

// mergeSamples is the number of collected gaps between tokens at which the gaps of
// a running stream are merged into the histogram. It bounds their memory.
const mergeSamples = 256

// Request collects the measurements of one request until it ends. It must only be
// used by the goroutine that serves the request.
type Request struct {
	Call    *call.Call
	Outcome call.Outcome
	Status  int  // HTTP status of the response
	Cut     bool // the response was started but not completed
	Gone    bool // the caller closed the connection before the end

	firstToken time.Time // zero before the first token
	lastToken  time.Time
	gaps       []time.Duration // between tokens, not yet merged
	gapCount   int             // all gaps, including merged ones
	slowGaps   int             // gaps longer than the target
}

// RecordToken records that the next token of the response was ready at now.
func (r *Request) RecordToken(now time.Time) {
	if r.firstToken.IsZero() {
		r.firstToken, r.lastToken = now, now
		return
	}
	gap := now.Sub(r.lastToken)
	r.lastToken = now
	r.gaps = append(r.gaps, gap)
	r.gapCount++
	if target := r.Call.Service.Target.BetweenTokensMS; target > 0 && gap > milliseconds(target) {
		r.slowGaps++
	}
}

// NeedsMerge reports whether the collected gaps should be merged; see
// Registry.Merge.
func (r *Request) NeedsMerge() bool { return len(r.gaps) >= mergeSamples }

// maxSlowGapShare is the fraction of a stream's gaps between tokens that may be
// longer than the target.
const maxSlowGapShare = 0.05

// lateness holds which latency targets a completed request missed.
type lateness struct {
	first, between, total bool
}

func (l lateness) any() bool { return l.first || l.between || l.total }

func (r *Request) lateness(now time.Time) lateness {
	c := r.Call
	if r.Outcome != call.Answered || c.Service == nil {
		return lateness{}
	}
	target := c.Service.Target.FirstTokenMS
	return lateness{
		first:   target > 0 && !r.firstToken.IsZero() && r.firstToken.Sub(c.Arrived) > milliseconds(target),
		between: float64(r.slowGaps) > maxSlowGapShare*float64(r.gapCount),
		total:   now.After(c.Deadline),
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

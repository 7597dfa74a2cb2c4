package obs

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/call"
)

// mergeSamples is the number of samples between tokens after which a long
// stream is merged into the histograms.
const mergeSamples = 256

// Request accumulates what is seen of one request until it ends. It belongs to
// the task that serves the request.
type Request struct {
	Call    *call.Call
	Outcome call.Outcome
	Status  int  // HTTP status of the answer
	Cut     bool // the answer was begun but not passed on to its end
	Gone    bool // the caller closed the connection

	firstToken time.Time
	lastToken  time.Time
	gaps       []time.Duration // between tokens, not merged yet
	gapCount   int             // gaps so far
	slowGaps   int             // of them, above the target
}

// RecordToken notes that a token was passed on at now.
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

// NeedsMerge tells whether the samples should be merged now.
func (r *Request) NeedsMerge() bool { return len(r.gaps) >= mergeSamples }

// maxSlowGapShare is the share of a stream's tokens that may come later than the
// target between tokens.
const maxSlowGapShare = 0.05

// lateness tells which targets an answered request missed.
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

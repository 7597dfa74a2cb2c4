package dispatch

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/call"
)

const (
	firstTokenFactor        = 5 // timeout for the first token, as a multiple of its target
	minFirstTokenTimeout    = time.Second
	maxFirstTokenTimeout    = 15 * time.Second
	betweenTokensFactor     = 20 // timeout between tokens, as a multiple of its target
	minBetweenTokensTimeout = 500 * time.Millisecond
	maxBetweenTokensTimeout = 5 * time.Second
	minTimeout              = 100 * time.Millisecond // lower limit of the timeout for the first token, also if half of the time until the deadline is shorter
)

// progressTimeouts limits how long an attempt may send nothing before its
// connection counts as dead.
type progressTimeouts struct {
	firstToken    time.Duration // until the first token
	betweenTokens time.Duration // until each later token
}

// newProgressTimeouts derives the timeouts from the targets of the service. The wait
// for the first token leaves half of the time until the caller's deadline for
// another attempt.
func newProgressTimeouts(c *call.Call, now time.Time) progressTimeouts {
	t := &c.Service.Target
	p := progressTimeouts{
		firstToken:    scaledTimeout(t.FirstTokenMS, firstTokenFactor, minFirstTokenTimeout, maxFirstTokenTimeout),
		betweenTokens: scaledTimeout(t.BetweenTokensMS, betweenTokensFactor, minBetweenTokensTimeout, maxBetweenTokensTimeout),
	}
	half := c.Deadline.Sub(now) / 2
	p.firstToken = max(min(p.firstToken, half), minTimeout)
	return p
}

// scaledTimeout returns factor times the target ms, limited to [lower, upper], or
// upper if there is no target.
func scaledTimeout(ms, factor int, lower, upper time.Duration) time.Duration {
	if ms == 0 {
		return upper
	}
	return min(max(time.Duration(ms*factor)*time.Millisecond, lower), upper)
}

// responseDeadline returns the deadline for the response to an attempt of a plain
// call. For a repeatable call, it leaves half of the remaining time for another
// attempt.
func responseDeadline(c *call.Call, now time.Time) time.Time {
	if !c.Repeatable {
		return time.Time{} // limited only by the context
	}
	return now.Add(max(c.Deadline.Sub(now)/2, minTimeout))
}

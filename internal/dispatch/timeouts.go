package dispatch

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/call"
)

const (
	firstTokenFactor    = 5 // times the target for the first token
	minFirstToken       = time.Second
	maxFirstToken       = 15 * time.Second
	betweenTokensFactor = 20 // times the target between tokens
	minBetweenTokens    = 500 * time.Millisecond
	maxBetweenTokens    = 5 * time.Second
	minTimeout          = 100 * time.Millisecond
)

// progressTimeouts bounds the silence that an attempt may keep before its connection
// is taken for dead.
type progressTimeouts struct {
	firstToken    time.Duration // until the first token
	betweenTokens time.Duration // until each later token
}

// newProgressTimeouts derives the bounds from the targets of the service. The first
// token must leave half of the caller's patience for another attempt.
func newProgressTimeouts(c *call.Call, now time.Time) progressTimeouts {
	t := &c.Service.Target
	p := progressTimeouts{
		firstToken:    scaledTimeout(t.FirstTokenMS, firstTokenFactor, minFirstToken, maxFirstToken),
		betweenTokens: scaledTimeout(t.BetweenTokensMS, betweenTokensFactor, minBetweenTokens, maxBetweenTokens),
	}
	half := c.Deadline.Sub(now) / 2
	p.firstToken = max(min(p.firstToken, half), minTimeout)
	return p
}

// scaledTimeout returns factor times ms within bounds, or the upper bound if the
// target is not given.
func scaledTimeout(ms, factor int, lower, upper time.Duration) time.Duration {
	if ms == 0 {
		return upper
	}
	return min(max(time.Duration(ms*factor)*time.Millisecond, lower), upper)
}

// responseDeadline returns by when a plain call must have been answered, so that a
// repeatable one leaves time for another attempt.
func responseDeadline(c *call.Call, now time.Time) time.Time {
	if !c.Repeatable {
		return time.Time{} // the context bounds it
	}
	return now.Add(max(c.Deadline.Sub(now)/2, minTimeout))
}

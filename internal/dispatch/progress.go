package dispatch

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/call"
)

const (
	firstTokenFactor = 5 // times the target for the first token
	minFirstToken    = time.Second
	maxFirstToken    = 15 * time.Second
	betweenFactor    = 20 // times the target between tokens
	minBetween       = 500 * time.Millisecond
	maxBetween       = 5 * time.Second
	minProgress      = 100 * time.Millisecond
)

// progress bounds the silence that an attempt may keep before its connection
// is taken for dead.
type progress struct {
	first   time.Duration // until the first token
	between time.Duration // until each later token
}

// progressOf derives the bounds from the targets of the service. The first
// token must leave half of the caller's patience for another attempt.
func progressOf(c *call.Call, now time.Time) progress {
	t := &c.Service.Target
	p := progress{
		first:   scaled(t.FirstTokenMS, firstTokenFactor, minFirstToken, maxFirstToken),
		between: scaled(t.BetweenTokensMS, betweenFactor, minBetween, maxBetween),
	}
	half := c.Deadline.Sub(now) / 2
	p.first = max(min(p.first, half), minProgress)
	return p
}

// scaled returns factor times ms within bounds, or the upper bound if the
// target is not given.
func scaled(ms, factor int, lower, upper time.Duration) time.Duration {
	if ms == 0 {
		return upper
	}
	return min(max(time.Duration(ms*factor)*time.Millisecond, lower), upper)
}

// replyBy returns by when a plain call must have been answered, so that a
// repeatable one leaves time for another attempt.
func replyBy(c *call.Call, now time.Time) time.Time {
	if !c.Repeatable {
		return time.Time{} // the context bounds it
	}
	return now.Add(max(c.Deadline.Sub(now)/2, minProgress))
}

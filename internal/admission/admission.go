// Package admission decides which requests may wait at an upstream and which are
// turned away at once.
//
// The load it answers: more is asked for than upstreams can read, after a reclaim or
// in a burst. A queue that is let grow makes every answer late, and answers that come
// too late are asked for again. A bounded one leaves as many answers, on time, and the
// callers beyond it learn at once when to come back. Less urgent requests are turned
// away at a shorter queue, so that the urgent ones find room.
//
// It knows no sockets and no clock.
package admission

import "time"

const (
	// maxWaitFraction of the strictest target of a service is what a request of the highest
	// urgency may wait before it is read; the rest of the target is for reading it.
	maxWaitFraction = 0.8
	// waitFractionStep is how much less of it each lower urgency may wait, down to leastPart.
	waitFractionStep = 0.2
	minWaitFraction  = 0.4
	// minRetry is the least that a caller is told to wait: sooner, the same queue is
	// still there.
	minRetry = 100 * time.Millisecond
)

// Request is a request that would be sent to the upstream that suits it best.
type Request struct {
	Wait          time.Duration // expected until the upstream begins with it
	LatencyTarget time.Duration // the strictest of the routes to its service; 0 for none
	Rank          int           // 0 for the most urgent of the service; others count up
}

// Decision is what becomes of a request.
type Decision struct {
	OK         bool
	Limit      time.Duration // what it may wait; 0 for no limit
	RetryAfter time.Duration // when the caller may come back, unless OK
}

// Decide tells whether a request may wait for its turn.
func Decide(r Request) Decision {
	if r.LatencyTarget <= 0 {
		return Decision{OK: true}
	}
	fraction := max(maxWaitFraction-waitFractionStep*float64(r.Rank), minWaitFraction)
	limit := time.Duration(fraction * float64(r.LatencyTarget))
	if r.Wait <= limit {
		return Decision{OK: true, Limit: limit}
	}
	return Decision{Limit: limit, RetryAfter: max(r.Wait-limit, minRetry)}
}

// Package admission decides which requests may queue at an upstream and which are
// rejected at once.
//
// It handles overload after a reclaim or during a burst. In an unbounded queue every
// response is late, and callers send requests with late responses again. With a bounded
// queue as many requests are answered, on time, and rejected callers are told when to
// retry. Requests of lower priority are rejected at a shorter queue, which leaves room
// for those of higher priority.
//
// The package does no I/O and reads no clock.
package admission

import "time"

const (
	// maxWaitFraction is the fraction of a service's strictest latency target that a
	// request of the highest priority may wait; the rest is for processing it.
	maxWaitFraction = 0.8
	// waitFractionStep is subtracted for each lower priority, down to minWaitFraction.
	waitFractionStep = 0.2
	minWaitFraction  = 0.4
	// minRetryAfter is the minimum retry delay given to callers. An earlier retry would find
	// the same queue.
	minRetryAfter = 100 * time.Millisecond
)

// Request describes a request and the upstream picked for it.
type Request struct {
	Wait          time.Duration // expected time until the upstream starts on the request
	LatencyTarget time.Duration // strictest latency target of the service's routes; 0 for none
	Rank          int           // priority levels below the highest of the service; 0 is the most urgent
}

// Decision is the result of Decide.
type Decision struct {
	Admit      bool
	MaxWait    time.Duration // longest accepted wait; 0 for no limit
	RetryAfter time.Duration // delay after which the caller should retry, unless Admit is set
}

// Decide returns whether a request may wait at its upstream.
func Decide(r Request) Decision {
	if r.LatencyTarget <= 0 {
		return Decision{Admit: true}
	}
	fraction := max(maxWaitFraction-waitFractionStep*float64(r.Rank), minWaitFraction)
	limit := time.Duration(fraction * float64(r.LatencyTarget))
	if r.Wait <= limit {
		return Decision{Admit: true, MaxWait: limit}
	}
	return Decision{MaxWait: limit, RetryAfter: max(r.Wait-limit, minRetryAfter)}
}

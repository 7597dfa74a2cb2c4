// Package admission decides which requests may queue at an upstream and which are
// rejected at once.
//
// It handles overload after a reclaim or during a burst. In an unbounded queue every
// response is late, and callers send requests with late responses again. With a bounded
// queue as many requests are answered, on time, and rejected callers are told when to
// retry. Requests of lower priority are rejected at a shorter queue, which leaves room
// for those of higher priority. Once there is a queue, customers are held to weighted fair
// shares of what their service can do (Shares).
//
// The package does no I/O and reads no clock.
package admission

import "time"

const (
	// maxWaitFraction is the fraction of the latency target that a request of the highest
	// priority may wait; the rest is for processing it.
	maxWaitFraction = 0.8
	// waitFractionStep is subtracted for each lower priority, down to minWaitFraction.
	waitFractionStep = 0.2
	minWaitFraction  = 0.4
	// shareWaitFraction is added for customers within their share while others are above theirs, who are
	// refused first. It is one waitFractionStep, so that they may wait no longer than more urgent requests.
	shareWaitFraction = 0.2
	// minRetryAfter is the minimum retry delay given to callers. An earlier retry would find
	// the same queue.
	minRetryAfter = 100 * time.Millisecond
	// honouredFraction is the fraction of a caller's remaining time up to which callers honour
	// a retry delay, less a margin: they honour a third.
	honouredFraction = 0.3
	// returnFraction of its latency target is the latest time at which a refused request should
	// return; the rest is for the wait at the upstream and the first event.
	returnFraction = 0.4
)

// Cause is why a request was rejected.
type Cause string

// Causes.
const (
	CauseWait  Cause = "wait"  // it would wait too long
	CauseShare Cause = "share" // its customer is above its share
)

// Request describes a request and the upstream picked for it. Draws are random numbers
// in [0, 1).
type Request struct {
	Wait          time.Duration // expected time until the upstream starts on the request
	LatencyTarget time.Duration // that bounds the wait, see catalog.Service.WaitTarget; 0 for none
	Rank          int           // priority levels below the highest of the service; 0 is the most urgent
	Remaining     time.Duration // until the caller gives up; 0 if not known
	Standing      Standing      // of the customer and the class
	Draw          float64       // against Standing.Excess
	RetryDraw     float64       // position in the time over which retries are spread
}

// Decision is the result of Decide.
type Decision struct {
	Admit      bool
	Wait       time.Duration // that was weighed
	MaxWait    time.Duration // longest accepted wait; 0 for no limit
	RetryAfter time.Duration // delay after which the caller should retry, unless Admit is set
	Cause      Cause         // why it was rejected
}

// Decide returns whether a request may wait at its upstream.
func Decide(r Request) Decision {
	if r.LatencyTarget <= 0 {
		return Decision{Admit: true}
	}
	if r.Standing.Pressed {
		r.Wait = r.Standing.Wait
	}
	d := Decision{Wait: r.Wait, MaxWait: maxWait(r)}
	switch {
	case r.Wait > d.MaxWait:
		d.Cause = CauseWait
		d.RetryAfter = retryAfter(r, r.Wait-d.MaxWait, r.Wait)
	case r.Draw < r.Standing.Excess:
		d.Cause = CauseShare
		d.RetryAfter = retryAfter(r, 0, max(r.Wait, shareDecay))
	default:
		d.Admit = true
	}
	return d
}

// maxWait returns the longest wait that is accepted for a request. A starved class may wait as
// long as the most urgent one.
func maxWait(r Request) time.Duration {
	rank := max(r.Rank, 0)
	if r.Standing.Starved {
		rank = 0
	}
	fraction := maxWaitFor(rank)
	if r.Standing.Within {
		fraction = min(fraction+shareWaitFraction, maxWaitFraction)
	}
	return fractionOf(r.LatencyTarget, fraction)
}

// maxWaitFor returns the longest accepted wait as a fraction of the latency target.
func maxWaitFor(rank int) float64 {
	return max(maxWaitFraction-waitFractionStep*float64(rank), minWaitFraction)
}

// retryAfter returns a random delay between earliest, at which there may be room, and the time
// at which the queue has drained, so that callers do not return all at once. Less
// urgent classes are spread over a longer time; that of the most urgent one is half of it. The delay
// stays within what callers honour, unless there is no room by then.
func retryAfter(r Request, earliest, drained time.Duration) time.Duration {
	earliest = max(earliest, minRetryAfter)
	spread := fractionOf(max(drained-earliest, 0), float64(max(r.Rank, 0)+1)/float64(max(r.Rank, 0)+2))
	if r.Remaining > 0 {
		spread = min(spread, max(honouredDelay(r.Remaining)-earliest, 0))
	}
	return earliest + fractionOf(spread, r.RetryDraw)
}

// MaxRetryAfter returns the longest retry delay for a caller that gives up after remaining: one
// that it honours, and after which the response can still be within its latency target, 0 for none.
// A response that would be late takes what a new request could use in time.
func MaxRetryAfter(remaining, target time.Duration) time.Duration {
	honoured := honouredDelay(remaining)
	if target <= 0 {
		return honoured
	}
	return max(min(honoured, fractionOf(target, returnFraction)), minRetryAfter)
}

// honouredDelay returns the longest retry delay that a caller honours.
func honouredDelay(remaining time.Duration) time.Duration {
	return fractionOf(max(remaining, 0), honouredFraction)
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

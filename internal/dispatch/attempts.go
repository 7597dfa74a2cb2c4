package dispatch

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/egress"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/trace"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	stepDispatch       = "dispatch"
	maxWithoutProgress = 6                    // consecutive attempts that deliver nothing, after which the call fails
	baseBackoff        = 5 * time.Millisecond // doubles with each attempt without progress
	maxBackoff         = 400 * time.Millisecond
	headerRefused      = "Lagoonmux-Refused"
	reasonLeaving      = "leaving"
)

// attemptError describes a failed attempt.
type attemptError struct {
	Peer       string        // name of the upstream
	MayHaveRun bool          // the upstream may have run the request
	Refused    bool          // the upstream refused it with the header field Lagoonmux-Refused
	Leaving    bool          // refused because the upstream is leaving
	Reused     bool          // sent on a connection that earlier requests had used
	Broken     bool          // the response was malformed, incomplete or another request's
	RetryAfter time.Duration // requested by the upstream; 0 for none
	Err        error
}

// Error formats the upstream and the cause.
func (e *attemptError) Error() string { return e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.Err }

// newAttemptError wraps the error that ended an attempt. Unless it is an
// *upstream.Error that says otherwise, the request may have run.
func newAttemptError(peer string, err error) *attemptError {
	ae := &attemptError{Peer: peer, MayHaveRun: true, Err: err}
	var ue *upstream.Error
	if errors.As(err, &ue) {
		ae.MayHaveRun = ue.MaybeSent
		ae.Reused = ue.Reused
	}
	ae.Broken = isBroken(err)
	return ae
}

// isBroken reports whether err means that the upstream broke a response, or closed the connection
// instead of sending one. That of a reused connection does not count: the upstream may have closed
// it while it was idle.
func isBroken(err error) bool {
	var malformed *egress.MalformedError
	if errors.As(err, &malformed) {
		return true
	}
	var ue *upstream.Error
	if errors.As(err, &ue) && (!ue.MaybeSent || ue.Step == upstream.StepWrite || ue.Step == upstream.StepReadHeader && ue.Reused) {
		return false
	}
	var sink sinkError
	return !errors.As(err, &sink) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errMoved) && !errors.Is(err, net.ErrClosed)
}

// statusError returns an error for a response with status 429 or 5xx, otherwise
// nil. With the header field Lagoonmux-Refused, 429 and 503 mean that the upstream
// did not run the request.
func statusError(peer string, x *upstream.Exchange) *attemptError {
	code := x.Response.StatusCode()
	if code < fasthttp.StatusInternalServerError && code != fasthttp.StatusTooManyRequests {
		return nil
	}
	ae := &attemptError{Peer: peer, MayHaveRun: true, Err: errors.Errorf("status %d", code)}
	reason := x.Response.Header.Peek(headerRefused)
	if len(reason) == 0 || (code != fasthttp.StatusServiceUnavailable && code != fasthttp.StatusTooManyRequests) {
		return ae
	}
	ae.MayHaveRun = false
	ae.Refused = true
	ae.Leaving = string(reason) == reasonLeaving
	ae.Err = errors.Errorf("refused: %s", reason)
	seconds, err := strconv.Atoi(string(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err == nil && seconds > 0 {
		ae.RetryAfter = time.Duration(seconds) * time.Second
	}
	return ae
}

// attempts tracks the attempts of one call. It is not safe for concurrent use.
type attempts struct {
	call            *call.Call
	retries         *retryBudget
	number          int                   // of the last attempt
	withoutProgress int                   // consecutive attempts that delivered nothing
	tried           []string              // names of upstreams to avoid
	mayHaveRun      bool                  // at least one attempt may have run
	lastErr         *attemptError         // of the last failed attempt; nil before a failure
	onLeaving       func(upstream string) // called when a leaving upstream refuses the call; may be nil
	kv              *kvExport             // for the next attempt to import; nil for none
}

// recordFailure records a failed attempt. progress reports whether the attempt
// delivered a part of the response.
func (s *attempts) recordFailure(err *attemptError, progress bool) {
	s.lastErr = err
	if err.Leaving && s.onLeaving != nil {
		s.onLeaving(err.Peer)
	}
	s.mayHaveRun = s.mayHaveRun || err.MayHaveRun
	if progress {
		s.withoutProgress = 0
		s.tried = s.tried[:0]
	} else {
		s.withoutProgress++
	}
	// A reused connection may be dead although the upstream is fine, so that the
	// upstream may be tried again, on a new connection.
	if !err.Reused || err.Broken {
		s.tried = append(s.tried, err.Peer)
	}
}

// mayRetry reports whether another attempt may follow the last one. It may
// charge the retry budget. delivered reports whether the caller has received a
// part of the response.
func (s *attempts) mayRetry(ctx context.Context, delivered bool) bool {
	switch {
	case ctx.Err() != nil || !time.Now().Before(s.call.Deadline):
		return false
	case s.withoutProgress >= maxWithoutProgress:
		return false
	case !s.lastErr.MayHaveRun:
		return true
	case !s.call.Repeatable:
		return false
	case delivered:
		return s.retries.takeOnCredit()
	default:
		return s.retries.take()
	}
}

// backOff waits for a random time before the next attempt if the last attempt
// delivered nothing. The limit of the wait grows exponentially up to maxBackoff.
func (s *attempts) backOff(ctx context.Context) {
	if s.withoutProgress == 0 {
		return
	}
	maxDelay := min(baseBackoff<<s.withoutProgress, maxBackoff)
	t := time.NewTimer(rand.N(maxDelay))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// finalError returns the error of a call that is given up.
func (s *attempts) finalError(ctx context.Context) *call.Error {
	expired := ctx.Err() != nil || !time.Now().Before(s.call.Deadline)
	err := &call.Error{Step: stepDispatch, Outcome: call.NotRun, Status: fasthttp.StatusServiceUnavailable, Cause: routing.ErrNoUpstream}
	if s.lastErr != nil {
		err.Peer = s.lastErr.Peer
		err.Cause = s.lastErr
		err.RetryAfter = s.lastErr.RetryAfter
	}
	if s.mayHaveRun {
		err.Outcome = call.Unknown
		err.Status = fasthttp.StatusBadGateway
	}
	if expired {
		err.Status = fasthttp.StatusGatewayTimeout
	}
	return err
}

// resultOf returns the router's result for an attempt that ended with err. An
// attempt that this daemon ended counts as canceled, since that is no failure of the
// upstream.
func resultOf(ctx context.Context, err *attemptError) routing.Result {
	switch {
	case err == nil:
		return routing.Succeeded
	case err.Refused:
		return routing.Refused
	case ctx.Err() != nil || errors.Is(err, errMoved):
		return routing.Canceled
	default:
		return routing.Failed
	}
}

// reportBroken counts an attempt that failed with a broken response, and logs it.
func (d *Dispatcher) reportBroken(ctx context.Context, c *call.Call, number int, err *attemptError) {
	if err == nil || !err.Broken || ctx.Err() != nil {
		return
	}
	d.stats.broken.Add(1)
	if d.logLimiter.Allow() {
		d.log.Warn("response broken", "request", c.ID, "service", c.Service.Name, "upstream", err.Peer, "attempt", number, "error", err.Err)
	}
}

// traceFailure adds a failed attempt to the trace.
func (s *attempts) traceFailure(err *attemptError) {
	s.call.Trace.Add(trace.Step{At: time.Now(), Name: "attempt-failed", Peer: err.Peer, Attempt: s.number, Detail: err.Err.Error()})
}

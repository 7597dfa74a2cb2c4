package dispatch

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/trace"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	stepDispatch  = "dispatch"
	maxFruitless  = 6 // attempts in a row that bring nothing
	backoffUnit   = 5 * time.Millisecond
	maxBackoff    = 400 * time.Millisecond
	headerRefused = "Lagoonmux-Refused"
	reasonLeaving = "leaving"
)

// attemptError is a failed attempt.
type attemptError struct {
	Peer       string        // name of the upstream
	Ran        bool          // the upstream may have run the request
	Refused    bool          // the upstream refused it by protocol
	Leaving    bool          // it refused it because it leaves
	Reused     bool          // on a connection that had been used before
	RetryAfter time.Duration // that the upstream asks for; 0 for none
	Err        error
}

// Error formats the upstream and the cause.
func (e *attemptError) Error() string { return e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.Err }

// failed wraps what ended an attempt. Errors that do not come from the
// exchange leave open whether the request ran.
func failed(peer string, err error) *attemptError {
	ae := &attemptError{Peer: peer, Ran: true, Err: err}
	var ue *upstream.Error
	if errors.As(err, &ue) {
		ae.Ran = ue.MaybeSent
		ae.Reused = ue.Reused
	}
	return ae
}

// statusError sorts an answer that is no answer to the request, or returns nil.
func statusError(peer string, x *upstream.Exchange) *attemptError {
	code := x.Response.StatusCode()
	if code < fasthttp.StatusInternalServerError && code != fasthttp.StatusTooManyRequests {
		return nil
	}
	ae := &attemptError{Peer: peer, Ran: true, Err: errors.Errorf("status %d", code)}
	reason := x.Response.Header.Peek(headerRefused)
	if len(reason) == 0 || (code != fasthttp.StatusServiceUnavailable && code != fasthttp.StatusTooManyRequests) {
		return ae
	}
	ae.Ran = false
	ae.Refused = true
	ae.Leaving = string(reason) == reasonLeaving
	ae.Err = errors.Errorf("refused: %s", reason)
	seconds, err := strconv.Atoi(string(x.Response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err == nil && seconds > 0 {
		ae.RetryAfter = time.Duration(seconds) * time.Second
	}
	return ae
}

// attempts keeps account of the attempts of one call. It belongs to one
// goroutine.
type attempts struct {
	call      *call.Call
	budget    *budget
	number    int      // of the last attempt
	fruitless int      // attempts in a row that brought nothing
	tried     []string // upstreams that need not be asked again
	ran       bool     // some attempt may have run
	last      *attemptError
	leaving   func(upstream string) // told of a refusal because of leaving; may be nil
	kv        *exported             // KV cache for the next attempt; nil for none
}

// record takes in a failed attempt. Progress tells whether it brought a part
// of the answer.
func (s *attempts) record(err *attemptError, progress bool) {
	s.last = err
	if err.Leaving && s.leaving != nil {
		s.leaving(err.Peer)
	}
	s.ran = s.ran || err.Ran
	if progress {
		s.fruitless = 0
		s.tried = s.tried[:0]
	} else {
		s.fruitless++
	}
	// A connection that had been used may have gone silent while the upstream
	// is well: it is asked again, on a new one.
	if !err.Reused {
		s.tried = append(s.tried, err.Peer)
	}
}

// again decides whether another attempt may follow the last. Begun tells
// whether a part of the answer has been delivered.
func (s *attempts) again(ctx context.Context, begun bool) bool {
	switch {
	case ctx.Err() != nil || !time.Now().Before(s.call.Deadline):
		return false
	case s.fruitless >= maxFruitless:
		return false
	case !s.last.Ran:
		return true
	case !s.call.Repeatable:
		return false
	case begun:
		return s.budget.owe()
	default:
		return s.budget.spend()
	}
}

// wait backs off before the next attempt, with jitter.
func (s *attempts) wait(ctx context.Context) {
	if s.fruitless == 0 {
		return
	}
	most := min(backoffUnit<<s.fruitless, maxBackoff)
	t := time.NewTimer(rand.N(most))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// failure returns the error that the call ends with.
func (s *attempts) failure(ctx context.Context) *call.Error {
	late := ctx.Err() != nil || !time.Now().Before(s.call.Deadline)
	err := &call.Error{Step: stepDispatch, Outcome: call.NotRun, Status: fasthttp.StatusServiceUnavailable, Cause: routing.ErrNoUpstream}
	if s.last != nil {
		err.Peer = s.last.Peer
		err.Cause = s.last
		err.RetryAfter = s.last.RetryAfter
	}
	if s.ran {
		err.Outcome = call.Unknown
		err.Status = fasthttp.StatusBadGateway
	}
	if late {
		err.Status = fasthttp.StatusGatewayTimeout
	}
	return err
}

// resultOf tells the router how an attempt ended. An attempt that this side
// ended says nothing about the upstream.
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

// note adds a failed attempt to the trace.
func (s *attempts) note(err *attemptError) {
	s.call.Trace.Add(trace.Step{At: time.Now(), Name: "attempt-failed", Peer: err.Peer, Attempt: s.number, Detail: err.Err.Error()})
}

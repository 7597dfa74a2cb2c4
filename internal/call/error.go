package call

import (
	"fmt"
	"time"
)

// Error is a failure with the step and the peer at which it arose and the
// outcome it leaves the call in.
type Error struct {
	Step       string  // such as admit, pick, dispatch
	Peer       string  // address or name of the other side; empty for this daemon
	Outcome    Outcome // NotRun or Unknown
	Status     int     // HTTP status for the caller
	RetryAfter time.Duration
	Cause      error
}

// Error formats the step, the peer, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("step=%s peer=%s outcome=%s: %v", e.Step, e.Peer, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRunError returns an Error for a call of which nothing reached an upstream.
func NotRunError(step, peer string, status int, cause error) *Error {
	return &Error{Step: step, Peer: peer, Outcome: NotRun, Status: status, Cause: cause}
}

// MayHaveRunError returns an Error for a call that may have run.
func MayHaveRunError(step, peer string, status int, cause error) *Error {
	return &Error{Step: step, Peer: peer, Outcome: Unknown, Status: status, Cause: cause}
}

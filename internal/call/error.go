package call

import (
	"fmt"
	"time"
)

// Error is the failure of a call, with the step and the peer at which it occurred and
// the resulting outcome.
type Error struct {
	Step       string  // such as admit, ledger or dispatch
	Peer       string  // address or name of the remote side; empty if this daemon failed
	Outcome    Outcome // NotRun or Unknown
	Status     int     // HTTP status of the response to the caller
	RetryAfter time.Duration
	Cause      error
}

// Error formats the step, the peer, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("step=%s peer=%s outcome=%s: %v", e.Step, e.Peer, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRunError returns an Error for a call that did not run: outcome NotRun.
func NotRunError(step, peer string, status int, cause error) *Error {
	return &Error{Step: step, Peer: peer, Outcome: NotRun, Status: status, Cause: cause}
}

// MayHaveRunError returns an Error for a call that may have run: outcome Unknown.
func MayHaveRunError(step, peer string, status int, cause error) *Error {
	return &Error{Step: step, Peer: peer, Outcome: Unknown, Status: status, Cause: cause}
}

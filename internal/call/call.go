// Package call defines a customer's request as it passes from the entry through
// admission, ledger and dispatch, and its possible outcomes.
package call

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

// Call is a request of a customer. The entry creates it; it must not be modified
// afterwards.
type Call struct {
	ID       string // unique among all daemons
	Manifest *manifest.Active
	Customer *manifest.Customer
	Service  *manifest.Service
	Class    manifest.Class
	Arrived  time.Time
	Deadline time.Time // when the caller's timeout ends
	Trace    *trace.Trace

	// Set for a model service.
	Prompt    string
	MaxTokens int
	Chat      bool // the response has the chat completion format

	// Set for a plain service.
	Method      string
	Path        string // relative to the service's path, with the query
	ContentType string
	Body        []byte

	Repeatable     bool
	IdempotencyKey string // scoped to the customer; may be empty
}

// Outcome states whether a request ran. Callers receive it in a header field of the
// response.
type Outcome string

// All outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run" // no byte of the request reached an upstream, or the upstream refused it by protocol
	Unknown  Outcome = "unknown" // the request may have run; its response was lost
)

// Token is a generated token of a response.
type Token struct {
	Index  int // in the response, from 0 without gaps
	Text   string
	Finish string // finish reason of the last token; empty for others
}

// Sink receives the tokens of one response in order, from a single goroutine. An error
// means that the caller has disconnected and the request to the upstream must be
// canceled.
type Sink interface {
	Token(t Token) error
}

// Response is the response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

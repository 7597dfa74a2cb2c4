// Package call defines one accepted request as it passes from the entry
// through admission, ledger and dispatch, and the outcomes it can have.
package call

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

// Call is one request of a customer. It is built by the entry and not changed
// afterwards.
type Call struct {
	ID       string // unique among all daemons
	Active   *manifest.Active
	Customer *manifest.Customer
	Service  *manifest.Service
	Class    manifest.Class
	Arrived  time.Time
	Deadline time.Time // end of the caller's patience
	Trace    *trace.Trace

	// Set for a model service.
	Prompt    string
	MaxTokens int
	Chat      bool // answers in the chat form

	// Set for a plain service.
	Method      string
	Path        string // below the service, with the query
	ContentType string
	Body        []byte

	Repeatable     bool
	IdempotencyKey string // within the customer; empty for none
}

// Outcome is what a caller may rely on.
type Outcome string

// Outcomes. Nothing else exists.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run" // no byte of the request reached an upstream, or the upstream refused it by protocol
	Unknown  Outcome = "unknown" // the request may have run; its answer was lost
)

// Token is one generated token of an answer.
type Token struct {
	Index  int // from 0, without gaps
	Text   string
	Finish string // reason on the last token, else empty
}

// Sink takes the tokens of one answer in order, from one goroutine. An error
// means that the caller is gone and the upstream must be cancelled.
type Sink interface {
	Token(t Token) error
}

// Reply is the answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

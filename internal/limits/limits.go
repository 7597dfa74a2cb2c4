// Package limits decides which requests may run now: each customer within its
// limits, which all daemons share, urgent classes first, and fairly between
// customers. What cannot start in time is refused at once.
//
// The package has no clock and no sockets. A Limiter belongs to one goroutine;
// times come in as arguments and decisions go out through a function.
package limits

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// never is a wait that no caller's patience reaches.
const never = 24 * time.Hour

// Reason tells why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	OverLimit  Reason = "over-limit"  // the customer's own limits
	Overloaded Reason = "overloaded"  // the service cannot start it in time
	QueueFull  Reason = "queue-full"  // the customer's queue is at its bound
	NoCapacity Reason = "no-capacity" // no upstream of the service is live
)

// Request is one request from its arrival to its end. The fields of the first
// group are set by the caller and not changed afterwards.
type Request struct {
	Customer string
	Service  string
	Class    manifest.Class
	Tokens   int       // of the prompt and of the longest answer; 0 for a plain service
	Deadline time.Time // end of the caller's patience
	Tag      any       // of the caller, for its decide function

	state       requestState
	customer    *customer
	service     *service
	cost        float64
	startTag    float64       // start tag of fair queueing
	latestStart time.Duration // after which starting is useless
	admittedAt  time.Duration
}

type requestState int

const (
	stateNew requestState = iota
	stateQueued
	stateRunning
	stateEnded
)

// Decision is the fate of one item.
type Decision struct {
	Request    *Request
	Admitted   bool
	Reason     Reason        // of a refusal
	RetryAfter time.Duration // after which a retry has a chance
}

// Capacity is what the upstreams of one service can take.
type Capacity struct {
	Service string
	Slots   int // of all live upstreams
	Free    int // slots that no daemon uses, estimated
}

// Topic is the gossip topic of demand reports.
const Topic = "limits"

// Gossip carries small values between daemons. Only the newest value of a
// topic and a daemon need arrive. Its methods may be called from any goroutine.
type Gossip interface {
	Publish(topic string, value []byte)
	Subscribe(topic string, f func(from string, value []byte))
}

// Stats counts the decisions of one customer and class.
type Stats struct {
	Admitted int64            `json:"admitted"`
	Rejected map[Reason]int64 `json:"refused"`
	Queued   int              `json:"queued"`
}

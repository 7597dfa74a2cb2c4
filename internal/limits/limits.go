// Package limits is the admission control: it decides when a request may run. Each
// customer has limits that all daemons share. More urgent classes are served first,
// and customers of the same class by weighted fair queueing. A request that cannot
// start in time is rejected at once.
//
// The package reads no clock and does no I/O. A Limiter must be used by one
// goroutine, takes the time as an argument and passes its decisions to a function.
package limits

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// never is a wait longer than any caller's timeout.
const never = 24 * time.Hour

// Reason is why a request was rejected.
type Reason string

// Reasons of a rejection.
const (
	OverLimit  Reason = "over-limit"  // the customer's limits are reached
	Overloaded Reason = "overloaded"  // the service's upstreams cannot start it in time
	QueueFull  Reason = "queue-full"  // the customer has too many queued requests
	NoCapacity Reason = "no-capacity" // no upstream of the service is live
)

// Request is a request from its submission to its end. The caller sets the
// exported fields and must not change them afterwards.
type Request struct {
	Customer string
	Service  string
	Class    manifest.Class
	Tokens   int       // prompt tokens plus the maximum of output tokens; 0 for a plain service
	Deadline time.Time // until when the caller waits for the response
	Tag      any       // not used here; for the caller's decide function

	state       requestState
	customer    *customer
	service     *service
	cost        float64
	startTag    float64       // virtual start time of fair queueing
	latestStart time.Duration // if queued after this time, the request is rejected
	admittedAt  time.Duration
}

type requestState int

const (
	stateNew requestState = iota
	stateQueued
	stateRunning
	stateEnded
)

// Decision admits or rejects one request.
type Decision struct {
	Request    *Request
	Admitted   bool
	Reason     Reason        // of a rejection
	RetryAfter time.Duration // of a rejection: estimated time until a retry can be admitted
}

// Capacity is the request capacity of the upstreams of one service.
type Capacity struct {
	Service string
	Slots   int // concurrent requests of all live upstreams together
	Free    int // estimate of the slots that no daemon uses
}

// Topic is the gossip topic for demand reports.
const Topic = "limits"

// Gossip publishes small values to the other daemons. It may lose values: only the
// newest one of each topic and daemon must arrive. Its methods may be called from
// any goroutine.
type Gossip interface {
	Publish(topic string, value []byte)
	Subscribe(topic string, f func(from string, value []byte))
}

// Stats counts the decisions for one customer and class. Queued counts the
// requests that the customer has queued now, of all classes.
type Stats struct {
	Admitted int64            `json:"admitted"`
	Rejected map[Reason]int64 `json:"refused"`
	Queued   int              `json:"queued"`
}

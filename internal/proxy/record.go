package proxy

import (
	"strings"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/admission"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/hedge"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// Record describes a finished request, for logs and metrics.
type Record struct {
	ID             string
	Route          string
	Service        string
	Customer       string
	Kind           catalog.Kind
	ConfigVersion  int64  // version of the configuration that applied
	Content        uint64 // see Request.Content; 0 if it was refused before
	Arrived        time.Time
	First          time.Time // when the first event, or a response without events, was complete; zero for none
	Ended          time.Time
	Status         int             // sent to the caller
	UpstreamStatus int             // the upstream's status, if it was replaced by the daemon's own; 0 otherwise
	RetryAfter     time.Duration   // sent to the caller; 0 for none
	Shed           admission.Cause // why admission rejected the request; empty if it did not
	Class          int             // of the request at its service, for Shed
	Reason         string          // the last error, or why the daemon replied itself
	Result         result          // of the last attempt, or of the choice of an upstream
	Sends          int             // upstreams to which the request was sent
	MaxGap         time.Duration   // the longest time between events, if the stream was read to its end
	MayHaveRun     bool            // an upstream may have run the request
	Late           bool            // a response arrived, but missed the latency targets of the route
	Gone           bool            // the caller closed the connection
	Cut            bool            // the response was not relayed to its end

	// The last choice of an upstream; see place.Choice.
	Chosen     string // id of the upstream
	Expected   time.Duration
	Prefill    int
	Candidates int
	Home       bool
	Backlog    int
	Running    int

	Attempts []Attempt // in order, each with another upstream
	Resumed  bool      // a stream that had started was sent to another upstream to continue
	Hedge    Hedge
}

// Hedge describes the hedge of a request.
type Hedge struct {
	Due    bool          // the request had no answer when a hedge was due
	Reason hedge.Reason  // why none was sent; hedge.Send if it was
	End    HedgeEnd      // how it ended, if it was sent
	Extra  time.Duration // upstream time of the attempt that was given up, or of a hedge that failed
}

// HedgeEnd is how a hedge ended.
type HedgeEnd int

// Ends of hedges.
const (
	HedgeFailed HedgeEnd = iota // it ended without an answer; the first attempt went on
	HedgeLost                   // the first attempt answered first
	HedgeWon                    // it answered first
	HedgeRetry                  // the first attempt failed, and the hedge counts as the retry
	HedgeEndCount
)

// String returns the name that logs and metrics use.
func (e HedgeEnd) String() string { return [...]string{"failed", "lost", "won", "retry"}[e] }

// String returns the end of a hedge, or why none was sent, for the log; empty if none was due.
func (h Hedge) String() string {
	switch {
	case !h.Due:
		return ""
	case h.Reason != hedge.Send:
		return "not_sent_" + h.Reason.String()
	}
	return h.End.String()
}

// Attempt describes the attempt to run a request on one upstream.
type Attempt struct {
	Upstream string // its id
	Result   string // name of the result
	Prefill  int    // prompt tokens that the upstream had to prefill; 0 if the request was not sent
}

// Tries returns the attempts as UPSTREAM:RESULT, separated by commas.
func (r *Record) Tries() string {
	list := make([]string, len(r.Attempts))
	for i, a := range r.Attempts {
		list[i] = a.Upstream + ":" + a.Result
	}
	return strings.Join(list, ",")
}

// recordChoice copies the values of a choice that are logged.
func (r *Record) recordChoice(c place.Choice) {
	r.Chosen, r.Expected = c.Upstream.ID, c.Expected
	r.Prefill, r.Candidates = c.Prefill, c.Candidates
	r.Home, r.Backlog, r.Running = c.Home, c.Backlog, c.Running
}

// recordAttempt appends an attempt that ended.
func (r *Record) recordAttempt(c place.Choice, res result, err error) {
	a := Attempt{Upstream: c.Upstream.ID, Result: res.String(), Prefill: c.Prefill}
	if res == unsent || res == throttled || res == quarantined {
		a.Prefill = 0
	}
	r.Attempts = append(r.Attempts, a)
	if err != nil {
		r.Reason = err.Error()
	}
	r.Result = res
}

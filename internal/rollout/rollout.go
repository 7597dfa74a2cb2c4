// Package rollout decides how the traffic of a service moves to a new version of its
// upstreams, or that the version is rolled back.
//
// The holder of the fleet duty decides (Decide) by the evidence of all daemons (Tracker) and
// writes a State per service. Each daemon follows the States and sends its requests by them
// (Policy). The package uses no sockets and has no clock of its own; time is an argument.
package rollout

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/views"
)

// Order asks that the traffic of a service be moved to upstreams of a version.
type Order struct {
	Service  string
	To       string
	Duration time.Duration // from the order until its deadline
	Version  int64         // of its row; see views.MakeVersion
}

// Bounds limit what a bad version may do. The zero value turns roll-outs off.
type Bounds struct {
	ExposureShare float64 // of the requests between the order and its deadline that may reach a bad version
	// ExposureSlack is a number of requests in addition, over all daemons. It is a margin that
	// daemons do not use.
	ExposureSlack float64
	// RollbackAfter is the time from the 50th bad answer of a version after which it must get no
	// request.
	RollbackAfter time.Duration
}

// Enabled reports whether versions are rolled out by order.
func (b Bounds) Enabled() bool { return b.ExposureShare > 0 }

// Phase is how far a roll-out has come.
type Phase string

// Phases of a roll-out. Done and RolledBack are verdicts: they never change for one order.
const (
	Canary     Phase = "canary"      // a share below the exposure bound, on few upstreams
	Shift      Phase = "shift"       // the share rises
	Drain      Phase = "drain"       // all new requests go to the new version
	Done       Phase = "done"        // the old upstreams may stop
	RolledBack Phase = "rolled_back" // the new version gets no requests
)

// Final reports whether the phase is a verdict.
func (p Phase) Final() bool { return p == Done || p == RolledBack }

func (p Phase) valid() bool {
	switch p {
	case Canary, Shift, Drain, Done, RolledBack:
		return true
	}
	return false
}

// WholeShare is the share of a State that stands for all requests.
const WholeShare = 1000

// State is the state of the roll-out of one service, as the store has it.
type State struct {
	To           string `json:"to"`
	DurationMS   int64  `json:"durationMs"`
	OrderVersion int64  `json:"order"`     // see Order.Version
	OrderedMS    int64  `json:"orderedMs"` // store's clock
	Phase        Phase  `json:"phase"`
	SinceMS      int64  `json:"sinceMs"`  // store's clock at the start of the phase
	Share        int    `json:"share"`    // of the requests that go to the new version, of WholeShare
	Canaries     int    `json:"canaries"` // upstreams of the new version to use; 0 for all
	Revision     int64  `json:"revision"` // rises with each change, also from order to order
	Token        int64  `json:"token"`    // fencing token of the writer
	Reason       string `json:"reason,omitempty"`
	Bad          bool   `json:"bad,omitempty"` // rolled back because of bad answers
	// Allowed are the other versions that may get requests: those in use at the order.
	Allowed []string `json:"allowed,omitempty"`
	// Barred are versions that were rolled back or replaced before they were done.
	Barred []string `json:"barred,omitempty"`
}

// maxMillis bounds times in rows, in unix ms the year 5138.
const maxMillis = 1e14

// maxVersions bounds the versions in the lists of a State.
const maxVersions = 16

// DecodeState decodes a row.
func DecodeState(value []byte) (State, error) {
	var s State
	if err := json.Unmarshal(value, &s); err != nil {
		return State{}, errors.Wrap(err, "decode state of a roll-out")
	}
	switch {
	case s.To == "":
		return State{}, errors.New("state of a roll-out has no version")
	case !s.Phase.valid():
		return State{}, errors.Errorf("state of a roll-out has the unknown phase %.40q", s.Phase)
	case s.Share < 0 || s.Share > WholeShare || s.Canaries < 0 || s.Revision < 1 || s.OrderVersion < 0:
		return State{}, errors.Errorf("state of a roll-out has a number out of range: share %d, canaries %d, revision %d, order %d", s.Share, s.Canaries, s.Revision, s.OrderVersion)
	}
	for _, ms := range []int64{s.DurationMS, s.OrderedMS, s.SinceMS} {
		if ms < 0 || ms > maxMillis {
			return State{}, errors.Errorf("state of a roll-out has time %d out of range", ms)
		}
	}
	return s, nil
}

// Encode returns the value of the state's row.
func (s State) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	return value, errors.Wrap(err, "encode state of a roll-out")
}

// Of reports whether the state belongs to an order. An order whose row was restored from a copy
// is the same: its version has a later era.
func (s State) Of(o Order) bool {
	return s.sameOrder(o.To, o.Duration.Milliseconds(), o.Version)
}

func (s State) sameOrder(to string, durationMS, version int64) bool {
	if s.To != to || s.DurationMS != durationMS {
		return false
	}
	return sameRow(s.OrderVersion, version)
}

// sameRow reports whether two versions of orders with the same content may be of the same order:
// after a restore of the store it has a version of a later era.
func sameRow(a, b int64) bool {
	eraA, _ := views.SplitVersion(a)
	eraB, _ := views.SplitVersion(b)
	return a == b || eraA != eraB
}

// Supersedes reports whether the state replaces one that was held before. A verdict is only
// replaced by the state of another order, so that a restore of the store from an older copy does
// not undo it.
func (s State) Supersedes(held State) bool {
	if !s.sameOrder(held.To, held.DurationMS, held.OrderVersion) {
		return s.OrderVersion > held.OrderVersion
	}
	if held.Phase.Final() != s.Phase.Final() {
		return s.Phase.Final()
	}
	return s.Revision > held.Revision
}

// Status is what operators read about an order.
type Status struct {
	Phase Phase // Done, RolledBack or another for an order in progress
	To    string
}

// Status returns the status of the order.
func (s State) Status() Status { return Status{Phase: s.Phase, To: s.To} }

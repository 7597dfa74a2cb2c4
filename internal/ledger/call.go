package ledger

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

var requestChart = chart.MustLoad("request")

// Verdict is what a daemon does with a call that may not be repeated.
type Verdict int

// Verdicts.
const (
	MayDispatch Verdict = iota // commit the write; go on once it is certain
	Replay                     // answer from the record
	Busy                       // another dispatch holds the call, or held it and lost its answer
	Mismatch                   // the idempotency key belongs to another request
	Elsewhere                  // the lot of the same id has the answer
)

// Intent is a call that wants to be dispatched.
type Intent struct {
	ID       string
	Customer string
	Hash     string
	Daemon   string
	Token    string // of the commit; new for each decision
}

// Decision is a verdict with the write that MayDispatch requires.
type Decision struct {
	Verdict Verdict
	Next    Stored // after the write
	Write   platform.Write
}

// Admit decides on a call whose row is s. An error is a record that the chart
// doesn't know.
func Admit(s Stored, in Intent, now time.Time) (Decision, error) {
	return decide(s, in, Dispatch, now)
}

// AdmitLot decides on a call whose row is s and that is to be accepted as a
// lot. The write must be committed with the rows of the lot, so that the call
// cannot be dispatched beside it.
func AdmitLot(s Stored, in Intent, now time.Time) (Decision, error) {
	return decide(s, in, Reserve, now)
}

func decide(s Stored, in Intent, e chart.Event, now time.Time) (Decision, error) {
	r := s.Record
	if s.Version == 0 {
		r = Record{State: requestChart.Initial(), ID: in.ID, Customer: in.Customer, Hash: in.Hash}
	}
	switch {
	case r.Hash != in.Hash || r.Customer != in.Customer:
		return Decision{Verdict: Mismatch, Next: s}, nil
	case r.State == Done:
		return Decision{Verdict: Replay, Next: s}, nil
	case r.State == AsLot:
		return Decision{Verdict: Elsewhere, Next: s}, nil
	case r.State == Dispatched || r.State == LostAnswer:
		return Decision{Verdict: Busy, Next: s}, nil
	}
	r.Daemon = in.Daemon
	r.Token = in.Token
	r.Attempt++
	r.Reason = ""
	next, w, err := fire(Stored{Version: s.Version, Record: r}, e, now)
	return Decision{Verdict: MayDispatch, Next: next, Write: w}, err
}

// Holds tells whether row s shows that the commit with that token took effect
// and is still the last dispatch. It settles a commit whose answer was lost.
func Holds(s Stored, token string) bool {
	return s.Version > 0 && s.Record.State == Dispatched && s.Record.Token == token
}

// Answered records the answer of the call that this daemon dispatched as s.
func Answered(s Stored, reply Reply, now time.Time) (Stored, platform.Write, error) {
	s.Record.Reply = &reply
	return fire(s, Answer, now)
}

// RefusedBy records that nothing of the call that this daemon dispatched as s
// ran, so that it may be dispatched again. Only the daemon that dispatched it
// may say so, since only it knows that it will send nothing more.
func RefusedBy(s Stored, reason string, now time.Time) (Stored, platform.Write, error) {
	s.Record.Reason = reason
	return fire(s, Refuse, now)
}

// Withdrawn records that this daemon gave up the commit that would have
// dispatched the call as admitted from s, and whose effect it does not know.
// If the write succeeds, that commit can no longer take effect; if it meets a
// conflict, the commit may have, and RefusedBy undoes it.
func Withdrawn(s Stored, d Decision, reason string, now time.Time) (Stored, platform.Write, error) {
	r := d.Next.Record
	r.State = s.Record.State
	if s.Version == 0 {
		r.State = requestChart.Initial()
	}
	r.Reason = reason
	return fire(Stored{Version: s.Version, Record: r}, Refuse, now)
}

// Lost records that the answer of the call that this daemon dispatched as s
// will not come.
func Lost(s Stored, reason string, now time.Time) (Stored, platform.Write, error) {
	s.Record.Reason = reason
	return fire(s, Lose, now)
}

// lotMargin is how much longer the row that reserves a key for a lot is kept:
// beyond the lot's own row, whose retention begins when the lot ends.
const lotMargin = 2 * time.Hour

// Expired tells whether the record may be collected: nothing more can happen to
// it and its retention is over.
func Expired(s Stored, retention time.Duration, now time.Time) bool {
	if s.Record.State == AsLot {
		retention += lotMargin
	}
	return now.Sub(s.Record.At) > retention
}

// fire moves the record by an event and returns it with the write that does so
// if the row is still of the version of s.
func fire(s Stored, e chart.Event, now time.Time) (Stored, platform.Write, error) {
	state, err := requestChart.Next(s.Record.State, e, "ledger", s.Record.Daemon)
	if err != nil {
		return s, platform.Write{}, err
	}
	next := s
	next.Record.State = state
	next.Record.At = now
	next.Version = s.Version + 1
	w, err := next.Record.write(s.Version)
	return next, w, err
}

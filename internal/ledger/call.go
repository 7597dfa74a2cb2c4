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
	MayDispatch       Verdict = iota // commit the write; go on once it is certain
	Replay                           // answer from the record
	AlreadyDispatched                // another dispatch holds the call, or held it and lost its answer
	KeyReused                        // the idempotency key belongs to another request
	KeyHeldByLot                     // the lot of the same id has the answer
)

// Claim is a call that wants to be dispatched.
type Claim struct {
	ID       string
	Customer string
	Hash     string
	Daemon   string
	Token    string // of the commit; new for each decision
}

// Decision is a verdict with the write that MayDispatch requires.
type Decision struct {
	Verdict Verdict
	Next    StoredRecord // after the write
	Write   platform.Write
}

// ClaimDispatch decides on a call whose row is s. An error is a record that the chart
// doesn't know.
func ClaimDispatch(s StoredRecord, claim Claim, now time.Time) (Decision, error) {
	return decide(s, claim, Dispatch, now)
}

// ReserveKey decides on a call whose row is s and that is to be accepted as a
// lot. The write must be committed with the rows of the lot, so that the call
// cannot be dispatched beside it.
func ReserveKey(s StoredRecord, claim Claim, now time.Time) (Decision, error) {
	return decide(s, claim, Reserve, now)
}

func decide(s StoredRecord, claim Claim, e chart.Event, now time.Time) (Decision, error) {
	r := s.Record
	if s.Version == 0 {
		r = Record{State: requestChart.Initial(), ID: claim.ID, Customer: claim.Customer, Hash: claim.Hash}
	}
	switch {
	case r.Hash != claim.Hash || r.Customer != claim.Customer:
		return Decision{Verdict: KeyReused, Next: s}, nil
	case r.State == Done:
		return Decision{Verdict: Replay, Next: s}, nil
	case r.State == ReservedForLot:
		return Decision{Verdict: KeyHeldByLot, Next: s}, nil
	case r.State == Dispatched || r.State == LostResponse:
		return Decision{Verdict: AlreadyDispatched, Next: s}, nil
	}
	r.Daemon = claim.Daemon
	r.Token = claim.Token
	r.Attempt++
	r.Reason = ""
	next, w, err := transition(StoredRecord{Version: s.Version, Record: r}, e, now)
	return Decision{Verdict: MayDispatch, Next: next, Write: w}, err
}

// DispatchedBy tells whether row s shows that the commit with that token took effect
// and is still the last dispatch. It settles a commit whose answer was lost.
func DispatchedBy(s StoredRecord, token string) bool {
	return s.Version > 0 && s.Record.State == Dispatched && s.Record.Token == token
}

// MarkDone records the answer of the call that this daemon dispatched as s.
func MarkDone(s StoredRecord, resp Response, now time.Time) (StoredRecord, platform.Write, error) {
	s.Record.Response = &resp
	return transition(s, Answer, now)
}

// MarkRefused records that nothing of the call that this daemon dispatched as s
// ran, so that it may be dispatched again. Only the daemon that dispatched it
// may say so, since only it knows that it will send nothing more.
func MarkRefused(s StoredRecord, reason string, now time.Time) (StoredRecord, platform.Write, error) {
	s.Record.Reason = reason
	return transition(s, Refuse, now)
}

// MarkWithdrawn records that this daemon gave up the commit that would have
// dispatched the call as admitted from s, and whose effect it does not know.
// If the write succeeds, that commit can no longer take effect; if it meets a
// conflict, the commit may have, and RefusedBy undoes it.
func MarkWithdrawn(s StoredRecord, d Decision, reason string, now time.Time) (StoredRecord, platform.Write, error) {
	r := d.Next.Record
	r.State = s.Record.State
	if s.Version == 0 {
		r.State = requestChart.Initial()
	}
	r.Reason = reason
	return transition(StoredRecord{Version: s.Version, Record: r}, Refuse, now)
}

// MarkLost records that the answer of the call that this daemon dispatched as s
// will not come.
func MarkLost(s StoredRecord, reason string, now time.Time) (StoredRecord, platform.Write, error) {
	s.Record.Reason = reason
	return transition(s, Lose, now)
}

// extraLotRetention is how much longer the row that reserves a key for a lot is kept:
// beyond the lot's own row, whose retention begins when the lot ends.
const extraLotRetention = 2 * time.Hour

// Expired tells whether the record may be collected: nothing more can happen to
// it and its retention is over.
func Expired(s StoredRecord, retention time.Duration, now time.Time) bool {
	if s.Record.State == ReservedForLot {
		retention += extraLotRetention
	}
	return now.Sub(s.Record.UpdatedAt) > retention
}

// transition moves the record by an event and returns it with the write that does so
// if the row is still of the version of s.
func transition(s StoredRecord, e chart.Event, now time.Time) (StoredRecord, platform.Write, error) {
	state, err := requestChart.Next(s.Record.State, e, "ledger", s.Record.Daemon)
	if err != nil {
		return s, platform.Write{}, err
	}
	next := s
	next.Record.State = state
	next.Record.UpdatedAt = now
	next.Version = s.Version + 1
	w, err := next.Record.write(s.Version)
	return next, w, err
}

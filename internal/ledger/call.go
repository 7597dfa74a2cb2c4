package ledger

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

var requestChart = chart.MustLoad("request")

// Verdict says what a daemon does with a non-repeatable call.
type Verdict int

// Verdicts.
const (
	MayDispatch       Verdict = iota // commit Decision.Write; send the call once the commit has succeeded
	Replay                           // return the recorded response
	AlreadyDispatched                // the response is pending, or was lost
	KeyReused                        // the idempotency key was used with another request
	KeyReserved                      // for the lot with the same id, which has the response
)

// Claim identifies a call and the commit by which a daemon claims it.
type Claim struct {
	ID       string
	Customer string
	Hash     string
	Daemon   string
	Token    string // of the claiming commit; unique for each decision
}

// Decision is a verdict on a call. Write is set with MayDispatch.
type Decision struct {
	Verdict Verdict
	Next    StoredRecord // the record after the write; the current record with other verdicts
	Write   platform.Write
}

// ClaimDispatch decides whether the call with record s may be dispatched. It returns
// an error if the record's state is not in the state chart.
func ClaimDispatch(s StoredRecord, claim Claim, now time.Time) (Decision, error) {
	return decide(s, claim, Dispatch, now)
}

// ReserveKey decides whether the idempotency key with record s may be reserved for a
// lot. The write must be committed in one transaction with the rows of the lot, so
// that the same request can't also be dispatched as a call.
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
		return Decision{Verdict: KeyReserved, Next: s}, nil
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

// DispatchedBy reports whether s is the record that the dispatching commit with the
// token wrote. If the response to that commit was lost, this shows whether the commit
// succeeded.
func DispatchedBy(s StoredRecord, token string) bool {
	return s.Version > 0 && s.Record.State == Dispatched && s.Record.Token == token
}

// MarkDone records the response to the call that this daemon dispatched with record s.
func MarkDone(s StoredRecord, resp Response, now time.Time) (StoredRecord, platform.Write, error) {
	s.Record.Response = &resp
	return transition(s, Answer, now)
}

// MarkRefused records that the call that this daemon dispatched with record s did not
// run, so that it may be dispatched again. Only the daemon that dispatched the call
// may record this, since no other daemon can rule out that the call is sent later.
func MarkRefused(s StoredRecord, reason string, now time.Time) (StoredRecord, platform.Write, error) {
	s.Record.Reason = reason
	return transition(s, Refuse, now)
}

// MarkWithdrawn records that this daemon abandoned decision d on record s: the outcome
// of the dispatching commit is unknown. If the returned write succeeds, the abandoned
// commit can no longer take effect. If the write fails with a conflict, the abandoned
// commit may have taken effect; MarkRefused then undoes it.
func MarkWithdrawn(s StoredRecord, d Decision, reason string, now time.Time) (StoredRecord, platform.Write, error) {
	r := d.Next.Record
	r.State = s.Record.State
	if s.Version == 0 {
		r.State = requestChart.Initial()
	}
	r.Reason = reason
	return transition(StoredRecord{Version: s.Version, Record: r}, Refuse, now)
}

// MarkLost records that no response will arrive for the call that this daemon
// dispatched with record s.
func MarkLost(s StoredRecord, reason string, now time.Time) (StoredRecord, platform.Write, error) {
	s.Record.Reason = reason
	return transition(s, Lose, now)
}

// extraLotRetention is added to the retention of a record that reserves a key for a
// lot. The record must outlive the lot's own row, whose retention begins only when the
// lot ends.
const extraLotRetention = 2 * time.Hour

// Expired reports whether the record may be deleted because its retention, counted from
// its last event, is over.
func Expired(s StoredRecord, retention time.Duration, now time.Time) bool {
	if s.Record.State == ReservedForLot {
		retention += extraLotRetention
	}
	return now.Sub(s.Record.UpdatedAt) > retention
}

// transition applies an event to the record. It returns the new record and the write
// that stores it, which is conditional on the version of s.
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

package ledger

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// States of an accepted lot beside Dispatched and Done.
const (
	Running   chart.State = "running" // owned, and may be begun again from what is kept
	Failed    chart.State = "failed"
	Collected chart.State = "collected" // its answer is no longer kept
)

// Events of an accepted lot beside Dispatch, Answer and Refuse.
const (
	Keep    chart.Event = "keep" // progress, and the lease with it
	Adopt   chart.Event = "adopt"
	Fail    chart.Event = "fail"
	Collect chart.Event = "collect"
)

// OwnershipPartition is the kind of the partitions of open lots.
const OwnershipPartition = "open"

// LotPartition is the kind of the partitions of all accepted lots.
const LotPartition = "lot"

var lotChart = chart.MustLoad("lot")

// Lot is the row of an accepted lot: what was asked, and in the end how it
// ended. It is written once on acceptance and once at the end.
type Lot struct {
	State     chart.State    `json:"state"` // running until the end
	ID        string         `json:"id"`
	Customer  string         `json:"customer"`
	Hash      string         `json:"hash"`
	Service   string         `json:"service"`
	Class     manifest.Class `json:"class"`
	Accepted  time.Time      `json:"accepted"`
	Deadline  time.Time      `json:"deadline"`
	UpdatedAt time.Time      `json:"at"` // of the last event

	MaxTokens int  `json:"max_tokens,omitempty"` // of a model service
	Chat      bool `json:"chat,omitempty"`

	Method         string `json:"method,omitempty"` // of a plain service
	Path           string `json:"path,omitempty"`
	ContentType    string `json:"content_type,omitempty"`
	IdempotencyKey string `json:"key,omitempty"`
	Repeatable     bool   `json:"repeatable,omitempty"`

	Outcome    string    `json:"outcome,omitempty"` // of an ended lot: answered, not-run or unknown
	Reason     string    `json:"reason,omitempty"`  // of a failed lot
	Response   *Response `json:"reply,omitempty"`   // of a done plain lot
	TextObject string    `json:"answer,omitempty"`  // object with the whole text of a done lot
	Tokens     int       `json:"tokens,omitempty"`
}

// Ownership is the row of an open lot: who owns it, and how far it is. Each owner's
// progress is in an object of its own, named after the epoch, so that a paused
// owner can't overwrite a later one's.
type Ownership struct {
	State          chart.State `json:"state"` // running or dispatched
	Owner          string      `json:"owner"` // daemon
	Token          string      `json:"token"` // of the owner's claim
	Epoch          int64       `json:"epoch"` // rises with each owner
	LeaseEnd       time.Time   `json:"lease_end"`
	Deadline       time.Time   `json:"deadline"` // of the lot
	Tokens         int         `json:"tokens"`   // in the progress object
	Attempts       int         `json:"attempts"`
	ProgressObject string      `json:"progress,omitempty"` // object
}

// OpenLot is an open lot with the version of its row, as its owner knows it.
type OpenLot struct {
	Lot       Lot       `json:"lot"`
	Ownership Ownership `json:"open"`
	Version   int64     `json:"version"` // of the open row
}

// LotKey returns the key of the row of an accepted lot.
func LotKey(id string) string { return partition(LotPartition, id) + "/" + id }

// OwnershipKey returns the key of the row of an open lot.
func OwnershipKey(id string) string { return partition(OwnershipPartition, id) + "/" + id }

// InputObject returns the name of the object with the prompt or body of a lot.
func InputObject(id string) string { return "lot-" + id + "-input" }

// AcceptLot decides to accept a lot: the returned writes must be committed
// before the caller is told.
func AcceptLot(lot Lot, owner, token string, lease time.Duration, now time.Time) (OpenLot, []platform.Write, error) {
	lot.State = lotChart.Initial()
	lot.Accepted, lot.UpdatedAt = now, now
	open := OpenLot{Lot: lot, Version: 1, Ownership: Ownership{
		State: lot.State, Owner: owner, Token: token, Epoch: 1, LeaseEnd: now.Add(lease), Deadline: lot.Deadline,
	}}
	lotWrite, err := encodeWrite(LotKey(lot.ID), 0, open.Lot)
	if err != nil {
		return open, nil, err
	}
	ownership, err := encodeWrite(OwnershipKey(lot.ID), 0, open.Ownership)
	return open, []platform.Write{lotWrite, ownership}, err
}

// UpdateLot moves an open lot by an event that leaves it open, and renews the
// owner's lease.
func UpdateLot(open OpenLot, e chart.Event, lease time.Duration, now time.Time) (OpenLot, []platform.Write, error) {
	state, err := lotChart.Next(open.Ownership.State, e, "lot", open.Ownership.Owner)
	if err != nil {
		return open, nil, err
	}
	expected := open.Version
	open.Version++
	open.Ownership.State = state
	open.Ownership.LeaseEnd = now.Add(lease)
	w, err := encodeWrite(OwnershipKey(open.Lot.ID), expected, open.Ownership)
	return open, []platform.Write{w}, err
}

// MayAdopt tells whether another daemon may take the lot: the lease has lapsed,
// and nothing that may not be repeated is under way.
func MayAdopt(o Ownership, now time.Time) bool {
	return o.State == Running && now.After(o.LeaseEnd)
}

// AssignOwner makes a daemon the owner of a lot whose lease has lapsed, or that was
// handed to it, once Change with Adopt is recorded. The holder before may still
// believe that it owns the lot: the version decides whose records count.
func AssignOwner(open OpenLot, owner, token string) OpenLot {
	open.Ownership.Owner = owner
	open.Ownership.Token = token
	open.Ownership.Epoch++
	return open
}

// LotResult is how a lot ends.
type LotResult struct {
	Event      chart.Event // Answer or Fail
	Outcome    string
	Reason     string
	Response   *Response `json:"Reply"`
	TextObject string    `json:"Answer"` // name of the object with the generated text
	Tokens     int
}

// EndLot records the end of a lot and that it is open no more.
func EndLot(open OpenLot, result LotResult, now time.Time) (OpenLot, []platform.Write, error) {
	state, err := lotChart.Next(open.Ownership.State, result.Event, "lot", open.Ownership.Owner)
	if err != nil {
		return open, nil, err
	}
	open.Lot.State = state
	open.Lot.UpdatedAt = now
	open.Lot.Outcome, open.Lot.Reason, open.Lot.Response = result.Outcome, result.Reason, result.Response
	open.Lot.TextObject, open.Lot.Tokens = result.TextObject, result.Tokens
	lotWrite, err := encodeWrite(LotKey(open.Lot.ID), 1, open.Lot)
	deletion := platform.Write{Key: OwnershipKey(open.Lot.ID), Version: open.Version, Delete: true}
	return open, []platform.Write{lotWrite, deletion}, err
}

// CollectLot marks an ended lot whose retention is over. Its objects may be
// deleted a grace period later, when no reader that saw it before can still
// need them, and its row last.
func CollectLot(lot Lot, version int64, now time.Time) (platform.Write, error) {
	state, err := lotChart.Next(lot.State, Collect, "collect", "")
	if err != nil {
		return platform.Write{}, err
	}
	lot.State = state
	lot.UpdatedAt = now
	lot.Response = nil
	return encodeWrite(LotKey(lot.ID), version, lot)
}

// Overdue tells whether an open lot that was dispatched can no longer be
// answered by whoever dispatched it.
func Overdue(o Ownership, grace time.Duration, now time.Time) bool {
	return now.After(o.Deadline.Add(grace)) && now.After(o.LeaseEnd)
}

// HasToken tells whether the open row is the one that the claim with that token
// wrote. It settles a commit whose answer was lost.
func (o *Ownership) HasToken(token string) bool { return o.Token == token }

// SameProgress tells whether two open rows of one owner say the same but for the lease.
func (o *Ownership) SameProgress(other *Ownership) bool {
	return o.State == other.State && o.Tokens == other.Tokens && o.ProgressObject == other.ProgressObject
}

// DecodeRow reads a row as JSON into v.
func DecodeRow(row platform.Row, v any) error {
	return errors.Wrapf(json.Unmarshal(row.Value, v), "decode %s", row.Key)
}

func encodeWrite(key string, version int64, v any) (platform.Write, error) {
	value, err := json.Marshal(v)
	return platform.Write{Key: key, Version: version, Value: value}, errors.Wrapf(err, "encode %s", key)
}

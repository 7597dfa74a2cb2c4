package ledger

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// States of a lot in addition to Dispatched and Done.
const (
	Running   chart.State = "running" // has an owner; another daemon may resume it from the stored progress
	Failed    chart.State = "failed"
	Collected chart.State = "collected" // marked for deletion; the response is no longer available
)

// Events of a lot in addition to Dispatch, Answer and Refuse.
const (
	Keep    chart.Event = "keep" // stores progress and renews the lease
	Adopt   chart.Event = "adopt"
	Fail    chart.Event = "fail"
	Collect chart.Event = "collect"
)

// OwnershipPartition is the kind of the partitions that hold the ownership rows of open lots.
const OwnershipPartition = "open"

// LotPartition is the kind of the partitions that hold the rows of all lots, open or ended.
const LotPartition = "lot"

var lotChart = chart.MustLoad("lot")

// Lot is the row of a lot, a request accepted for asynchronous processing: the request
// itself and, once the lot has ended, its result. The row is written when the lot is
// accepted, when it ends and when it is collected.
type Lot struct {
	State     chart.State    `json:"state"` // running until the lot ends, even while Ownership.State is dispatched
	ID        string         `json:"id"`
	Customer  string         `json:"customer"`
	Hash      string         `json:"hash"` // of the request, from HashRequest
	Service   string         `json:"service"`
	Class     manifest.Class `json:"class"`
	Accepted  time.Time      `json:"accepted"`
	Deadline  time.Time      `json:"deadline"`
	UpdatedAt time.Time      `json:"at"` // of the last event

	MaxTokens int  `json:"max_tokens,omitempty"` // set for a model service
	Chat      bool `json:"chat,omitempty"`

	Method         string `json:"method,omitempty"` // set for a plain service
	Path           string `json:"path,omitempty"`
	ContentType    string `json:"content_type,omitempty"`
	IdempotencyKey string `json:"key,omitempty"`
	Repeatable     bool   `json:"repeatable,omitempty"`

	Outcome    string    `json:"outcome,omitempty"` // set when the lot has ended: answered, not-run or unknown
	Reason     string    `json:"reason,omitempty"`  // set for a failed lot
	Response   *Response `json:"reply,omitempty"`   // set for a done lot of a plain service
	TextObject string    `json:"answer,omitempty"`  // object with the complete text of a done lot of a model service
	Tokens     int       `json:"tokens,omitempty"`  // number of tokens in that text
}

// Ownership is the second row of an open lot: its owner and progress. It is deleted when
// the lot ends. The names of progress objects contain the epoch, so that an owner that
// was paused can't overwrite the progress of a later owner.
type Ownership struct {
	State          chart.State `json:"state"` // running or dispatched
	Owner          string      `json:"owner"` // daemon
	Token          string      `json:"token"` // unique for each claim of the lot
	Epoch          int64       `json:"epoch"` // increases with each owner
	LeaseEnd       time.Time   `json:"lease_end"`
	Deadline       time.Time   `json:"deadline"`           // of the lot
	Tokens         int         `json:"tokens"`             // number of tokens in the progress object
	Attempts       int         `json:"attempts"`           // attempt numbers reserved for the runs so far, by all owners
	ProgressObject string      `json:"progress,omitempty"` // name of the object
}

// OpenLot holds both rows of an open lot, as last read or written by a daemon.
type OpenLot struct {
	Lot       Lot       `json:"lot"`
	Ownership Ownership `json:"open"`
	Version   int64     `json:"version"` // of the ownership row
}

// LotKey returns the key of the row of a lot.
func LotKey(id string) string { return partition(LotPartition, id) + "/" + id }

// OwnershipKey returns the key of the ownership row of an open lot.
func OwnershipKey(id string) string { return partition(OwnershipPartition, id) + "/" + id }

// InputObject returns the name of the object that holds the prompt or body of a lot.
func InputObject(id string) string { return "lot-" + id + "-input" }

// AcceptLot returns a new lot of the owner and the writes that accept it. They must be
// committed before the caller gets the response 202.
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

// UpdateLot applies an event after which the lot is still open, and renews the owner's
// lease.
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

// MayAdopt reports whether another daemon may take over the lot: the lease has expired
// and no non-repeatable request is in flight.
func MayAdopt(o Ownership, now time.Time) bool {
	return o.State == Running && now.After(o.LeaseEnd)
}

// AssignOwner returns a lot, whose lease has expired or which was handed over, with a new
// owner. The owner changes once a write of UpdateLot (Adopt or Refuse) is committed. The
// previous owner may not have noticed and may still run the lot; the row's version
// decides which of the two can record anything.
func AssignOwner(open OpenLot, owner, token string) OpenLot {
	open.Ownership.Owner = owner
	open.Ownership.Token = token
	open.Ownership.Epoch++
	return open
}

// LotResult is the result with which a lot ends. Daemons send it to each other as JSON.
type LotResult struct {
	Event      chart.Event // Answer or Fail
	Outcome    string
	Reason     string
	Response   *Response `json:"Reply"`
	TextObject string    `json:"Answer"` // name of the object with the complete text
	Tokens     int
}

// EndLot records the result of a lot and deletes its ownership row.
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

// CollectLot marks an ended lot whose retention is over. Its objects may be deleted after
// a grace period, when no reader of the unmarked row can still need them; the row is
// deleted last.
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

// Overdue reports whether the owner of a dispatched lot can no longer record a response:
// its lease has expired, and the lot's deadline and a grace period have passed.
func Overdue(o Ownership, grace time.Duration, now time.Time) bool {
	return now.After(o.Deadline.Add(grace)) && now.After(o.LeaseEnd)
}

// HasToken reports whether the row was written by the daemon that claimed the lot with the
// token. If the response to that daemon's commit was lost, this shows whether the commit
// succeeded.
func (o *Ownership) HasToken(token string) bool { return o.Token == token }

// SameProgress reports whether two rows written by the same owner have the same state and
// progress. Their leases may differ.
func (o *Ownership) SameProgress(other *Ownership) bool {
	return o.State == other.State && o.Tokens == other.Tokens && o.ProgressObject == other.ProgressObject
}

// DecodeRow decodes the JSON value of a row into v.
func DecodeRow(row platform.Row, v any) error {
	return errors.Wrapf(json.Unmarshal(row.Value, v), "decode %s", row.Key)
}

func encodeWrite(key string, version int64, v any) (platform.Write, error) {
	value, err := json.Marshal(v)
	return platform.Write{Key: key, Version: version, Value: value}, errors.Wrapf(err, "encode %s", key)
}

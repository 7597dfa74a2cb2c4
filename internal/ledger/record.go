// Package ledger decides what becomes of recorded requests: calls that may not
// be repeated, and accepted lots.
//
// The decisions are functions of the record, the event and the time. They
// return the write that records the decision and touch neither socket nor
// clock. The state charts request.json and lot.json say which event is allowed
// in which state.
package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// States of a call that may not be repeated.
const (
	Accepted       chart.State = "accepted"
	Dispatched     chart.State = "dispatched" // by one daemon, for good
	Done           chart.State = "done"
	Refused        chart.State = "refused" // not run; may be dispatched again
	LostResponse   chart.State = "lost"    // may have run; its answer will not come
	ReservedForLot chart.State = "lot"     // accepted as a lot of the same id, which has the answer
)

// Events of a call that may not be repeated.
const (
	Dispatch chart.Event = "dispatch"
	Answer   chart.Event = "answer"
	Refuse   chart.Event = "refuse"
	Lose     chart.Event = "lose"
	Reserve  chart.Event = "reserve" // for a lot
)

// Partitions is the number of partitions over which records of one kind are
// spread.
const Partitions = 64

// Record is the row of a call that may not be repeated.
type Record struct {
	State     chart.State `json:"state"`
	ID        string      `json:"id"`
	Customer  string      `json:"customer"`
	Hash      string      `json:"hash"`   // of the request, by HashRequest
	Daemon    string      `json:"daemon"` // that dispatched it
	Token     string      `json:"token"`  // of the commit that dispatched it
	Attempt   int         `json:"attempt"`
	UpdatedAt time.Time   `json:"at"` // of the last event
	Reason    string      `json:"reason,omitempty"`
	Response  *Response   `json:"reply,omitempty"` // of a done call
}

// Response is a recorded answer. Object names the object that holds the body of a
// large one.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

// StoredRecord is a record and the version of its row; version 0 is no row.
type StoredRecord struct {
	Version int64
	Record  Record
}

// RequestID returns the id of a request that a customer names by an
// idempotency key. All daemons derive the same.
func RequestID(customer, key string) string {
	return uuid.NewSHA1(uuid.NameSpaceOID, []byte(customer+"\x00"+key)).String()
}

// CallPartition is the kind of the partitions of calls that may not be repeated.
const CallPartition = "call"

// CallKey returns the key of the row of the call with that id.
func CallKey(id string) string { return partition(CallPartition, id) + "/" + id }

// partition returns the partition of records of a kind in which id lies.
func partition(kind, id string) string {
	sum := sha256.Sum256([]byte(id))
	return PartitionName(kind, int(sum[0])%Partitions)
}

// PartitionName returns the name of partition i of records of a kind.
func PartitionName(kind string, i int) string { return kind + "." + strconv.Itoa(i) }

// HashRequest returns a digest of everything that makes two requests the same.
func HashRequest(service, method, path, contentType string, body []byte) string {
	h := sha256.New()
	for _, field := range [...]string{service, method, path, contentType} {
		_, _ = h.Write([]byte(field))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// DecodeRecord reads the record of a row.
func DecodeRecord(row platform.Row) (StoredRecord, error) {
	s := StoredRecord{Version: row.Version}
	err := json.Unmarshal(row.Value, &s.Record)
	return s, errors.Wrapf(err, "decode record %s", row.Key)
}

// write returns the write that puts r in place of version.
func (r *Record) write(version int64) (platform.Write, error) {
	value, err := json.Marshal(r)
	return platform.Write{Key: CallKey(r.ID), Version: version, Value: value}, errors.Wrap(err, "encode record")
}

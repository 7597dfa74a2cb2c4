// Package ledger implements the state machines of requests that are recorded in the
// table service: non-repeatable calls, which must run at most once, and lots. A lot is
// a request that was accepted for asynchronous processing; it is open until its result
// is recorded.
//
// All transitions are functions of the record, the event and the time. They return the
// writes that record the transition and do no I/O. The state charts request.json and
// lot.json define which events are allowed in which state.
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

// States of a non-repeatable call.
const (
	Accepted       chart.State = "accepted"
	Dispatched     chart.State = "dispatched" // claimed by one daemon; no other daemon takes the call over
	Done           chart.State = "done"
	Refused        chart.State = "refused" // did not run; may be dispatched again
	LostResponse   chart.State = "lost"    // may have run; no response will arrive
	ReservedForLot chart.State = "lot"     // the key is reserved for the lot with the same id, which has the response
)

// Events of a non-repeatable call.
const (
	Dispatch chart.Event = "dispatch"
	Answer   chart.Event = "answer"
	Refuse   chart.Event = "refuse"
	Lose     chart.Event = "lose"
	Reserve  chart.Event = "reserve" // the key, for a lot
)

// Partitions is the number of partitions among which the rows of one kind are
// distributed.
const Partitions = 64

// Record is the row of a non-repeatable call.
type Record struct {
	State     chart.State `json:"state"`
	ID        string      `json:"id"`
	Customer  string      `json:"customer"`
	Hash      string      `json:"hash"`   // of the request, from HashRequest
	Daemon    string      `json:"daemon"` // that dispatched the call last
	Token     string      `json:"token"`  // of the commit that dispatched the call last
	Attempt   int         `json:"attempt"`
	UpdatedAt time.Time   `json:"at"` // of the last event
	Reason    string      `json:"reason,omitempty"`
	Response  *Response   `json:"reply,omitempty"` // set for a done call
}

// Response is a recorded response. If its body is too large for a row, Object is the
// name of the object that holds the body.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	Object      string `json:"object,omitempty"`
}

// StoredRecord is a record with the version of its row. Version 0 means that there is no row.
type StoredRecord struct {
	Version int64
	Record  Record
}

// RequestID derives the id of a request from the customer and the idempotency key. All
// daemons derive the same id.
func RequestID(customer, key string) string {
	return uuid.NewSHA1(uuid.NameSpaceOID, []byte(customer+"\x00"+key)).String()
}

// CallPartition is the kind of the partitions that hold the rows of non-repeatable calls.
const CallPartition = "call"

// CallKey returns the key of the row of the call with the id.
func CallKey(id string) string { return partition(CallPartition, id) + "/" + id }

// partition returns the name of the partition of a kind to which the id belongs.
func partition(kind, id string) string {
	sum := sha256.Sum256([]byte(id))
	return PartitionName(kind, int(sum[0])%Partitions)
}

// PartitionName returns the name of partition i of a kind.
func PartitionName(kind string, i int) string { return kind + "." + strconv.Itoa(i) }

// HashRequest returns a digest of all that must match for two requests to count as the
// same request.
func HashRequest(service, method, path, contentType string, body []byte) string {
	h := sha256.New()
	for _, field := range [...]string{service, method, path, contentType} {
		_, _ = h.Write([]byte(field))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// DecodeRecord decodes the record of a row.
func DecodeRecord(row platform.Row) (StoredRecord, error) {
	s := StoredRecord{Version: row.Version}
	err := json.Unmarshal(row.Value, &s.Record)
	return s, errors.Wrapf(err, "decode record %s", row.Key)
}

// write returns the write that stores r if the row has the version.
func (r *Record) write(version int64) (platform.Write, error) {
	value, err := json.Marshal(r)
	return platform.Write{Key: CallKey(r.ID), Version: version, Value: value}, errors.Wrap(err, "encode record")
}

// Package routing chooses the upstream for each attempt of a call.
//
// A picker works on an immutable snapshot that is rebuilt when membership or
// the manifest changes, so that a pick takes no lock. What has been observed of
// an upstream (slowdown, failures, load, cached prefixes) is kept across
// snapshots. Time and randomness are passed in as arguments.
package routing

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// ErrNoUpstream is returned when no upstream of the service can take the call.
var ErrNoUpstream = errors.New("no upstream available")

// Request describes the call to choose an upstream for.
type Request struct {
	Service      string
	Blocks       []uint64 // hashes of the prompt's blocks; each also covers all blocks before it
	PromptTokens int
	MaxTokens    int
	Class        manifest.Class
	Deadline     time.Time
	Tried        []string // names of upstreams where this call has failed
	Random       uint64   // random bits for the choice
}

// State is the membership state of an upstream.
type State int

// States of an upstream.
const (
	Live    State = iota
	Suspect       // sent no message for a while; gets no new work while others are live
	Leaving       // reclaimed or stopping; gets no new work
	Dead          // unreachable for too long or shut down; gets no new work
)

// Member is one upstream and its state.
type Member struct {
	Upstream *manifest.Upstream
	State    State
}

// Result is the outcome of an attempt.
type Result int

// Results of an attempt.
const (
	Succeeded Result = iota
	Failed           // error, truncated response or timeout
	Refused          // refused by the upstream, which did not run the request
	Canceled         // ended by this daemon or the caller; not counted for or against the upstream
)

// LoadReport is the load that an upstream reports. It arrives with a delay.
type LoadReport struct {
	Upstream      string    `json:"upstream"`
	At            time.Time `json:"at"`             // when the upstream measured it
	Incarnation   int64     `json:"epoch"`          // increases when the upstream restarts, which empties its cache
	Running       int       `json:"running"`        // requests in the batch
	Waiting       int       `json:"waiting"`        // requests queued before the batch
	WaitingTokens int       `json:"waiting_tokens"` // prompt tokens still to prefill
	KVUsed        int       `json:"kv_used_tokens"`
	KVCapacity    int       `json:"kv_capacity_tokens"`
	Leaving       bool      `json:"leaving,omitempty"`
	LeavingInMS   int64     `json:"leaving_in_ms,omitempty"` // time left in ms, if leaving
}

// CacheEvents is a batch of changes to one upstream's prefix cache. Batches are
// delayed, and events may be missing.
type CacheEvents struct {
	Upstream    string
	Incarnation int64
	Changes     []CacheChange // oldest first
}

// CacheChange reports that a block was stored or evicted.
type CacheChange struct {
	Block   uint64
	Evicted bool
}

// Package routing chooses the upstream for each attempt of a call.
//
// A picker is an immutable snapshot that is rebuilt when membership or the
// manifest changes, so that the path of a request takes no lock. What is
// learnt of an upstream (speed, failures, load, cached prefixes) outlives the
// snapshots. Time and randomness come in as arguments.
package routing

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// ErrNoUpstream says that no upstream of the service may take the call.
var ErrNoUpstream = errors.New("no upstream available")

// Request describes the call for which an upstream is wanted.
type Request struct {
	Service      string
	Blocks       []uint64 // hashes of the prompt's prefix blocks, each covering all before it
	PromptTokens int
	MaxTokens    int
	Class        manifest.Class
	Deadline     time.Time
	Tried        []string // names of upstreams that failed this call already
	Random       uint64
}

// State is what membership knows of an upstream.
type State int

// States of an upstream.
const (
	Live    State = iota
	Suspect       // silent for a while; no new work while others are live
	Leaving       // reclaimed or stopping: no new work
	Dead
)

// Member is one upstream and its state.
type Member struct {
	Upstream *manifest.Upstream
	State    State
}

// Result is how an attempt ended.
type Result int

// Results of an attempt.
const (
	Succeeded Result = iota
	Failed           // error, cut or no progress
	Refused          // refused by protocol, not run
	Canceled         // the caller or a hedge ended it; says nothing about the upstream
)

// LoadReport is what an upstream says of its load. It arrives with a lag.
type LoadReport struct {
	Upstream      string    `json:"upstream"`
	At            time.Time `json:"at"`             // when the upstream measured
	Epoch         int64     `json:"epoch"`          // changes when the upstream restarts, which empties its cache
	Running       int       `json:"running"`        // requests in the batch
	Waiting       int       `json:"waiting"`        // requests in its queue
	WaitingTokens int       `json:"waiting_tokens"` // prompt tokens still to prefill
	KVUsed        int       `json:"kv_used_tokens"`
	KVCapacity    int       `json:"kv_capacity_tokens"`
	Leaving       bool      `json:"leaving,omitempty"`
	LeavingInMS   int64     `json:"leaving_in_ms,omitempty"` // milliseconds left, if leaving
}

// CacheEvents is a batch of changes of one upstream's prefix cache. Batches
// arrive late and events may be missing.
type CacheEvents struct {
	Upstream string
	Epoch    int64
	Changes  []CacheChange // in the order in which they happened
}

// CacheChange is one block that was stored or evicted.
type CacheChange struct {
	Block   uint64
	Evicted bool
}

// Package routing chooses the upstream for each attempt of a call.
//
// A Picker is an immutable snapshot that is rebuilt when membership or the
// manifest changes, so that the path of a request only reads. Time and
// randomness come in as arguments.
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

// Picker chooses among the upstreams of one snapshot. Pick may be called from
// any goroutine, takes no lock and allocates nothing.
type Picker interface {
	Pick(now time.Time, r *Request) (*manifest.Upstream, error)
}

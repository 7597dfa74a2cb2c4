package routing

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// roundRobin is the baseline policy that takes upstreams in turn.
type roundRobin struct {
	upstreams []*manifest.Upstream
	next      atomic.Uint64
}

// NewRoundRobin returns a Picker that takes the upstreams in turn.
func NewRoundRobin(upstreams []*manifest.Upstream) Picker {
	return &roundRobin{upstreams: upstreams}
}

// Pick implements Picker.
func (p *roundRobin) Pick(_ time.Time, r *Request) (*manifest.Upstream, error) {
	for range p.upstreams {
		u := p.upstreams[p.next.Add(1)%uint64(len(p.upstreams))]
		if !slices.Contains(r.Tried, u.Name) {
			return u, nil
		}
	}
	return nil, ErrNoUpstream
}

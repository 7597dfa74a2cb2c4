package place

import (
	"math"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const (
	// fetchSetup is what it takes an upstream to begin a fetch from another one.
	fetchSetup = 5.0 // ms
	// fetchWorth is how much longer than to read tokens it may take to fetch them: what an
	// engine reads delays all others there, what it fetches none.
	fetchWorth = 2.0
	// fetchPart of what speaks against reading shared tokens again speaks against
	// fetching them: memory that is moved has a price too.
	fetchPart = 0.2
	// soundRate of failures or less, an upstream is asked for what it keeps.
	soundRate = 0.2
)

// keeper is the upstream that keeps most of the shared parts of a prompt.
type keeper struct {
	up   *roster.Upstream // nil for none that is sound
	left int              // shared tokens that it does not keep
}

// keeperOf returns the keeper of a prompt among some upstreams. The caller holds mu.
func (p *Placer) keeperOf(list []*roster.Upstream, q Query, k known, now time.Duration) keeper {
	best := keeper{left: math.MaxInt}
	if q.FetchRate <= 0 || len(q.Prompt) < 2 || ablation.Disabled(ablation.CacheFetch) {
		return best
	}
	for _, u := range list {
		s := p.states[u.Key()]
		if s == nil || s.silent(now) || s.failRate(now) > soundRate {
			continue
		}
		if left := shared(q, s.missing(q, k, now)); left < best.left {
			best = keeper{u, left}
		}
	}
	return best
}

// fetch tells how many of the shared tokens that an upstream lacks it fetches from their
// keeper, and the milliseconds that takes; read is what a token takes to be read there.
func (k keeper) fetch(u *roster.Upstream, lacks int, q Query, read float64) (tokens int, ms float64) {
	if k.up == nil || k.up == u || k.left >= lacks {
		return 0, 0
	}
	tokens = lacks - k.left
	ms = fetchSetup + float64(tokens)/q.FetchRate
	if ms >= fetchWorth*read*float64(tokens) {
		return 0, 0
	}
	return tokens, ms
}

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
	// maxFetchRatio is how much longer than to read tokens it may take to fetch them: what an
	// engine reads delays all others there, what it fetches none.
	maxFetchRatio = 2.0
	// fetchWeight of what speaks against reading shared tokens again speaks against
	// fetching them: memory that is moved has a price too.
	fetchWeight = 0.2
	// maxSourceFailureRate of failures or less, an upstream is asked for what it keeps.
	maxSourceFailureRate = 0.2
)

// fetchSource is the upstream that keeps most of the shared parts of a prompt.
type fetchSource struct {
	upstream *roster.Upstream // nil for none that is sound
	uncached int              // shared tokens that it does not keep
}

// bestSource returns the keeper of a prompt among some upstreams. The caller holds mu.
func (p *Placer) bestSource(list []*roster.Upstream, q Query, info promptInfo, now time.Duration) fetchSource {
	best := fetchSource{uncached: math.MaxInt}
	if q.FetchRate <= 0 || len(q.Prompt) < 2 || ablation.Without(ablation.Fetches) {
		return best
	}
	for _, u := range list {
		s := p.states[u.Key()]
		if s == nil || s.silent(now) || s.failureRate(now) > maxSourceFailureRate {
			continue
		}
		if uncached := sharedTokens(q, s.prefillTokens(q, info, now)); uncached < best.uncached {
			best = fetchSource{u, uncached}
		}
	}
	return best
}

// plan tells how many of the shared tokens that an upstream lacks it fetches from their
// keeper, and the milliseconds that takes; read is what a token takes to be read there.
func (f fetchSource) plan(u *roster.Upstream, uncached int, q Query, msPerToken float64) (tokens int, ms float64) {
	if f.upstream == nil || f.upstream == u || f.uncached >= uncached {
		return 0, 0
	}
	tokens = uncached - f.uncached
	ms = fetchSetup + float64(tokens)/q.FetchRate
	if ms >= maxFetchRatio*msPerToken*float64(tokens) {
		return 0, 0
	}
	return tokens, ms
}

package place

import (
	"math"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const (
	// fetchSetupMS is the time that an upstream needs to start a fetch.
	fetchSetupMS = 5.0 // ms
	// maxFetchRatio is the maximum ratio of fetch time to prefill time. It is above 1
	// because a prefill delays all other requests at the engine and a fetch none.
	maxFetchRatio = 2.0
	// fetchWeight is the weight of fetched tokens, relative to prefilled ones, in the
	// surcharge for shared segments: moving cached data has a cost too.
	fetchWeight = 0.2
	// maxSourceFailureRate is the highest failure rate at which an upstream is used
	// as the source of a fetch.
	maxSourceFailureRate = 0.2
)

// fetchSource is the upstream that has the most shared tokens of a prompt cached.
type fetchSource struct {
	upstream *roster.Upstream // nil if there is no healthy one
	uncached int              // shared tokens that it has not cached
}

// bestSource returns the fetch source of a prompt among list. The caller holds mu.
func (p *Placer) bestSource(list []*roster.Upstream, q Query, info promptInfo, now time.Duration) fetchSource {
	best := fetchSource{uncached: math.MaxInt}
	if q.FetchRate <= 0 || len(q.Prompt) < 2 || ablation.Disabled(ablation.CacheFetch) {
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

// estimate returns how many of the uncached shared tokens u should fetch from the source,
// and the fetch time in ms. msPerToken is the prefill time per token at u.
func (f fetchSource) estimate(u *roster.Upstream, uncached int, q Query, msPerToken float64) (tokens int, ms float64) {
	if f.upstream == nil || f.upstream == u || f.uncached >= uncached {
		return 0, 0
	}
	tokens = uncached - f.uncached
	ms = fetchSetupMS + float64(tokens)/q.FetchRate
	if ms >= maxFetchRatio*msPerToken*float64(tokens) {
		return 0, 0
	}
	return tokens, ms
}

package place

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const (
	// fetchSetup is what it takes an upstream to begin a fetch from another one.
	fetchSetup = 5.0 // ms
	// soundRate of failures or less, an upstream is asked for what it keeps.
	soundRate = 0.2
)

// fetch lets the chosen upstream fetch the shared parts of a prompt that it has not read
// from one that has, where that takes less time than to read them. The caller holds mu.
func (p *Placer) fetch(c *Choice, list []*roster.Upstream, q Query, k known, line *pace, now time.Duration) {
	if q.FetchRate <= 0 || c.Shared == 0 {
		return
	}
	source, least := (*roster.Upstream)(nil), c.Shared
	for _, u := range list {
		s := p.states[u.Key()]
		if s == nil || u == c.Upstream || s.silent(now) || s.failRate(now) > soundRate {
			continue
		}
		if left := shared(q, s.missing(q, k, now)); left < least {
			source, least = u, left
		}
	}
	saved := c.Shared - least
	read := float64(saved) * line.perToken() * p.states[c.Upstream.Key()].speed
	fetched := fetchSetup + float64(saved)/q.FetchRate
	if source == nil || fetched >= read {
		return
	}
	c.Source, c.Fetched = source, saved
	c.Missing -= saved
	c.Shared -= saved
	c.Expected -= milliseconds(read - fetched)
}

package place

import (
	"math"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// maxPauses bounds the pauses that are kept. Upstreams that never return may have asked for
// pauses of any length.
const maxPauses = 4096

// pause is a time during which an incarnation of an upstream gets no requests from this daemon.
type pause struct {
	since, until time.Duration
}

// pauses holds the pauses of incarnations of upstreams. They are kept apart from the state of
// those in the roster, since they bind this daemon also after an upstream's entry has lapsed
// and returned.
type pauses map[roster.Key]pause

// until returns the end of a pause in progress, 0 if there is none.
func (p pauses) until(k roster.Key, now time.Duration) time.Duration {
	if end := p[k].until; end > now {
		return end
	}
	return 0
}

// add begins a pause of length d, or extends the one in progress. present reports whether an
// upstream is in the roster.
func (p pauses) add(k roster.Key, d, now time.Duration, present func(roster.Key) bool) {
	old, known := p[k]
	if !known && len(p) >= maxPauses {
		p.prune(now)
	}
	if !known && len(p) >= maxPauses {
		p.evict(present)
	}
	end := now + d
	if end < now {
		end = math.MaxInt64
	}
	if old.until <= now {
		old = pause{since: now}
	}
	old.until = max(old.until, end)
	p[k] = old
}

// prune drops pauses that have ended.
func (p pauses) prune(now time.Duration) {
	for k, v := range p {
		if v.until <= now {
			delete(p, k)
		}
	}
}

// evict makes room: it drops the longest pause of an upstream that is not in the roster.
func (p pauses) evict(present func(roster.Key) bool) {
	victim, latest := roster.Key{}, time.Duration(-1)
	for k, v := range p {
		if !present(k) && v.until > latest {
			victim, latest = k, v.until
		}
	}
	delete(p, victim)
}

// UntilResume returns the time until the first upstream of a service accepts requests again
// if all that are not leaving pause, and 0 otherwise.
func (p *Placer) UntilResume(service string, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.untilResume(service, now)
}

// untilResume is UntilResume; the caller holds mu.
func (p *Placer) untilResume(service string, now time.Duration) time.Duration {
	earliest := time.Duration(0)
	for _, u := range p.roster.Usable(service) {
		if s := p.states[u.Key()]; s == nil || s.leaving {
			continue
		}
		until := p.pauses.until(u.Key(), now)
		if until == 0 {
			return 0
		}
		if earliest == 0 || until-now < earliest {
			earliest = until - now
		}
	}
	return earliest
}

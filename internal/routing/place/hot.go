package place

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const (
	// copyShare is the work at one copy of a segment, relative to the mean work of an upstream,
	// that calls for another copy. Other segments need the rest of the upstream.
	copyShare = 0.5
	// minCopyVisits is the number of requests per copy within cacheTTL below which there are
	// fewer copies: each copy has to be prefilled. With 8, 2% of the shared tokens of a load
	// without hot segments were prefilled again, with 32 less than 1%.
	minCopyVisits = 32.0
	// copiesHysteresis is how far, relative to the number of copies, the need must fall before
	// there are fewer. The count of one daemon fluctuates by chance.
	copiesHysteresis = 0.4
	// allCopiesFraction is the need, relative to the number of upstreams, from which all of them
	// get a copy.
	allCopiesFraction = 0.9
)

// copies returns how many upstreams of a cohort are to have a segment cached: a power of two, or all
// upstreams. The number follows the work of this daemon's requests with the segment as a
// fraction of all its work, which is about the same at other daemons. The caller holds mu.
func (p *Placer) copies(k ringKey, segment uint64, upstreams int, now time.Duration) int {
	count, total := p.popularity[segment], p.totals[k.service]
	if count == nil || total == nil || int(k.cohort) >= cohorts {
		return 1
	}
	need, requests := 0.0, count.value(now)
	if requests >= minPopularRequests {
		visits := requests * float64(p.daemons) * cacheTTL.Seconds() / popularityDecay.Seconds()
		need = float64(upstreams) / copyShare * count.workAt(now) / max(total.workAt(now), 1)
		need = min(need, visits/minCopyVisits)
	}
	copies := max(count.copies[k.cohort], 1)
	for 2*copies <= upstreams && need >= float64(2*copies) {
		copies *= 2
	}
	for copies > 1 && need < copiesHysteresis*float64(copies) {
		copies /= 2
	}
	count.copies[k.cohort] = copies
	if 2*copies > upstreams && need >= allCopiesFraction*float64(upstreams) {
		return upstreams
	}
	return copies
}

// drawHomes returns homes of a segment to compare for a request and how many of them, from the
// first on, are assumed to have it cached. Of more than homeCount copies they are drawn at
// random, so that daemons with the same news don't all choose the same one.
func (r *hashRing) drawHomes(segment uint64, copies int) (list []*roster.Upstream, cached int) {
	list = r.homes(segment, make([]*roster.Upstream, 0, homeCount))
	if copies <= homeCount {
		return list, min(copies, len(list))
	}
	candidates := make([]*roster.Upstream, 0, homeCount)
	for range homeCount {
		if u := r.home(segment, rand.IntN(copies), list); !slices.Contains(candidates, u) {
			candidates = append(candidates, u)
		}
	}
	for _, u := range list {
		if len(candidates) < homeCount && !slices.Contains(candidates, u) {
			candidates = append(candidates, u)
		}
	}
	return candidates, len(candidates)
}

// home returns the home of a segment with a number. first are the homes with the lowest
// numbers; further ones are found by hashing, so that finding one does not take longer with
// more upstreams. Two numbers may have the same home.
func (r *hashRing) home(segment uint64, number int, first []*roster.Upstream) *roster.Upstream {
	if number < len(first) {
		return first[number]
	}
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], segment)
	binary.LittleEndian.PutUint64(key[8:], uint64(number))
	return r.points[r.search(xxhash.Sum64(key[:]))%len(r.points)].upstream
}

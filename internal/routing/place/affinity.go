package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const (
	// virtualNodes is how many points each upstream has on the ring: with 16 the
	// busiest of 150 has about twice the mean of the parts.
	virtualNodes = 16
	// homeCount is how many upstreams a part may be at home at: one, and those to which
	// it goes while that one is busy.
	homeCount = 3
	// homeCachedViaHubs is how likely a part is taken to be kept at its first home: it was
	// read there if any daemon was asked for it of late.
	homeCachedViaHubs = 0.8
	// homeCachedDirect is the same where daemons tell each other what was read: it only
	// makes them choose alike what nobody has read.
	homeCachedDirect = 0.2
	// homeWarmup is how long an upstream that has joined is not taken to keep parts yet:
	// most of those that are asked for again are so within this time.
	homeWarmup = 8 * time.Second
	// popularityDecay is the time over which requests for a part are counted.
	popularityDecay = 20 * time.Second
	// minPopularRequests requests for a part here within that time, or more, tell of its rate
	// over all daemons; fewer may be chance.
	minPopularRequests = 3.0
	// minPopularVisits of a part at each upstream within keptFor, or more, make it kept
	// everywhere.
	minPopularVisits = 2.0
	// sweepInterval is the time between looks for what was not used for long.
	sweepInterval = 5 * time.Second
)

// hashRing says at which upstreams of a service a part of a prompt is at home. Every
// daemon that knows the same upstreams computes the same; one more or less moves
// its own parts only.
type hashRing struct{ points []virtualNode }

type virtualNode struct {
	hash     uint64
	upstream *roster.Upstream
}

func newHashRing(list []*roster.Upstream) *hashRing {
	r := &hashRing{points: make([]virtualNode, 0, virtualNodes*len(list))}
	var buf []byte
	for _, u := range list {
		for i := range virtualNodes {
			buf = append(append(buf[:0], u.ID...), 0, byte(i))
			r.points = append(r.points, virtualNode{xxhash.Sum64(buf), u})
		}
	}
	slices.SortFunc(r.points, func(a, b virtualNode) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	return r
}

// homes appends the upstreams of a part, the first one first.
func (r *hashRing) homes(segment uint64, list []*roster.Upstream) []*roster.Upstream {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], segment)
	hash := xxhash.Sum64(key[:])
	start, _ := slices.BinarySearchFunc(r.points, hash, func(p virtualNode, h uint64) int { return cmp.Compare(p.hash, h) })
	for i := range r.points {
		u := r.points[(start+i)%len(r.points)].upstream
		if slices.Contains(list, u) {
			continue
		}
		if list = append(list, u); len(list) == homeCount {
			break
		}
	}
	return list
}

// ring returns the ring of a service by the roster in force. The caller holds mu.
func (p *Placer) ring(service string) *hashRing {
	r := p.rings[service]
	if r == nil {
		r = newHashRing(p.roster.Usable(service))
		p.rings[service] = r
	}
	return r
}

// decayingCount counts requests for one part; older ones count less.
type decayingCount struct {
	n  float64
	at time.Duration
}

func (s *decayingCount) value(now time.Duration) float64 {
	return s.n * math.Exp(-(now-s.at).Seconds()/popularityDecay.Seconds())
}

// countRequest counts a request for the shared parts of a prompt. The caller holds mu.
func (p *Placer) countRequest(prompt []Segment, now time.Duration) {
	for i := 0; i < len(prompt)-1; i++ {
		s := p.popularity[prompt[i].ID]
		if s == nil {
			s = &decayingCount{}
			p.popularity[prompt[i].ID] = s
		}
		s.n, s.at = s.value(now)+1, now
	}
}

// popular tells whether a part is asked for so often that all of so many upstreams
// keep it. The caller holds mu.
func (p *Placer) popular(segment uint64, upstreams int, now time.Duration) bool {
	s := p.popularity[segment]
	if s == nil {
		return false
	}
	requests := s.value(now)
	visits := requests * float64(p.daemons) * cacheTTL.Seconds() / popularityDecay.Seconds() / float64(max(upstreams, 1))
	return requests >= minPopularRequests && visits >= minPopularVisits
}

// sweep forgets what was not used for long. The caller holds mu.
func (p *Placer) sweep(now time.Duration) {
	if now-p.lastSweep < sweepInterval {
		return
	}
	p.lastSweep = now
	for id, s := range p.popularity {
		if s.value(now) < 0.1 {
			delete(p.popularity, id)
		}
	}
	for _, s := range p.states {
		s.cache.expire(now)
	}
}

// SetDaemons tells how many daemons place requests, with this one, and whether
// they are so many that they tell each other only what they cannot compute.
func (p *Placer) SetDaemons(n int, viaHubs bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons, p.viaHubs = max(n, 1), viaHubs
}

// maxCandidates bounds the upstreams that are compared for one request, so that a
// choice takes as long among thousands.
const maxCandidates = 32

// maxCandidatesViaHubs is how many upstreams are drawn for a request, beside the homes of its
// part, where many daemons choose by the same news: what seems free to all of them
// gets so many times the mean until they hear of it.
const maxCandidatesViaHubs = 3

// candidates returns the upstreams to compare for a request: all where both daemons
// and upstreams are few, else the homes of its last shared part and some drawn ones,
// half of them of this daemon's zone. It also returns how many there are. The caller
// holds mu.
func (p *Placer) candidates(q Query, now time.Duration) ([]*roster.Upstream, int) {
	all := p.roster.Usable(q.Service)
	limit := maxCandidates
	if p.viaHubs {
		limit = maxCandidatesViaHubs
		if len(q.Prompt) > 1 {
			limit += homeCount
		}
	}
	if len(all) <= limit {
		return all, len(all)
	}
	list := make([]*roster.Upstream, 0, limit)
	if shared := len(q.Prompt) - 1; shared > 0 {
		list = p.ring(q.Service).homes(q.Prompt[shared-1].ID, list)
	}
	sameZone := p.roster.UsableIn(q.Service, p.zone)
	for tries := 0; len(list) < limit && tries < 2*limit; tries++ {
		pool := all
		if len(list)%2 == 0 && len(sameZone) > 0 {
			pool = sameZone
		}
		if u := pool[rand.IntN(len(pool))]; !slices.Contains(list, u) && !q.Exclude[u.ID] {
			list = append(list, u)
		}
	}
	if !slices.ContainsFunc(list, func(u *roster.Upstream) bool { return p.accepts(u, q, now) }) {
		return all, len(all)
	}
	return list, len(all)
}

// accepts tells whether an upstream may be chosen for a request. The caller holds mu.
func (p *Placer) accepts(u *roster.Upstream, q Query, now time.Duration) bool {
	s := p.states[u.Key()]
	return s != nil && !q.Exclude[u.ID] && !s.leaving && now >= s.pausedUntil
}

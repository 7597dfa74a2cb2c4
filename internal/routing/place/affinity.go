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
	// virtualNodes is the number of points per upstream on the hash ring. With 16, the
	// busiest of 150 upstreams is home to about twice the mean number of segments.
	virtualNodes = 16
	// homeCount is the number of homes of a segment. Requests go to the second and
	// third one while the first is busy.
	homeCount = 3
	// homeHitProbViaHubs is the assumed probability that a segment is cached at its
	// first home, where it was prefilled if any daemon recently had a request for it.
	homeHitProbViaHubs = 0.8
	// homeHitProbDirect is the same where daemons exchange all cached segments directly.
	// It only makes them agree on the upstream for segments that none has cached.
	homeHitProbDirect = 0.2
	// homeWarmup is the time after which an upstream that joined late is assumed to
	// have cached its segments: most segments that recur do so within it.
	homeWarmup = 8 * time.Second
	// popularityDecay is the time constant of the request count of a segment.
	popularityDecay = 20 * time.Second
	// minPopularRequests is the count of requests for a segment at this daemon from
	// which the rate over all daemons is estimated; fewer may be chance.
	minPopularRequests = 3.0
	// minPopularVisits is the number of requests for a segment per upstream within
	// cacheTTL from which the segment is assumed to be cached everywhere.
	minPopularVisits = 2.0
	// sweepInterval is the time between removals of expired entries.
	sweepInterval = 5 * time.Second
	// cohorts is the number of cohorts that get requests.
	cohorts = int(roster.Excluded)
)

// hashRing maps prompt segments to their home upstreams by consistent hashing. Daemons
// that know the same upstreams compute the same homes, and adding or removing an
// upstream moves only its own segments.
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

// homes appends the home upstreams of a segment to list, the first one first.
func (r *hashRing) homes(segment uint64, list []*roster.Upstream) []*roster.Upstream {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], segment)
	hash := xxhash.Sum64(key[:])
	start := r.search(hash)
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

// search returns the index of the first point from a hash on, the number of points if there is none.
func (r *hashRing) search(hash uint64) int {
	i, _ := slices.BinarySearchFunc(r.points, hash, func(p virtualNode, h uint64) int { return cmp.Compare(p.hash, h) })
	return i
}

// ringKey identifies the upstreams of a service and cohort, and their hash ring.
type ringKey struct {
	service string
	cohort  roster.Cohort
}

// ring returns the hash ring of a service and cohort for the current roster. The caller holds
// mu.
func (p *Placer) ring(service string, c roster.Cohort) *hashRing {
	key := ringKey{service, c}
	r := p.rings[key]
	if r == nil {
		r = newHashRing(p.roster.UsableOf(service, c))
		p.rings[key] = r
	}
	return r
}

// decayingCount is a request count that decays over popularityDecay.
type decayingCount struct {
	n      float64
	work   float64       // prefill tokens of these requests, decaying
	copies [cohorts]int  // of the segment by cohort, see Placer.copies
	at     time.Duration // time of the last request
}

func (c *decayingCount) value(now time.Duration) float64 { return c.n * c.decay(now) }

func (c *decayingCount) workAt(now time.Duration) float64 { return c.work * c.decay(now) }

func (c *decayingCount) decay(now time.Duration) float64 {
	return math.Exp(-(now - c.at).Seconds() / popularityDecay.Seconds())
}

// add adds requests, or takes them back, of which a part has decayed since they were added.
func (c *decayingCount) add(n, work float64, now time.Duration) {
	c.n, c.work, c.at = max(c.value(now)+n, 0), max(c.workAt(now)+work, 0), now
}

// countRequest counts n requests, -1 to take one back, for each shared segment of a prompt, and their
// work for the last one, which decides on the homes. The caller holds mu.
func (p *Placer) countRequest(service string, shared []Segment, n float64, prefill int, now time.Duration) {
	total := p.totals[service]
	if total == nil {
		total = &decayingCount{}
		p.totals[service] = total
	}
	total.add(n, float64(prefill), now)
	for i, segment := range shared {
		count := p.popularity[segment.ID]
		if count == nil {
			count = &decayingCount{}
			p.popularity[segment.ID] = count
		}
		work := 0.0
		if i == len(shared)-1 {
			work = float64(prefill)
		}
		count.add(n, work, now)
	}
}

// popular reports whether requests for a segment are frequent enough that each of the
// given number of upstreams has it cached. The caller holds mu.
func (p *Placer) popular(segment uint64, upstreams int, now time.Duration) bool {
	count := p.popularity[segment]
	if count == nil {
		return false
	}
	requests := count.value(now)
	visits := requests * float64(p.daemons) * cacheTTL.Seconds() / popularityDecay.Seconds() / float64(max(upstreams, 1))
	return requests >= minPopularRequests && visits >= minPopularVisits
}

// sweep drops expired counts and cache entries. The caller holds mu.
func (p *Placer) sweep(now time.Duration) {
	if now-p.lastSweep < sweepInterval {
		return
	}
	p.lastSweep = now
	for id, count := range p.popularity {
		if count.value(now) < 0.1 {
			delete(p.popularity, id)
		}
	}
	for _, s := range p.states {
		s.cache.expire(now)
	}
	p.pauses.prune(now)
}

// SetDaemons sets the number of daemons that place requests, including this one, and
// whether they exchange state through hubs.
func (p *Placer) SetDaemons(n int, viaHubs bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemons, p.viaHubs = max(n, 1), viaHubs
}

// maxCandidates bounds the upstreams compared for one request, so that Pick takes no
// longer with thousands of upstreams.
const maxCandidates = 32

// maxCandidatesViaHubs is the number of upstreams drawn at random for a request, in
// addition to the homes of its segment, where daemons exchange state through hubs. All
// daemons then see the same delayed loads, and an upstream that appears idle gets up to
// this many times the mean request rate until its new load has reached them.
const maxCandidatesViaHubs = 3

// candidates returns the upstreams to compare for a request.
// These are all usable upstreams if there are few, else the homes of the last shared
// segment and upstreams drawn at random, half of them from this daemon's zone. If no
// candidate accepts the request, all usable upstreams are returned. The caller holds mu.
func (p *Placer) candidates(q Query, info promptInfo, now time.Duration) []*roster.Upstream {
	all := p.roster.UsableOf(q.Service, q.Cohort)
	limit := maxCandidates
	if p.viaHubs {
		limit = maxCandidatesViaHubs
		if len(q.Prompt) > 1 {
			limit += homeCount
		}
	}
	if len(all) <= limit {
		return all
	}
	list := append(make([]*roster.Upstream, 0, limit), info.homeCandidates...)
	sameZone := p.roster.UsableIn(q.Service, p.zone, q.Cohort)
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
		return all
	}
	return list
}

// accepts reports whether an upstream may be picked for a request. The caller holds mu.
func (p *Placer) accepts(u *roster.Upstream, q Query, now time.Duration) bool {
	s := p.states[u.Key()]
	return s != nil && !q.Exclude[u.ID] && !s.leaving && p.pauses.until(u.Key(), now) == 0
}

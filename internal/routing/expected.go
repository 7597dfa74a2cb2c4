package routing

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	blockTokens   = 16
	firstDepth    = 4 // blocks of the shortest prefix whose rendezvous are candidates; each next is four times as deep
	maxCandidates = 24
	samples       = 2 // candidates taken at random
	failureCostMS = 500.0
	maxFailures   = 0.95
	coldShare     = 1.0  // part of the expected time added for each attempt in flight at an upstream without evidence
	urgentQueue   = 0.25 // part of the queue that is ahead of an urgent request
	overrunCost   = 4.0  // for a millisecond past the deadline or target
	lotPriceShare = 0.5  // of the computing time, for a price twice the cheapest
	priceShare    = 0.1
	othersDelay   = 1.0 // weight of the delay that computing a prompt brings to each other request
	maxDearness   = 4.0
	strayWeight   = 1.0 // of computing a prefix where no other daemon looks for it
	slotWait      = 0.3 // of the time between two requests that end, for each request beyond the slots
)

// Terms selects terms of the score of the policy expected. Benches switch
// single terms off; the daemon uses AllTerms.
type Terms uint16

// Terms of the score.
const (
	TermCache   Terms = 1 << iota // prompt tokens believed cached
	TermQueue                     // reported queue, corrected for its lag
	TermPeers                     // assumption that peers send as much as this daemon
	TermSpeed                     // learnt speed
	TermFailure                   // recent failures
	TermCold                      // upstreams without evidence
	TermKV                        // pressure on KV memory
	TermPrice                     // price and reclaim risk
	TermLate                      // cost of missing deadline or target
	TermSample                    // candidates taken at random
	TermOthers                    // delay of the other requests at the upstream
	TermEvents                    // cache events
	TermHome                      // computing a prefix where other daemons look for it
	AllTerms    = 1<<iota - 1
)

// expected is the policy that takes the candidate with the least expected time
// to the first token, corrected by price and risk.
type expected struct {
	*snapshot
	prefixes *prefixMap
	terms    Terms
}

// candidate is an upstream under consideration.
type candidate struct {
	index  int32
	blocks int  // leading blocks believed cached
	home   bool // a winner of the rendezvous, where all daemons look for the prefix
}

// candidates is a small set on the stack of one pick.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

func (c *candidates) add(index int32, blocks int, home bool) {
	for i := range c.list[:c.n] {
		if x := &c.list[i]; x.index == index {
			x.blocks = max(x.blocks, blocks)
			x.home = x.home || home
			return
		}
	}
	if c.n < maxCandidates {
		c.list[c.n] = candidate{index: index, blocks: blocks, home: home}
		c.n++
	}
}

func (p *expected) pick(now int64, r *Request) choice {
	if len(p.nodes) == 0 {
		return choice{}
	}
	var set candidates
	common := 0
	if len(r.Blocks) > 0 {
		common = p.addHolders(&set, r.Blocks)
		p.addWinners(&set, r.Blocks, common)
	}
	p.addSamples(&set, r)
	best := p.best(&set, now, r, common)
	if best.node == nil {
		return p.fallback(now, r, common)
	}
	return best
}

// addHolders searches for the deepest block that any upstream holds and adds
// the holders met on the way. It returns the depth down to which so many
// upstreams hold the prefix that all are taken to.
func (p *expected) addHolders(set *candidates, blocks []uint64) int {
	common := 0
	low, high := 0, len(blocks)
	for low < high {
		depth := (low + high + 1) / 2
		holders := p.addHoldersOf(set, blocks[depth-1], depth)
		if holders == 0 {
			high = depth - 1
			continue
		}
		low = depth
		if holders >= min(holdersPerBucket, len(p.nodes)) {
			common = depth
		}
	}
	return common
}

func (p *expected) addHoldersOf(set *candidates, block uint64, depth int) int {
	holders := 0
	b := p.prefixes.bucket(block)
	for i := range b {
		e := entry(b[i].Load())
		if e == 0 || !e.covers(block) {
			continue
		}
		index, ok := p.node(e.id())
		if !ok || uint16(p.nodes[index].generation.Load()) != e.generation() {
			continue
		}
		holders++
		set.add(index, depth, false)
	}
	return holders
}

// addWinners adds the rendezvous of the prefix at a few depths. The shallowest
// beyond what all upstreams hold is where other daemons look for the prefix.
func (p *expected) addWinners(set *candidates, blocks []uint64, common int) {
	home := true
	for depth := firstDepth; ; depth *= 4 {
		depth = min(depth, len(blocks))
		if depth <= common && depth < len(blocks) {
			continue
		}
		for _, i := range p.winners(blocks[depth-1]) {
			set.add(i, 0, home)
		}
		home = false
		if depth == len(blocks) {
			return
		}
	}
}

func (p *expected) addSamples(set *candidates, r *Request) {
	count := samples
	if len(r.Blocks) == 0 {
		count = 2 * samples
	}
	if p.terms&TermSample == 0 && set.n > 0 {
		return
	}
	x := r.Random
	for range count {
		x = mix(x + 0x9e3779b97f4a7c15)
		set.add(int32(x%uint64(len(p.nodes))), 0, false)
	}
}

// best returns the candidate of the least score, or one that is due for a probe.
func (p *expected) best(set *candidates, now int64, r *Request, common int) choice {
	var best choice
	var least float64
	for i := range set.list[:set.n] {
		c := &set.list[i]
		n := &p.nodes[c.index]
		if n.excluded(r) {
			continue
		}
		ch, score := p.score(n, now, r, max(c.blocks, common))
		if p.terms&TermHome != 0 && !c.home {
			score += strayWeight * float64(r.PromptTokens-ch.cached) / n.speed
		}
		if r.Class != manifest.Urgent && n.takeProbe(now, p.shared.usual.load(), p.peers) {
			return ch
		}
		if best.node == nil || score < least {
			best, least = ch, score
		}
	}
	return best
}

// fallback looks at every upstream; it serves calls that tried all candidates.
func (p *expected) fallback(now int64, r *Request, common int) choice {
	var best choice
	var least float64
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.excluded(r) {
			continue
		}
		if ch, score := p.score(n, now, r, common); best.node == nil || score < least {
			best, least = ch, score
		}
	}
	return best
}

// score returns the cost of sending r to n in milliseconds, less being better.
func (p *expected) score(n *node, now int64, r *Request, blocks int) (choice, float64) {
	ch := choice{node: n}
	if p.terms&TermCache != 0 {
		ch.cached = min(int(float64(blocks*blockTokens)*n.trust.load()), r.PromptTokens)
	}
	compute := float64(r.PromptTokens-ch.cached) / n.speed
	queue := p.queueMS(n, now, r.Class)
	ch.expectedMS = compute + queue
	total := ch.expectedMS
	slowness := 1.0
	if p.terms&TermSpeed != 0 {
		slowness = n.slownessAt(now, p.shared.usual.load())
		total = (total + slownessFloorMS) * slowness
	}
	if p.terms&TermOthers != 0 {
		total += compute * slowness * othersDelay * p.usualRequests(n)
	}
	if p.terms&TermCold != 0 {
		total *= 1 + coldShare*float64(n.inFlight.Load())/float64(1+n.proven.Load())
	}
	if p.terms&TermFailure != 0 {
		f := min(n.failuresAt(now), maxFailures)
		total += failureCostMS * f / (1 - f)
	}
	if p.terms&TermKV != 0 {
		total += kvMS(n, r)
	}
	if p.terms&TermLate != 0 {
		total += p.lateMS(total, now, r)
	}
	if p.terms&TermPrice != 0 {
		total += priceMS(n, r, compute)
	}
	return ch, total
}

// queueMS estimates the wait before the prompt's first token is computed.
func (p *expected) queueMS(n *node, now int64, class manifest.Class) float64 {
	tokens, requests := float64(n.pending.Load()), float64(n.inFlight.Load())
	if p.terms&TermQueue != 0 {
		tokens, requests = p.estimate(n, now, p.terms&TermPeers != 0)
	}
	if class == manifest.Urgent {
		tokens *= urgentQueue
	}
	wait := tokens / n.speed
	if over := requests + 1 - n.slots; over > 0 {
		wait += slotWait * over * n.serviceMS.load() / n.slots
	}
	return wait
}

// kvMS is the cost of evicting or preempting for a request that does not fit.
func kvMS(n *node, r *Request) float64 {
	l := n.load.Load()
	if l == nil || l.KVCapacity == 0 {
		return 0
	}
	missing := r.PromptTokens + r.MaxTokens + l.KVUsed - l.KVCapacity
	return max(float64(missing), 0) / n.speed
}

// lateMS is the cost of the time beyond the deadline and the target.
func (p *expected) lateMS(total float64, now int64, r *Request) float64 {
	late := 0.0
	if p.targetMS > 0 && r.Class != manifest.Lot {
		late = max(total-p.targetMS, 0)
	}
	if !r.Deadline.IsZero() {
		left := float64(p.shared.clock.of(r.Deadline)-now) / float64(time.Millisecond)
		late = max(late, total-left, 0)
	}
	return late * overrunCost
}

// priceMS is the price of the VM and of a reclaim while the request runs.
func priceMS(n *node, r *Request, compute float64) float64 {
	share := priceShare
	if r.Class == manifest.Lot {
		share = lotPriceShare
	}
	price := min(n.dearness, maxDearness) * share * compute
	lost := float64(r.PromptTokens+r.MaxTokens) / n.speed
	return price + n.risk*n.serviceMS.load()*lost
}

// NamedTerm is a term and its name.
type NamedTerm struct {
	Name string
	Term Terms
}

// TermNames returns every term with its name.
func TermNames() []NamedTerm {
	return []NamedTerm{
		{"cache", TermCache}, {"queue", TermQueue}, {"peers", TermPeers}, {"speed", TermSpeed},
		{"failure", TermFailure}, {"cold", TermCold}, {"kv", TermKV},
		{"price", TermPrice}, {"late", TermLate}, {"sample", TermSample},
		{"others", TermOthers}, {"events", TermEvents}, {"home", TermHome},
	}
}

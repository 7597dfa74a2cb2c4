package routing

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const (
	blockTokens         = 16 // prompt tokens per block
	minHomeDepth        = 4  // blocks of the shortest prefix whose rendezvous winners are candidates; each longer one has four times as many
	maxCandidates       = 24
	randomCandidates    = 2     // upstreams added at random; twice as many for a request without blocks
	failureCostMS       = 500.0 // cost of one failed attempt
	maxFailureRate      = 0.95  // limits the cost of failures, which grows without bound toward a rate of 1
	unobservedPenalty   = 1.0   // fraction of the expected time added per attempt in flight, divided by 1 + first tokens observed
	urgentQueueFraction = 0.25  // fraction of the queue that is ahead of an urgent request
	latenessWeight      = 4.0   // cost of each millisecond past the deadline or target
	lotPriceWeight      = 0.5   // cost of twice the cheapest price, as a fraction of the prefill time, for the class of lots (asynchronous requests)
	priceWeight         = 0.1   // the same for other classes
	othersDelayWeight   = 1.0   // weight of the delay that the prefill causes to each other request at the upstream
	maxPricePremium     = 4.0   // limits node.pricePremium
	offHomeWeight       = 1.0   // fraction of the prefill time added at upstreams other than the prefix's home, where no other daemon would look for it
	slotWaitFraction    = 0.3   // wait for each request beyond the slots, as a fraction of the mean time between two completions
)

// Terms is a set of terms of the score of the policy leastExpectedTime. Benchmarks switch
// single terms off; the daemon uses AllTerms.
type Terms uint16

// Terms of the score.
const (
	TermCache       Terms = 1 << iota // prompt tokens expected in the cache
	TermQueue                         // reported queue, corrected for the report's age
	TermPeers                         // requests that peers are assumed to have sent since the report
	TermSlowdown                      // observed slowdown
	TermFailure                       // recent failures
	TermUnobserved                    // penalty for upstreams with few first tokens observed
	TermKV                            // pressure on KV memory
	TermPrice                         // price and reclaim risk
	TermLateness                      // cost of missing the deadline or the target
	TermRandom                        // random candidates
	TermOthersDelay                   // delay caused to other requests at the upstream
	TermEvents                        // cache events
	TermHome                          // cost of prefill away from the prefix's home
	AllTerms        = 1<<iota - 1
)

// leastExpectedTime is the policy that picks the candidate with the shortest expected
// time to first token, corrected for price, reclaim risk and failures.
type leastExpectedTime struct {
	*snapshot
	prefixes *prefixMap
	terms    Terms
}

// candidate is an upstream under consideration.
type candidate struct {
	index  int32
	blocks int  // leading blocks expected in the cache
	home   bool // rendezvous winner of the prefix, where all daemons look for it
}

// candidates is a fixed-size set that a pick allocates on its stack.
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

func (p *leastExpectedTime) pick(now int64, r *Request) choice {
	if len(p.nodes) == 0 {
		return choice{}
	}
	var set candidates
	common := 0
	if len(r.Blocks) > 0 {
		common = p.addHolders(&set, r.Blocks)
		p.addWinners(&set, r.Blocks, common)
	}
	p.addRandom(&set, r)
	best := p.best(&set, now, r, common)
	if best.node == nil {
		return p.fallback(now, r, common)
	}
	return best
}

// addHolders does a binary search for the longest prefix that any upstream has
// cached and adds the upstreams that it finds on the way. It returns the longest
// prefix, in blocks, that every upstream is assumed to have cached: one that
// fills its bucket of the prefix map, or is cached by all upstreams.
func (p *leastExpectedTime) addHolders(set *candidates, blocks []uint64) int {
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
		if holders >= min(entriesPerBucket, len(p.nodes)) {
			common = depth
		}
	}
	return common
}

func (p *leastExpectedTime) addHoldersOf(set *candidates, block uint64, depth int) int {
	holders := 0
	b := p.prefixes.bucket(block)
	for i := range b {
		e := entry(b[i].Load())
		if e == 0 || !e.matches(block) {
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

// addWinners adds the rendezvous winners of the prefix at several depths. Those
// of the shortest prefix beyond the common one are its home, where other daemons
// look for it.
func (p *leastExpectedTime) addWinners(set *candidates, blocks []uint64, common int) {
	home := true
	for depth := minHomeDepth; ; depth *= 4 {
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

func (p *leastExpectedTime) addRandom(set *candidates, r *Request) {
	count := randomCandidates
	if len(r.Blocks) == 0 {
		count = 2 * randomCandidates
	}
	if p.terms&TermRandom == 0 && set.n > 0 {
		return
	}
	x := r.Random
	for range count {
		x = mix(x + 0x9e3779b97f4a7c15)
		set.add(int32(x%uint64(len(p.nodes))), 0, false)
	}
}

// best returns the candidate with the lowest score, or one that is due for a
// probe. Urgent requests don't probe.
func (p *leastExpectedTime) best(set *candidates, now int64, r *Request, common int) choice {
	var best choice
	var leastCost float64
	for i := range set.list[:set.n] {
		c := &set.list[i]
		n := &p.nodes[c.index]
		if n.excluded(r) {
			continue
		}
		ch, score := p.score(n, now, r, max(c.blocks, common))
		if p.terms&TermHome != 0 && !c.home {
			score += offHomeWeight * float64(r.PromptTokens-ch.cached) / n.prefillRate
		}
		if r.Class != manifest.Urgent && n.claimProbe(now, p.shared.meanSlowdown.load(), p.daemons) {
			return ch
		}
		if best.node == nil || score < leastCost {
			best, leastCost = ch, score
		}
	}
	return best
}

// fallback scores every upstream. It is used when all candidates are excluded.
func (p *leastExpectedTime) fallback(now int64, r *Request, common int) choice {
	var best choice
	var leastCost float64
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.excluded(r) {
			continue
		}
		if ch, score := p.score(n, now, r, common); best.node == nil || score < leastCost {
			best, leastCost = ch, score
		}
	}
	return best
}

// score returns the cost in ms of sending r to n; lower is better. blocks is the
// number of leading blocks expected in n's cache.
func (p *leastExpectedTime) score(n *node, now int64, r *Request, blocks int) (choice, float64) {
	ch := choice{node: n}
	if p.terms&TermCache != 0 {
		ch.cached = min(int(float64(blocks*blockTokens)*n.cacheAccuracy.load()), r.PromptTokens)
	}
	prefillMS := float64(r.PromptTokens-ch.cached) / n.prefillRate
	queueMS := p.queueMS(n, now, r.Class)
	ch.expectedMS = prefillMS + queueMS
	cost := ch.expectedMS
	slowdown := 1.0
	if p.terms&TermSlowdown != 0 {
		slowdown = n.currentSlowdown(now, p.shared.meanSlowdown.load())
		cost = (cost + slowdownOffsetMS) * slowdown
	}
	if p.terms&TermOthersDelay != 0 {
		cost += prefillMS * slowdown * othersDelayWeight * p.meanRequests(n)
	}
	if p.terms&TermUnobserved != 0 {
		cost *= 1 + unobservedPenalty*float64(n.inFlight.Load())/float64(1+n.firstTokens.Load())
	}
	if p.terms&TermFailure != 0 {
		failureRate := min(n.currentFailureRate(now), maxFailureRate)
		cost += failureCostMS * failureRate / (1 - failureRate)
	}
	if p.terms&TermKV != 0 {
		cost += kvPressureMS(n, r)
	}
	if p.terms&TermLateness != 0 {
		cost += p.latenessMS(cost, now, r)
	}
	if p.terms&TermPrice != 0 {
		cost += priceMS(n, r, prefillMS)
	}
	return ch, cost
}

// queueMS estimates how long the request waits before its prefill begins.
func (p *leastExpectedTime) queueMS(n *node, now int64, class manifest.Class) float64 {
	tokens, requests := float64(n.pending.Load()), float64(n.inFlight.Load())
	if p.terms&TermQueue != 0 {
		tokens, requests = p.estimate(n, now, p.terms&TermPeers != 0)
	}
	if class == manifest.Urgent {
		tokens *= urgentQueueFraction
	}
	waitMS := tokens / n.prefillRate
	if excess := requests + 1 - n.slots; excess > 0 {
		waitMS += slotWaitFraction * excess * n.durationMS.load() / n.slots
	}
	return waitMS
}

// kvPressureMS returns the cost of evicting blocks or preempting requests if the
// request does not fit into the free KV memory.
func kvPressureMS(n *node, r *Request) float64 {
	l := n.load.Load()
	if l == nil || l.KVCapacity == 0 {
		return 0
	}
	excessTokens := r.PromptTokens + r.MaxTokens + l.KVUsed - l.KVCapacity
	return max(float64(excessTokens), 0) / n.prefillRate
}

// latenessMS returns the cost of exceeding the deadline or the target.
func (p *leastExpectedTime) latenessMS(costMS float64, now int64, r *Request) float64 {
	lateMS := 0.0
	if p.targetMS > 0 && r.Class != manifest.Lot {
		lateMS = max(costMS-p.targetMS, 0)
	}
	if !r.Deadline.IsZero() {
		remainingMS := float64(p.shared.clock.nanos(r.Deadline)-now) / float64(time.Millisecond)
		lateMS = max(lateMS, costMS-remainingMS, 0)
	}
	return lateMS * latenessWeight
}

// priceMS returns the cost of the VM's price and of a reclaim while the request
// runs, after which its tokens would be computed again.
func priceMS(n *node, r *Request, prefillMS float64) float64 {
	weight := priceWeight
	if r.Class == manifest.Lot {
		weight = lotPriceWeight
	}
	price := min(n.pricePremium, maxPricePremium) * weight * prefillMS
	recomputeMS := float64(r.PromptTokens+r.MaxTokens) / n.prefillRate
	return price + n.reclaimRate*n.durationMS.load()*recomputeMS
}

// NamedTerm is a term and its name in reports.
type NamedTerm struct {
	Name string
	Term Terms
}

// TermNames returns every term with its name.
func TermNames() []NamedTerm {
	return []NamedTerm{
		{"cache", TermCache}, {"queue", TermQueue}, {"peers", TermPeers}, {"speed", TermSlowdown},
		{"failure", TermFailure}, {"cold", TermUnobserved}, {"kv", TermKV},
		{"price", TermPrice}, {"late", TermLateness}, {"sample", TermRandom},
		{"others", TermOthersDelay}, {"events", TermEvents}, {"home", TermHome},
	}
}

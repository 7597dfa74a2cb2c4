// Package place picks the upstream for each request: the one with the lowest
// estimated time to the first event of a stream or to the complete response.
//
// The estimate uses the prompt segments cached at each upstream, the prefill
// backlog from this and other daemons, recent slowdown, failures and silence.
// The package does no I/O and takes the time as an argument.
package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// ErrNoUpstream means that no upstream of a service accepts requests.
var ErrNoUpstream = errors.New("no upstream accepts requests")

// NoUpstreamError matches ErrNoUpstream and reports when an upstream of the service
// will accept requests again.
type NoUpstreamError struct {
	Service string
	RetryIn time.Duration // time until the first pause ends if all upstreams pause; otherwise 0
}

// Error implements error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %s: %v, next pause ends in %v", e.Service, ErrNoUpstream, e.RetryIn)
}

// Is reports whether target is ErrNoUpstream.
func (e *NoUpstreamError) Is(target error) bool { return target == ErrNoUpstream }

const (
	// defaultPlainMS is the assumed duration of a request without a prompt until
	// requests to its service have been measured.
	defaultPlainMS = 20.0 // ms
	// nearFullFraction is the fraction of busy slots at which an upstream slows down or
	// starts to queue requests.
	nearFullFraction = 0.9
	// fullPenaltyMS is added if an upstream is nearly full, and again if it recently
	// refused a request for being full.
	fullPenaltyMS = 150.0 // ms
	// refusalTTL is how long a refusal counts; load reports are about as old.
	refusalTTL = 200 * time.Millisecond
	// runningCostMS is added per running request: it lengthens each decoding step, and
	// its prompt may still be in prefill.
	runningCostMS = 0.6 // ms
	// crossZonePenaltyMS is added for an upstream in another zone, to reflect the price
	// of traffic between zones.
	crossZonePenaltyMS = 4.0 // ms
	// sharedPrefillWeight is the surcharge for prefilling shared segments, relative to
	// the prefill time: the prefill delays other requests at the upstream.
	sharedPrefillWeight = 1.0
	// plainJitter is the maximum relative increase, drawn at random, of the cost of
	// plain requests. Without it, daemons with the same data would all pick the same
	// one of several equal upstreams.
	plainJitter = 0.15
	// failurePenaltyMS is added for an upstream that fails all requests, and
	// proportionally less for lower failure rates.
	failurePenaltyMS = 3000.0 // ms
	// failureDecay is the time after which the weight of an outcome has fallen to 1/e.
	failureDecay = 3 * time.Second
	// priorSuccesses is the number of successes assumed in addition to those observed,
	// because a single failure is little evidence.
	priorSuccesses = 3.0
	// ewmaWeight is the weight of one measurement in the moving averages. It is small
	// because a measurement includes unknown prefill work of other daemons.
	ewmaWeight  = 0.1
	minSlowdown = 0.4 // bounds of the slowdown factor
	maxSlowdown = 12.0
	// minMeasuredTokens is the smallest prefill, in tokens, used to measure slowdown.
	minMeasuredTokens = 400
	// An upstream with requests in flight is silent if it has sent nothing on any
	// connection for silentAfter plus silentFactor times the longest expected time of
	// these requests. This detects a frozen link; the second term allows for a long
	// prefill of another daemon's request.
	silentAfter     = 700 * time.Millisecond
	silentFactor    = 2
	silentPenaltyMS = 5000.0 // ms
	// reportTTL is how long a load report of an upstream is used.
	reportTTL = 300 * time.Millisecond
)

// Segment is a section of a prompt that upstreams can cache.
type Segment struct {
	ID     uint64
	Tokens int
}

// Query describes a request to place.
type Query struct {
	Service      string
	Prompt       []Segment // in order; the last one is specific to this request
	PromptTokens int       // prompt length if Prompt is empty
	// FetchRate is the number of tokens per millisecond that an upstream can fetch
	// from the cache of another one; 0 if it cannot fetch.
	FetchRate float64
	Exclude   map[string]bool // IDs of upstreams not to pick
	Cohort    roster.Cohort   // of the upstreams to pick from
	// MaxExpected is the longest time that the request may need at the upstream, which must
	// not be nearly full either; 0 for no bound. Pick returns ErrTooSlow if none qualifies.
	MaxExpected time.Duration
}

// Choice is the result of placing one request.
type Choice struct {
	Upstream      *roster.Upstream
	Expected      time.Duration    // time to the first event or to the complete response
	Wait          time.Duration    // time, included in Expected, before the upstream starts on the request
	Prefill       int              // prompt tokens that the upstream has to prefill
	SharedPrefill int              // tokens of Prefill in segments shared by several requests
	Source        *roster.Upstream // upstream to fetch cached segments from; nil for none
	Fetched       int              // tokens to fetch from Source
	Candidates    int              // upstreams compared that accept the request
	Home          bool             // Upstream is one of the homes assumed to have the last shared segment cached
	Backlog       int              // prefill tokens queued there before this request, as far as known
	Running       int              // requests already in flight there
	// Nominal is the time to the first event that a request with a prompt takes at an upstream
	// as fast as usual with this work before it. It is 0 for a request without a prompt.
	Nominal time.Duration

	shared []Segment // of the prompt
	workMS float64   // counted by addWork
}

// LoadReport is the load that an upstream reports about itself.
type LoadReport struct {
	Running, Waiting, Slots int
	Slowdown                float64 // how long work takes there now, relative to the usual; 0 if not reported
}

// upstreamState is the state kept for one incarnation of an upstream.
type upstreamState struct {
	upstream        *roster.Upstream
	hash            uint32          // HashID of its ID
	local           Load            // from requests of this daemon
	remote          Load            // sum of the loads reported by other daemons
	remoteGroup     Load            // part of remote reported by members of this daemon's group
	byDaemon        map[string]Load // loads reported by other daemons
	report          LoadReport
	reportedAt      time.Duration
	fullUntil       time.Duration // end of the penalty for the last refusal
	slowdown        float64       // factor on expected times; 1 is nominal, 2 takes twice as long
	work            recentWork    // of this daemon
	signal          slowSignal    // slowdown that it reports about itself
	plainMS         float64       // moving average for requests without a prompt; 0 until measured
	successes       float64       // recent successes here and at other daemons, decaying
	failures        float64       // recent failures here and at other daemons, decaying
	countedAt       time.Duration // last update of successes and failures
	lastReceived    time.Duration // time of the last data received from it
	waitingSince    time.Duration // since when this daemon's requests have been in flight; 0 for none
	longestExpected time.Duration // longest expected time among these requests
	cache           *prefixCache
	leaving         bool          // it announced its shutdown in a response; its entry in the store may lag
	joinedLate      bool          // it appeared after other upstreams, with an empty cache
	firstConsidered time.Duration // first time it was evaluated; used only with joinedLate
}

// Placer places the requests of one daemon. Its methods are safe for concurrent use;
// now is a clock that also runs while the VM is suspended.
type Placer struct {
	zone string

	mu         sync.Mutex
	roster     *roster.Roster
	states     map[roster.Key]*upstreamState
	byHash     map[uint32]*upstreamState // by HashID
	pauses     pauses
	sources    map[string]*loadSource    // by daemon
	groupLoads *loadTable                // loads of this daemon and its group
	allLoads   *loadTable                // loads of all daemons
	groupFeed  *cacheFeed                // cached segments reported by this daemon and its group
	allFeed    *cacheFeed                // cached segments reported by all daemons
	plainMS    map[string]float64        // average duration of a request without a prompt, by service
	models     map[string]*latencyModel  // time to the first event, by service
	work       map[ringKey]*recentWork   // of this daemon
	agreements map[string]*agreement     // of the reported slowdowns, by service
	rings      map[ringKey]*hashRing     // rebuilt on demand after an update
	popularity map[uint64]*decayingCount // requests per segment
	totals     map[string]*decayingCount // requests by service
	lastSweep  time.Duration
	daemons    int
	viaHubs    bool // daemons exchange state through hubs and omit what each can compute
}

// New returns a placer for a daemon in zone.
func New(zone string) *Placer {
	return &Placer{
		zone:       zone,
		roster:     roster.New(nil),
		states:     make(map[roster.Key]*upstreamState),
		byHash:     make(map[uint32]*upstreamState),
		pauses:     make(pauses),
		sources:    make(map[string]*loadSource),
		groupLoads: newLoadTable(),
		allLoads:   newLoadTable(),
		groupFeed:  newCacheFeed(),
		allFeed:    newCacheFeed(),
		plainMS:    make(map[string]float64),
		models:     make(map[string]*latencyModel),
		work:       make(map[ringKey]*recentWork),
		agreements: make(map[string]*agreement),
		rings:      make(map[ringKey]*hashRing),
		popularity: make(map[uint64]*decayingCount),
		totals:     make(map[string]*decayingCount),
		daemons:    1,
	}
}

// Update replaces the roster and drops the state, other than pauses, of upstreams that are
// gone or have restarted. cacheTokens returns the cache size of a service's upstreams, 0 if unknown.
func (p *Placer) Update(r *roster.Roster, cacheTokens func(service string) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster = r
	clear(p.rings)
	states := make(map[roster.Key]*upstreamState, len(r.All()))
	byHash := make(map[uint32]*upstreamState, len(r.All()))
	for _, u := range r.All() {
		s := p.states[u.Key()]
		if s == nil {
			s = &upstreamState{hash: HashID(u.ID), slowdown: 1, byDaemon: make(map[string]Load), cache: newPrefixCache(), joinedLate: len(p.states) > 0}
		}
		s.upstream = u
		s.cache.limit = cacheTokens(u.Service)
		states[u.Key()] = s
		byHash[s.hash] = s
	}
	p.states, p.byHash = states, byHash
}

// ErrTooSlow means that no upstream can run a request within its Query.MaxExpected.
var ErrTooSlow = errors.New("no upstream is fast enough")

// Pick chooses an upstream and counts the request as in flight there until Done is
// called with the choice. It returns a *NoUpstreamError if no upstream accepts it.
func (p *Placer) Pick(q Query, now time.Duration) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, model := p.inspectPrompt(q, len(p.roster.UsableOf(q.Service, q.Cohort)), now), p.model(q.Service)
	list := p.candidates(q, info, now)
	source := p.bestSource(list, q, info, now)
	best, bestCost, accepting := Choice{}, math.Inf(1), 0
	for _, u := range list {
		if !p.accepts(u, q, now) {
			continue
		}
		accepting++
		if c, cost := p.evaluate(u, q, info, source, model, now); cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best.Upstream == nil {
		return best, &NoUpstreamError{q.Service, p.untilResume(q.Service, now)}
	}
	if p.tooSlow(q, best, now) {
		return Choice{}, ErrTooSlow
	}
	best.Candidates = accepting
	s := p.states[best.Upstream.Key()]
	if s.local.Running == 0 {
		s.waitingSince, s.longestExpected = now, 0
	}
	s.longestExpected = max(s.longestExpected, best.Expected)
	s.local.Running++
	s.local.Backlog += best.Prefill
	s.cachePrompt(q.Prompt, now)
	p.publishCached(s, q.Prompt, info)
	best.workMS = p.addWork(s, best.Prefill, model, now)
	best.shared = q.shared()
	p.countRequest(q.Service, best.shared, 1, best.Prefill, now)
	p.sweep(now)
	return best, nil
}

// evaluate returns the choice of u for a request, and its cost in milliseconds by which
// upstreams are compared. The caller holds mu.
func (p *Placer) evaluate(u *roster.Upstream, q Query, info promptInfo, source fetchSource, model *latencyModel, now time.Duration) (Choice, float64) {
	s := p.states[u.Key()]
	c := Choice{Upstream: u, Prefill: s.prefillTokens(q, info, now), Home: info.isHome(u)}
	c.SharedPrefill = sharedTokens(q, c.Prefill)
	load := s.totalLoad(now)
	slowdown := p.slowdownAt(s, load.Backlog+c.Prefill, model, now)
	fetched, fetchMS := source.estimate(u, c.SharedPrefill, q, model.msPerToken()*slowdown)
	if fetched > 0 {
		c.Source, c.Fetched = source.upstream, fetched
		c.Prefill -= fetched
		c.SharedPrefill -= fetched
	}
	expected := fetchMS + s.expectedMS(load, c.Prefill, q, p.plainMS[q.Service], model, slowdown)
	c.Expected, c.Wait = fromMS(expected), fromMS(s.queueMS(load, q, p.plainMS[q.Service], model, slowdown))
	c.Backlog, c.Running = load.Backlog, load.Running
	if !q.plain() {
		c.Nominal = fromMS(model.baseMS() + float64(load.Backlog+c.Prefill)*model.msPerToken() + runningCostMS*float64(load.Running))
	}

	sharedMS := model.msPerToken() * (float64(c.SharedPrefill) + fetchWeight*float64(fetched))
	surcharge, jitter := sharedPrefillWeight*sharedMS, 0.0
	if q.plain() && !ablation.Disabled(ablation.EstimateNoise) {
		jitter = plainJitter * rand.Float64()
	}
	if ablation.Disabled(ablation.RecomputePenalty) {
		surcharge = 0
	}
	if c.Home {
		surcharge -= info.homeHitProb * sharedMS
	}
	return c, (expected + s.penaltyMS(load, now, p.zone) + p.excessMS(s, q, info.upstreams, model, now) + surcharge) * (1 + jitter)
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// promptInfo holds properties of a prompt that don't depend on the upstream.
type promptInfo struct {
	upstreams      int                // usable ones of the service
	leading        int                // leading segments assumed to be cached at all upstreams
	homeCandidates []*roster.Upstream // homes of the last shared segment to compare
	homes          []*roster.Upstream // those of them that are assumed to have it cached
	homeHitProb    float64            // assumed probability that each of homes has the shared segments cached
}

func (i promptInfo) isHome(u *roster.Upstream) bool { return slices.Contains(i.homes, u) }

// inspectPrompt returns the properties of a prompt. The caller holds mu.
func (p *Placer) inspectPrompt(q Query, upstreams int, now time.Duration) promptInfo {
	info := promptInfo{upstreams: upstreams, homeHitProb: homeHitProbDirect}
	if p.viaHubs {
		info.homeHitProb = homeHitProbViaHubs
	}
	shared := len(q.Prompt) - 1
	// New upstreams of a canary cohort have little cached, whatever is popular.
	for q.Cohort == roster.Stable && info.leading < shared-1 && !ablation.Disabled(ablation.PopularSegments) && p.popular(q.Prompt[info.leading].ID, upstreams, now) {
		info.leading++
	}
	if shared < 1 || upstreams == 0 {
		return info
	}
	last := q.Prompt[shared-1].ID
	copies := 1
	if p.viaHubs {
		copies = p.copies(ringKey{q.Service, q.Cohort}, last, upstreams, now)
	}
	candidates, cached := p.ring(q.Service, q.Cohort).drawHomes(last, copies)
	info.homeCandidates = candidates
	if shared > info.leading && !ablation.Disabled(ablation.HomeUpstreams) {
		info.homes = candidates[:cached]
	}
	return info
}

// sharedTokens returns how many of the tokens to prefill belong to shared segments,
// which are all but the last.
func sharedTokens(q Query, prefill int) int {
	if len(q.Prompt) == 0 {
		return 0
	}
	return max(prefill-q.Prompt[len(q.Prompt)-1].Tokens, 0)
}

// prefillTokens returns the prompt tokens that the upstream has to prefill.
func (s *upstreamState) prefillTokens(q Query, info promptInfo, now time.Duration) int {
	if len(q.Prompt) == 0 {
		return q.PromptTokens
	}
	tokens := s.cache.uncached(q.Prompt, info.leading, now)
	if ablation.Disabled(ablation.CacheTracking) {
		tokens = newPrefixCache().uncached(q.Prompt, 0, now)
	}
	if info.isHome(s.upstream) && s.warmedUp(now) {
		tokens -= int(info.homeHitProb * float64(sharedTokens(q, tokens)))
	}
	return tokens
}

// warmedUp reports whether the upstream has been present long enough to have cached
// the segments whose home it is.
func (s *upstreamState) warmedUp(now time.Duration) bool {
	if !s.joinedLate {
		return true
	}
	if s.firstConsidered == 0 {
		s.firstConsidered = now
	}
	return now-s.firstConsidered > homeWarmup
}

// totalLoad returns the load from all daemons, as far as known.
func (s *upstreamState) totalLoad(now time.Duration) Load {
	sum := s.local.plus(s.remote)
	if ablation.Disabled(ablation.PeerLoad) {
		sum = s.local
	}
	if now-s.reportedAt < reportTTL {
		sum.Running = max(sum.Running, s.report.Running+s.report.Waiting)
	}
	return sum
}

// failureRate returns the recent fraction of failed requests, between 0 and 1.
func (s *upstreamState) failureRate(now time.Duration) float64 {
	decay := math.Exp(-(now - s.countedAt).Seconds() / failureDecay.Seconds())
	return decay * s.failures / (decay*(s.successes+s.failures) + priorSuccesses)
}

// addOutcomes adds successes and failures to the decaying counts.
func (s *upstreamState) addOutcomes(successes, failures float64, now time.Duration) {
	decay := math.Exp(-(now - s.countedAt).Seconds() / failureDecay.Seconds())
	s.successes, s.failures, s.countedAt = decay*s.successes+successes, decay*s.failures+failures, now
}

// silent reports whether requests are in flight and nothing has arrived for too long.
func (s *upstreamState) silent(now time.Duration) bool {
	return !ablation.Disabled(ablation.SilenceDetection) && s.local.Running > 0 && s.waitingSince > 0 && now-max(s.waitingSince, s.lastReceived) > silentAfter+silentFactor*s.longestExpected
}

// Silent reports whether requests are in flight at an upstream and it has sent nothing
// on any connection for too long. It is true for an unknown upstream.
func (p *Placer) Silent(k roster.Key, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[k]
	return s == nil || s.silent(now)
}

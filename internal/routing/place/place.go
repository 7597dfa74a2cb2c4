// Package place chooses the upstream of each request: the one from which the
// first event, or the answer, is expected soonest.
//
// It knows no sockets and has no clock of its own. What it reckons with: parts
// of the prompt that an upstream has kept, prompts that wait to be read there on
// behalf of this daemon and of others, how fast the upstream was of late, and
// whether it fails or has gone silent.
package place

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// ErrNoUpstream says that no upstream of a service takes requests.
var ErrNoUpstream = errors.New("no upstream takes requests")

// NoUpstreamError is an ErrNone that tells when an upstream of the service will take
// requests again.
type NoUpstreamError struct {
	Service string
	RetryIn time.Duration // until the first pause ends; 0 if not known
}

// Error implements error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %s: %v, opens in %v", e.Service, ErrNoUpstream, e.RetryIn)
}

// Is makes errors.Is find ErrNone.
func (e *NoUpstreamError) Is(target error) bool { return target == ErrNoUpstream }

const (
	// defaultPlainMS is assumed for a plain request until some of its service were
	// measured.
	defaultPlainMS = 20.0 // ms
	// nearFull of its slots taken, an upstream slows down or makes requests wait.
	nearFull = 0.9
	// fullPenalty is added for an upstream that is full, or has said so of late.
	fullPenalty = 150.0 // ms
	// refusalTTL is how long a refusal counts: load reports are that old.
	refusalTTL = 200 * time.Millisecond
	// runningCost is added for each running request: a step takes longer, and its
	// prompt may still be under way.
	runningCost = 0.6 // ms
	// crossZonePenalty is added outside the daemon's own zone, for the price of bytes
	// between zones.
	crossZonePenalty = 4.0 // ms
	// sharedPrefillWeight of the time that shared prompt tokens take to be read again is added
	// to it: reading them delays others there.
	sharedPrefillWeight = 1.0
	// plainJitter is the part by which estimates for plain requests are blurred: where upstreams
	// are equal, daemons with the same knowledge would all choose the same one.
	plainJitter = 0.15
	// failurePenalty is added for an upstream that fails all requests; in proportion
	// for one that fails some.
	failurePenalty = 3000.0 // ms
	// failureDecay is the time after which a failure counts for a third.
	failureDecay = 3 * time.Second
	// priorAnswers is how many answers are assumed beside those that were seen: a single
	// failure is little evidence.
	priorAnswers = 3.0
	// ewmaWeight is how much one measurement moves the speed; it is dampened
	// since prompts of others, of which nothing is known, are in it.
	ewmaWeight  = 0.1
	minSlowdown = 0.4 // factor on the expected time
	maxSlowdown = 12.0
	// minMeasuredTokens is the smallest prompt from which the speed is learnt.
	minMeasuredTokens = 400
	// silentAfter an upstream has sent nothing on any connection although requests
	// wait there, it counts as silent. A frozen link shows that way.
	// That long, and silentFactor times what was expected, since a long prompt may
	// be read there for somebody else.
	silentAfter   = 700 * time.Millisecond
	silentFactor  = 2
	silentPenalty = 5000.0 // ms
	// reportTTL is how long a load report of an upstream counts.
	reportTTL = 300 * time.Millisecond
)

// Segment is a part of a prompt.
type Segment struct {
	ID     uint64
	Tokens int
}

// Query describes a request.
type Query struct {
	Service      string
	Prompt       []Segment // in order; the last belongs to the request itself
	PromptTokens int       // of the prompt where it names no parts
	// FetchRate is how many tokens an upstream fetches in a millisecond from another one
	// that keeps them; 0 where it cannot.
	FetchRate float64
	Exclude   map[string]bool
}

// Choice is the upstream of one request.
type Choice struct {
	Upstream      *roster.Upstream
	Expected      time.Duration    // until the first event or the answer
	Wait          time.Duration    // the part of it until the upstream begins with the request
	Prefill       int              // prompt tokens that the upstream has to read
	SharedPrefill int              // those of them that belong to parts which requests share
	Source        *roster.Upstream // from which it can fetch parts that it has not read; nil for none
	Fetched       int              // tokens of these
	Candidates    int              // upstreams among which it was chosen
	Home          bool             // the shared parts of the prompt are at home there
	Backlog       int              // tokens that were to be read there before it, as far as known
	Running       int              // requests that were under way there
}

// LoadReport is an upstream's word on its own load.
type LoadReport struct{ Running, Waiting, Slots int }

// upstreamState is what is known of one incarnation of an upstream.
type upstreamState struct {
	upstream        *roster.Upstream
	hash            uint32
	local           Load
	remote          Load            // sum of what other daemons told
	remoteGroup     Load            // the part of it that members of this daemon's group told
	byDaemon        map[string]Load // by daemon
	report          LoadReport
	reportedAt      time.Duration
	fullUntil       time.Duration
	slowdown        float64 // factor on expected times; 1 is usual
	plainMS         float64 // ms of a plain request; 0 until one was measured
	answers         float64 // of late, here and at other daemons; older ones count less
	failures        float64 // the same
	countedAt       time.Duration
	lastReceived    time.Duration // when it last sent anything
	waitingSince    time.Duration // since when own requests wait without a word; 0 for none
	longestExpected time.Duration // expected of the longest of them
	cache           *prefixCache
	leaving         bool          // it said so itself; its entry may not yet
	pausedUntil     time.Duration // until when it wants nothing from this daemon
	pausedSince     time.Duration // since when
	joinedLate      bool          // it came after others, and has read nothing that came before
	firstConsidered time.Duration // when it was first considered
}

// Placer places the requests of one daemon. Its methods may be called from any
// goroutine; now is a clock that counts while the VM is suspended.
type Placer struct {
	zone string

	mu         sync.Mutex
	roster     *roster.Roster
	states     map[roster.Key]*upstreamState
	byHash     map[uint32]*upstreamState
	sources    map[string]*loadSource // by daemon
	groupLoads *loadTable             // of this daemon and its group
	allLoads   *loadTable
	groupFeed  *cacheFeed // of this daemon and its group
	allFeed    *cacheFeed
	plainMS    map[string]float64       // ms of a plain request, by service
	models     map[string]*latencyModel // of engines, by service
	rings      map[string]*hashRing     // by service; rebuilt when it is next asked for after a change
	popularity map[uint64]*decayingCount
	lastSweep  time.Duration
	daemons    int
	viaHubs    bool // daemons tell each other of what they can't compute only
}

// New returns a placer of a daemon in zone.
func New(zone string) *Placer {
	return &Placer{
		zone:       zone,
		roster:     roster.New(nil),
		states:     make(map[roster.Key]*upstreamState),
		byHash:     make(map[uint32]*upstreamState),
		sources:    make(map[string]*loadSource),
		groupLoads: newLoadTable(),
		allLoads:   newLoadTable(),
		groupFeed:  newCacheFeed(),
		allFeed:    newCacheFeed(),
		plainMS:    make(map[string]float64),
		models:     make(map[string]*latencyModel),
		rings:      make(map[string]*hashRing),
		popularity: make(map[uint64]*decayingCount),
		daemons:    1,
	}
}

// Update puts a roster into force. What is known of upstreams that are gone or
// have started again is dropped.
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
			s = &upstreamState{hash: HashID(u.ID), slowdown: 1, byDaemon: make(map[string]Load), cache: newCache(), joinedLate: len(p.states) > 0}
		}
		s.upstream = u
		s.cache.limit = cacheTokens(u.Service)
		states[u.Key()] = s
		byHash[s.hash] = s
	}
	p.states, p.byHash = states, byHash
}

// Pick chooses an upstream and counts the request there, until Done is called
// for the choice.
func (p *Placer) Pick(q Query, now time.Duration) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, total := p.candidates(q, now)
	info, model := p.inspectPrompt(q, total, now), p.model(q.Service)
	source := p.bestSource(list, q, info, now)
	best, bestCost, usable := Choice{}, math.Inf(1), 0
	for _, u := range list {
		if !p.accepts(u, q, now) {
			continue
		}
		usable++
		if c, cost := p.evaluate(u, q, info, source, model, now); cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best.Upstream == nil {
		return best, &NoUpstreamError{q.Service, p.untilResume(list, q, now)}
	}
	best.Candidates = usable
	s := p.states[best.Upstream.Key()]
	if s.local.Running == 0 {
		s.waitingSince, s.longestExpected = now, 0
	}
	s.longestExpected = max(s.longestExpected, best.Expected)
	s.local.Running++
	s.local.Backlog += best.Prefill
	s.cachePrompt(q.Prompt, now)
	p.publishCached(s, q.Prompt, info)
	p.countRequest(q.Prompt, now)
	p.sweep(now)
	return best, nil
}

// evaluate returns what choosing an upstream would mean, and what that costs in
// milliseconds. The caller holds mu.
func (p *Placer) evaluate(u *roster.Upstream, q Query, info promptInfo, source fetchSource, model *latencyModel, now time.Duration) (Choice, float64) {
	s := p.states[u.Key()]
	c := Choice{Upstream: u, Prefill: s.prefillTokens(q, info, now), Home: u == info.home}
	c.SharedPrefill = sharedTokens(q, c.Prefill)
	fetched, fetchMS := source.plan(u, c.SharedPrefill, q, model.msPerToken()*s.slowdown)
	if fetched > 0 {
		c.Source, c.Fetched = source.upstream, fetched
		c.Prefill -= fetched
		c.SharedPrefill -= fetched
	}
	load := s.totalLoad(now)
	expected := fetchMS + s.expectedMS(load, c.Prefill, q, p.plainMS[q.Service], model)
	c.Expected, c.Wait = fromMS(expected), fromMS(s.queueMS(load, q, p.plainMS[q.Service], model))
	c.Backlog, c.Running = load.Backlog, load.Running

	sharedMS := model.msPerToken() * (float64(c.SharedPrefill) + fetchWeight*float64(fetched))
	surcharge, jitter := sharedPrefillWeight*sharedMS, 0.0
	if q.plain() && !ablation.Without(ablation.Blur) {
		jitter = plainJitter * rand.Float64()
	}
	if ablation.Without(ablation.RereadPrice) {
		surcharge = 0
	}
	if c.Home {
		surcharge -= info.homeCached * sharedMS
	}
	return c, (expected + s.penaltyMS(load, now, p.zone) + surcharge) * (1 + jitter)
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// untilResume returns how long it is until the first of the upstreams ends its pause, 0 if
// none pauses. The caller holds mu.
func (p *Placer) untilResume(list []*roster.Upstream, q Query, now time.Duration) time.Duration {
	earliest := time.Duration(0)
	for _, u := range list {
		s := p.states[u.Key()]
		if s == nil || q.Exclude[u.ID] || s.leaving || s.pausedUntil <= now {
			continue
		}
		if earliest == 0 || s.pausedUntil-now < earliest {
			earliest = s.pausedUntil - now
		}
	}
	return earliest
}

// promptInfo is what holds of a prompt whatever upstream reads it, or by computation.
type promptInfo struct {
	leading    int              // parts before the last shared one that all upstreams keep
	home       *roster.Upstream // of its last shared part; nil where it shares none
	homeCached float64          // how likely it is kept there
}

// inspectPrompt returns what is known of a prompt. The caller holds mu.
func (p *Placer) inspectPrompt(q Query, upstreams int, now time.Duration) promptInfo {
	info := promptInfo{homeCached: homeCachedDirect}
	if p.viaHubs {
		info.homeCached = homeCachedViaHubs
	}
	shared := len(q.Prompt) - 1
	for info.leading < shared-1 && !ablation.Without(ablation.PopularParts) && p.popular(q.Prompt[info.leading].ID, upstreams, now) {
		info.leading++
	}
	if shared > info.leading && !ablation.Without(ablation.Homes) {
		var list [homeCount]*roster.Upstream
		if found := p.ring(q.Service).homes(q.Prompt[shared-1].ID, list[:0]); len(found) > 0 {
			info.home = found[0]
		}
	}
	return info
}

// sharedTokens returns how many of the missing tokens belong to parts that requests
// share: all but the last part.
func sharedTokens(q Query, prefill int) int {
	if len(q.Prompt) == 0 {
		return 0
	}
	return max(prefill-q.Prompt[len(q.Prompt)-1].Tokens, 0)
}

// prefillTokens returns the prompt tokens that an upstream would have to read.
func (s *upstreamState) prefillTokens(q Query, info promptInfo, now time.Duration) int {
	if len(q.Prompt) == 0 {
		return q.PromptTokens
	}
	tokens := s.cache.uncached(q.Prompt, info.leading, now)
	if ablation.Without(ablation.KeptParts) {
		tokens = newCache().uncached(q.Prompt, 0, now)
	}
	if s.upstream == info.home && s.warmedUp(now) {
		tokens -= int(info.homeCached * float64(sharedTokens(q, tokens)))
	}
	return tokens
}

// warmedUp tells whether an upstream has been there for long enough to keep the parts
// that are at home there.
func (s *upstreamState) warmedUp(now time.Duration) bool {
	if !s.joinedLate {
		return true
	}
	if s.firstConsidered == 0 {
		s.firstConsidered = now
	}
	return now-s.firstConsidered > homeWarmup
}

// totalLoad returns what all daemons have under way at an upstream, as far as known.
func (s *upstreamState) totalLoad(now time.Duration) Load {
	sum := s.local.plus(s.remote)
	if ablation.Without(ablation.OthersLoad) {
		sum = s.local
	}
	if now-s.reportedAt < reportTTL {
		sum.Running = max(sum.Running, s.report.Running+s.report.Waiting)
	}
	return sum
}

// expectedMS returns the milliseconds until the first event or the answer.
// usual is the time of a plain request of the service.
func (s *upstreamState) expectedMS(load Load, prefill int, q Query, serviceMS float64, model *latencyModel) float64 {
	wait := s.queueMS(load, q, serviceMS, model)
	if q.plain() {
		return wait + cmp.Or(s.plainMS, serviceMS, defaultPlainMS)
	}
	return model.baseMS() + wait + (float64(prefill)*model.msPerToken()+runningCost*float64(load.Running))*s.slowdown
}

// queueMS returns the milliseconds until the upstream begins with a request.
func (s *upstreamState) queueMS(load Load, q Query, serviceMS float64, model *latencyModel) float64 {
	if q.plain() {
		turns := math.Max(float64(load.Running+1)/float64(max(s.upstream.Slots, 1)), 1)
		return cmp.Or(s.plainMS, serviceMS, defaultPlainMS) * (turns - 1)
	}
	return float64(load.Backlog) * model.msPerToken() * s.slowdown
}

// plain tells whether the request brings no prompt.
func (q Query) plain() bool { return len(q.Prompt) == 0 && q.PromptTokens == 0 }

// penaltyMS returns the milliseconds added for what speaks against an upstream.
func (s *upstreamState) penaltyMS(load Load, now time.Duration, zone string) float64 {
	sum := 0.0
	if s.upstream.Zone != zone && !ablation.Without(ablation.OwnZone) {
		sum += crossZonePenalty
	}
	if !ablation.Without(ablation.Full) {
		if float64(load.Running) >= nearFull*float64(s.upstream.Slots) {
			sum += fullPenalty
		}
		if now < s.fullUntil {
			sum += fullPenalty
		}
	}
	if !ablation.Without(ablation.Failures) {
		sum += failurePenalty * s.failureRate(now)
	}
	if s.silent(now) {
		sum += silentPenalty
	}
	return sum
}

// failureRate returns the part of requests that the upstream fails, 0 to 1.
func (s *upstreamState) failureRate(now time.Duration) float64 {
	decay := math.Exp(-(now - s.countedAt).Seconds() / failureDecay.Seconds())
	return decay * s.failures / (decay*(s.answers+s.failures) + priorAnswers)
}

// addOutcomes takes in outcomes.
func (s *upstreamState) addOutcomes(answers, failures float64, now time.Duration) {
	decay := math.Exp(-(now - s.countedAt).Seconds() / failureDecay.Seconds())
	s.answers, s.failures, s.countedAt = decay*s.answers+answers, decay*s.failures+failures, now
}

// silent tells whether requests wait and nothing has come for long.
func (s *upstreamState) silent(now time.Duration) bool {
	return !ablation.Without(ablation.Silence) && s.local.Running > 0 && s.waitingSince > 0 && now-max(s.waitingSince, s.lastReceived) > silentAfter+silentFactor*s.longestExpected
}

// Silent tells whether an upstream has sent nothing for long on any connection
// although requests wait there.
func (p *Placer) Silent(k roster.Key, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[k]
	return s == nil || s.silent(now)
}

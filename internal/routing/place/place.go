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

// ErrNone says that no upstream of a service takes requests.
var ErrNone = errors.New("no upstream takes requests")

// NoneError is an ErrNone that tells when an upstream of the service will take
// requests again.
type NoneError struct {
	Service string
	Opens   time.Duration // until the first pause ends; 0 if not known
}

// Error implements error.
func (e *NoneError) Error() string {
	return fmt.Sprintf("service %s: %v, opens in %v", e.Service, ErrNone, e.Opens)
}

// Is makes errors.Is find ErrNone.
func (e *NoneError) Is(target error) bool { return target == ErrNone }

const (
	// plainWork is assumed for a plain request until some of its service were
	// measured.
	plainWork = 20.0 // ms
	// fullPart of its slots taken, an upstream slows down or makes requests wait.
	fullPart = 0.9
	// fullCost is added for an upstream that is full, or has said so of late.
	fullCost = 150.0 // ms
	// fullFor is how long a refusal counts: load reports are that old.
	fullFor = 200 * time.Millisecond
	// runningCost is added for each running request: a step takes longer, and its
	// prompt may still be under way.
	runningCost = 0.6 // ms
	// otherZoneCost is added outside the daemon's own zone, for the price of bytes
	// between zones.
	otherZoneCost = 4.0 // ms
	// rereadPart of the time that shared prompt tokens take to be read again is added
	// to it: reading them delays others there.
	rereadPart = 1.0
	// noise is the part by which estimates for plain requests are blurred: where upstreams
	// are equal, daemons with the same knowledge would all choose the same one.
	noise = 0.15
	// failCost is added for an upstream that fails all requests; in proportion
	// for one that fails some.
	failCost = 3000.0 // ms
	// failDecay is the time after which a failure counts for a third.
	failDecay = 3 * time.Second
	// failPrior is how many answers are assumed beside those that were seen: a single
	// failure is little evidence.
	failPrior = 3.0
	// speedWeight is how much one measurement moves the speed; it is dampened
	// since prompts of others, of which nothing is known, are in it.
	speedWeight = 0.1
	minSpeed    = 0.4 // factor on the expected time
	maxSpeed    = 12.0
	// measuredTokens is the smallest prompt from which the speed is learnt.
	measuredTokens = 400
	// silentAfter an upstream has sent nothing on any connection although requests
	// wait there, it counts as silent. A frozen link shows that way.
	// That long, and silentFactor times what was expected, since a long prompt may
	// be read there for somebody else.
	silentAfter  = 700 * time.Millisecond
	silentFactor = 2
	silentCost   = 5000.0 // ms
	// reportFor is how long a load report of an upstream counts.
	reportFor = 300 * time.Millisecond
)

// Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Query describes a request.
type Query struct {
	Service string
	Prompt  []Part // in order; the last belongs to the request itself
	Tokens  int    // of the prompt where it names no parts
	// FetchRate is how many tokens an upstream fetches in a millisecond from another one
	// that keeps them; 0 where it cannot.
	FetchRate float64
	Exclude   map[string]bool
}

// Choice is the upstream of one request.
type Choice struct {
	Upstream *roster.Upstream
	Expected time.Duration    // until the first event or the answer
	Wait     time.Duration    // the part of it until the upstream begins with the request
	Missing  int              // prompt tokens that the upstream has to read
	Shared   int              // those of them that belong to parts which requests share
	Source   *roster.Upstream // from which it can fetch parts that it has not read; nil for none
	Fetched  int              // tokens of these
	Usable   int              // upstreams among which it was chosen
	Home     bool             // the shared parts of the prompt are at home there
	Ahead    int              // tokens that were to be read there before it, as far as known
	Running  int              // requests that were under way there
}

// Report is an upstream's word on its own load.
type Report struct{ Running, Waiting, Slots int }

// state is what is known of one incarnation of an upstream.
type state struct {
	up        *roster.Upstream
	hash      uint32
	own       Load
	others    Load            // sum of what other daemons told
	group     Load            // the part of it that members of this daemon's group told
	told      map[string]Load // by daemon
	report    Report
	reported  time.Duration
	fullUntil time.Duration
	speed     float64 // factor on expected times; 1 is usual
	work      float64 // ms of a plain request; 0 until one was measured
	answers   float64 // of late, here and at other daemons; older ones count less
	failures  float64 // the same
	countedAt time.Duration
	heard     time.Duration // when it last sent anything
	waitSince time.Duration // since when own requests wait without a word; 0 for none
	waitFor   time.Duration // expected of the longest of them
	cache     *cache
	leaves    bool          // it said so itself; its entry may not yet
	paused    time.Duration // until when it wants nothing from this daemon
	pausedAt  time.Duration // since when
	joined    bool          // it came after others, and has read nothing that came before
	joinedAt  time.Duration // when it was first considered
}

// Placer places the requests of one daemon. Its methods may be called from any
// goroutine; now is a clock that counts while the VM is suspended.
type Placer struct {
	zone string

	mu      sync.Mutex
	ros     *roster.Roster
	states  map[roster.Key]*state
	byHash  map[uint32]*state
	sources map[string]*source // by daemon
	own     *board             // of this daemon and its group
	all     *board
	newsOwn *news // of this daemon and its group
	newsAll *news
	works   map[string]float64 // ms of a plain request, by service
	paces   map[string]*pace   // of engines, by service
	rings   map[string]*ring   // by service; rebuilt when it is next asked for after a change
	seen    map[uint64]*seen
	swept   time.Duration
	daemons int
	many    bool // daemons tell each other of what they can't compute only
}

// New returns a placer of a daemon in zone.
func New(zone string) *Placer {
	return &Placer{
		zone:    zone,
		ros:     roster.New(nil),
		states:  make(map[roster.Key]*state),
		byHash:  make(map[uint32]*state),
		sources: make(map[string]*source),
		own:     newBoard(),
		all:     newBoard(),
		newsOwn: newNews(),
		newsAll: newNews(),
		works:   make(map[string]float64),
		paces:   make(map[string]*pace),
		rings:   make(map[string]*ring),
		seen:    make(map[uint64]*seen),
		daemons: 1,
	}
}

// Update puts a roster into force. What is known of upstreams that are gone or
// have started again is dropped.
func (p *Placer) Update(r *roster.Roster, cacheTokens func(service string) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ros = r
	clear(p.rings)
	states := make(map[roster.Key]*state, len(r.All()))
	byHash := make(map[uint32]*state, len(r.All()))
	for _, u := range r.All() {
		s := p.states[u.Key()]
		if s == nil {
			s = &state{hash: Hash(u.ID), speed: 1, told: make(map[string]Load), cache: newCache(), joined: len(p.states) > 0}
		}
		s.up = u
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
	list, of := p.candidates(q, now)
	known, line := p.knownOf(q, of, now), p.pace(q.Service)
	from := p.keeperOf(list, q, known, now)
	best, bestCost, usable := Choice{}, math.Inf(1), 0
	for _, u := range list {
		if !p.takes(u, q, now) {
			continue
		}
		usable++
		if c, cost := p.weigh(u, q, known, from, line, now); cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best.Upstream == nil {
		return best, &NoneError{q.Service, p.opens(list, q, now)}
	}
	best.Usable = usable
	s := p.states[best.Upstream.Key()]
	if s.own.Running == 0 {
		s.waitSince, s.waitFor = now, 0
	}
	s.waitFor = max(s.waitFor, best.Expected)
	s.own.Running++
	s.own.Backlog += best.Missing
	s.keep(q.Prompt, now)
	p.publish(s, q.Prompt, known)
	p.note(q.Prompt, now)
	p.sweep(now)
	return best, nil
}

// weigh returns what choosing an upstream would mean, and what that costs in
// milliseconds. The caller holds mu.
func (p *Placer) weigh(u *roster.Upstream, q Query, k known, from keeper, line *pace, now time.Duration) (Choice, float64) {
	s := p.states[u.Key()]
	c := Choice{Upstream: u, Missing: s.missing(q, k, now), Home: u == k.home}
	c.Shared = shared(q, c.Missing)
	fetched, fetching := from.fetch(u, c.Shared, q, line.perToken()*s.speed)
	if fetched > 0 {
		c.Source, c.Fetched = from.up, fetched
		c.Missing -= fetched
		c.Shared -= fetched
	}
	load := s.total(now)
	expected := fetching + s.expected(load, c.Missing, q, p.works[q.Service], line)
	c.Expected, c.Wait = milliseconds(expected), milliseconds(s.queue(load, q, p.works[q.Service], line))
	c.Ahead, c.Running = load.Backlog, load.Running

	again := line.perToken() * (float64(c.Shared) + fetchPart*float64(fetched))
	reread, blur := rereadPart*again, 0.0
	if q.plain() && !ablation.Disabled(ablation.EstimateNoise) {
		blur = noise * rand.Float64()
	}
	if ablation.Disabled(ablation.RecomputePenalty) {
		reread = 0
	}
	if c.Home {
		reread -= k.trust * again
	}
	return c, (expected + s.penalty(load, now, p.zone) + reread) * (1 + blur)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// opens returns how long it is until the first of the upstreams ends its pause, 0 if
// none pauses. The caller holds mu.
func (p *Placer) opens(list []*roster.Upstream, q Query, now time.Duration) time.Duration {
	first := time.Duration(0)
	for _, u := range list {
		s := p.states[u.Key()]
		if s == nil || q.Exclude[u.ID] || s.leaves || s.paused <= now {
			continue
		}
		if first == 0 || s.paused-now < first {
			first = s.paused - now
		}
	}
	return first
}

// known is what holds of a prompt whatever upstream reads it, or by computation.
type known struct {
	popular int              // parts before the last shared one that all upstreams keep
	home    *roster.Upstream // of its last shared part; nil where it shares none
	trust   float64          // how likely it is kept there
}

// knownOf returns what is known of a prompt. The caller holds mu.
func (p *Placer) knownOf(q Query, upstreams int, now time.Duration) known {
	k := known{trust: homeTrustTold}
	if p.many {
		k.trust = homeTrust
	}
	shared := len(q.Prompt) - 1
	for k.popular < shared-1 && !ablation.Disabled(ablation.PopularSegments) && p.popular(q.Prompt[k.popular].ID, upstreams, now) {
		k.popular++
	}
	if shared > k.popular && !ablation.Disabled(ablation.HomeUpstreams) {
		var list [homes]*roster.Upstream
		if at := p.ring(q.Service).homes(q.Prompt[shared-1].ID, list[:0]); len(at) > 0 {
			k.home = at[0]
		}
	}
	return k
}

// shared returns how many of the missing tokens belong to parts that requests
// share: all but the last part.
func shared(q Query, missing int) int {
	if len(q.Prompt) == 0 {
		return 0
	}
	return max(missing-q.Prompt[len(q.Prompt)-1].Tokens, 0)
}

// missing returns the prompt tokens that an upstream would have to read.
func (s *state) missing(q Query, k known, now time.Duration) int {
	if len(q.Prompt) == 0 {
		return q.Tokens
	}
	all := s.cache.missing(q.Prompt, k.popular, now)
	if ablation.Disabled(ablation.CacheTracking) {
		all = newCache().missing(q.Prompt, 0, now)
	}
	if s.up == k.home && s.trusted(now) {
		all -= int(k.trust * float64(shared(q, all)))
	}
	return all
}

// trusted tells whether an upstream has been there for long enough to keep the parts
// that are at home there.
func (s *state) trusted(now time.Duration) bool {
	if !s.joined {
		return true
	}
	if s.joinedAt == 0 {
		s.joinedAt = now
	}
	return now-s.joinedAt > trustAfter
}

// total returns what all daemons have under way at an upstream, as far as known.
func (s *state) total(now time.Duration) Load {
	sum := s.own.plus(s.others)
	if ablation.Disabled(ablation.PeerLoad) {
		sum = s.own
	}
	if now-s.reported < reportFor {
		sum.Running = max(sum.Running, s.report.Running+s.report.Waiting)
	}
	return sum
}

// expected returns the milliseconds until the first event or the answer.
// usual is the time of a plain request of the service.
func (s *state) expected(l Load, missing int, q Query, usual float64, line *pace) float64 {
	queue := s.queue(l, q, usual, line)
	if q.plain() {
		return queue + cmp.Or(s.work, usual, plainWork)
	}
	return line.base() + queue + (float64(missing)*line.perToken()+runningCost*float64(l.Running))*s.speed
}

// queue returns the milliseconds until the upstream begins with a request.
func (s *state) queue(l Load, q Query, usual float64, line *pace) float64 {
	if q.plain() {
		turns := math.Max(float64(l.Running+1)/float64(max(s.up.Slots, 1)), 1)
		return cmp.Or(s.work, usual, plainWork) * (turns - 1)
	}
	return float64(l.Backlog) * line.perToken() * s.speed
}

// plain tells whether the request brings no prompt.
func (q Query) plain() bool { return len(q.Prompt) == 0 && q.Tokens == 0 }

// penalty returns the milliseconds added for what speaks against an upstream.
func (s *state) penalty(l Load, now time.Duration, zone string) float64 {
	sum := 0.0
	if s.up.Zone != zone && !ablation.Disabled(ablation.ZonePreference) {
		sum += otherZoneCost
	}
	if !ablation.Disabled(ablation.SlotPenalty) {
		if float64(l.Running) >= fullPart*float64(s.up.Slots) {
			sum += fullCost
		}
		if now < s.fullUntil {
			sum += fullCost
		}
	}
	if !ablation.Disabled(ablation.FailurePenalty) {
		sum += failCost * s.failRate(now)
	}
	if s.silent(now) {
		sum += silentCost
	}
	return sum
}

// failRate returns the part of requests that the upstream fails, 0 to 1.
func (s *state) failRate(now time.Duration) float64 {
	old := math.Exp(-(now - s.countedAt).Seconds() / failDecay.Seconds())
	return old * s.failures / (old*(s.answers+s.failures) + failPrior)
}

// count takes in outcomes.
func (s *state) count(answers, failures float64, now time.Duration) {
	old := math.Exp(-(now - s.countedAt).Seconds() / failDecay.Seconds())
	s.answers, s.failures, s.countedAt = old*s.answers+answers, old*s.failures+failures, now
}

// silent tells whether requests wait and nothing has come for long.
func (s *state) silent(now time.Duration) bool {
	return !ablation.Disabled(ablation.SilenceDetection) && s.own.Running > 0 && s.waitSince > 0 && now-max(s.waitSince, s.heard) > silentAfter+silentFactor*s.waitFor
}

// Silent tells whether an upstream has sent nothing for long on any connection
// although requests wait there.
func (p *Placer) Silent(k roster.Key, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[k]
	return s == nil || s.silent(now)
}

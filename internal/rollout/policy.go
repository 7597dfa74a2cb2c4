package rollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// Policy is a daemon's part in the roll-outs of all services: which upstreams get requests, and
// which request goes to the new version. Its methods are safe for concurrent use; now is a clock
// that also runs while the VM is suspended.
type Policy struct {
	// plans is what Route acts by; Commit sets it. It is nil or empty while nothing is rolled out.
	plans atomic.Pointer[map[string]*plan]

	mu       sync.Mutex
	services map[string]*service
	cutOff   bool // out of contact
}

// service is the roll-out of one service.
type service struct {
	order   *Order        // in the store; nil for none
	seen    time.Duration // store's clock when the order was first seen; 0 if the clock was not known
	state   State         // newest known; zero for none
	stored  int64         // revision of the row in the store; 0 for none
	allowed map[string]bool
	// held has the versions that may not get requests before the table of orders was read up to
	// a version: the lowest one of the rows of their upstreams.
	held map[string]int64

	fleet      Fleet
	canaries   int   // upstreams of the cohort roster.Canary
	classified int64 // revision of the state that the upstreams were classified by
	committed  int64 // revision of the state that requests are sent by

	counts map[uint32]*RouteCounts
	// broken are answers that were counted and then failed, not offset yet.
	broken  map[uint32]*RouteCounts
	counted State // the state whose order the counts are for
	failing uint64
	tracker Tracker
	stopped *Finding // why this daemon sends nothing to the new version; nil if it does
}

// plan is the part of a service's requests that goes to the new version.
type plan struct {
	mu     sync.Mutex
	share  float64
	whole  bool    // all requests
	credit float64 // requests that should have gone to the new version and did not
}

// NewPolicy returns a Policy that knows of no orders.
func NewPolicy() *Policy { return &Policy{services: make(map[string]*service)} }

func (p *Policy) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{allowed: make(map[string]bool), held: make(map[string]int64)}
		p.services[name] = s
	}
	return s
}

// SetOrders takes over all orders in the store, by service. storeNow is the store's clock, 0 if
// it is not known.
func (p *Policy) SetOrders(orders map[string]Order, storeNow time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.services {
		if _, ok := orders[name]; !ok {
			s.order = nil
		}
	}
	for name, o := range orders {
		s := p.service(name)
		if s.order == nil || *s.order != o {
			if s.order == nil || s.order.To != o.To || s.order.Duration != o.Duration || !s.state.Of(o) {
				s.seen = storeNow
			}
			s.order = &o
		}
	}
}

// SetStored takes over the states in the store, by service, and returns those that supersede
// the known ones.
func (p *Policy) SetStored(states map[string]State) map[string]State {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.services {
		if _, ok := states[name]; !ok {
			s.stored = 0
		}
	}
	changed := make(map[string]State)
	for name, state := range states {
		s := p.service(name)
		s.stored = state.Revision
		if s.adopt(state) {
			changed[name] = state
		}
	}
	return changed
}

// Adopt takes over the state that this daemon has written. It reports whether it supersedes
// the known one.
func (p *Policy) Adopt(name string, state State) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(name).adopt(state)
}

func (s *service) adopt(state State) bool {
	if s.state.Revision > 0 && !state.Supersedes(s.state) {
		return false
	}
	if s.counted.Revision == 0 || !state.sameOrder(s.counted.To, s.counted.DurationMS, s.counted.OrderVersion) {
		s.counts, s.broken, s.failing, s.tracker, s.stopped = make(map[uint32]*RouteCounts), make(map[uint32]*RouteCounts), 0, Tracker{}, nil
	}
	s.counted, s.state = state, state
	if state.Phase == Done {
		// A version that ran earlier starts as a canary again if it is ordered.
		maps.DeleteFunc(s.allowed, func(v string, _ bool) bool { return v != state.To && !slices.Contains(state.Allowed, v) })
	}
	return true
}

// SetContact tells whether this daemon hears of changes of the states. While it does not, it
// sends nothing to a new version, unless all requests go there.
func (p *Policy) SetContact(ok bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = p.cutOff == ok
	p.cutOff = !ok
	return changed
}

// Commit makes Route act by the newest states. It is called after the roster was built by
// Classify, so that no request goes to an upstream that a verdict excludes.
func (p *Policy) Commit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.plans.Load()
	plans := make(map[string]*plan)
	for name, s := range p.services {
		s.committed = s.classified
		share, whole := s.share(p.cutOff)
		if s.canaries == 0 {
			continue
		}
		next := &plan{share: share, whole: whole}
		if old != nil && (*old)[name] != nil {
			was := (*old)[name]
			was.mu.Lock()
			next.credit = was.credit
			was.mu.Unlock()
		}
		plans[name] = next
	}
	p.plans.Store(&plans)
}

// share returns the part of the requests of this daemon that goes to the new version. It is
// smaller while fewer upstreams have started than the state names, so that these do not get more
// than the load of an old one.
func (s *service) share(cutOff bool) (share float64, whole bool) {
	if s.state.Phase.Final() || s.stopped != nil || s.canaries == 0 {
		return 0, false
	}
	share = float64(s.state.Share) / WholeShare
	if share >= 1 {
		return 1, true
	}
	if cutOff {
		return 0, false
	}
	if s.state.Canaries > 0 {
		share *= min(float64(s.canaries)/float64(s.state.Canaries), 1)
	}
	return share, false
}

// maxCredit bounds how many requests of a daemon the new version gets too many or too few.
const maxCredit = 4

// Route returns the cohort of upstreams for a request with an id. Of the requests of this
// daemon, the share goes to the new version, and maxCredit more at most.
func (p *Policy) Route(service, id string) roster.Cohort {
	plans := p.plans.Load()
	if plans == nil || len(*plans) == 0 {
		return roster.Stable
	}
	l := (*plans)[service]
	switch {
	case l == nil:
		return roster.Stable
	case l.whole:
		return roster.Canary
	case l.share == 0:
		return roster.Stable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	chance := l.share * (1 + l.credit/maxCredit) // 0 if the credit is used up
	l.credit = min(l.credit+l.share, maxCredit)
	if hashFraction(id) >= chance {
		return roster.Stable
	}
	l.credit = max(l.credit-1, -maxCredit)
	return roster.Canary
}

// Retry returns the cohort for a later attempt of a request.
func (p *Policy) Retry(service string) roster.Cohort {
	if plans := p.plans.Load(); plans != nil {
		if l := (*plans)[service]; l != nil && l.whole {
			return roster.Canary
		}
	}
	return roster.Stable
}

// Result is how an attempt at an upstream ended.
type Result struct {
	Upstream *roster.Upstream
	Route    string
	Failed   bool
	Broken   bool          // it failed after it was counted as answered, with the same Took
	Took     time.Duration // to the first event or the whole answer; so far if there was none
	// Nominal is the time to expect at an upstream as fast as usual; 0 if it is not known.
	Nominal time.Duration
}

// nominalTime is the time for which an answer counts that took as long as expected.
const nominalTime = 128 * time.Millisecond

// Observe counts the result of an attempt. Both versions are counted while the new one has
// upstreams that get requests.
func (p *Policy) Observe(r Result) {
	if plans := p.plans.Load(); plans == nil || (*plans)[r.Upstream.Service] == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[r.Upstream.Service]
	if s == nil || s.state.Phase.Final() || s.counts == nil {
		return
	}
	isNew := r.Upstream.Software == s.state.To
	key := s.routeKey(r.Route)
	counts, broken := countsOf(s.counts, key, isNew), countsOf(s.broken, key, isNew)
	bucket := r.bucket()
	switch {
	case r.Failed:
		counts.Failures++
		if isNew {
			s.failing |= 1 << (hash64(r.Upstream.ID) % 64)
		}
		if r.Broken {
			broken.Times[bucket]++
		}
	case broken.Times[bucket] > 0:
		// Counts may not fall, so a later answer is left out for one that broke off.
		broken.Times[bucket]--
	default:
		counts.Times[bucket]++
	}
}

// routeKey returns the key of a route in counts; from maxRoutes on, the rest has one together.
func (s *service) routeKey(route string) uint32 {
	key := hash32(route)
	if s.counts[key] == nil && len(s.counts) >= maxRoutes {
		return 0
	}
	return key
}

// countsOf returns the counts of a version on a route, which it adds if there are none.
func countsOf(counts map[uint32]*RouteCounts, key uint32, isNew bool) *Counts {
	c := counts[key]
	if c == nil {
		c = &RouteCounts{}
		counts[key] = c
	}
	if isNew {
		return &c.New
	}
	return &c.Old
}

// bucket returns the bucket of the time that the answer took, relative to the expected one.
func (r Result) bucket() int {
	took := r.Took
	if r.Nominal > 0 {
		took = time.Duration(float64(nominalTime) * float64(r.Took) / float64(max(r.Nominal, time.Millisecond)))
	}
	return bucketOf(took)
}

// maxRoutes bounds the routes of a service that are counted apart.
const maxRoutes = 32

// Check compares the versions by this daemon's own counts alone. It returns the findings that
// are new, by service: nothing is sent to these versions any more.
func (p *Policy) Check(now time.Duration) (found map[string]Finding, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.services {
		if s.state.Revision == 0 || s.state.Phase.Final() || s.counts == nil {
			continue
		}
		s.tracker.Update(s.counts, s.failing, s.duration(), now)
		f := s.tracker.Judge(s.state.Phase)
		if (f != nil) != (s.stopped != nil) {
			changed = true
			if f != nil {
				if found == nil {
					found = make(map[string]Finding)
				}
				found[name] = *f
			}
		}
		s.stopped = f
	}
	return found, changed
}

func (s *service) duration() time.Duration {
	return time.Duration(s.state.DurationMS) * time.Millisecond
}

// Report returns what this daemon tells the others about a service, nil if its roll-out is over
// or there is none. oldRunning returns the requests in flight at upstreams of other versions.
func (p *Policy) Report(name string, oldRunning func(to string) int) *Report {
	p.mu.Lock()
	s := p.services[name]
	if s == nil || !s.inProgress() {
		p.mu.Unlock()
		return nil
	}
	r := &Report{Service: name, Daemons: 1, Seen: s.seen}
	if s.order != nil {
		r.To, r.Order = s.order.To, s.order.Version
	}
	if s.state.Revision > 0 && (s.order == nil || s.state.Of(*s.order)) {
		r.To, r.Order, r.Failing = s.state.To, s.state.OrderVersion, s.failing
		r.Revision = min(s.state.Revision, s.committed)
		if s.state.Phase.Final() {
			r.Verdict = s.state.Phase
		}
		r.Routes = make(map[uint32]*RouteCounts, len(s.counts))
		for key, c := range s.counts {
			counts := *c
			r.Routes[key] = &counts
		}
	}
	p.mu.Unlock()
	r.OldRunning = oldRunning(r.To)
	return r
}

// inProgress reports whether an order has no verdict, or one that the store lacks.
func (s *service) inProgress() bool {
	if s.order != nil && !s.state.Of(*s.order) {
		return true
	}
	return s.state.Revision > 0 && (!s.state.Phase.Final() || s.stored < s.state.Revision)
}

// InProgress returns the services with a roll-out in progress, sorted.
func (p *Policy) InProgress() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for name, s := range p.services {
		if s.inProgress() {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Snapshot is what a Policy knows about a service.
type Snapshot struct {
	Order    *Order
	Seen     time.Duration
	State    State
	Stored   int64 // revision of the row in the store; 0 for none
	Fleet    Fleet
	Canaries int // upstreams of the new version in use
	Held     int // versions held back
	Share    float64
	Stopped  bool // this daemon sends nothing to the new version because of its own counts
}

// Snapshots returns what is known about the services with an order, a state or versions held
// back, by service.
func (p *Policy) Snapshots() map[string]Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[string]Snapshot)
	for name, s := range p.services {
		if s.order == nil && s.state.Revision == 0 && len(s.held) == 0 {
			continue
		}
		share, _ := s.share(p.cutOff)
		list[name] = Snapshot{s.order, s.seen, s.state, s.stored, s.fleet, s.canaries, len(s.held), share, s.stopped != nil}
	}
	return list
}

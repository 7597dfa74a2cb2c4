package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// clock converts times to nanoseconds since its origin, which is maxLoadAge before
// the first time passed to nanos. Steps of the wall clock have no effect on times
// with a monotonic reading. It never returns less than 0.
type clock struct {
	origin atomic.Pointer[time.Time]
}

func (c *clock) nanos(t time.Time) int64 {
	origin := c.origin.Load()
	if origin == nil {
		first := t.Add(-maxLoadAge)
		c.origin.CompareAndSwap(nil, &first)
		origin = c.origin.Load()
	}
	return max(int64(t.Sub(*origin)), 0)
}

// serviceState is shared by all snapshots of one service.
type serviceState struct {
	nextIndex    atomic.Uint64 // number of picks by the policy roundRobin
	inFlight     atomic.Int64  // attempts of this daemon
	pending      atomic.Int64  // uncached prompt tokens of attempts without a first token
	slotTotal    atomicFloat   // slots in the latest snapshot
	meanSlowdown atomicFloat   // mean slowdown of its upstreams
	clock        *clock
}

func (s *serviceState) slots() float64 { return s.slotTotal.load() }

// view holds the current pickers and their data, by service; states is by upstream.
type view struct {
	pickers   map[string]picker
	snapshots map[string]*snapshot
	states    map[string]*upstreamState
	shared    map[string]*serviceState
}

// Router holds the pickers of all services. Attempts, load reports and cache
// events update its data. Its methods may be called from any goroutine.
type Router struct {
	view     atomic.Pointer[view]
	clock    clock
	prefixes *prefixMap
	terms    Terms
	stats    counters

	mu      sync.Mutex // held during rebuilds; guards the fields below
	active  *manifest.Active
	members []Member
	daemons float64 // effective number of daemons; see SetShare
	freeIDs []upstreamID
	nextID  uint16
}

// NewRouter returns a router without upstreams. See Update.
func NewRouter() *Router {
	r := &Router{prefixes: newPrefixMap(), terms: AllTerms, daemons: 1}
	r.view.Store(&view{})
	return r
}

// SetTerms restricts the score of the policy leastExpectedTime to the given terms.
// It must be called before Update.
func (r *Router) SetTerms(terms Terms) { r.terms = terms }

// Update rebuilds the pickers for a manifest and the states of its upstreams.
func (r *Router) Update(a *manifest.Active, members []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active, r.members = a, members
	r.rebuild()
}

// SetShare sets the fraction of all requests that this daemon receives, above 0
// and at most 1. The default is 1.
func (r *Router) SetShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	daemons := 1 / min(max(share, 1e-4), 1)
	if daemons == r.daemons {
		return
	}
	r.daemons = daemons
	if r.active != nil {
		r.rebuild()
	}
}

func (r *Router) rebuild() {
	old := r.view.Load()
	next := &view{
		pickers:   make(map[string]picker, len(r.active.Services)),
		snapshots: make(map[string]*snapshot, len(r.active.Services)),
		states:    r.carryOverStates(old.states),
		shared:    make(map[string]*serviceState, len(r.active.Services)),
	}
	nodes := r.nodesByService(next.states)
	for i := range r.active.Services {
		s := &r.active.Services[i]
		shared := old.shared[s.Name]
		if shared == nil {
			shared = &serviceState{clock: &r.clock}
			shared.meanSlowdown.store(1)
		}
		next.shared[s.Name] = shared
		v := newSnapshot(r.active, s, nodes[s.Name], int(r.nextID)+1, shared)
		v.daemons = r.daemons
		next.snapshots[s.Name] = v
		next.pickers[s.Name] = r.newPicker(s, v)
	}
	r.view.Store(next)
}

// carryOverStates returns the state of every member: the one in old, or a new one
// for a new member. The ids of upstreams that are no longer members become free.
func (r *Router) carryOverStates(old map[string]*upstreamState) map[string]*upstreamState {
	states := make(map[string]*upstreamState, len(r.members))
	for _, m := range r.members {
		name := m.Upstream.Name
		if states[name] = old[name]; states[name] == nil {
			states[name] = newUpstreamState(r.newID())
		}
	}
	for name, u := range old {
		if states[name] == nil {
			r.freeIDs = append(r.freeIDs, upstreamID{u.id, u.generation.Load() + 1})
		}
	}
	return states
}

// newID returns an unused id.
func (r *Router) newID() upstreamID {
	if len(r.freeIDs) > 0 {
		id := r.freeIDs[0]
		r.freeIDs = r.freeIDs[1:]
		return id
	}
	r.nextID++
	return upstreamID{id: r.nextID}
}

// nodesByService returns the nodes of each service that can take requests: the
// live ones, or the suspect ones if none is live.
func (r *Router) nodesByService(states map[string]*upstreamState) map[string][]node {
	live := make(map[string][]node)
	suspect := make(map[string][]node)
	for _, m := range r.members {
		n := node{upstreamState: states[m.Upstream.Name], upstream: m.Upstream}
		switch m.State {
		case Live:
			live[m.Upstream.Service] = append(live[m.Upstream.Service], n)
		case Suspect:
			suspect[m.Upstream.Service] = append(suspect[m.Upstream.Service], n)
		}
	}
	for service, nodes := range suspect {
		if len(live[service]) == 0 {
			live[service] = nodes
		}
	}
	return live
}

func (r *Router) newPicker(s *manifest.Service, v *snapshot) picker {
	slots := 0.0
	for i := range v.nodes {
		slots += v.nodes[i].slots
	}
	v.shared.slotTotal.store(slots)
	switch s.Policy {
	case manifest.RoundRobin:
		return roundRobin{v}
	case manifest.LeastInFlight:
		return leastInFlight{v}
	case manifest.PrefixHash:
		return prefixHash{v}
	default:
		return &leastExpectedTime{snapshot: v, prefixes: r.prefixes, terms: r.terms}
	}
}

// ObserveLoad records a load report that arrived at now.
func (r *Router) ObserveLoad(now time.Time, report LoadReport) {
	u := r.view.Load().states[report.Upstream]
	if u == nil {
		return
	}
	t := r.clock.nanos(now)
	u.observeIncarnation(report.Incarnation)
	if report.Leaving {
		u.leaving.Store(true)
	}
	l := &load{LoadReport: report, at: r.clock.nanos(report.At)}
	l.at = min(max(l.at, t-int64(maxLoadAge)), t)
	old := u.load.Load()
	if old != nil && old.Incarnation == report.Incarnation && old.at > l.at {
		return
	}
	l.ownPending, l.ownInFlight = u.history.at(l.at)
	u.load.Store(l)
}

// ObserveCache records changes to an upstream's prefix cache.
func (r *Router) ObserveCache(ev CacheEvents) {
	u := r.view.Load().states[ev.Upstream]
	if u == nil {
		return
	}
	u.observeIncarnation(ev.Incarnation)
	if r.terms&TermEvents == 0 {
		return
	}
	for _, c := range ev.Changes {
		if c.Evicted {
			r.prefixes.evict(c.Block, u)
			continue
		}
		r.prefixes.store(c.Block, u)
	}
}

// observeIncarnation resets the state of an upstream that has restarted.
func (u *upstreamState) observeIncarnation(incarnation int64) {
	for {
		old := u.incarnation.Load()
		if incarnation <= old {
			return // unchanged, or a delayed message of an earlier incarnation
		}
		if !u.incarnation.CompareAndSwap(old, incarnation) {
			continue
		}
		if old != 0 {
			u.reset()
		}
		return
	}
}

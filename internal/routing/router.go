package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// clock converts times to nanoseconds since the first time it met. Where both
// carry a monotonic reading, steps of the wall clock have no effect. It never
// returns less than 0.
type clock struct {
	origin atomic.Pointer[time.Time]
}

func (c *clock) of(t time.Time) int64 {
	o := c.origin.Load()
	if o == nil {
		first := t.Add(-maxLoadAge)
		c.origin.CompareAndSwap(nil, &first)
		o = c.origin.Load()
	}
	return max(int64(t.Sub(*o)), 0)
}

// serviceState is what the snapshots of one service share.
type serviceState struct {
	turn     atomic.Uint64 // of round-robin
	inFlight atomic.Int64  // attempts of this daemon
	pending  atomic.Int64  // its prompt tokens that have no first token yet
	total    atomicFloat   // slots of the newest snapshot
	usual    atomicFloat   // slowness of its upstreams on average
	clock    *clock
}

func (s *serviceState) slots() float64 { return s.total.load() }

// view is the set of pickers in force.
type view struct {
	pickers   map[string]picker
	snapshots map[string]*snapshot
	runners   map[string]*runner
	shared    map[string]*serviceState
}

// Router holds the pickers of all services and learns from attempts, load
// reports and cache events. Its methods may be called from any goroutine.
type Router struct {
	view     atomic.Pointer[view]
	clock    clock
	prefixes *prefixMap
	terms    Terms
	stats    counters

	mu      sync.Mutex // serialises rebuilds
	active  *manifest.Active
	members []Member
	peers   float64
	freeIDs []runnerID
	nextID  uint16
}

// NewRouter returns a router that knows no upstream.
func NewRouter() *Router {
	r := &Router{prefixes: newPrefixMap(), terms: AllTerms, peers: 1}
	r.view.Store(&view{})
	return r
}

// SetTerms restricts the score of the policy expected to the given terms. It
// must be called before Update.
func (r *Router) SetTerms(terms Terms) { r.terms = terms }

// Update rebuilds the pickers for a manifest and the members known of it.
func (r *Router) Update(a *manifest.Active, members []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active, r.members = a, members
	r.rebuild()
}

// SetShare tells which part of all requests this daemon receives, from above
// 0 to 1. The default is 1.
func (r *Router) SetShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := 1 / min(max(share, 1e-4), 1)
	if peers == r.peers {
		return
	}
	r.peers = peers
	if r.active != nil {
		r.rebuild()
	}
}

func (r *Router) rebuild() {
	old := r.view.Load()
	next := &view{
		pickers:   make(map[string]picker, len(r.active.Services)),
		snapshots: make(map[string]*snapshot, len(r.active.Services)),
		runners:   r.keepRunners(old.runners),
		shared:    make(map[string]*serviceState, len(r.active.Services)),
	}
	nodes := r.usable(next.runners)
	for i := range r.active.Services {
		s := &r.active.Services[i]
		shared := old.shared[s.Name]
		if shared == nil {
			shared = &serviceState{clock: &r.clock}
			shared.usual.store(1)
		}
		next.shared[s.Name] = shared
		v := newSnapshot(r.active, s, nodes[s.Name], int(r.nextID)+1, shared)
		v.peers = r.peers
		next.snapshots[s.Name] = v
		next.pickers[s.Name] = r.newPicker(s, v)
	}
	r.view.Store(next)
}

// keepRunners returns the state of every member, new where there was none.
func (r *Router) keepRunners(old map[string]*runner) map[string]*runner {
	kept := make(map[string]*runner, len(r.members))
	for _, m := range r.members {
		name := m.Upstream.Name
		if kept[name] = old[name]; kept[name] == nil {
			kept[name] = newRunner(r.newID())
		}
	}
	for name, x := range old {
		if kept[name] == nil {
			r.freeIDs = append(r.freeIDs, runnerID{x.id, x.generation.Load() + 1})
		}
	}
	return kept
}

// newID returns an id that no member has.
func (r *Router) newID() runnerID {
	if len(r.freeIDs) > 0 {
		id := r.freeIDs[0]
		r.freeIDs = r.freeIDs[1:]
		return id
	}
	r.nextID++
	return runnerID{id: r.nextID}
}

// usable returns the nodes of each service that may take work: the live ones,
// or the suspect ones where none is live.
func (r *Router) usable(runners map[string]*runner) map[string][]node {
	live := make(map[string][]node)
	suspect := make(map[string][]node)
	for _, m := range r.members {
		n := node{runner: runners[m.Upstream.Name], upstream: m.Upstream}
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
	v.shared.total.store(slots)
	switch s.Policy {
	case manifest.RoundRobin:
		return roundRobin{v}
	case manifest.LeastInFlight:
		return leastInFlight{v}
	case manifest.PrefixHash:
		return prefixHash{v}
	default:
		return &expected{snapshot: v, prefixes: r.prefixes, terms: r.terms}
	}
}

// ObserveLoad takes in a load report of an upstream that arrived at now.
func (r *Router) ObserveLoad(now time.Time, report LoadReport) {
	x := r.view.Load().runners[report.Upstream]
	if x == nil {
		return
	}
	t := r.clock.of(now)
	x.observeEpoch(report.Epoch)
	if report.Leaving {
		x.leaving.Store(true)
	}
	l := &load{LoadReport: report, at: r.clock.of(report.At)}
	l.at = min(max(l.at, t-int64(maxLoadAge)), t)
	old := x.load.Load()
	if old != nil && old.Epoch == report.Epoch && old.at > l.at {
		return
	}
	l.pendingThen, l.ownThen = x.history.at(l.at)
	x.load.Store(l)
}

// ObserveCache takes in changes of an upstream's prefix cache.
func (r *Router) ObserveCache(ev CacheEvents) {
	x := r.view.Load().runners[ev.Upstream]
	if x == nil {
		return
	}
	x.observeEpoch(ev.Epoch)
	if r.terms&TermEvents == 0 {
		return
	}
	for _, c := range ev.Changes {
		if c.Evicted {
			r.prefixes.evict(c.Block, x)
			continue
		}
		r.prefixes.store(c.Block, x)
	}
}

// observeEpoch forgets the cache of an upstream that has restarted.
func (r *runner) observeEpoch(epoch int64) {
	for {
		old := r.epoch.Load()
		if epoch <= old {
			return // a late message of an earlier epoch
		}
		if !r.epoch.CompareAndSwap(old, epoch) {
			continue
		}
		if old != 0 {
			r.restarted()
		}
		return
	}
}

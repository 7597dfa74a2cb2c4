package node

import (
	"maps"
	"slices"
	"sync"

	"github.com/lagoonmux/lagoonmux/internal/capacity"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// rosterBuilder turns entries of upstreams into the roster in force.
type rosterBuilder struct {
	node *Node

	mu              sync.Mutex
	rows            map[string]views.Row
	decoded         map[string]decodedRow
	reportedLeaving map[roster.Key]bool // said so in an answer
	current         *roster.Roster
}

// decodedRow is an entry that was translated once.
type decodedRow struct {
	version  int64
	upstream *roster.Upstream // nil for an entry that names none
}

func newRosterBuilder(n *Node) *rosterBuilder {
	return &rosterBuilder{node: n, decoded: make(map[string]decodedRow), reportedLeaving: make(map[roster.Key]bool), current: roster.New(nil)}
}

// onRows takes in all entries.
func (f *rosterBuilder) onRows(rows map[string]views.Row) {
	f.mu.Lock()
	f.rows = rows
	f.mu.Unlock()
	f.rebuild()
}

// markLeaving takes in that an upstream has said in an answer that it leaves; told names
// the daemon that heard it. An upstream that is not known here is left alone: it is
// gone already, or its entry will say so.
func (f *rosterBuilder) markLeaving(k roster.Key, told string) {
	f.mu.Lock()
	u := f.current.Get(k.ID)
	news := u != nil && u.Key() == k && !u.Leaving && !f.reportedLeaving[k]
	if news {
		f.reportedLeaving[k] = true
	}
	f.mu.Unlock()
	if !news {
		return
	}
	f.node.log.Info("upstream leaves", "upstream", k.ID, "born", k.Born, "entry", u.Version, "told_by", told)
	f.rebuild()
}

// leavingKeys returns the upstreams that said in an answer that they leave.
func (f *rosterBuilder) leavingKeys() []roster.Key {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.reportedLeaving))
}

// applyLeaving returns an entry as it is known by its own answers. The caller holds mu.
func (f *rosterBuilder) applyLeaving(u *roster.Upstream) *roster.Upstream {
	if !f.reportedLeaving[u.Key()] || u.Leaving {
		return u
	}
	left := *u
	left.Leaving = true
	return &left
}

// rebuild puts a roster of the entries into force.
func (f *rosterBuilder) rebuild() {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string]decodedRow, len(f.rows))
	var list []*roster.Upstream
	for id, row := range f.rows {
		d, ok := f.decoded[id]
		if !ok || d.version != row.Version {
			d = f.decode(id, row, d.upstream)
		}
		next[id] = d
		if d.upstream != nil {
			list = append(list, f.applyLeaving(d.upstream))
		}
	}
	maps.DeleteFunc(f.reportedLeaving, func(k roster.Key, _ bool) bool {
		d, ok := next[k.ID]
		return !ok || d.upstream == nil || d.upstream.Key() != k
	})
	for id, d := range f.decoded {
		if _, ok := next[id]; !ok && d.upstream != nil {
			f.node.log.Info("upstream gone", "upstream", id, "service", d.upstream.Service, "entry", d.version)
		}
	}
	f.decoded = next
	f.current = roster.New(list)
	f.node.placer.Update(f.current, f.cacheTokens)
}

// decode translates one entry and logs what it changes.
func (f *rosterBuilder) decode(id string, row views.Row, old *roster.Upstream) decodedRow {
	u, err := f.node.DecodeUpstream(id, row.Value, row.Version)
	log := f.node.log
	switch {
	case err != nil:
		log.Warn("entry names no upstream", "upstream", id, "entry", row.Version, "error", err)
		return decodedRow{version: row.Version}
	case old == nil:
		log.Info("upstream known", "upstream", id, "service", u.Service, "zone", u.Zone, "address", u.Address,
			"leaving", u.Leaving, "reclaimable", u.Reclaimable, "entry", row.Version)
	case old.Born != u.Born:
		log.Info("upstream started again", "upstream", id, "born", u.Born, "entry", row.Version)
	case old.Leaving != u.Leaving:
		log.Info("upstream leaves", "upstream", id, "leaving", u.Leaving, "leaves_in", u.LeavesIn, "entry", row.Version)
	}
	return decodedRow{row.Version, u}
}

// cacheTokens returns the memory of a service's engines.
func (f *rosterBuilder) cacheTokens(service string) int {
	c := f.node.proxy.Catalog()
	if c == nil {
		return 0
	}
	if s := c.Services[service]; s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

// anyUsable tells whether any upstream takes requests.
func (f *rosterBuilder) anyUsable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.current.All() {
		if !u.Leaving {
			return true
		}
	}
	return false
}

// countUsable counts the upstreams that take requests.
func (f *rosterBuilder) countUsable() map[capacity.Place]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := make(map[capacity.Place]int)
	for _, u := range f.current.All() {
		if !u.Leaving {
			count[capacity.Place{Service: u.Service, Zone: u.Zone, Kind: capacity.Kind(u.Reclaimable)}]++
		}
	}
	return count
}

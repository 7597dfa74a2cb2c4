package node

import (
	"maps"
	"slices"
	"sync"

	"github.com/lagoonmux/lagoonmux/internal/capacity"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// fleet turns entries of upstreams into the roster in force.
type fleet struct {
	node *Node

	mu      sync.Mutex
	rows    map[string]views.Row
	decoded map[string]decoded
	left    map[roster.Key]bool // said so in an answer
	ros     *roster.Roster
}

// decoded is an entry that was translated once.
type decoded struct {
	version  int64
	upstream *roster.Upstream // nil for an entry that names none
}

func newFleet(n *Node) *fleet {
	return &fleet{node: n, decoded: make(map[string]decoded), left: make(map[roster.Key]bool), ros: roster.New(nil)}
}

// onEntries takes in all entries.
func (f *fleet) onEntries(rows map[string]views.Row) {
	f.mu.Lock()
	f.rows = rows
	f.mu.Unlock()
	f.rebuild()
}

// leaves takes in that an upstream has said in an answer that it leaves; told names
// the daemon that heard it. An upstream that is not known here is left alone: it is
// gone already, or its entry will say so.
func (f *fleet) leaves(k roster.Key, told string) {
	f.mu.Lock()
	u := f.ros.Get(k.ID)
	news := u != nil && u.Key() == k && !u.Leaving && !f.left[k]
	if news {
		f.left[k] = true
	}
	f.mu.Unlock()
	if !news {
		return
	}
	f.node.log.Info("upstream leaves", "upstream", k.ID, "born", k.Incarnation, "entry", u.Version, "told_by", told)
	f.rebuild()
}

// leaving returns the upstreams that said in an answer that they leave.
func (f *fleet) leaving() []roster.Key {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.left))
}

// withLeft returns an entry as it is known by its own answers. The caller holds mu.
func (f *fleet) withLeft(u *roster.Upstream) *roster.Upstream {
	if !f.left[u.Key()] || u.Leaving {
		return u
	}
	left := *u
	left.Leaving = true
	return &left
}

// rebuild puts a roster of the entries into force.
func (f *fleet) rebuild() {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string]decoded, len(f.rows))
	var list []*roster.Upstream
	for id, row := range f.rows {
		d, ok := f.decoded[id]
		if !ok || d.version != row.Version {
			d = f.decode(id, row, d.upstream)
		}
		next[id] = d
		if d.upstream != nil {
			list = append(list, f.withLeft(d.upstream))
		}
	}
	maps.DeleteFunc(f.left, func(k roster.Key, _ bool) bool {
		d, ok := next[k.ID]
		return !ok || d.upstream == nil || d.upstream.Key() != k
	})
	for id, d := range f.decoded {
		if _, ok := next[id]; !ok && d.upstream != nil {
			f.node.log.Info("upstream gone", "upstream", id, "service", d.upstream.Service, "entry", d.version)
		}
	}
	f.decoded = next
	f.ros = roster.New(list)
	f.node.placer.Update(f.ros, f.cacheTokens)
}

// decode translates one entry and logs what it changes.
func (f *fleet) decode(id string, row views.Row, old *roster.Upstream) decoded {
	u, err := f.node.DecodeUpstream(id, row.Value, row.Version)
	log := f.node.log
	switch {
	case err != nil:
		log.Warn("entry names no upstream", "upstream", id, "entry", row.Version, "error", err)
		return decoded{version: row.Version}
	case old == nil:
		log.Info("upstream known", "upstream", id, "service", u.Service, "zone", u.Zone, "address", u.Address,
			"leaving", u.Leaving, "reclaimable", u.Reclaimable, "entry", row.Version)
	case old.Incarnation != u.Incarnation:
		log.Info("upstream started again", "upstream", id, "born", u.Incarnation, "entry", row.Version)
	case old.Leaving != u.Leaving:
		log.Info("upstream leaves", "upstream", id, "leaving", u.Leaving, "leaves_in", u.LeavesIn, "entry", row.Version)
	}
	return decoded{row.Version, u}
}

// cacheTokens returns the memory of a service's engines.
func (f *fleet) cacheTokens(service string) int {
	c := f.node.proxy.Catalog()
	if c == nil {
		return 0
	}
	if s := c.Services[service]; s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

// usable tells whether any upstream takes requests.
func (f *fleet) usable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.ros.All() {
		if !u.Leaving {
			return true
		}
	}
	return false
}

// have counts the upstreams that take requests.
func (f *fleet) have() map[capacity.Pool]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := make(map[capacity.Pool]int)
	for _, u := range f.ros.All() {
		if !u.Leaving {
			count[capacity.Pool{Service: u.Service, Zone: u.Zone, Kind: capacity.Kind(u.Reclaimable)}]++
		}
	}
	return count
}

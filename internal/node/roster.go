package node

import (
	"maps"
	"slices"
	"sync"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/capacity"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// rosterBuilder builds the roster of upstreams from the rows of the upstream table and
// from upstreams' own announcements that they leave. Its methods may be called from any
// goroutine.
type rosterBuilder struct {
	node *Node

	mu              sync.Mutex
	rows            map[string]views.Row  // by upstream ID
	decoded         map[string]decodedRow // by upstream ID
	reportedLeaving map[roster.Key]bool   // upstreams that announced that they leave, and whose row does not say so
	departed        departures
	current         *roster.Roster // in force
}

// decodedRow caches a decoded row, so that each version is decoded and logged once.
type decodedRow struct {
	version  int64
	upstream *roster.Upstream // nil if the row could not be decoded
}

func newRosterBuilder(n *Node) *rosterBuilder {
	return &rosterBuilder{node: n, decoded: make(map[string]decodedRow), reportedLeaving: make(map[roster.Key]bool), departed: make(departures), current: roster.New(nil)}
}

// onRows replaces the rows and rebuilds the roster.
func (b *rosterBuilder) onRows(rows map[string]views.Row) {
	b.mu.Lock()
	b.rows = rows
	b.mu.Unlock()
	b.rebuild()
}

// markLeaving marks an upstream that announced in a response that it leaves; reportedBy
// is the name of the daemon that received the response. It binds also an upstream whose row
// is missing, since the row may return without saying so.
func (b *rosterBuilder) markLeaving(k roster.Key, reportedBy string) {
	b.mu.Lock()
	u := b.current.Get(k.ID)
	b.departed.announced(k, boottime.Now())
	changed := u != nil && u.Key() == k && !u.Leaving && !b.reportedLeaving[k]
	if changed {
		b.reportedLeaving[k] = true
	}
	b.mu.Unlock()
	if !changed {
		return
	}
	b.node.log.Info("upstream leaves", "upstream", k.ID, "born", k.Incarnation, "entry", u.Version, "told_by", reportedBy)
	b.rebuild()
}

// leavingKeys returns the upstreams that announced in a response that they leave.
func (b *rosterBuilder) leavingKeys() []roster.Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.reportedLeaving))
}

// applyLeaving returns the upstream, or a leaving copy of it if it announced in a
// response that it leaves and its row does not say so. The caller holds mu.
func (b *rosterBuilder) applyLeaving(u *roster.Upstream) *roster.Upstream {
	if !b.reportedLeaving[u.Key()] || u.Leaving {
		return u
	}
	leaving := *u
	leaving.Leaving = true
	return &leaving
}

// rebuild builds a roster from the rows and puts it into force. It drops announcements
// of upstreams that are gone or have restarted.
func (b *rosterBuilder) rebuild() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := boottime.Now()
	newest := int64(0)
	next := make(map[string]decodedRow, len(b.rows))
	var list []*roster.Upstream
	for id, row := range b.rows {
		newest = max(newest, row.Version)
		d, ok := b.decoded[id]
		if !ok || d.version != row.Version {
			d = b.decode(id, row, d.upstream)
		}
		next[id] = d
		if d.upstream != nil {
			if b.departed.hasLeft(d.upstream, now) && !d.upstream.Leaving {
				b.reportedLeaving[d.upstream.Key()] = true
			}
			list = append(list, b.applyLeaving(d.upstream))
		}
	}
	maps.DeleteFunc(b.reportedLeaving, func(k roster.Key, _ bool) bool {
		d, ok := next[k.ID]
		return !ok || d.upstream == nil || d.upstream.Key() != k
	})
	for id, d := range b.decoded {
		if _, ok := next[id]; !ok && d.upstream != nil {
			b.departed.gone(d.upstream, newest, now)
			b.node.log.Info("upstream gone", "upstream", id, "service", d.upstream.Service, "entry", d.version)
		}
	}
	b.departed.prune(next, now)
	b.decoded = next
	b.current = roster.New(b.node.rollouts.classify(list))
	b.node.placer.Update(b.current, b.cacheTokens)
	b.node.rollouts.policy.Commit()
}

// decode decodes one row and logs how it differs from old, the upstream in the previous
// version of the row, which may be nil.
func (b *rosterBuilder) decode(id string, row views.Row, old *roster.Upstream) decodedRow {
	u, err := b.node.DecodeUpstream(id, row.Value, row.Version)
	log := b.node.log
	switch {
	case err != nil:
		log.Warn("entry names no upstream", "upstream", id, "entry", row.Version, "error", err)
		return decodedRow{version: row.Version}
	case old == nil:
		log.Info("upstream known", "upstream", id, "service", u.Service, "zone", u.Zone, "address", u.Address,
			"leaving", u.Leaving, "reclaimable", u.Reclaimable, "entry", row.Version)
	case old.Incarnation != u.Incarnation:
		log.Info("upstream started again", "upstream", id, "born", u.Incarnation, "entry", row.Version)
	case old.Leaving != u.Leaving:
		log.Info("upstream leaves", "upstream", id, "leaving", u.Leaving, "leaves_in", u.LeavesIn, "entry", row.Version)
	}
	return decodedRow{row.Version, u}
}

// cacheTokens returns how many prompt tokens an upstream of a service can cache, 0 if
// not known.
func (b *rosterBuilder) cacheTokens(service string) int {
	c := b.node.proxy.Catalog()
	if c == nil {
		return 0
	}
	if s := c.Services[service]; s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

// roster returns the roster in force.
func (b *rosterBuilder) roster() *roster.Roster {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// anyUsable reports whether any upstream accepts requests.
func (b *rosterBuilder) anyUsable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.current.All() {
		if !u.Leaving && u.Cohort != roster.Excluded {
			return true
		}
	}
	return false
}

// countUsable returns the number of stable upstreams that accept requests, by service, zone
// and kind.
func (b *rosterBuilder) countUsable() map[capacity.Pool]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[capacity.Pool]int)
	for _, u := range b.current.All() {
		if !u.Leaving && u.Cohort == roster.Stable {
			counts[capacity.Pool{Service: u.Service, Zone: u.Zone, Kind: capacity.Kind(u.Reclaimable)}]++
		}
	}
	return counts
}

// Package roster holds the upstreams that are known at a moment. A Roster is
// immutable and rebuilt on every change.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// Upstream is one incarnation of a runner.
type Upstream struct {
	ID          string
	Incarnation int64 // unix milliseconds of its start; a new value means that it knows nothing of before
	Service     string
	Address     string
	Zone        string
	Slots       int
	Leaving     bool          // gets no new requests
	Reclaimable bool          // may be taken away with all others of its zone
	LeavesIn    time.Duration // left when it said so; 0 if not known
	Version     int64         // of the entry it was read from
}

// Key names the incarnation.
type Key struct {
	ID          string
	Incarnation int64
}

// Key returns the name of the incarnation.
func (u *Upstream) Key() Key { return Key{u.ID, u.Incarnation} }

// Roster is the list of upstreams by service.
type Roster struct {
	all       map[string]*Upstream
	byService map[string][]*Upstream
	byZone    map[serviceZone][]*Upstream
}

type serviceZone struct{ service, zone string }

// New returns a roster of upstreams. Leaving ones are listed in All only.
func New(upstreams []*Upstream) *Roster {
	r := &Roster{all: make(map[string]*Upstream), byService: make(map[string][]*Upstream), byZone: make(map[serviceZone][]*Upstream)}
	for _, u := range upstreams {
		r.all[u.ID] = u
		if !u.Leaving {
			r.byService[u.Service] = append(r.byService[u.Service], u)
			key := serviceZone{u.Service, u.Zone}
			r.byZone[key] = append(r.byZone[key], u)
		}
	}
	for _, list := range r.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r
}

// Usable returns the upstreams of a service that take new requests, by ID. The
// caller must not change the list.
func (r *Roster) Usable(service string) []*Upstream {
	if r == nil {
		return nil
	}
	return r.byService[service]
}

// UsableIn returns those of them that are in an availability zone, in any order.
// The caller must not change the list.
func (r *Roster) UsableIn(service, zone string) []*Upstream {
	if r == nil {
		return nil
	}
	return r.byZone[serviceZone{service, zone}]
}

// All returns every upstream by ID, leaving ones too. The caller must not
// change it.
func (r *Roster) All() map[string]*Upstream {
	if r == nil {
		return nil
	}
	return r.all
}

// Get returns the upstream with an ID, or nil.
func (r *Roster) Get(id string) *Upstream {
	if r == nil {
		return nil
	}
	return r.all[id]
}

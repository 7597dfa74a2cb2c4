// Package roster holds a snapshot of the known upstreams. A Roster is immutable and
// rebuilt on every change.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// Upstream describes one incarnation of an upstream.
type Upstream struct {
	ID          string
	Incarnation int64 // start time in unix milliseconds; a restart changes it and clears the upstream's cache
	Service     string
	Address     string
	Zone        string
	Software    string        // version of its software; empty if unknown
	Slots       int           // requests that it can run at once
	Leaving     bool          // is shutting down; gets no new requests
	Reclaimable bool          // the cloud may reclaim it, together with all others in its zone
	LeavesIn    time.Duration // time left until shutdown when it was announced; 0 if unknown
	Version     int64         // version of the entry in the store
}

// Key identifies one incarnation of an upstream.
type Key struct {
	ID          string
	Incarnation int64
}

// Key returns the identity of this incarnation.
func (u *Upstream) Key() Key { return Key{u.ID, u.Incarnation} }

// Roster is a set of upstreams indexed by ID, service and zone.
type Roster struct {
	all       map[string]*Upstream
	byService map[string][]*Upstream
	byZone    map[serviceZone][]*Upstream
}

type serviceZone struct{ service, zone string }

// New returns a roster of upstreams. Those that are leaving appear only in All and Get.
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

// Usable returns the upstreams of a service that accept new requests, sorted by ID. The
// caller must not modify the slice.
func (r *Roster) Usable(service string) []*Upstream {
	if r == nil {
		return nil
	}
	return r.byService[service]
}

// UsableIn returns the upstreams of a service in one zone that accept new requests, in any
// order. The caller must not modify the slice.
func (r *Roster) UsableIn(service, zone string) []*Upstream {
	if r == nil {
		return nil
	}
	return r.byZone[serviceZone{service, zone}]
}

// All returns all upstreams by ID, including leaving ones. The caller must not modify
// the map.
func (r *Roster) All() map[string]*Upstream {
	if r == nil {
		return nil
	}
	return r.all
}

// Get returns the upstream with an ID, or nil if it is unknown.
func (r *Roster) Get(id string) *Upstream {
	if r == nil {
		return nil
	}
	return r.all[id]
}

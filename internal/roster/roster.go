// Package roster holds a snapshot of the known upstreams. A Roster is immutable and
// rebuilt on every change.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// Cohort tells which requests an upstream gets while a new version of its service is rolled
// out. Without a roll-out all upstreams are Stable.
type Cohort uint8

const (
	Stable   Cohort = iota // all requests but those for Canary
	Canary                 // the part of the requests that goes to the new version
	Excluded               // none
)

// String returns the name used in logs.
func (c Cohort) String() string { return [...]string{"stable", "canary", "excluded"}[c] }

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
	Cohort      Cohort
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
	byService map[serviceCohort][]*Upstream
	byZone    map[zoneCohort][]*Upstream
}

type serviceCohort struct {
	service string
	cohort  Cohort
}

type zoneCohort struct {
	service, zone string
	cohort        Cohort
}

// New returns a roster of upstreams. Those that are leaving or Excluded appear only in All and
// Get.
func New(upstreams []*Upstream) *Roster {
	r := &Roster{all: make(map[string]*Upstream), byService: make(map[serviceCohort][]*Upstream), byZone: make(map[zoneCohort][]*Upstream)}
	for _, u := range upstreams {
		r.all[u.ID] = u
		if !u.Leaving && u.Cohort != Excluded {
			key := serviceCohort{u.Service, u.Cohort}
			r.byService[key] = append(r.byService[key], u)
			zone := zoneCohort{u.Service, u.Zone, u.Cohort}
			r.byZone[zone] = append(r.byZone[zone], u)
		}
	}
	for _, list := range r.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r
}

// Usable returns the stable upstreams of a service that accept new requests, sorted by ID. The
// caller must not modify the slice.
func (r *Roster) Usable(service string) []*Upstream { return r.UsableOf(service, Stable) }

// UsableOf is Usable for a cohort.
func (r *Roster) UsableOf(service string, c Cohort) []*Upstream {
	if r == nil {
		return nil
	}
	return r.byService[serviceCohort{service, c}]
}

// UsableIn returns the upstreams of a service and cohort in one zone that accept new requests,
// in any order. The caller must not modify the slice.
func (r *Roster) UsableIn(service, zone string, c Cohort) []*Upstream {
	if r == nil {
		return nil
	}
	return r.byZone[zoneCohort{service, zone, c}]
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

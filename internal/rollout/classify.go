package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

func hash64(text string) uint64 { return xxhash.Sum64String(text) }

// hash32 is the hash of a route's name; 0 stands for no single route.
func hash32(text string) uint32 { return max(uint32(hash64(text)), 1) }

// RouteHash returns the key of a route in Report.Routes.
func RouteHash(name string) uint32 { return hash32(name) }

// hashFraction maps a text to a number from 0 to below 1.
func hashFraction(text string) float64 { return float64(hash64(text)>>11) / (1 << 53) }

// Orders returns the version up to which the table of orders is known and the services that have
// an order there. It is called if upstreams are held back.
type Orders func() (known int64, ordered map[string]bool)

// Classify returns the upstreams with their cohorts. Those that are Stable are the same as in
// list, the others are copies.
func (p *Policy) Classify(list []*roster.Upstream, orders Orders) []*roster.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	byService := make(map[string][]*roster.Upstream)
	for _, u := range list {
		byService[u.Service] = append(byService[u.Service], u)
	}
	for name, s := range p.services {
		if byService[name] == nil {
			s.fleet, s.canaries, s.classified = Fleet{}, 0, s.state.Revision
			clear(s.held)
		}
	}
	for name, upstreams := range byService {
		p.service(name).release(name, upstreams, orders)
	}
	out := make([]*roster.Upstream, 0, len(list))
	for name, upstreams := range byService {
		out = append(out, p.services[name].classify(upstreams)...)
	}
	return out
}

// HoldsBack reports whether upstreams are held back until orders are known.
func (p *Policy) HoldsBack() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		if len(s.held) > 0 {
			return true
		}
	}
	return false
}

// release updates which versions are held back: those that no order names may get requests once
// it is known that there was no order when their first upstream registered.
func (s *service) release(name string, upstreams []*roster.Upstream, orders Orders) {
	present := make(map[string]int64)
	for _, u := range upstreams {
		if first, ok := present[u.Software]; s.mustHold(u.Software) && (!ok || u.Version < first) {
			present[u.Software] = u.Version
		}
	}
	for v, first := range s.held {
		if now, ok := present[v]; ok {
			present[v] = min(first, now)
		}
	}
	s.held = present
	if len(present) == 0 || s.order != nil {
		return
	}
	known, ordered := orders()
	if ordered[name] {
		return
	}
	for v, first := range present {
		if known >= first {
			s.allowed[v] = true
			delete(s.held, v)
		}
	}
}

// mustHold reports whether it is not known that upstreams of a version may get requests, and no
// order or state says so.
func (s *service) mustHold(version string) bool {
	switch {
	case version == "" || s.allowed[version]:
		return false
	case s.order != nil && s.order.To == version:
		return false
	case s.state.Revision == 0:
		return s.order == nil || len(s.allowed) > 0 // a daemon that has just started knows none
	}
	return version != s.state.To && !slices.Contains(s.state.Allowed, version) && !slices.Contains(s.state.Barred, version)
}

// classify returns the upstreams of a service with their cohorts.
func (s *service) classify(upstreams []*roster.Upstream) []*roster.Upstream {
	var usableNew []*roster.Upstream // usable ones of the state's version
	for _, u := range upstreams {
		if !u.Leaving && s.state.Revision > 0 && u.Software == s.state.To {
			usableNew = append(usableNew, u)
		}
	}
	slices.SortFunc(usableNew, func(a, b *roster.Upstream) int {
		return cmp.Or(cmp.Compare(hash64(a.ID), hash64(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	limit := len(usableNew)
	if s.state.Canaries > 0 {
		limit = min(limit, s.state.Canaries)
	}
	out := make([]*roster.Upstream, len(upstreams))
	s.canaries = 0
	for i, u := range upstreams {
		c := s.cohort(u, len(usableNew) > 0, func() bool { return slices.Contains(usableNew[:limit], u) })
		if c == roster.Canary && !u.Leaving {
			s.canaries++
		}
		out[i] = withCohort(u, c)
	}
	s.fleet, s.classified = s.countFleet(out), s.state.Revision
	return out
}

func withCohort(u *roster.Upstream, c roster.Cohort) *roster.Upstream {
	if u.Cohort == c {
		return u
	}
	copied := *u
	copied.Cohort = c
	return &copied
}

// cohort returns the cohort of an upstream. anyNew is set if upstreams of the state's version
// are usable; isCanary reports whether this one is among the first of them.
func (s *service) cohort(u *roster.Upstream, anyNew bool, isCanary func() bool) roster.Cohort {
	v := u.Software
	_, held := s.held[v]
	switch {
	case held:
		return roster.Excluded
	case s.pending() && v == s.order.To && !s.served(v):
		return roster.Excluded
	case s.state.Revision == 0:
		return roster.Stable
	case slices.Contains(s.state.Barred, v):
		return roster.Excluded
	case v != s.state.To:
		if s.state.Phase == Done && anyNew && (v == "" || slices.Contains(s.state.Allowed, v)) {
			return roster.Excluded // the old upstreams stop
		}
		return roster.Stable
	case s.state.Phase == Done:
		return roster.Stable
	case s.state.Phase == RolledBack:
		if !s.state.Bad && slices.Contains(s.state.Allowed, v) {
			return roster.Stable // it got requests before the order, which was withdrawn
		}
		return roster.Excluded
	}
	if isCanary() {
		return roster.Canary
	}
	return roster.Excluded
}

// pending reports whether there is an order that the state is not for.
func (s *service) pending() bool { return s.order != nil && !s.state.Of(*s.order) }

// served reports whether upstreams of a version may get requests but for a pending order.
func (s *service) served(version string) bool {
	return s.allowed[version] || s.state.Phase == Done && s.state.To == version || slices.Contains(s.state.Allowed, version)
}

// countFleet describes the usable upstreams for the next decision.
func (s *service) countFleet(upstreams []*roster.Upstream) Fleet {
	to := s.state.To
	if s.order != nil {
		to = s.order.To
	}
	var f Fleet
	for _, u := range upstreams {
		switch {
		case u.Leaving:
		case u.Software == to:
			f.New++
			f.NewServed = f.NewServed || u.Cohort == roster.Stable
		case u.Cohort == roster.Stable:
			f.Old++
			if u.Software != "" {
				f.Versions = append(f.Versions, u.Software)
			}
		}
	}
	f.Versions = tidy(f.Versions)
	return f
}

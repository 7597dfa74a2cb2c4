package mesh

import (
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
)

// Role is what a daemon is to the others.
type Role int

// Roles.
const (
	Direct Role = iota // one of few, which all tell each other
	Hub                // gathers for others
	Member             // has a hub, or looks for one
)

// String returns the name used in logs.
func (r Role) String() string { return [...]string{"direct", "hub", "member"}[r] }

// interval returns the time between two calls to a daemon. The caller holds mu.
func (m *Mesh) interval() time.Duration {
	if m.role == Direct {
		return directInterval
	}
	return hubInterval
}

// reachTimeout returns how long a daemon counts as reached. The caller holds mu.
func (m *Mesh) reachTimeout() time.Duration { return max(minReachTimeout, reachIntervals*m.interval()) }

// Interval returns the time between two calls to a daemon.
func (m *Mesh) Interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interval()
}

// Role returns what this daemon is to the others.
func (m *Mesh) Role() Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role
}

// isMember tells whether a daemon belongs to this one's group. The caller holds mu.
func (m *Mesh) isMember(p *Peer, now time.Duration) bool {
	return p.memberAt > 0 && now-p.memberAt <= m.reachTimeout() && !p.State.Leaving
}

// groupIDs returns the hashes of this daemon's name and of those of its members. The
// caller holds mu.
func (m *Mesh) groupIDs(now time.Duration) []uint64 {
	list := []uint64{m.selfID}
	if m.role == Direct {
		return list
	}
	for _, p := range m.peers {
		if m.isMember(p, now) {
			list = append(list, p.id)
		}
	}
	return list
}

// AdmissionCounts returns how many daemons may admit requests, with this one, how many of
// them are in touch, and how many this one answers for.
func (m *Mesh) AdmissionCounts() (all, touched, group int) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.count(now)
	if m.role == Member {
		return c.all, 1, 1 // what it admits without its hub nobody knows
	}
	return c.all, c.reachable, len(m.groupIDs(now))
}

// Count returns how many daemons there are with this one, and how many of them
// are in touch.
func (m *Mesh) Count() (all, touched int) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.count(now)
	return c.all, c.reachable
}

// count is Count. The caller holds mu.
func (m *Mesh) count(now time.Duration) counts {
	switch m.role {
	case Direct:
		return m.countPeers(now)
	case Hub:
		return m.countIDs(now)
	}
	if m.hub == "" || now-m.hubCountsAt > m.reachTimeout() {
		return counts{max(m.hubCounts.all, 1), 1}
	}
	return m.hubCounts
}

func (m *Mesh) countPeers(now time.Duration) counts {
	c := counts{1, 1}
	touch := m.reachTimeout()
	for _, p := range m.peers {
		if p.State != nil && p.State.Leaving && now-p.heardAt > touch {
			continue // stopped as planned
		}
		if now-max(p.heardAt, p.learnedAt) > PresumeAlive {
			continue
		}
		c.all++
		if p.heardAt > 0 && now-p.heardAt <= touch {
			c.reachable++
		}
	}
	return c
}

func (m *Mesh) countIDs(now time.Duration) counts {
	c := counts{1, 1}
	touch := m.reachTimeout()
	for other, at := range m.lastHeard {
		switch {
		case other == m.selfID:
		case now-at > PresumeAlive:
			delete(m.lastHeard, other)
		case now-at <= touch:
			c.all++
			c.reachable++
		default:
			c.all++
		}
	}
	return c
}

// plan decides on this daemon's role and returns the addresses that it calls.
func (m *Mesh) plan(now time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired(now)
	hubs := selectHubs(m.hubCandidates(now))
	before := m.role
	m.updateRole(hubs, now)
	if m.role != before {
		c := m.count(now)
		m.Log.Info("role changed", "role", m.role.String(), "before", before.String(), "daemons", c.all, "in_touch", c.reachable)
	}
	var list []string
	switch m.role {
	case Direct:
		for _, p := range m.peers {
			list = append(list, p.Daemon.Address)
		}
	case Hub:
		list = m.otherHubs(hubs, now)
	case Member:
		list = m.chooseHub(rankHubs(m.Self, hubs), now)
	}
	if m.isolated(now) {
		list = append(list, m.Seeds...)
	}
	return slices.DeleteFunc(list, func(a string) bool { return a == m.Self.Address })
}

// hubCandidates returns the daemons that may be hubs: those that are not known to be down.
// The caller holds mu.
func (m *Mesh) hubCandidates(now time.Duration) []candidate {
	list := []candidate{{m.Self, m.selfID}}
	for _, p := range m.peers {
		leaving := p.State != nil && p.State.Leaving
		if now >= p.downUntil && !leaving {
			list = append(list, candidate{p.Daemon, p.id})
		}
	}
	return list
}

// updateRole sets the role. The caller holds mu.
func (m *Mesh) updateRole(hubs map[string][]*meshpb.Daemon, now time.Duration) {
	all := m.count(now).all
	if m.role == Member && m.hub == "" {
		all = max(all, len(m.peers)+1)
	}
	if all <= returnToDirect || m.role == Direct && all <= maxDirect {
		m.role, m.hub = Direct, ""
		return
	}
	gathers := slices.ContainsFunc(hubs[m.Self.Zone], func(d *meshpb.Daemon) bool { return d.Name == m.Self.Name })
	for _, p := range m.peers {
		gathers = gathers || m.isMember(p, now)
	}
	if gathers {
		m.role, m.hub = Hub, ""
		return
	}
	if m.role != Member {
		m.hubCounts = counts{all, 1}
	}
	m.role = Member
}

// otherHubs returns the addresses of the hubs that are computed and of those that
// act as such. The caller holds mu.
func (m *Mesh) otherHubs(hubs map[string][]*meshpb.Daemon, now time.Duration) []string {
	var list []string
	for _, all := range hubs {
		for _, d := range all {
			list = append(list, d.Address)
		}
	}
	for _, p := range m.peers {
		if p.hubAt > 0 && now-p.hubAt <= m.reachTimeout() && !slices.Contains(list, p.Daemon.Address) {
			list = append(list, p.Daemon.Address)
		}
	}
	return list
}

// chooseHub takes the first hub of the list that answers as this daemon's own and
// returns whom to call: that one, and the first one while it does not answer. The
// caller holds mu.
func (m *Mesh) chooseHub(hubs []*meshpb.Daemon, now time.Duration) []string {
	answers := func(name string) bool {
		p := m.peers[name]
		return p != nil && p.heardAt > 0 && now-p.heardAt <= m.reachTimeout() && p.failures < downAfterFailures
	}
	before := m.hub
	switch {
	case len(hubs) > 0 && answers(hubs[0].Name):
		m.hub = hubs[0].Name
	case !answers(m.hub):
		m.hub = ""
	}
	if m.hub != before && m.hub != "" {
		m.Log.Info("hub chosen", "peer", m.hub, "before", before)
	}
	var list []string
	if len(hubs) > 0 {
		list = append(list, hubs[0].Address)
	}
	if p := m.peers[m.hub]; p != nil && m.hub != hubs[0].Name {
		list = append(list, p.Daemon.Address)
	}
	return list
}

// isolated tells whether no other daemon is in touch. The caller holds mu.
func (m *Mesh) isolated(now time.Duration) bool {
	for _, p := range m.peers {
		if p.heardAt > 0 && now-p.heardAt <= m.reachTimeout() {
			return false
		}
	}
	return true
}

// removeExpired drops daemons that are gone for good. The caller holds mu.
func (m *Mesh) removeExpired(now time.Duration) {
	for name, p := range m.peers {
		if !p.listed && now-max(p.heardAt, p.learnedAt) > removeAfter {
			delete(m.peers, name)
		}
	}
}

// recordFailure notes that a call to a daemon failed.
func (m *Mesh) recordFailure(address string, err error, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if p.Daemon.Address != address {
			continue
		}
		p.failures++
		if p.failures == lostAfterFailures {
			m.Log.Warn("daemon lost", "peer", name, "address", address, "error", err)
		}
		if p.failures >= downAfterFailures {
			p.downUntil = now + min(minDown<<min(p.failures-downAfterFailures, maxDownShift), maxDown)
		}
	}
}

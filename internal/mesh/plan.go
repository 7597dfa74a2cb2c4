package mesh

import (
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
)

// Role is a daemon's part in the exchange of States.
type Role int

// Roles.
const (
	Direct Role = iota // exchanges States with every other daemon; there are no hubs
	Hub                // aggregates the States of its members
	Member             // has a hub, or is looking for one
)

// String returns the name used in logs.
func (r Role) String() string { return [...]string{"direct", "hub", "member"}[r] }

// interval implements Interval. The caller holds mu.
func (m *Mesh) interval() time.Duration {
	if m.role == Direct {
		return directInterval
	}
	return hubInterval
}

// reachTimeout returns how long a daemon counts as reachable after its last State.
// The caller holds mu.
func (m *Mesh) reachTimeout() time.Duration { return max(minReachTimeout, reachIntervals*m.interval()) }

// Interval returns the time between two calls to the same daemon.
func (m *Mesh) Interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interval()
}

// Role returns this daemon's current role.
func (m *Mesh) Role() Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role
}

// isMember reports whether a daemon is a reachable member of this daemon's group. The
// caller holds mu.
func (m *Mesh) isMember(p *Peer, now time.Duration) bool {
	return p.memberAt > 0 && now-p.memberAt <= m.reachTimeout() && !p.State.Leaving
}

// groupIDs returns the hashes of the names of this daemon and its members. The caller
// holds mu.
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

// AdmissionCounts returns how many daemons may admit requests, how many of them are
// reachable and for how many of them this daemon decides, itself always included. A
// member counts only itself as reachable: the other daemons do not know what it
// admits without its hub.
func (m *Mesh) AdmissionCounts() (all, reachable, group int) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.countDaemons(now)
	if m.role == Member {
		return c.all, 1, 1
	}
	return c.all, c.reachable, len(m.groupIDs(now))
}

// CountDaemons returns the number of daemons that may admit requests and how many of them
// are reachable, directly or through hubs, this daemon included.
func (m *Mesh) CountDaemons() (all, reachable int) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.countDaemons(now)
	return c.all, c.reachable
}

// CountSenders is like CountDaemons and counts the daemons that may send requests to
// upstreams: an unreachable one counts for presumeSending. A member knows only the number
// that its hub sent last.
func (m *Mesh) CountSenders() (all, reachable int) { return m.countSendersAt(boottime.Now()) }

func (m *Mesh) countSendersAt(now time.Duration) (all, reachable int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := daemonCounts{max(m.hubCounts.all, 1), 1}
	switch m.role {
	case Direct:
		c = m.countPeers(presumeSending, now)
	case Hub:
		c = m.countIDs(presumeSending, now)
	}
	return c.all, c.reachable
}

// SenderShare returns the fraction that this daemon and those that it decides for may use
// of what all daemons together may send to upstreams beyond their callers' requests. It
// is 0 for a member that has a hub, which spends the group's share.
func (m *Mesh) SenderShare() float64 { return m.senderShareAt(boottime.Now()) }

func (m *Mesh) senderShareAt(now time.Duration) float64 {
	all, _ := m.countSendersAt(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != Member {
		return float64(len(m.groupIDs(now))) / float64(all)
	}
	if m.countDaemons(now).reachable > 1 {
		return 0
	}
	return 1 / float64(all)
}

// countDaemons implements CountDaemons. The caller holds mu.
func (m *Mesh) countDaemons(now time.Duration) daemonCounts {
	switch m.role {
	case Direct:
		return m.countPeers(PresumeAlive, now)
	case Hub:
		return m.countIDs(PresumeAlive, now)
	}
	if m.hub == "" || now-m.hubCountsAt > m.reachTimeout() {
		return daemonCounts{max(m.hubCounts.all, 1), 1}
	}
	return m.hubCounts
}

// countPeers implements CountDaemons for a deployment without hubs, in which this daemon calls
// every other. A daemon counts for the time presumed after it was last heard. The caller
// holds mu.
func (m *Mesh) countPeers(presumed, now time.Duration) daemonCounts {
	c := daemonCounts{1, 1}
	timeout := m.reachTimeout()
	for _, p := range m.peers {
		if p.State != nil && p.State.Leaving && now-p.heardAt > timeout {
			continue // has shut down gracefully
		}
		if now-max(p.heardAt, p.learnedAt) > presumed {
			continue
		}
		c.all++
		if p.heardAt > 0 && now-p.heardAt <= timeout {
			c.reachable++
		}
	}
	return c
}

// countIDs implements CountDaemons for a hub. It counts the daemons that have sent it a State,
// that another hub has reported as belonging to its group, or that it has just learned
// of, for the time presumed after that. The caller holds mu.
func (m *Mesh) countIDs(presumed, now time.Duration) daemonCounts {
	c := daemonCounts{1, 1}
	timeout := m.reachTimeout()
	for hash, at := range m.lastHeard {
		switch {
		case hash == m.selfID:
		case now-at > presumeSending:
			delete(m.lastHeard, hash)
		case now-at > presumed:
		case now-at <= timeout:
			c.all++
			c.reachable++
		default:
			c.all++
		}
	}
	return c
}

// plan updates this daemon's role and returns the addresses to call.
func (m *Mesh) plan(now time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired(now)
	hubs := selectHubs(m.hubCandidates(now))
	before := m.role
	m.updateRole(hubs, now)
	if m.role != before {
		c := m.countDaemons(now)
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

// hubCandidates returns the daemons that may be selected as hubs: those that are
// neither down nor leaving. The caller holds mu.
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

// updateRole sets this daemon's role. With too many daemons for direct exchange, a
// daemon is a hub if it is selected as one or has members. The caller holds mu.
func (m *Mesh) updateRole(hubs map[string][]*meshpb.Daemon, now time.Duration) {
	all := m.countDaemons(now).all
	if m.role == Member && m.hub == "" {
		all = max(all, len(m.peers)+1)
	}
	if all <= returnToDirect || m.role == Direct && all <= maxDirect {
		m.role, m.hub = Direct, ""
		return
	}
	isHub := slices.ContainsFunc(hubs[m.Self.Zone], func(d *meshpb.Daemon) bool { return d.Name == m.Self.Name })
	for _, p := range m.peers {
		isHub = isHub || m.isMember(p, now)
	}
	if isHub {
		m.role, m.hub = Hub, ""
		return
	}
	if m.role != Member {
		m.hubCounts = daemonCounts{all, 1}
	}
	m.role = Member
}

// otherHubs returns the addresses of the selected hubs and of other daemons that act
// as hubs. The caller holds mu.
func (m *Mesh) otherHubs(hubs map[string][]*meshpb.Daemon, now time.Duration) []string {
	var list []string
	for _, zoneHubs := range hubs {
		for _, d := range zoneHubs {
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

// chooseHub selects this member's hub and returns the addresses to call. hubs are in
// order of preference. The member uses the first hub if that answers; otherwise it
// stays with its present hub as long as that answers, and calls the first one too.
// The caller holds mu.
func (m *Mesh) chooseHub(hubs []*meshpb.Daemon, now time.Duration) []string {
	answers := func(name string) bool {
		p := m.peers[name]
		return p != nil && m.answers(p, now)
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

// answers reports whether a daemon answers calls. The caller holds mu.
func (m *Mesh) answers(p *Peer, now time.Duration) bool {
	return p.heardAt > 0 && now-p.heardAt <= m.reachTimeout() && p.failures < downAfterFailures
}

// isolated reports whether no other daemon is reachable. The caller holds mu.
func (m *Mesh) isolated(now time.Duration) bool {
	for _, p := range m.peers {
		if p.heardAt > 0 && now-p.heardAt <= m.reachTimeout() {
			return false
		}
	}
	return true
}

// removeExpired removes daemons that are not in the store, if for removeAfter they have
// sent no State and no new incarnation of them became known. The caller holds mu.
func (m *Mesh) removeExpired(now time.Duration) {
	for name, p := range m.peers {
		if !p.listed && now-max(p.heardAt, p.learnedAt) > removeAfter {
			delete(m.peers, name)
		}
	}
}

// recordFailure counts a failed call to the daemon at an address. A daemon with
// several failures in a row is logged as lost and not selected as a hub for some time.
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
		if p.failures == downAfterFailures {
			m.planSoon() // it may have been this member's hub
		}
		if p.failures >= downAfterFailures {
			p.downUntil = now + min(minDownTime<<min(p.failures-downAfterFailures, maxDownShift), maxDownTime)
		}
	}
}

package mesh

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
)

// Arbiter returns the address of the daemon to ask about an upstream's rate, or whether
// it is this daemon. The arbiter is chosen by rendezvous hashing among the reachable
// daemons that are not leaving; with hubs, among the hubs. A member asks its hub, which
// knows the other hubs. The address is empty if there is no daemon to ask.
func (m *Mesh) Arbiter(upstream uint64) (address string, self bool) {
	return m.arbiterAt(upstream, boottime.Now())
}

func (m *Mesh) arbiterAt(upstream uint64, now time.Duration) (address string, self bool) {
	leaving := m.Leaving != nil && m.Leaving()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role == Member {
		if p := m.peers[m.hub]; p != nil {
			return p.Daemon.Address, false
		}
		return "", false
	}
	best := uint64(0)
	if self = !leaving; self {
		best = arbiterScore(m.selfID, upstream)
	}
	for _, p := range m.peers {
		if !m.mayArbitrate(p, now) {
			continue
		}
		if score := arbiterScore(p.id, upstream); score > best {
			best, address, self = score, p.Daemon.Address, false
		}
	}
	return address, self || address == ""
}

// Witness returns the address of another reachable daemon, one in another availability zone if there
// is one, that can tell whether an upstream responds; empty if there is none. Each turn may return
// another one. A member's witness is its hub.
func (m *Mesh) Witness(upstream uint64, turn int) (address string) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role == Member {
		if p := m.peers[m.hub]; p != nil {
			return p.Daemon.Address
		}
		return ""
	}
	best, elsewhere := uint64(0), false
	for _, p := range m.peers {
		other := p.Daemon.Zone != m.Self.Zone
		if !m.mayArbitrate(p, now) || elsewhere && !other {
			continue
		}
		if score := arbiterScore(p.id, upstream+uint64(turn)); score > best || other && !elsewhere {
			best, elsewhere, address = score, other, p.Daemon.Address
		}
	}
	return address
}

// mayArbitrate reports whether a daemon is reachable, not leaving and, in a deployment with
// hubs, a hub. The caller holds mu.
func (m *Mesh) mayArbitrate(p *Peer, now time.Duration) bool {
	heardAt := p.heardAt
	if m.role == Hub {
		heardAt = p.hubAt
	}
	return heardAt > 0 && now-heardAt <= m.reachTimeout() && !p.State.Leaving
}

// arbiterScore returns the weight of a daemon, given by the hash of its name, as the
// arbiter of an upstream.
func arbiterScore(daemon, upstream uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, daemon), upstream))
}

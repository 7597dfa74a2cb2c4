package node

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// upstreamHold is how long an entry that lapsed while the store was away may take
	// to come back.
	upstreamHold = 2 * time.Second
	// maxChangeWait bounds how long a connection to the store that went silent hides
	// changes: it must be well under the two seconds in which these are in force.
	maxChangeWait = 1500 * time.Millisecond
	// maxHubWait is the same for hubs, whose members are to know soon that they read.
	maxHubWait = 750 * time.Millisecond
	// upstreamReadDelay is the least time between two reads of the entries of upstreams: those that
	// are ordered, or reclaimed, together change one after the other.
	upstreamReadDelay = 200 * time.Millisecond
	// daemonListWait is the same for the addresses of daemons, which these also tell
	// each other.
	daemonListWait = 10 * time.Second
	// daemonReadDelay is the least time between two reads of these: at a start of all, each
	// writes its own within a second.
	daemonReadDelay = time.Second
	// hubReadDelay and memberGap are the least times between two reads of changes by hubs, and
	// by members as long as no hub reads for them.
	hubReadDelay    = 100 * time.Millisecond
	memberReadDelay = 500 * time.Millisecond
	// delegationAge is how recently a hub must have read the store for its members to rest:
	// its reads wait for hubWait, and its word takes an exchange or two.
	delegationAge = 2 * time.Second
)

func (n *Node) newViews() {
	view := func(table string, wait, hold, least time.Duration, changed func(map[string]views.Row)) *views.View {
		return views.New(n.Store, views.Config{
			Table:      table,
			Log:        n.log.Named("views"),
			Wait:       func() time.Duration { return n.changeWait(wait) },
			HoldFor:    hold,
			OthersRead: func() bool { return n.mesh.PeersReadStore() },
			Idle:       n.delegated,
			Gap:        func() time.Duration { return n.readDelay(least) },
			Changed:    changed,
		})
	}
	n.configView = view(n.ConfigTable, maxChangeWait, 0, 0, n.onConfig)
	n.upstreamView = view(n.UpstreamTable, maxChangeWait, upstreamHold, upstreamReadDelay, n.roster.onRows)
	n.daemonView = view(daemonTable, daemonListWait, 0, daemonReadDelay, n.onDaemonRows)
}

// changeWait returns how long the store may keep a read waiting: hubs also read for
// their members, who are to know soon that it still answers.
func (n *Node) changeWait(wait time.Duration) time.Duration {
	if n.mesh.Role() == mesh.Hub {
		return min(wait, maxHubWait)
	}
	return wait
}

// readDelay returns the least time between two reads of changes. Where many daemons
// start together, upstreams and daemons enter themselves one by one, and each change
// read by itself by all would be thousands of calls.
func (n *Node) readDelay(least time.Duration) time.Duration {
	switch n.mesh.Role() {
	case mesh.Hub:
		return max(least, hubReadDelay)
	case mesh.Member:
		return max(least, memberReadDelay)
	}
	return least
}

// delegated tells whether a hub reads the store for this daemon.
func (n *Node) delegated() bool {
	return n.mesh.Role() == mesh.Member && n.mesh.PeersReadAge() < delegationAge
}

// StoreUp returns for how long the store has answered, 0 while it does not. Any
// goroutine may call it.
func (n *Node) StoreUp() time.Duration {
	if n.upstreamView.ReadAge() > maxFreshAge {
		return 0 // also after a pause of the process
	}
	return n.upstreamView.UpFor()
}

package node

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// entryHold is how long an entry that lapsed while the store was away may take
	// to come back.
	entryHold = 2 * time.Second
	// changeWait bounds how long a connection to the store that went silent hides
	// changes: it must be well under the two seconds in which these are in force.
	changeWait = 1500 * time.Millisecond
	// hubWait is the same for hubs, whose members are to know soon that they read.
	hubWait = 750 * time.Millisecond
	// entryGap is the least time between two reads of the entries of upstreams: those that
	// are ordered, or reclaimed, together change one after the other.
	entryGap = 200 * time.Millisecond
	// daemonWait is the same for the addresses of daemons, which these also tell
	// each other.
	daemonWait = 10 * time.Second
	// daemonGap is the least time between two reads of these: at a start of all, each
	// writes its own within a second.
	daemonGap = time.Second
	// hubGap and memberGap are the least times between two reads of changes by hubs, and
	// by members as long as no hub reads for them.
	hubGap    = 100 * time.Millisecond
	memberGap = 500 * time.Millisecond
	// restAge is how recently a hub must have read the store for its members to rest:
	// its reads wait for hubWait, and its word takes an exchange or two.
	restAge = 2 * time.Second
)

func (n *Node) newViews() {
	view := func(table string, wait, hold, least time.Duration, changed func(map[string]views.Row)) *views.View {
		return views.New(n.Store, views.Config{
			Table:          table,
			Log:            n.log.Named("views"),
			MaxWait:        func() time.Duration { return n.waitFor(wait) },
			HoldFor:        hold,
			PeersReadStore: func() bool { return n.mesh.OthersRead() },
			Delegated:      n.rests,
			ReadDelay:      func() time.Duration { return n.gapFor(least) },
			OnChange:       changed,
		})
	}
	n.config = view(n.ConfigTable, changeWait, 0, 0, n.onConfig)
	n.entries = view(n.UpstreamTable, changeWait, entryHold, entryGap, n.fleet.onEntries)
	n.daemons = view(daemonTable, daemonWait, 0, daemonGap, n.onDaemons)
}

// waitFor returns how long the store may keep a read waiting: hubs also read for
// their members, who are to know soon that it still answers.
func (n *Node) waitFor(wait time.Duration) time.Duration {
	if n.mesh.Role() == mesh.Hub {
		return min(wait, hubWait)
	}
	return wait
}

// gapFor returns the least time between two reads of changes. Where many daemons
// start together, upstreams and daemons enter themselves one by one, and each change
// read by itself by all would be thousands of calls.
func (n *Node) gapFor(least time.Duration) time.Duration {
	switch n.mesh.Role() {
	case mesh.Hub:
		return max(least, hubGap)
	case mesh.Member:
		return max(least, memberGap)
	}
	return least
}

// rests tells whether a hub reads the store for this daemon.
func (n *Node) rests() bool {
	return n.mesh.Role() == mesh.Member && n.mesh.OthersReadAge() < restAge
}

// StoreUp returns for how long the store has answered, 0 while it does not. Any
// goroutine may call it.
func (n *Node) StoreUp() time.Duration {
	if n.entries.ReadAge() > freshFor {
		return 0 // also after a pause of the process
	}
	return n.entries.UpFor()
}

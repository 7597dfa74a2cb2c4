package node

import (
	"context"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// upstreamHold is how long the row of an upstream that expired during an outage of the
	// store is kept, so that the upstream can write it again.
	upstreamHold = 2 * time.Second
	// maxChangeWait is how long the store may hold a read that waits for changes. If a
	// connection to the store hangs, changes stay unseen for that long; it must be well
	// below the 2 s within which a change must be in force.
	maxChangeWait = 1500 * time.Millisecond
	// maxHubWait is the same for hubs. It is shorter because their members must soon learn
	// whether the hub can still read the store.
	maxHubWait = 750 * time.Millisecond
	// upstreamReadDelay is the least time between two reads of changes of the upstream
	// table. Upstreams that are ordered or reclaimed together change their rows one after
	// the other.
	upstreamReadDelay = 200 * time.Millisecond
	// daemonListWait is how long the store may hold a read that waits for changes of the
	// daemon table. It may be long: daemons also learn addresses from each other.
	daemonListWait = 10 * time.Second
	// daemonReadDelay is the least time between two reads of changes of the daemon table.
	// When all daemons start together, each writes its row within a second.
	daemonReadDelay = time.Second
	// hubReadDelay and memberReadDelay are the least times between two reads of changes by
	// a hub, and by a member while no hub reads for it.
	hubReadDelay    = 100 * time.Millisecond
	memberReadDelay = 500 * time.Millisecond
	// firstReadPoll is the interval of checks whether the store has answered for the first
	// time.
	firstReadPoll = 20 * time.Millisecond
)

// newViews creates the local copies of the store's tables.
func (n *Node) newViews() {
	viewWith := func(table string, wait func() time.Duration, hold, minDelay time.Duration, onChange func(map[string]views.Row)) *views.View {
		return views.New(n.Store, views.Config{
			Table:          table,
			Log:            n.log.Named("views"),
			MaxWait:        wait,
			HoldFor:        hold,
			PeersReadStore: func() bool { return n.mesh.PeersReadStore() },
			Delegated:      func() bool { return n.mesh.Delegated(table) },
			ReadDelay:      func() time.Duration { return n.readDelay(minDelay) },
			OnChange:       onChange,
		})
	}
	view := func(table string, wait, hold, minDelay time.Duration, onChange func(map[string]views.Row)) *views.View {
		return viewWith(table, func() time.Duration { return n.changeWait(wait) }, hold, minDelay, onChange)
	}
	n.configView = view(n.ConfigTable, maxChangeWait, 0, 0, n.onConfigRows)
	n.upstreamView = view(n.UpstreamTable, maxChangeWait, upstreamHold, upstreamReadDelay, n.roster.onRows)
	n.segmentView = view(quarantineTable, daemonListWait, 0, daemonReadDelay, n.quarantine.onRows)
	n.daemonView = view(daemonTable, daemonListWait, 0, daemonReadDelay, n.onDaemonRows)
	if n.rollouts.enabled() {
		n.rolloutView = viewWith(rolloutTable, n.rolloutWait, 0, 0, n.rollouts.onStateRows)
	}
}

// rolloutWait returns how long the store may hold a read that waits for changes of the table of
// roll-outs. The first state of a roll-out ends a long wait; without one there is nothing to miss,
// and short waits of all hubs were a fifth of the calls to the store.
func (n *Node) rolloutWait() time.Duration {
	if n.rollouts.anyInProgress() {
		return n.changeWait(maxChangeWait)
	}
	return daemonListWait
}

// runSegmentView follows the table of quarantined segments once the store has answered. Each
// view may hold a response of some megabytes while it starts, and this table is empty on
// most days.
func (n *Node) runSegmentView(ctx context.Context) {
	ticker := time.NewTicker(firstReadPoll)
	defer ticker.Stop()
	for n.upstreamView.UpFor() == 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	n.segmentView.Run(ctx)
}

// segmentsKnown reports whether the table of quarantined segments was read, or cannot be
// read now.
func (n *Node) segmentsKnown() bool {
	return n.segmentView.HasData() || n.upstreamView.UpFor() == 0
}

// changeWait returns how long the store may hold a read that waits for changes. Hubs
// wait for maxHubWait at most, since they also read for their members, which must soon
// learn whether the store still answers.
func (n *Node) changeWait(wait time.Duration) time.Duration {
	if n.mesh.Role() == mesh.Hub {
		return min(wait, maxHubWait)
	}
	return wait
}

// readDelay returns the least time between two reads of changes. When many daemons
// start together, upstreams and daemons write their rows one by one; if every daemon
// read each change with a call of its own, that would be thousands of calls.
func (n *Node) readDelay(minDelay time.Duration) time.Duration {
	switch n.mesh.Role() {
	case mesh.Hub:
		return max(minDelay, hubReadDelay)
	case mesh.Member:
		return max(minDelay, memberReadDelay)
	}
	return minDelay
}

// StoreUp returns how long the store has answered this daemon without a failure, 0
// while it does not. It may be called from any goroutine.
func (n *Node) StoreUp() time.Duration {
	if n.upstreamView.ReadAge() > maxFreshAge {
		return 0 // the store does not answer, or the process was suspended
	}
	return n.upstreamView.UpFor()
}

package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
)

const (
	// maxDirect is the largest number of daemons that exchange States without hubs. With
	// 100 daemons, these exchanges took 810 KB/s at each daemon.
	maxDirect = 12
	// returnToDirect is the number of daemons at or below which a deployment stops using
	// hubs.
	returnToDirect = 10
	// maxGroup is the number of daemons per group, the hub included: at two exchanges
	// per second with each member, a hub answers 80 calls per second.
	maxGroup = 40
	// downAfterFailures is the number of failed calls in a row after which a daemon is
	// not selected as a hub for some time, lostAfterFailures the number after which it
	// is logged as lost.
	downAfterFailures = 2
	lostAfterFailures = 3
	// minDownTime is how long a daemon is not selected as a hub after downAfterFailures
	// failures. Each further failure doubles it, at most maxDownShift times and up to
	// maxDownTime.
	minDownTime  = 2 * time.Second
	maxDownShift = 4
	maxDownTime  = 8 * time.Second
)

// nameHash returns the hash of a daemon's name, which identifies it in State.Group.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

// candidate is a daemon that may be a hub.
type candidate struct {
	*meshpb.Daemon
	id uint64
}

// compareRank orders daemons by their fitness as a hub: large VMs come first. The
// order is total, so that all daemons select the same hubs.
func compareRank(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.id, b.id), cmp.Compare(a.Name, b.Name))
}

// selectHubs returns the hubs of each availability zone, the fittest first.
func selectHubs(list []candidate) map[string][]*meshpb.Daemon {
	zones := make(map[string][]candidate)
	for _, d := range list {
		zones[d.Zone] = append(zones[d.Zone], d)
	}
	hubs := make(map[string][]*meshpb.Daemon, len(zones))
	for zone, remaining := range zones {
		for range (len(remaining) + maxGroup - 1) / maxGroup {
			best := slices.MinFunc(remaining, compareRank)
			hubs[zone] = append(hubs[zone], best.Daemon)
			remaining = slices.DeleteFunc(remaining, func(c candidate) bool { return c.id == best.id })
		}
	}
	return hubs
}

// rankHubs returns all hubs in the order in which a daemon prefers them: those of its
// own zone first, then in an order that depends on the daemon's name, so that members
// spread evenly over the hubs.
func rankHubs(self *meshpb.Daemon, hubs map[string][]*meshpb.Daemon) []*meshpb.Daemon {
	var list []*meshpb.Daemon
	for _, zoneHubs := range hubs {
		list = append(list, zoneHubs...)
	}
	score := func(d *meshpb.Daemon) uint64 { return xxhash.Sum64String(self.Name + "\x00" + d.Name) }
	slices.SortFunc(list, func(a, b *meshpb.Daemon) int {
		if sameZone := a.Zone == self.Zone; sameZone != (b.Zone == self.Zone) {
			if sameZone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

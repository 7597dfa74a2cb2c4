package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
)

const (
	// maxDirect daemons or fewer all tell each other. With more, hubs gather for the
	// others: at 100 daemons that tell each other all, each had 810 KB/s of calls.
	maxDirect = 12
	// returnToDirect is the number at which they do so again.
	returnToDirect = 10
	// maxGroup daemons, a hub among them, make one group: at two exchanges a second
	// its hub answers 80.
	maxGroup = 40
	// downAfterFailures failed calls in a row a daemon is no hub for some time; lostAfter as
	// many it is logged as lost.
	downAfterFailures = 2
	lostAfterFailures = 3
	// minDown is that time at first; it doubles with each failure up to maxDown.
	minDown      = 2 * time.Second
	maxDownShift = 4
	maxDown      = 8 * time.Second
)

// nameHash is the hash of a daemon's name, by which others are told of it.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

// candidate is a daemon that may be a hub.
type candidate struct {
	*meshpb.Daemon
	id uint64
}

// compareRank compares daemons by fitness as a hub: large VMs first, in an order that
// all daemons compute alike.
func compareRank(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.id, b.id), cmp.Compare(a.Name, b.Name))
}

// selectHubs returns the daemons of each availability zone that gather for the others,
// the fittest first.
func selectHubs(list []candidate) map[string][]*meshpb.Daemon {
	zones := make(map[string][]candidate)
	for _, d := range list {
		zones[d.Zone] = append(zones[d.Zone], d)
	}
	hubs := make(map[string][]*meshpb.Daemon, len(zones))
	for zone, all := range zones {
		for range (len(all) + maxGroup - 1) / maxGroup {
			best := slices.MinFunc(all, compareRank)
			hubs[zone] = append(hubs[zone], best.Daemon)
			all = slices.DeleteFunc(all, func(c candidate) bool { return c.id == best.id })
		}
	}
	return hubs
}

// rankHubs returns hubs in the order in which a daemon takes them as its own: those
// of its zone first, spread over its daemons.
func rankHubs(self *meshpb.Daemon, hubs map[string][]*meshpb.Daemon) []*meshpb.Daemon {
	var list []*meshpb.Daemon
	for _, all := range hubs {
		list = append(list, all...)
	}
	fit := func(d *meshpb.Daemon) uint64 { return xxhash.Sum64String(self.Name + "\x00" + d.Name) }
	slices.SortFunc(list, func(a, b *meshpb.Daemon) int {
		if near := a.Zone == self.Zone; near != (b.Zone == self.Zone) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(fit(a), fit(b)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/quota"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
	"github.com/lagoonmux/lagoonmux/internal/usage"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// toldWindows are the windows of usage that a daemon tells: an exchange may
	// fail for some seconds.
	toldWindows = 3
	// enlistTimeout bounds writing this daemon's row.
	enlistTimeout = 500 * time.Millisecond
)

// daemonRow is a daemon's row in the store.
type daemonRow struct {
	Born    int64  `json:"born"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Size    uint32 `json:"size"`
}

// onDaemons learns of daemons from their rows.
func (n *Node) onDaemons(rows map[string]views.Row) {
	var list []*meshpb.Daemon
	listed := false
	for name, row := range rows {
		var d daemonRow
		if err := json.Unmarshal(row.Value, &d); err != nil {
			n.log.Warn("row of a daemon not understood", "daemon", name, "error", err)
			continue
		}
		listed = listed || name == n.Name && d.Born == n.born
		list = append(list, &meshpb.Daemon{Name: name, Born: d.Born, Address: d.Address, Zone: d.Zone, Size: d.Size})
	}
	n.listed.Store(listed)
	n.mesh.List(list)
}

// enlist writes this daemon's row where it is missing.
func (n *Node) enlist(ctx context.Context) {
	if n.listed.Load() || n.stopping.Load() {
		return
	}
	value, err := json.Marshal(daemonRow{Born: n.born, Address: n.Daemons, Zone: n.Zone, Size: n.Size})
	if err != nil {
		n.log.Error("own row not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, enlistTimeout)
	defer cancel()
	if err := n.Store.Put(ctx, daemonTable, n.Name, value); err != nil {
		n.log.Info("own row not written", "error", err)
		return
	}
	n.listed.Store(true)
}

// tell completes what another daemon is told; since is the version of this one's
// loads that it holds.
func (n *Node) tell(s *meshpb.State, to mesh.Audience, heard *meshpb.State, since uint64) {
	s.Leaving = n.stopping.Load()
	for _, k := range n.fleet.leaving() {
		s.LeavingUpstreams = append(s.LeavingUpstreams, &meshpb.Gone{Upstream: k.ID, Born: k.Born})
	}
	if epoch, ok := n.Clock.Epoch(); ok {
		s.EpochMs = epoch.Milliseconds()
	}
	if n.duty != nil {
		s.DutyToken = n.duty.Token()
		s.WantsTallies = s.DutyToken != 0
	}
	name := ""
	if heard != nil {
		name = heard.Self.Name
	}
	if to == mesh.Members {
		s.Loads = encodeLoads(n.placer.All(since))
	} else {
		n.tellOwn(s, to, heard, since)
	}
	if name == "" {
		return
	}
	for _, k := range n.placer.Told(name, to == mesh.Members) {
		s.KeptParts, s.KeptAt = append(s.KeptParts, k.Part), append(s.KeptAt, k.Upstream)
	}
}

// tellOwn completes what peers or its hub are told of this daemon and its group.
func (n *Node) tellOwn(s *meshpb.State, to mesh.Audience, heard *meshpb.State, since uint64) {
	now := boottime.Now()
	s.Loads = encodeLoads(n.placer.Own(since))
	s.Work = n.work.Rates(now)
	members := make(map[string]bool)
	if to == mesh.Peers {
		for _, sp := range n.quota.Local(now) {
			s.Spends = append(s.Spends, &meshpb.Spend{Customer: sp.Customer, Spent: sp.Spent, Demand: sp.Demand})
		}
		for _, m := range n.mesh.MemberStates() {
			members[m.Self.Name] = true
			for service, w := range m.Work {
				s.Work[service] += w
			}
		}
	}
	if to == mesh.Peers && n.mesh.Role() == mesh.Hub && (heard == nil || !heard.WantsTallies) {
		return // only the holder of the duty counts all
	}
	today := n.Clock.Now()
	list := append(n.usage.Tallies(members, today, toldWindows), usage.Tally{Name: n.Name, Incarnation: n.born, Windows: n.usage.Local(today, toldWindows)})
	for _, t := range list {
		tally := &meshpb.Tally{Name: t.Name, Born: t.Incarnation}
		for _, w := range t.Windows {
			tally.Windows = append(tally.Windows, &meshpb.Window{Number: w.Number, Counts: w.Counts})
		}
		s.Tallies = append(s.Tallies, tally)
	}
}

// heard takes in what another daemon told.
func (n *Node) heard(s *meshpb.State) {
	now := boottime.Now()
	if len(s.Spends) > 0 {
		spends := make([]quota.Spend, len(s.Spends))
		for i, sp := range s.Spends {
			spends[i] = quota.Spend{Customer: sp.Customer, Spent: sp.Spent, Demand: sp.Demand}
		}
		n.quota.Learn(s.Self.Name, s.Self.Born, spends, now)
	}
	if s.Loads != nil {
		n.placer.Learn(s.Self.Name, s.Self.Born, s.Member, decodeLoads(s.Loads), now)
	}
	kept := make([]place.Kept, min(len(s.KeptParts), len(s.KeptAt)))
	for i := range kept {
		kept[i] = place.Kept{Part: s.KeptParts[i], Upstream: s.KeptAt[i]}
	}
	n.placer.LearnKept(kept, s.Member, now)
	for _, g := range s.LeavingUpstreams {
		n.fleet.leaves(roster.Key{ID: g.Upstream, Born: g.Born}, s.Self.Name)
	}
	for _, t := range s.Tallies {
		windows := make([]usage.Window, len(t.Windows))
		for i, w := range t.Windows {
			windows[i] = usage.Window{Number: w.Number, Counts: w.Counts}
		}
		if t.Name != n.Name || t.Born != n.born {
			n.usage.Merge(t.Name, t.Born, windows)
		}
	}
}

func encodeLoads(c place.Changes) *meshpb.Loads {
	out := &meshpb.Loads{Base: c.Base, Version: c.Version, List: make([]*meshpb.Load, len(c.List))}
	for i, e := range c.List {
		out.List[i] = &meshpb.Load{Upstream: e.Upstream, Running: uint32(max(e.Load.Running, 0)), Backlog: uint32(max(e.Load.Backlog, 0)),
			Answered: e.Load.Answered, Failed: e.Load.Failed, Sampled: e.Load.Sampled, Ratio: e.Load.Ratio}
	}
	return out
}

func decodeLoads(l *meshpb.Loads) place.Changes {
	c := place.Changes{Base: l.Base, Version: l.Version, List: make([]place.Entry, len(l.List))}
	for i, e := range l.List {
		c.List[i] = place.Entry{Upstream: e.Upstream, Load: place.Load{Running: int(e.Running), Backlog: int(e.Backlog),
			Answered: e.Answered, Failed: e.Failed, Sampled: e.Sampled, Ratio: e.Ratio}}
	}
	return c
}

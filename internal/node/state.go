package node

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"time"

	"github.com/pkg/errors"

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
	// sentWindows is the number of usage windows in a State. Earlier windows are included
	// because exchanges may fail for some seconds.
	sentWindows = 3
	// writeRowTimeout bounds writing this daemon's row.
	writeRowTimeout = 500 * time.Millisecond
)

// daemonRow is a daemon's row in the store.
type daemonRow struct {
	Incarnation int64  `json:"born"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Size        uint32 `json:"size"`
}

// maxClockLead is how far the clock of a daemon that writes its row may be ahead.
const maxClockLead = 24 * time.Hour

// decodeDaemonRow decodes a daemon's row. An incarnation in the far future would make all of
// that daemon's messages look outdated.
func decodeDaemonRow(value []byte, now time.Time) (daemonRow, error) {
	var d daemonRow
	if err := json.Unmarshal(value, &d); err != nil {
		return d, errors.Wrap(err, "decode row")
	}
	if _, err := netip.ParseAddrPort(d.Address); err != nil {
		return d, errors.Wrap(err, "address")
	}
	if d.Incarnation <= 0 || d.Incarnation > now.Add(maxClockLead).UnixNano() {
		return d, errors.Errorf("born %d is out of range", d.Incarnation)
	}
	return d, nil
}

// oddRows holds the versions of rows that could not be decoded, so that each is logged once.
type oddRows map[string]int64

// isNew records a row that could not be decoded and reports whether it was not recorded before.
func (o oddRows) isNew(r views.Row) bool {
	if o[r.Key] == r.Version {
		return false
	}
	o[r.Key] = r.Version
	return true
}

// keep forgets rows that are gone.
func (o oddRows) keep(rows map[string]views.Row) {
	maps.DeleteFunc(o, func(key string, _ int64) bool {
		_, ok := rows[key]
		return !ok
	})
}

// onDaemonRows passes the daemons registered in the store on to the mesh.
func (n *Node) onDaemonRows(rows map[string]views.Row) {
	var list []*meshpb.Daemon
	listed := false
	n.oddDaemons.keep(rows)
	for name, row := range rows {
		d, err := decodeDaemonRow(row.Value, time.Now())
		if err != nil {
			if n.oddDaemons.isNew(row) {
				n.log.Warn("cannot decode a daemon's row of the store", "daemon", name, "error", err)
			}
			continue
		}
		listed = listed || name == n.Name && d.Incarnation == n.incarnation
		list = append(list, &meshpb.Daemon{Name: name, Born: d.Incarnation, Address: d.Address, Zone: d.Zone, Size: d.Size})
	}
	n.rowWritten.Store(listed)
	n.mesh.SetListed(list)
}

// writeOwnRow writes this daemon's row to the store if it is missing.
func (n *Node) writeOwnRow(ctx context.Context) {
	if n.rowWritten.Load() || n.stopping.Load() {
		return
	}
	value, err := json.Marshal(daemonRow{Incarnation: n.incarnation, Address: n.MeshAddress, Zone: n.Zone, Size: n.Size})
	if err != nil {
		n.log.Error("cannot encode this daemon's row for the store", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeRowTimeout)
	defer cancel()
	if err := n.Store.Put(ctx, daemonTable, n.Name, value); err != nil {
		n.log.Info("cannot write this daemon's row to the store", "error", err)
		return
	}
	n.rowWritten.Store(true)
}

// fillState completes the State sent to another daemon. received is the last State
// from it, nil if there is none; since is the version of this daemon's loads
// that it holds.
func (n *Node) fillState(s *meshpb.State, to mesh.Recipient, received *meshpb.State, since uint64) {
	s.Leaving = n.stopping.Load()
	for _, k := range n.roster.leavingKeys() {
		s.LeavingUpstreams = append(s.LeavingUpstreams, &meshpb.Gone{Upstream: k.ID, Born: k.Incarnation})
	}
	for _, l := range n.throttle.gate.Limits.Statements(since == 0, boottime.Now()) {
		s.Limits = append(s.Limits, &meshpb.Limit{Upstream: l.Hash, Rate: l.Rate, AgeMs: uint32(l.Age.Milliseconds())})
	}
	s.Suspects = mesh.EncodeSuspects(n.quarantine.table.Statements(since == 0, boottime.Now()))
	if epoch, ok := n.Clock.Epoch(); ok {
		s.EpochMs = epoch.Milliseconds()
	}
	n.fillShares(s, to)
	s.Reported = n.finalized.Load()
	if n.duty != nil {
		s.Reported = max(s.Reported, n.duty.Finalized())
		s.DutyToken = n.duty.Token()
		s.WantsTallies = s.DutyToken != 0
	}
	s.OrdersKnown = n.rollouts.encodeOrdersKnown()
	name := ""
	if received != nil {
		name = received.Self.Name
	}
	if to == mesh.ToMember {
		s.Loads = encodeLoads(n.placer.AllChanges(since))
	} else {
		n.fillOwnState(s, to, received, since)
	}
	if name == "" {
		return
	}
	for _, k := range n.placer.TakeCached(name, to == mesh.ToMember) {
		s.KeptParts, s.KeptAt = append(s.KeptParts, k.Segment), append(s.KeptAt, k.UpstreamHash)
	}
}

// fillOwnState adds the loads, spending and usage of this daemon and its group to a
// State for a peer or for this daemon's hub.
func (n *Node) fillOwnState(s *meshpb.State, to mesh.Recipient, received *meshpb.State, since uint64) {
	now := boottime.Now()
	s.Loads = encodeLoads(n.placer.GroupChanges(since))
	s.Work = n.workMeter.Rates(now)
	s.Rollouts = n.rollouts.encode(to)
	members := make(map[string]bool)
	if to == mesh.ToNonMember {
		for _, sp := range n.quota.LocalSpends(now) {
			s.Spends = append(s.Spends, &meshpb.Spend{Customer: sp.Customer, Spent: sp.Spent, Demand: sp.Demand, Level: &sp.Level})
		}
		for _, m := range n.mesh.MemberStates() {
			members[m.Self.Name] = true
			for service, w := range m.Work {
				s.Work[service] += w
			}
		}
	}
	if to == mesh.ToNonMember && n.mesh.Role() == mesh.Hub && (received == nil || !received.WantsTallies) {
		return // among hubs, only the holder of the fleet duty collects all tallies
	}
	unixNow := n.Clock.Now()
	list := append(n.usage.Tallies(members, unixNow, sentWindows), usage.Tally{Name: n.Name, Incarnation: n.incarnation, Windows: n.usage.Local(unixNow, sentWindows)})
	for _, t := range list {
		tally := &meshpb.Tally{Name: t.Name, Born: t.Incarnation}
		for _, w := range t.Windows {
			tally.Windows = append(tally.Windows, &meshpb.Window{Number: w.Number, Counts: w.Counts})
		}
		s.Tallies = append(s.Tallies, tally)
	}
}

// onState passes a State from another daemon on to the components that use it.
func (n *Node) onState(s *meshpb.State) {
	now := boottime.Now()
	if s.Reported > n.finalized.Load() {
		n.finalized.Store(s.Reported) // a lower value stored concurrently is told again
	}
	if len(s.Spends) > 0 {
		spends := make([]quota.Spend, len(s.Spends))
		for i, sp := range s.Spends {
			spends[i] = quota.Spend{Customer: sp.Customer, Spent: sp.Spent, Demand: sp.Demand, Level: sp.GetLevel(), HasLevel: sp.Level != nil}
		}
		n.quota.Merge(s.Self.Name, s.Self.Born, spends, now)
	}
	if s.Loads != nil {
		n.placer.MergeLoads(s.Self.Name, s.Self.Born, s.Member, decodeLoads(s.Loads), now)
	}
	cached := make([]place.CachedSegment, min(len(s.KeptParts), len(s.KeptAt)))
	for i := range cached {
		cached[i] = place.CachedSegment{Segment: s.KeptParts[i], UpstreamHash: s.KeptAt[i]}
	}
	n.placer.MergeCached(cached, s.Member, now)
	for _, g := range s.LeavingUpstreams {
		n.roster.markLeaving(roster.Key{ID: g.Upstream, Incarnation: g.Born}, s.Self.Name)
	}
	n.mergeShares(s)
	n.throttle.merge(s.Limits, s.Self.Name)
	n.quarantine.merge(s.Suspects, s.Self.Name)
	for _, t := range s.Tallies {
		windows := make([]usage.Window, len(t.Windows))
		for i, w := range t.Windows {
			windows[i] = usage.Window{Number: w.Number, Counts: w.Counts}
		}
		if t.Name != n.Name || t.Born != n.incarnation {
			n.usage.Merge(t.Name, t.Born, windows)
		}
	}
}

func encodeLoads(c place.LoadChanges) *meshpb.Loads {
	out := &meshpb.Loads{Base: c.BaseVersion, Version: c.Version, List: make([]*meshpb.Load, len(c.List))}
	for i, e := range c.List {
		out.List[i] = &meshpb.Load{Upstream: e.UpstreamHash, Running: uint32(max(e.Load.Running, 0)), Backlog: uint32(max(e.Load.Backlog, 0)),
			Answered: e.Load.Answered, Failed: e.Load.Failed, Sampled: e.Load.Samples, Ratio: e.Load.RatioSum}
	}
	return out
}

func decodeLoads(l *meshpb.Loads) place.LoadChanges {
	c := place.LoadChanges{BaseVersion: l.Base, Version: l.Version, List: make([]place.UpstreamLoad, len(l.List))}
	for i, e := range l.List {
		c.List[i] = place.UpstreamLoad{UpstreamHash: e.Upstream, Load: place.Load{Running: int(e.Running), Backlog: int(e.Backlog),
			Answered: e.Answered, Failed: e.Failed, Samples: e.Sampled, RatioSum: e.Ratio}}
	}
	return c
}

package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// Load is the current load at an upstream caused by one or more daemons, and their
// request counts there since each of them started.
type Load struct {
	Running  int    // requests in flight
	Backlog  int    // prompt tokens not prefilled yet
	Answered uint32 // requests answered
	Failed   uint32 // requests failed
	Samples  uint32 // measured first events
	RatioSum uint32 // sum of the ratios of measured to nominal prefill time, in hundredths
}

func (l Load) plus(o Load) Load {
	return Load{l.Running + o.Running, l.Backlog + o.Backlog, l.Answered + o.Answered, l.Failed + o.Failed,
		l.Samples + o.Samples, l.RatioSum + o.RatioSum}
}

func (l Load) minus(o Load) Load {
	return Load{l.Running - o.Running, l.Backlog - o.Backlog, l.Answered - o.Answered, l.Failed - o.Failed,
		l.Samples - o.Samples, l.RatioSum - o.RatioSum}
}

// HashID returns the hash that identifies an upstream in messages between daemons.
func HashID(upstream string) uint32 { return uint32(xxhash.Sum64String(upstream)) }

// UpstreamLoad is the load of one upstream as sent to other daemons.
type UpstreamLoad struct {
	UpstreamHash uint32
	Load         Load
}

// loadTable holds the loads of upstreams and a version for each change, so that peers
// can be sent only what changed since their last exchange. It is guarded by Placer.mu.
type loadTable struct {
	version uint64
	entries map[uint32]*loadRow
}

type loadRow struct {
	load      Load
	changedIn uint64 // version of the last change
}

func newLoadTable() *loadTable { return &loadTable{entries: make(map[uint32]*loadRow)} }

// set stores the load of an upstream.
func (t *loadTable) set(upstream uint32, l Load) {
	row := t.entries[upstream]
	if row == nil {
		if l == (Load{}) {
			return
		}
		row = &loadRow{}
		t.entries[upstream] = row
	}
	if row.changedIn > 0 && row.load == l {
		return
	}
	t.version++
	row.load, row.changedIn = l, t.version
}

// since returns up to limit changes after a version, the oldest first, and the version
// that a receiver has once it has applied them.
func (t *loadTable) since(version uint64, limit int) ([]UpstreamLoad, uint64) {
	type change struct {
		UpstreamLoad
		changedIn uint64
	}
	var list []change
	for id, row := range t.entries {
		if row.changedIn > version {
			list = append(list, change{UpstreamLoad{id, row.load}, row.changedIn})
		}
	}
	slices.SortFunc(list, func(a, b change) int { return cmp.Compare(a.changedIn, b.changedIn) })
	upTo := t.version
	if len(list) > limit {
		list = list[:limit]
		upTo = list[limit-1].changedIn
	}
	out := make([]UpstreamLoad, len(list))
	for i, c := range list {
		out[i] = c.UpstreamLoad
	}
	return out, upTo
}

// maxChanges bounds the changes sent at once. With thousands of upstreams the most
// recent changes are left for the next exchange.
const maxChanges = 256

// loadSource identifies the loads received last from another daemon.
type loadSource struct {
	incarnation int64
	version     uint64
	member      bool // belongs to this daemon's group
}

// LoadChanges are the loads that changed at a daemon since version BaseVersion of its
// loads. Receivers that have not merged that version ignore them.
type LoadChanges struct {
	BaseVersion uint64 // 0 if List holds all loads and needs no earlier changes
	Version     uint64
	List        []UpstreamLoad
}

// GroupChanges returns the changes since a version in the loads of this daemon and its
// group.
func (p *Placer) GroupChanges(since uint64) LoadChanges {
	return p.changes(p.groupLoads, since, func(s *upstreamState) Load { return s.local.plus(s.remoteGroup) })
}

// AllChanges returns the changes since a version in the loads of all daemons.
func (p *Placer) AllChanges(since uint64) LoadChanges {
	return p.changes(p.allLoads, since, func(s *upstreamState) Load { return s.local.plus(s.remote) })
}

func (p *Placer) changes(table *loadTable, since uint64, load func(*upstreamState) Load) LoadChanges {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.states {
		table.set(s.hash, load(s))
	}
	for id := range table.entries {
		if p.byHash[id] == nil {
			delete(table.entries, id)
		}
	}
	if since > table.version {
		since = 0
	}
	list, version := table.since(since, maxChanges)
	return LoadChanges{since, version, list}
}

// LoadVersion returns the version of the loads received from a daemon and the daemon's
// incarnation, 0 and 0 if there are none.
func (p *Placer) LoadVersion(daemon string) (version uint64, incarnation int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sources[daemon]; s != nil {
		return s.version, s.incarnation
	}
	return 0, 0
}

// MergeLoads applies changes received from another daemon. Changes based on a version
// that this daemon does not have are ignored; the sender learns the version held here
// in the next exchange and sends everything after it.
func (p *Placer) MergeLoads(daemon string, incarnation int64, member bool, c LoadChanges, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	src := p.sources[daemon]
	if src != nil && (src.incarnation != incarnation || src.member != member) {
		p.dropLoads(daemon)
		src = nil
	}
	if src == nil {
		if c.BaseVersion != 0 {
			return
		}
		src = &loadSource{incarnation: incarnation, member: member}
		p.sources[daemon] = src
	}
	if c.BaseVersion > src.version || c.BaseVersion != 0 && c.Version <= src.version {
		return
	}
	src.version = c.Version
	for _, e := range c.List {
		if s := p.byHash[e.UpstreamHash]; s != nil {
			s.mergeLoad(daemon, member, e.Load, now)
		}
	}
}

// mergeLoad replaces the load that a daemon has at the upstream and counts the requests
// that ended there since the previous report.
func (s *upstreamState) mergeLoad(daemon string, member bool, l Load, now time.Duration) {
	old, known := s.byDaemon[daemon]
	s.byDaemon[daemon] = l
	s.remote = s.remote.plus(l).minus(old)
	if member {
		s.remoteGroup = s.remoteGroup.plus(l).minus(old)
	}
	if known && l.Answered >= old.Answered && l.Failed >= old.Failed && l.Samples >= old.Samples && l.RatioSum >= old.RatioSum {
		s.mergeOutcomes(l.minus(old), now)
	}
}

// DropLoads drops the loads received from a daemon.
func (p *Placer) DropLoads(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLoads(daemon)
}

// dropLoads implements DropLoads. The caller holds mu.
func (p *Placer) dropLoads(daemon string) {
	src := p.sources[daemon]
	if src == nil {
		return
	}
	delete(p.sources, daemon)
	for _, s := range p.states {
		old, known := s.byDaemon[daemon]
		if !known {
			continue
		}
		delete(s.byDaemon, daemon)
		s.remote = s.remote.minus(old)
		if src.member {
			s.remoteGroup = s.remoteGroup.minus(old)
		}
	}
}

// Running returns the requests in flight at a service from all daemons, as far as known.
func (p *Placer) Running(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, s := range p.states {
		if s.upstream.Service == service {
			sum += s.local.Running + s.remote.Running
		}
	}
	return sum
}

// RunningHere returns the number of this daemon's requests in flight at the upstreams of a service
// that match.
func (p *Placer) RunningHere(service string, match func(u *roster.Upstream) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, s := range p.states {
		if s.upstream.Service == service && match(s.upstream) {
			sum += s.local.Running
		}
	}
	return sum
}

package members

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"
)

// Config holds the times and sizes of a Group.
type Config struct {
	RoundInterval     time.Duration // between two exchanges that this daemon starts
	ProbeTimeout      time.Duration // of one try of an exchange
	SuspicionTimeout  time.Duration // from suspicion until death
	PauseThreshold    time.Duration // between two ticks, above which this daemon was paused itself
	MaxMessageBytes   int           // records of one message, about
	Confirmers        int           // peers that are asked before a silent one is suspected
	RemoteEveryRounds int           // rounds between two exchanges with another region
	RetryEveryRounds  int           // rounds between two tries of a dead daemon or a seed
	TombstoneTTL      time.Duration // that a dead or left daemon is remembered
	FullSyncInterval  time.Duration // least time between two full exchanges
}

// DefaultConfig returns the configuration of a production daemon.
func DefaultConfig() Config {
	return Config{
		RoundInterval:     500 * time.Millisecond,
		ProbeTimeout:      400 * time.Millisecond,
		SuspicionTimeout:  2 * time.Second,
		PauseThreshold:    1500 * time.Millisecond,
		MaxMessageBytes:   1000,
		Confirmers:        3,
		RemoteEveryRounds: 4,
		RetryEveryRounds:  10,
		TombstoneTTL:      10 * time.Minute,
		FullSyncInterval:  10 * time.Second,
	}
}

// fullSyncMismatches is the number of exchanges in a row with different digests and
// nothing left to send after which all records are exchanged.
const fullSyncMismatches = 3

// remoteSends is the number of messages to other regions that carry one version.
const remoteSends = 2

// entry is one known record and its spread.
type entry struct {
	rec          *Record
	sendCounts   [scopeCount]int // messages that carried this version
	queued       bool            // is in the queue
	updatedAt    time.Time       // when this version arrived
	suspectSince time.Time       // when the suspicion began; zero without one
}

// Message is what two daemons tell each other in one direction.
type Message struct {
	From       string
	Region     string
	Generation int64  // manifest in force at the sender
	Digest     uint64 // of the lasting records known to the sender
	Records    []*Record
	Full       bool // asks for all records
}

// Group is the membership known to one daemon. It is not safe for concurrent
// use.
type Group struct {
	config        Config
	self          *Record
	entries       map[Key]*entry
	queue         []*entry
	rng           *rand.Rand
	probeOrder    []string // region's daemons in the order of the next probes
	round         int
	lastTick      time.Time
	resumedAt     time.Time // end of this daemon's last pause
	seeds         []string  // addresses to try while they belong to no known daemon
	mismatches    [scopeCount]int
	lastFullSync  time.Time
	digests       [Topic]uint64 // of all records of each lasting kind
	localDaemons  int           // daemons of this region, dead ones excluded
	remoteDaemons int           // daemons of other regions, dead ones excluded
	viewChanged   bool
	changes       []*Record // merged since the last TakeFresh
	urgent        bool      // a record waits that must not wait for the next round
}

// NewGroup returns a group that knows only self. seed makes all its random
// choices.
func NewGroup(config Config, self Record, seed uint64) *Group {
	self.Kind = Daemon
	g := &Group{
		config:  config,
		entries: make(map[Key]*entry),
		rng:     rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
	}
	g.self = &self
	g.store(&self, time.Time{})
	return g
}

// Self returns this daemon's own record.
func (g *Group) Self() *Record { return g.self }

// SetSeeds names addresses of daemons that are tried until they are known.
func (g *Group) SetSeeds(addresses []string) { g.seeds = addresses }

// SetSelf changes this daemon's own record by f and spreads it.
func (g *Group) SetSelf(now time.Time, f func(*Record)) {
	next := *g.self
	f(&next)
	next.Version++
	g.urgent = g.urgent || next.State != Live || next.Generation != g.self.Generation
	g.self = &next
	g.store(&next, now)
}

// Set merges a record that this daemon made itself, such as a topic's value or
// the state of an upstream.
func (g *Group) Set(now time.Time, r Record) { g.merge(now, r) }

// Get returns the record of a member, or nil.
func (g *Group) Get(k Key) *Record {
	if e := g.entries[k]; e != nil {
		return e.rec
	}
	return nil
}

// Records returns all records of a kind in the order of their names.
func (g *Group) Records(kind Kind) []*Record {
	var out []*Record
	for k, e := range g.entries {
		if k.Kind == kind {
			out = append(out, e.rec)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// TakeChanges returns the records merged since the last call, other than this
// daemon's own, and whether any daemon or upstream changed.
func (g *Group) TakeChanges() (changes []*Record, changed bool) {
	changes, changed = g.changes, g.viewChanged
	g.changes, g.viewChanged = nil, false
	return changes, changed
}

// TakeUrgent tells once whether something should be sent before the next round.
func (g *Group) TakeUrgent() bool {
	urgent := g.urgent
	g.urgent = false
	return urgent
}

// store stores r as the newest version and queues it.
func (g *Group) store(r *Record, now time.Time) {
	e := g.entries[r.Key]
	if e == nil {
		e = &entry{}
		g.entries[r.Key] = e
	} else {
		g.updateTotals(e.rec, -1)
	}
	e.rec, e.sendCounts, e.updatedAt = r, [scopeCount]int{}, now
	g.updateTotals(r, 1)
	if !e.queued {
		e.queued = true
		g.queue = append(g.queue, e)
	}
	if r.State != Suspect {
		e.suspectSince = time.Time{}
	} else if e.suspectSince.IsZero() {
		e.suspectSince = now
	}
}

// updateTotals adds a record to the digests and counts, or takes it out with sign -1.
func (g *Group) updateTotals(r *Record, sign int) {
	if r.Kind == Topic {
		return
	}
	g.digests[r.Kind] ^= r.hash()
	g.viewChanged = true
	if r.Kind != Daemon || r.State >= Dead {
		return
	}
	if r.Region == g.self.Region {
		g.localDaemons += sign
	} else {
		g.remoteDaemons += sign
	}
}

// merge takes in a record if it is newer than the known one.
func (g *Group) merge(now time.Time, r Record) {
	if r.Kind == Daemon && r.Name == g.self.Name {
		g.refute(now, &r)
		return
	}
	old := g.Get(r.Key)
	if old != nil {
		reconcileUpstream(old, &r)
		if !newer(&r, old) {
			g.resend(&r, old)
			return
		}
	}
	if r.Kind == Daemon && r.State <= Suspect {
		g.declareReplaced(now, &r)
	}
	g.store(&r, now)
	g.changes = append(g.changes, &r)
	if r.Kind != Topic && (old != nil && old.State != r.State || old == nil && r.State != Live) {
		g.urgent = true
	}
}

// resend queues a known record once more after an older version of it came in,
// since somebody has not heard of it.
func (g *Group) resend(r, known *Record) {
	if known.Kind == Topic || !newer(known, r) {
		return
	}
	e := g.entries[known.Key]
	for s := range e.sendCounts {
		e.sendCounts[s] = min(e.sendCounts[s], g.maxSends(scope(s))-1)
	}
	if !e.queued {
		e.queued = true
		g.queue = append(g.queue, e)
	}
}

// reconcileUpstream adapts r to what is known of the same member: an upstream with
// unknown incarnation is the known one, and one that leaves does not return
// within its incarnation.
func reconcileUpstream(old, r *Record) {
	if r.Kind != Upstream {
		return
	}
	if r.Incarnation == 0 && old.Incarnation != 0 {
		r.Incarnation, r.Version = old.Incarnation, old.Version
	}
	sameIncarnation := r.Incarnation == old.Incarnation || old.Incarnation == 0
	if sameIncarnation && (old.State == Leaving || old.State == Left) && r.State < old.State {
		r.State, r.DeadlineMS = old.State, old.DeadlineMS
	}
}

// refute answers a record about this daemon that is not its own: it takes a
// version above it, so that a suspicion of it ends everywhere.
func (g *Group) refute(now time.Time, r *Record) {
	if r.Incarnation != g.self.Incarnation || !newer(r, g.self) {
		g.resend(r, g.self)
		return
	}
	next := *g.self
	next.Version = r.Version + 1
	g.self = &next
	g.store(&next, now)
	g.urgent = true
}

// declareReplaced declares dead an older daemon whose address r has now: its VM
// was replaced.
func (g *Group) declareReplaced(now time.Time, r *Record) {
	for k, e := range g.entries {
		old := e.rec
		if k.Kind != Daemon || k.Name == r.Name || old.Address != r.Address || old.State >= Dead {
			continue
		}
		if old.Incarnation < r.Incarnation && k.Name != g.self.Name {
			dead := *old
			dead.State = Dead
			g.store(&dead, now)
			g.changes = append(g.changes, &dead)
		}
	}
}

// maxSends is the number of messages of one daemon that carry one version in
// the scope.
func (g *Group) maxSends(s scope) int {
	if s == global {
		return remoteSends
	}
	return 2 + bits.Len(uint(g.localDaemons))
}

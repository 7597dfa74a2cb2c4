package members

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"
)

// Config holds the intervals, timeouts and limits of a Group.
type Config struct {
	RoundInterval     time.Duration // between rounds of exchanges that this daemon starts
	ProbeTimeout      time.Duration // of one attempt of an exchange
	SuspicionTimeout  time.Duration // after which a suspect daemon is marked dead
	PauseThreshold    time.Duration // a longer gap between ticks means that this daemon itself was paused
	MaxMessageBytes   int           // approximate limit for the records of one message
	Confirmers        int           // peers asked to confirm that a daemon is unreachable before it is suspected
	RemoteEveryRounds int           // rounds between exchanges with other regions
	RetryEveryRounds  int           // rounds between attempts to reach a dead daemon or an unknown seed
	TombstoneTTL      time.Duration // how long the records of dead and left daemons are kept
	FullSyncInterval  time.Duration // minimum time between full exchanges that this daemon requests
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

// fullSyncMismatches is the number of consecutive exchanges with different
// digests although the peer had nothing left to send, after which all records are
// exchanged.
const fullSyncMismatches = 3

// crossRegionRecordSends is the number of messages to daemons of other regions in which
// this daemon sends one version of a membership record.
const crossRegionRecordSends = 2

// entry is a known record and its dissemination state.
type entry struct {
	rec          *Record
	sendCounts   [scopeCount]int // messages that carried this version, by scope
	queued       bool            // in Group.sendQueue
	updatedAt    time.Time       // when this version was stored
	suspectSince time.Time       // start of the suspicion; zero if there is none
}

// Message is the request or the response of an exchange between two daemons.
type Message struct {
	From       string
	Region     string
	Generation int64  // of the manifest in force at the sender
	Digest     uint64 // of the daemon and, within a region, upstream records known to the sender
	Records    []*Record
	Full       bool // requests all records
}

// Group is one daemon's state of the membership protocol. It is not safe for
// concurrent use.
type Group struct {
	config           Config
	self             *Record
	entries          map[Key]*entry
	sendQueue        []*entry // entries whose records have to be sent to further daemons
	rng              *rand.Rand
	probeOrder       []string // names of the region's daemons still to probe in this cycle
	round            int
	lastTick         time.Time
	resumedAt        time.Time       // end of this daemon's last pause
	seeds            []string        // addresses to contact while they belong to no known daemon
	digestMismatches [scopeCount]int // by scope; see compareDigest
	lastFullSync     time.Time
	digests          [Topic]uint64 // XOR of the hashes of all records, by kind; topics are excluded
	localDaemons     int           // daemons of this region that are not dead or left
	remoteDaemons    int           // daemons of other regions that are not dead or left
	viewChanged      bool
	changes          []*Record // records merged since the last TakeChanges
	urgent           bool      // a change should be sent before the next round
}

// NewGroup returns a group that contains only self. seed initializes its random
// number generator.
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

// SetSeeds sets addresses to contact while they belong to no known daemon.
func (g *Group) SetSeeds(addresses []string) { g.seeds = addresses }

// SetSelf changes this daemon's own record with f and queues it for sending.
func (g *Group) SetSelf(now time.Time, f func(*Record)) {
	next := *g.self
	f(&next)
	next.Version++
	g.urgent = g.urgent || next.State != Live || next.Generation != g.self.Generation
	g.self = &next
	g.store(&next, now)
}

// Set merges a record that this daemon created, such as the value of a topic or
// the state of an upstream.
func (g *Group) Set(now time.Time, r Record) { g.merge(now, r) }

// Get returns the record with key k, or nil if there is none.
func (g *Group) Get(k Key) *Record {
	if e := g.entries[k]; e != nil {
		return e.rec
	}
	return nil
}

// Records returns all records of a kind, sorted by name.
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

// TakeChanges returns the records merged since the last call, without this
// daemon's own, and whether any daemon or upstream record changed.
func (g *Group) TakeChanges() (changes []*Record, changed bool) {
	changes, changed = g.changes, g.viewChanged
	g.changes, g.viewChanged = nil, false
	return changes, changed
}

// TakeUrgent reports whether a change should be sent before the next round, and
// clears the mark.
func (g *Group) TakeUrgent() bool {
	urgent := g.urgent
	g.urgent = false
	return urgent
}

// store saves r as the newest version and queues it for sending.
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
		g.sendQueue = append(g.sendQueue, e)
	}
	if r.State != Suspect {
		e.suspectSince = time.Time{}
	} else if e.suspectSince.IsZero() {
		e.suspectSince = now
	}
}

// updateTotals adds a record to the digests and the daemon counts (sign 1) or
// removes it from them (sign -1).
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

// merge stores a record if it is newer than the known one with the same key.
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

// resend queues a known record for one more message after a peer sent an older
// version r of it, which shows that some daemon has not received it yet.
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
		g.sendQueue = append(g.sendQueue, e)
	}
}

// reconcileUpstream adapts record r of an upstream to the known record old. A
// record without incarnation gets the known incarnation and version, and a leaving
// or left upstream does not become live again within its incarnation.
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

// refute handles a record of this daemon that came from a peer. If it replaces
// this daemon's own record, as a suspicion does, this daemon publishes its own
// record with a higher version, which ends the suspicion at all daemons.
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

// declareReplaced marks any older daemon with the address of r dead: its VM was
// replaced by the VM of r.
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

// maxSends returns how many messages of this daemon in the scope carry a version
// of a record. Within a region it grows with the logarithm of the number of
// daemons.
func (g *Group) maxSends(s scope) int {
	if s == global {
		return crossRegionRecordSends
	}
	return 2 + bits.Len(uint(g.localDaemons))
}

package members

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"
)

// Config holds the times and sizes of a Group.
type Config struct {
	Round        time.Duration // between two exchanges that this daemon starts
	ProbeTimeout time.Duration // of one try of an exchange
	SuspectFor   time.Duration // from suspicion until death
	PauseGap     time.Duration // between two ticks, above which this daemon was paused itself
	MessageBytes int           // records of one message, about
	Confirmers   int           // peers that are asked before a silent one is suspected
	RemoteEvery  int           // rounds between two exchanges with another region
	RetryEvery   int           // rounds between two tries of a dead daemon or a seed
	TombstoneFor time.Duration // that a dead or left daemon is remembered
	SyncEvery    time.Duration // least time between two full exchanges
}

// DefaultConfig returns the configuration of a production daemon.
func DefaultConfig() Config {
	return Config{
		Round:        500 * time.Millisecond,
		ProbeTimeout: 400 * time.Millisecond,
		SuspectFor:   2 * time.Second,
		PauseGap:     1500 * time.Millisecond,
		MessageBytes: 1000,
		Confirmers:   3,
		RemoteEvery:  4,
		RetryEvery:   10,
		TombstoneFor: 10 * time.Minute,
		SyncEvery:    10 * time.Second,
	}
}

// syncMismatches is the number of exchanges in a row with different digests and
// nothing left to send after which all records are exchanged.
const syncMismatches = 3

// remoteSends is the number of messages to other regions that carry one version.
const remoteSends = 2

// entry is one known record and its spread.
type entry struct {
	rec       *Record
	sent      [scopes]int // messages that carried this version
	pending   bool        // is in the queue
	changed   time.Time   // when this version arrived
	suspectAt time.Time   // when the suspicion began; zero without one
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
	config     Config
	self       *Record
	entries    map[Key]*entry
	queue      []*entry
	rng        *rand.Rand
	ring       []string // region's daemons in the order of the next probes
	round      int
	lastTick   time.Time
	wokeAt     time.Time // end of this daemon's last pause
	seeds      []string  // addresses to try while they belong to no known daemon
	mismatches [scopes]int
	lastSync   time.Time
	digests    [Topic]uint64 // of all records of each lasting kind
	local      int           // daemons of this region, dead ones excluded
	remote     int           // daemons of other regions, dead ones excluded
	changed    bool
	fresh      []*Record // merged since the last TakeFresh
	urgent     bool      // a record waits that must not wait for the next round
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
	g.put(&self, time.Time{})
	return g
}

// Self returns this daemon's own record.
func (g *Group) Self() *Record { return g.self }

// Seed names addresses of daemons that are tried until they are known.
func (g *Group) Seed(addresses []string) { g.seeds = addresses }

// SetSelf changes this daemon's own record by f and spreads it.
func (g *Group) SetSelf(now time.Time, f func(*Record)) {
	next := *g.self
	f(&next)
	next.Version++
	g.urgent = g.urgent || next.State != Live || next.Generation != g.self.Generation
	g.self = &next
	g.put(&next, now)
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

// TakeFresh returns the records merged since the last call, other than this
// daemon's own, and whether any daemon or upstream changed.
func (g *Group) TakeFresh() (fresh []*Record, changed bool) {
	fresh, changed = g.fresh, g.changed
	g.fresh, g.changed = nil, false
	return fresh, changed
}

// TakeUrgent tells once whether something should be sent before the next round.
func (g *Group) TakeUrgent() bool {
	u := g.urgent
	g.urgent = false
	return u
}

// put stores r as the newest version and queues it.
func (g *Group) put(r *Record, now time.Time) {
	e := g.entries[r.Key]
	if e == nil {
		e = &entry{}
		g.entries[r.Key] = e
	} else {
		g.count(e.rec, -1)
	}
	e.rec, e.sent, e.changed = r, [scopes]int{}, now
	g.count(r, 1)
	if !e.pending {
		e.pending = true
		g.queue = append(g.queue, e)
	}
	if r.State != Suspect {
		e.suspectAt = time.Time{}
	} else if e.suspectAt.IsZero() {
		e.suspectAt = now
	}
}

// count adds a record to the digests and counts, or takes it out with sign -1.
func (g *Group) count(r *Record, sign int) {
	if r.Kind == Topic {
		return
	}
	g.digests[r.Kind] ^= r.hash()
	g.changed = true
	if r.Kind != Daemon || r.State >= Dead {
		return
	}
	if r.Region == g.self.Region {
		g.local += sign
	} else {
		g.remote += sign
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
		settle(old, &r)
		if !newer(&r, old) {
			g.correct(&r, old)
			return
		}
	}
	if r.Kind == Daemon && r.State <= Suspect {
		g.retireAddress(now, &r)
	}
	g.put(&r, now)
	g.fresh = append(g.fresh, &r)
	if r.Kind != Topic && (old != nil && old.State != r.State || old == nil && r.State != Live) {
		g.urgent = true
	}
}

// correct queues a known record once more after an older version of it came in,
// since somebody has not heard of it.
func (g *Group) correct(r, known *Record) {
	if known.Kind == Topic || !newer(known, r) {
		return
	}
	e := g.entries[known.Key]
	for s := range e.sent {
		e.sent[s] = min(e.sent[s], g.sendLimit(scope(s))-1)
	}
	if !e.pending {
		e.pending = true
		g.queue = append(g.queue, e)
	}
}

// settle adapts r to what is known of the same member: an upstream with
// unknown incarnation is the known one, and one that leaves does not return
// within its incarnation.
func settle(old, r *Record) {
	if r.Kind != Upstream {
		return
	}
	if r.Incarnation == 0 && old.Incarnation != 0 {
		r.Incarnation, r.Version = old.Incarnation, old.Version
	}
	sameOrLearnt := r.Incarnation == old.Incarnation || old.Incarnation == 0
	if sameOrLearnt && (old.State == Leaving || old.State == Left) && r.State < old.State {
		r.State, r.DeadlineMS = old.State, old.DeadlineMS
	}
}

// refute answers a record about this daemon that is not its own: it takes a
// version above it, so that a suspicion of it ends everywhere.
func (g *Group) refute(now time.Time, r *Record) {
	if r.Incarnation != g.self.Incarnation || !newer(r, g.self) {
		g.correct(r, g.self)
		return
	}
	next := *g.self
	next.Version = r.Version + 1
	g.self = &next
	g.put(&next, now)
	g.urgent = true
}

// retireAddress declares dead an older daemon whose address r has now: its VM
// was replaced.
func (g *Group) retireAddress(now time.Time, r *Record) {
	for k, e := range g.entries {
		old := e.rec
		if k.Kind != Daemon || k.Name == r.Name || old.Address != r.Address || old.State >= Dead {
			continue
		}
		if old.Incarnation < r.Incarnation && k.Name != g.self.Name {
			dead := *old
			dead.State = Dead
			g.put(&dead, now)
			g.fresh = append(g.fresh, &dead)
		}
	}
}

// sendLimit is the number of messages of one daemon that carry one version in
// the scope.
func (g *Group) sendLimit(s scope) int {
	if s == global {
		return remoteSends
	}
	return 2 + bits.Len(uint(g.local))
}

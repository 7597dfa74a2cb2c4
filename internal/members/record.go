// Package members implements gossip membership and failure detection, in the
// manner of SWIM, for daemons and upstreams.
//
// Group is the state machine: it does no I/O and takes the time and a random
// seed as arguments. Gossiper owns a Group and exchanges records with a few
// peers in each round, so the traffic of one daemon does not grow with the
// number of daemons. Monitor polls the upstreams assigned to this daemon and
// reports their states and loads to the Gossiper.
package members

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
)

// Kind is the type of thing that a record describes.
type Kind int

// Kinds of records.
const (
	Daemon Kind = iota
	Upstream
	Topic // a value published under a topic, such as the load of an upstream
)

// State is the state of a member. If two records have the same version, the one
// with the higher state wins.
type State int

// States of a member.
const (
	Live    State = iota
	Suspect       // unreachable from one daemon and from the peers that it asked to confirm
	Leaving       // has announced its shutdown or reclaim; gets no new work
	Dead          // unreachable for longer than the suspicion timeout
	Left          // shut down cleanly
)

var stateNames = [...]string{"live", "suspect", "leaving", "dead", "left"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is the versioned state of a member or the value of a topic. It must not
// be changed once it has been merged into a Group.
type Record struct {
	Key
	Incarnation int64  // of a daemon its start time (unix ms), of an upstream the value that it reports; 0 if unknown
	Version     uint64 // increases within an incarnation
	State       State
	Region      string
	Zone        string
	Address     string // of a daemon, for other daemons
	Operator    string // address of a daemon's operator API
	Generation  int64  // generation of the manifest in force at a daemon
	LagMS       int64  // ms from the acceptance of that manifest until it was in force at the daemon
	DeadlineMS  int64  // when a leaving member stops, unix ms; 0 if unknown
	Value       []byte // of a Topic record
}

// newer reports whether a replaces b. Both must have the same key.
func newer(a, b *Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// hash returns a hash of the record's key, incarnation, version and state.
func (r *Record) hash() uint64 {
	h := xxhash.Sum64String(r.Name)
	for _, x := range []uint64{uint64(r.Kind), uint64(r.Incarnation), r.Version, uint64(r.State)} {
		h = (h ^ x) * 0x9e3779b97f4a7c15
		h ^= h >> 29
	}
	return h
}

// encodedSize returns the approximate size of the record in a message, in bytes.
func (r *Record) encodedSize() int {
	const fixedFieldBytes = 28
	return fixedFieldBytes + len(r.Name) + len(r.Region) + len(r.Zone) + len(r.Address) + len(r.Operator) + len(r.Value)
}

func (r *Record) encode() *peerpb.Record {
	return &peerpb.Record{
		Kind:        peerpb.Kind(r.Kind),
		Name:        r.Name,
		Incarnation: r.Incarnation,
		Version:     r.Version,
		State:       int32(r.State),
		Region:      r.Region,
		Zone:        r.Zone,
		Address:     r.Address,
		Operator:    r.Operator,
		Generation:  r.Generation,
		LagMs:       r.LagMS,
		DeadlineMs:  r.DeadlineMS,
		Value:       r.Value,
	}
}

func decode(p *peerpb.Record) *Record {
	return &Record{
		Key:         Key{Kind: Kind(p.Kind), Name: p.Name},
		Incarnation: p.Incarnation,
		Version:     p.Version,
		State:       State(p.State),
		Region:      p.Region,
		Zone:        p.Zone,
		Address:     p.Address,
		Operator:    p.Operator,
		Generation:  p.Generation,
		LagMS:       p.LagMs,
		DeadlineMS:  p.DeadlineMs,
		Value:       p.Value,
	}
}

func encodeAll(list []*Record) []*peerpb.Record {
	out := make([]*peerpb.Record, len(list))
	for i, r := range list {
		out[i] = r.encode()
	}
	return out
}

func decodeAll(list []*peerpb.Record) []*Record {
	out := make([]*Record, len(list))
	for i, p := range list {
		out[i] = decode(p)
	}
	return out
}

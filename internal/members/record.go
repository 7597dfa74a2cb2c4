// Package members keeps what one daemon knows of the other daemons and of the
// upstreams, and spreads it.
//
// Group is the pure state machine: time and randomness come in as arguments
// and it sends nothing itself. Task owns a Group and exchanges records with a
// few peers a round, so that the bytes of each daemon stay flat as daemons are
// added.
package members

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
)

// Kind tells what a record describes.
type Kind int

// Kinds of record.
const (
	Daemon Kind = iota
	Upstream
	Topic // a value that a part of a daemon published
)

// State is the state of a member. Of two records of one version the higher
// state wins.
type State int

// States of a member.
const (
	Live    State = iota
	Suspect       // silent to one observer and to those that it asked
	Leaving       // announced; gets no new work
	Dead          // silent beyond the suspicion time
	Left          // ended in order
)

var stateNames = [...]string{"live", "suspect", "leaving", "dead", "left"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Key names a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is one versioned fact about a member. It is immutable once it has
// been merged.
type Record struct {
	Key
	Incarnation int64  // start of the described process, unix ms or epoch; 0 is unknown
	Version     uint64 // rises within an incarnation
	State       State
	Region      string
	Zone        string
	Address     string // peer address of a daemon
	Operator    string // operator address of a daemon
	Generation  int64  // manifest in force at a daemon
	LagMS       int64  // from acceptance of that manifest until in force there
	DeadlineMS  int64  // unix ms at which a leaving member ends; 0 is unknown
	Value       []byte // of a topic
}

// newer tells whether a replaces b, which describes the same member.
func newer(a, b *Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// hash returns a hash of the record's identity and version.
func (r *Record) hash() uint64 {
	h := xxhash.Sum64String(r.Name)
	for _, x := range []uint64{uint64(r.Kind), uint64(r.Incarnation), r.Version, uint64(r.State)} {
		h = (h ^ x) * 0x9e3779b97f4a7c15
		h ^= h >> 29
	}
	return h
}

// encodedSize returns about how many bytes the record takes in a message.
func (r *Record) encodedSize() int {
	const fixed = 28
	return fixed + len(r.Name) + len(r.Region) + len(r.Zone) + len(r.Address) + len(r.Operator) + len(r.Value)
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

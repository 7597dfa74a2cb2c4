// Package throttle keeps all daemons together within the request rates that upstreams
// name in their responses.
//
// Limits holds the rates that the daemons know. For each upstream that names one, one
// daemon at a time is the arbiter: it issues the permits to send a request there, from
// a token bucket (Buckets). The other daemons ask it (Gate). A rate can be less than one
// request per daemon and minute, so it cannot be divided among the daemons in advance.
//
// The package does no I/O and takes the boot time, which also advances while the VM is
// suspended, as an argument.
package throttle

import (
	"encoding/binary"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const (
	// MaxRate is the highest rate that a Limit can have, in requests per second. No
	// upstream serves as many.
	MaxRate = 1e6
	// minRate replaces lower rates. An upstream that names 0 must get a request now and
	// then, since only a response can tell that its limit has ended.
	minRate = 0.2 // requests per second
	// endRetention is how long the end of a limit is remembered.
	endRetention = 30 * time.Second
	// absentRetention is how long the limit of an upstream is kept that is not in the roster.
	// Its entry may have lapsed because it cannot reach the store.
	absentRetention = 10 * time.Minute
	// maxTransit is how much older a statement from another daemon may be than its age
	// says, because of the time that the message took.
	maxTransit = time.Second
	// newsTime is how long a changed rate is in every message to other daemons. It covers
	// several exchanges, some of which may fail.
	newsTime = 3 * time.Second
	// Besides, each limit is in the messages of one of resendTurns turns of resendTurn.
	resendTurn  = 500 * time.Millisecond
	resendTurns = 8
	// refreshAfter is how much newer a statement of the same rate from another daemon must
	// be to replace an earlier one. Without it the transit times of messages that go round
	// would make a statement ever newer.
	refreshAfter = 500 * time.Millisecond
)

// Limit is what an upstream last stated about the rate of requests that it takes from
// all daemons together.
type Limit struct {
	Hash     uint64        // of Upstream
	Upstream roster.Key    // zero if only another daemon knows the upstream
	Rate     float64       // requests per second; 0 if the upstream no longer names a rate
	At       time.Duration // boot time of the statement
	changed  time.Duration // boot time at which this daemon learned of Rate
}

// Statement is a Limit as exchanged between daemons.
type Statement struct {
	Hash uint64
	Rate float64       // requests per second; 0 if the upstream no longer names a rate
	Age  time.Duration // time since the upstream's response
}

// Hash returns the hash that identifies an incarnation of an upstream in messages between
// daemons.
func Hash(k roster.Key) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(k.ID), uint64(k.Incarnation)))
}

// Limits holds the limits of all upstreams that have named one. Its methods are safe for
// concurrent use.
type Limits struct {
	mu   sync.Mutex
	list map[uint64]Limit // by hash
}

// NewLimits returns an empty set of limits.
func NewLimits() *Limits { return &Limits{list: make(map[uint64]Limit)} }

// clampRate returns the rate that is in force for a stated one. It replaces NaN, which a
// malformed message can contain, by minRate.
func clampRate(rate float64) float64 {
	if !(rate >= minRate) {
		return minRate
	}
	return min(rate, MaxRate)
}

// Named records that a response named a rate, and reports whether the rate changed.
func (l *Limits) Named(k roster.Key, rate float64, now time.Duration) bool {
	rate = clampRate(rate)
	hash := Hash(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.list[hash]
	limit := Limit{hash, k, rate, now, old.changed}
	if old.Rate != rate {
		limit.changed = now
	}
	l.list[hash] = limit
	return old.Rate != rate
}

// NotNamed records that the response to a request sent at sentAt named no rate, and
// reports whether this ended a limit. Responses on several connections overtake each
// other: only one to a request that was sent after the last statement is newer.
func (l *Limits) NotNamed(k roster.Key, sentAt, now time.Duration) bool {
	hash := Hash(k)
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.list[hash]
	if old.Rate == 0 || sentAt <= old.At {
		return false
	}
	l.list[hash] = Limit{Hash: hash, Upstream: k, At: now, changed: now}
	return true
}

// Rate returns the rate that an upstream names, in requests per second, and whether it
// names one.
func (l *Limits) Rate(hash uint64) (rate float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate = l.list[hash].Rate
	return rate, rate > 0
}

// All returns all limits, and those that ended recently.
func (l *Limits) All() []Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Limit, 0, len(l.list))
	for _, limit := range l.list {
		list = append(list, limit)
	}
	return list
}

// Statements returns the limits to send to another daemon: all, or those that changed
// recently and, in turn, some of the others.
func (l *Limits) Statements(all bool, now time.Duration) []Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Statement
	turn := uint64(now / resendTurn)
	for _, limit := range l.list {
		if all || now-limit.changed <= newsTime || (limit.Hash+turn)%resendTurns == 0 {
			list = append(list, Statement{limit.Hash, limit.Rate, max(now-limit.At, 0)})
		}
	}
	return list
}

// Merge adds the statements of another daemon that are newer than those known here, and
// returns the limits whose rate changed. r is the roster in force.
func (l *Limits) Merge(list []Statement, r *roster.Roster, now time.Duration) []Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Limit
	for _, s := range list {
		old, known := l.list[s.Hash]
		limit := Limit{s.Hash, old.Upstream, s.Rate, now - s.Age, old.changed}
		if limit.Rate != 0 {
			limit.Rate = clampRate(s.Rate)
		}
		switch {
		case s.Age < 0 || s.Age > endRetention && limit.Rate == 0:
			continue
		case !known && limit.Rate == 0:
			continue // the end of a limit that was never known here
		case known && limit.Rate == old.Rate && limit.At <= old.At+refreshAfter,
			known && limit.Rate == 0 && limit.At <= old.At+maxTransit,
			known && limit.At <= old.At:
			continue
		}
		if !known {
			limit.Upstream = findKey(r, s.Hash)
		}
		if limit.Rate != old.Rate {
			limit.changed = now
		}
		l.list[s.Hash] = limit
		if limit.Rate != old.Rate {
			changed = append(changed, limit)
		}
	}
	return changed
}

// findKey returns the key of the upstream with a hash, the zero key if it is not in the
// roster.
func findKey(r *roster.Roster, hash uint64) roster.Key {
	for _, u := range r.All() {
		if Hash(u.Key()) == hash {
			return u.Key()
		}
	}
	return roster.Key{}
}

// Update adds the keys of upstreams that only other daemons knew, and drops limits that
// ended and those of upstreams that are not in the roster, each after its retention.
func (l *Limits) Update(r *roster.Roster, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) == 0 {
		return
	}
	present := make(map[uint64]bool, len(r.All()))
	for _, u := range r.All() {
		hash := Hash(u.Key())
		present[hash] = true
		if limit, ok := l.list[hash]; ok {
			limit.Upstream = u.Key()
			l.list[hash] = limit
		}
	}
	maps.DeleteFunc(l.list, func(hash uint64, limit Limit) bool {
		age := now - limit.At
		return limit.Rate == 0 && age > endRetention || !present[hash] && age > absentRetention
	})
}

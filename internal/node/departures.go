package node

import (
	"maps"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// departureTTL is how long a departure is remembered once the upstream has no row.
const departureTTL = 5 * time.Minute

// departures remembers upstreams that announced that they leave, or whose row was removed.
// After a restore of the store an older row of theirs may return.
type departures map[roster.Key]departure

type departure struct {
	leaving   bool          // announced in a row or in a response
	removed   int64         // a version of the era of the removal; 0 if it was not removed
	returned  int64         // version of the row with which it returned in a later era; 0 if it did not
	updatedAt time.Duration // boot time
}

// hasLeft records what a row says and reports whether the upstream has left, although the
// row may not say so. A row that was removed and returns by a restore is outdated until its
// owner writes it again; one that returns otherwise had expired in an outage.
func (m departures) hasLeft(u *roster.Upstream, now time.Duration) bool {
	k := u.Key()
	d, known := m[k]
	if !known && !u.Leaving {
		return false
	}
	d.leaving = d.leaving || u.Leaving
	d.updatedAt = now
	if d.removed > 0 && d.returned == 0 && isLaterEra(u.Version, d.removed) {
		d.returned = u.Version
	}
	if d.returned != u.Version {
		d.removed, d.returned = 0, 0
	}
	if !d.leaving && d.removed == 0 {
		delete(m, k)
		return false
	}
	m[k] = d
	return true
}

// announced records that an upstream has announced in a response that it leaves.
func (m departures) announced(k roster.Key, now time.Duration) {
	d := m[k]
	d.leaving, d.updatedAt = true, now
	m[k] = d
}

// gone records that the row of an upstream was removed; newest is the newest version in the
// table since.
func (m departures) gone(u *roster.Upstream, newest int64, now time.Duration) {
	d := m[u.Key()]
	d.removed, d.returned, d.updatedAt = max(u.Version, newest), 0, now
	m[u.Key()] = d
}

// prune forgets departures of upstreams that have had no row for some time.
func (m departures) prune(rows map[string]decodedRow, now time.Duration) {
	maps.DeleteFunc(m, func(k roster.Key, d departure) bool {
		r, present := rows[k.ID]
		present = present && r.upstream != nil && r.upstream.Key() == k
		return !present && now-d.updatedAt > departureTTL
	})
}

func isLaterEra(version, than int64) bool {
	era, _ := views.SplitVersion(version)
	before, _ := views.SplitVersion(than)
	return era > before
}

package mesh

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// behindLogAfter is how long a copy of a table may lack changes that another daemon has
// before that is logged.
const behindLogAfter = time.Second

// stallTimeout is how long a member waits for the next piece of a table from its hub before it
// reads the table from the store itself.
const stallTimeout = time.Second

// TableStatus describes this daemon's copy of a table of the store.
type TableStatus struct {
	Name        string
	Version     int64         // of the copy
	Told        int64         // newest version that another daemon has told of
	ToldBy      string        // name of that daemon
	Behind      time.Duration // time for which the copy has lacked told changes; 0 if it has them
	FailedReads int64         // reads from other daemons, since the start
	Bypasses    int64         // times that this member had to read the table from the store itself, since the start
}

// tableLag tracks how far this daemon's copy of a table is behind other daemons'.
type tableLag struct {
	told        int64         // see TableStatus
	toldBy      string        // name of a daemon
	behindSince time.Duration // boot time since which the copy has lacked told changes; 0 if it has them
	progressAt  time.Duration // boot time of the last piece read
	logged      bool          // since behindSince
	failedReads int64
	failedInRow uint
	bypassed    bool // this member reads the table from the store itself
	bypasses    int64
}

// lag returns the state of a table, a new one if there is none. The caller holds mu.
func (m *Mesh) lag(table string) *tableLag {
	l := m.lags[table]
	if l == nil {
		l = &tableLag{}
		m.lags[table] = l
	}
	return l
}

// toldVersion returns the version of a table that a daemon tells of, 0 for a table that this
// daemon has no copy of.
func (m *Mesh) toldVersion(t *meshpb.Table) int64 {
	v := m.Views[t.Name]
	if v == nil {
		return 0
	}
	return views.MakeVersion(cmp.Or(t.Era, v.AssumedEra()), t.Changed)
}

// recordTables records the versions of tables in a State.
func (m *Mesh) recordTables(s *meshpb.State, now time.Duration) {
	for _, t := range s.Tables {
		told := m.toldVersion(t)
		if told == 0 {
			continue
		}
		m.mu.Lock()
		if l := m.lag(t.Name); told > l.told {
			l.told, l.toldBy = told, s.Self.Name
		}
		m.mu.Unlock()
	}
	m.checkTables(now)
}

// checkTables compares this daemon's copies of tables with the versions told by others, and
// logs copies that stay behind, those that this member reads itself therefore, and those that
// caught up.
func (m *Mesh) checkTables(now time.Duration) {
	for name, v := range m.Views {
		known := v.KnownVersion()
		m.mu.Lock()
		l := m.lag(name)
		before := *l
		l.update(known, m.role == Member, now)
		after, hub := *l, m.hub
		m.mu.Unlock()
		if after.logged && !before.logged {
			m.Log.Warn("table behind", "table", name, "version", known, "told", after.told, "told_by", after.toldBy, "for", now-after.behindSince)
		}
		if after.bypassed && !before.bypassed {
			m.Log.Warn("hub bypassed", "table", name, "hub", hub, "version", known, "told", after.told, "no_progress_for", after.idle(now))
		}
		if before.logged && !after.logged {
			m.Log.Info("table caught up", "table", name, "version", known, "after", now-before.behindSince)
		}
	}
}

// update compares the version that this daemon knows with the told one.
func (l *tableLag) update(known int64, member bool, now time.Duration) {
	if l.told <= known {
		l.behindSince, l.logged, l.failedInRow, l.bypassed = 0, false, 0, false
		return
	}
	if l.behindSince == 0 {
		l.behindSince = now
	}
	l.logged = l.logged || now-l.behindSince > behindLogAfter
	if member && !l.bypassed && l.idle(now) > stallTimeout {
		l.bypassed = true
		l.bypasses++
	}
}

// idle returns the time for which this daemon has got no part of the changes that it lacks.
func (l *tableLag) idle(now time.Duration) time.Duration {
	if l.behindSince == 0 {
		return 0
	}
	return now - max(l.behindSince, l.progressAt)
}

// bypassesHub reports whether this daemon reads a table from the store because its hub does
// not deliver it.
func (m *Mesh) bypassesHub(table string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lag(table).bypassed
}

// recordFailedRead counts a failed read of a table from a daemon. It logs the first failure in
// a row and then ever fewer.
func (m *Mesh) recordFailedRead(table, peer string, told int64, took time.Duration, err error) {
	m.mu.Lock()
	l := m.lag(table)
	l.failedReads++
	l.failedInRow++
	inRow := l.failedInRow
	m.mu.Unlock()
	if bits.OnesCount(inRow) == 1 {
		m.Log.Warn("table read failed", "table", table, "peer", peer, "version", m.Views[table].KnownVersion(), "told", told,
			"took", took, "in_row", inRow, "error", err)
	}
}

// TableStatuses returns the state of all tables, by name.
func (m *Mesh) TableStatuses(now time.Duration) []TableStatus {
	var list []TableStatus
	for _, name := range slices.Sorted(maps.Keys(m.Views)) {
		version := m.Views[name].KnownVersion()
		m.mu.Lock()
		l := m.lag(name)
		s := TableStatus{Name: name, Version: version, Told: l.told, ToldBy: l.toldBy, FailedReads: l.failedReads, Bypasses: l.bypasses}
		if l.behindSince > 0 {
			s.Behind = now - l.behindSince
		}
		m.mu.Unlock()
		list = append(list, s)
	}
	return list
}

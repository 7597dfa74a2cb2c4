package views

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
)

// fakeStore is a table of the store.
type fakeStore struct {
	version int64
	rows    map[string]Row // newest change of each row, including removals
}

func (s *fakeStore) write(key string, removed bool) {
	s.version++
	s.rows[key] = Row{Key: key, Version: s.version, Removed: removed}
}

// snapshot returns all rows.
func (s *fakeStore) snapshot() Page {
	p := Page{Version: s.version}
	for _, r := range s.rows {
		if !r.Removed {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

// changes returns the rows that changed after a version.
func (s *fakeStore) changes(after int64) Page {
	p := Page{Version: s.version}
	for _, r := range s.rows {
		if r.Version > after {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

// trackedView is a view of one daemon with the history that check needs.
type trackedView struct {
	*View
	pending   *Page // response of the store that is not applied yet
	snapshot  bool
	removedAt map[string]int64 // version of the newest removal of each row that the view has seen
	previous  map[string]Row
}

func newTrackedView() *trackedView {
	d := &trackedView{removedAt: make(map[string]int64), previous: make(map[string]Row)}
	d.View = New(nil, Config{
		Table: "t", Log: hclog.NewNullLogger(), HoldFor: 1, // held rows are removed by the next response
		PeersReadStore: func() bool { return false },
		OnChange:       func(map[string]Row) {},
	})
	return d
}

// check compares the rows with those of the last call: versions must not fall, and removed
// rows must not come back.
func (d *trackedView) check(t *testing.T, s *fakeStore, seed uint64) {
	rows, _, _ := d.Since(0)
	current := make(map[string]Row)
	for _, r := range rows {
		current[r.Key] = r
		assert.Assert(t, r.Version >= d.previous[r.Key].Version, "seed %d: row %s has an older version than before", seed, r.Key)
		assert.Assert(t, r.Version > d.removedAt[r.Key], "seed %d: row %s was restored after its removal", seed, r.Key)
	}
	for key := range d.previous {
		if _, ok := current[key]; !ok {
			// It was removed by the newest removal that this view can know of.
			if newest := s.rows[key]; newest.Removed && newest.Version <= max(d.newestVersion, d.readTo) {
				d.removedAt[key] = newest.Version
			}
		}
	}
	d.previous = current
}

// TestRandomViews runs random changes, late responses, snapshots, outages, merges between
// daemons and restarts. No row may return to an older version or come back after its
// removal. A view that has read all changes and holds no rows must have as many rows as
// the store.
func TestRandomViews(t *testing.T) {
	for seed := range uint64(400) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		s := &fakeStore{rows: make(map[string]Row)}
		views := []*trackedView{newTrackedView(), newTrackedView(), newTrackedView()}
		for range 300 {
			i := rnd.IntN(len(views))
			v := views[i]
			switch rnd.IntN(8) {
			case 0, 1: // a row is written or removed
				key := fmt.Sprint("r", rnd.IntN(4))
				s.write(key, !s.rows[key].Removed && s.rows[key].Version > 0 && rnd.IntN(2) == 0)
			case 2: // the store responds
				v.snapshot = v.readTo == 0 || rnd.IntN(4) == 0
				p := s.changes(v.readTo)
				if v.snapshot {
					p = s.snapshot()
				}
				v.pending = &p
			case 3, 4: // the view applies the response
				if v.pending != nil {
					p := *v.pending
					v.pending = nil
					v.apply(p, v.snapshot)
					if p.Version == s.version && len(v.held) == 0 {
						assert.Equal(t, len(s.snapshot().Rows), rowCount(v.View), "seed %d", seed)
					}
				}
			case 5: // the store is down for this daemon
				v.upSince = 0
				v.readAt = boottime.Now() - 2*minOutage
			case 6: // the view merges the table of another daemon
				after := int64(0)
				if rnd.IntN(2) == 0 {
					after = v.Version()
				}
				rows, newest, snapshot := views[rnd.IntN(len(views))].Since(after)
				v.Merge(rows, newest, snapshot, "peer")
			case 7: // a daemon restarts
				if rnd.IntN(5) == 0 {
					views[i] = newTrackedView()
				}
			}
			views[i].check(t, s, seed)
		}
	}
}

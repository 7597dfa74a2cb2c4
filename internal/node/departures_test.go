package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// TestDeparturesSurviveRestore checks which upstreams count as gone when an older row of
// theirs returns by a restore of the store, and which may be used again.
func TestDeparturesSurviveRestore(t *testing.T) {
	row := func(era, number int64, leaving bool) *roster.Upstream {
		return &roster.Upstream{ID: "i-1", Incarnation: 7, Leaving: leaving, Version: views.MakeVersion(era, number)}
	}
	now := time.Hour
	m := make(departures)
	assert.Assert(t, !m.hasLeft(row(1, 5, false), now) && len(m) == 0)

	assert.Assert(t, m.hasLeft(row(1, 6, true), now))
	assert.Assert(t, m.hasLeft(row(2, 5, false), now), "announced in a row that the restore took back")
	assert.Assert(t, m.hasLeft(row(2, 9, false), now), "an upstream does not return from that")
	born := row(2, 10, false)
	born.Incarnation = 8
	assert.Assert(t, !m.hasLeft(born, now), "another incarnation")

	m = make(departures)
	m.gone(row(1, 5, false), views.MakeVersion(1, 20), now)
	assert.Assert(t, m.hasLeft(row(2, 5, false), now), "the removal was taken back")
	assert.Assert(t, m.hasLeft(row(2, 5, false), now))
	assert.Assert(t, !m.hasLeft(row(2, 12, false), now), "its owner has written it again")

	m.gone(row(1, 5, false), views.MakeVersion(1, 20), now)
	assert.Assert(t, !m.hasLeft(row(1, 21, false), now), "it had expired in an outage")

	m.gone(row(1, 5, false), views.MakeVersion(2, 8), now)
	assert.Assert(t, !m.hasLeft(row(2, 9, false), now), "held after the restore, and written again late")

	m.gone(row(1, 5, false), views.MakeVersion(1, 20), now)
	m.prune(nil, now+departureTTL)
	assert.Equal(t, len(m), 1)
	m.prune(nil, now+departureTTL+time.Second)
	assert.Equal(t, len(m), 0)
}

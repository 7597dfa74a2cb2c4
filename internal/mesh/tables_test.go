package mesh

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// TestTableBehindIsReported tells a daemon of a version that it cannot get. Its log must name
// the table, both versions and who told it, once, and its metrics the time since.
func TestTableBehindIsReported(t *testing.T) {
	var out bytes.Buffer
	view := views.New(nil, views.Config{Table: "op", Log: hclog.NewNullLogger(), OnChange: func(map[string]views.Row) {}})
	m := New(Config{Self: &meshpb.Daemon{Name: "d1"}, Views: map[string]*views.View{"op": view},
		Log: hclog.New(&hclog.LoggerOptions{Output: &out})})
	view.Merge([]views.Row{{Key: "config", Version: 5}}, 5, true, "d2")
	s := &meshpb.State{Self: &meshpb.Daemon{Name: "d2"}, Tables: []*meshpb.Table{{Name: "op", Changed: 9}, {Name: "unknown", Changed: 99}}}
	const start = time.Hour
	for now := start; now < start+3*time.Second; now += 100 * time.Millisecond {
		m.recordTables(s, now)
	}
	for range 5 {
		m.recordFailedRead("op", "d2", 9, time.Second, errDropped)
	}
	got := m.TableStatuses(start + 3*time.Second)
	assert.DeepEqual(t, got, []TableStatus{{Name: "op", Version: 5, Told: 9, ToldBy: "d2", Behind: 3 * time.Second, FailedReads: 5}})
	assert.Equal(t, strings.Count(out.String(), "table behind: table=op version=5 told=9 told_by=d2"), 1, out.String())
	assert.Equal(t, strings.Count(out.String(), "table read failed: table=op peer=d2 version=5 told=9"), 3, "failures 1, 2 and 4: %s", out.String())
	view.Merge([]views.Row{{Key: "config", Version: 9}}, 9, false, "d2")
	m.checkTables(start + 4*time.Second)
	assert.Equal(t, m.TableStatuses(start + 4*time.Second)[0].Behind, time.Duration(0))
	assert.Equal(t, strings.Count(out.String(), "table caught up: table=op version=9 after=4s"), 1, out.String())
}

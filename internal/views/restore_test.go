package views

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func version(era, number int64) int64 { return MakeVersion(era, number) }

// TestRestoredRowsReplaceNewerOnes applies a list of the store after a restore, whose numbers
// are lower than those known.
func TestRestoredRowsReplaceNewerOnes(t *testing.T) {
	for name, peersRead := range map[string]bool{"alone": false, "another daemon read the store": true} {
		t.Run(name, func(t *testing.T) {
			v := newView(peersRead)
			v.apply(Page{Era: 1, Version: version(1, 10), Rows: []Row{{Key: "a", Version: version(1, 5)}, {Key: "b", Version: version(1, 6)}}}, true)
			v.apply(Page{Era: 2, Version: version(2, 7), Rows: []Row{{Key: "a", Version: version(2, 3), Value: []byte("older")}}}, true)
			rows, newest, _ := v.Since(0)
			assert.Equal(t, len(rows), 2, "row b is held until its owner writes it again")
			assert.Equal(t, newest, version(2, 3))
			assert.Equal(t, string(v.rows["a"].Value), "older")
			v.apply(Page{Era: 2, Version: version(2, 9), Rows: []Row{{Key: "b", Version: version(2, 9)}}}, false)
			assert.Equal(t, len(v.held), 0)
			assert.Equal(t, v.readTo, version(2, 9))
		})
	}
}

// TestResponsesFromBeforeRestoreAreIgnored applies a list and changes that were read before a
// restore after those that were read later.
func TestResponsesFromBeforeRestoreAreIgnored(t *testing.T) {
	v := newView(false)
	v.apply(Page{Era: 2, Version: version(2, 7), Rows: []Row{{Key: "a", Version: version(2, 3)}}}, true)
	v.apply(Page{Era: 1, Version: version(1, 99), Rows: []Row{{Key: "a", Version: version(1, 99)}, {Key: "c", Version: version(1, 98)}}}, false)
	assert.Equal(t, v.rows["a"].Version, version(2, 3))
	_, known := v.rows["c"]
	assert.Assert(t, !known)
	assert.Equal(t, v.readTo, version(2, 7))
	v.apply(Page{Era: 1, Version: version(1, 99), Rows: []Row{{Key: "c", Version: version(1, 98)}}}, true)
	assert.Equal(t, v.rows["a"].Version, version(2, 3))
	assert.Equal(t, v.Version(), version(2, 3))
}

// TestPeersExchangeRestoredTable merges tables between a daemon that has read the restored
// store and one that has not, in both directions.
func TestPeersExchangeRestoredTable(t *testing.T) {
	ahead, behind := newView(false), newView(false)
	ahead.apply(Page{Era: 2, Version: version(2, 7), Rows: []Row{{Key: "a", Version: version(2, 3)}, {Key: "b", Version: version(2, 4)}}}, true)
	rows, newest, snapshot := ahead.Since(behind.Version())
	assert.Assert(t, snapshot)
	behind.Merge(rows, newest, snapshot, "ahead")
	assert.Equal(t, behind.rows["b"].Version, version(2, 4))

	stale := New(nil, Config{Table: "t", Log: hclog.NewNullLogger(), OnChange: func(map[string]Row) {}})
	stale.apply(Page{Era: 1, Version: version(1, 500), Rows: []Row{{Key: "c", Version: version(1, 400)}}}, true)
	rows, newest, snapshot = stale.Since(0)
	ahead.Merge(rows, newest, snapshot, "stale")
	assert.Equal(t, ahead.rows["a"].Version, version(2, 3))
	_, known := ahead.rows["c"]
	assert.Assert(t, !known, "a table from before the restore")
}

// TestVersionsOfOneEra checks that a store without eras works as before.
func TestVersionsOfOneEra(t *testing.T) {
	assert.Equal(t, MakeVersion(0, 17), int64(17))
	era, number := SplitVersion(MakeVersion(3, 17))
	assert.Assert(t, era == 3 && number == 17)
	v := newView(true)
	v.apply(Page{Version: 20, Rows: []Row{{Key: "a", Version: 15, Removed: true}}}, false)
	assert.Equal(t, rowCount(v), 1, "not held")
}

// TestEraOfOlderBuilds checks what is assumed of a daemon whose build does not tell the era.
func TestEraOfOlderBuilds(t *testing.T) {
	v := newView(false)
	assert.Equal(t, v.AssumedEra(), int64(0))
	v.apply(Page{Era: 3, Version: version(3, 10), Rows: []Row{{Key: "a", Version: version(3, 5)}}}, true)
	assert.Equal(t, v.AssumedEra(), int64(3))
	v.apply(Page{Era: 4, Version: version(4, 8), Rows: []Row{{Key: "a", Version: version(4, 4)}}}, true)
	assert.Equal(t, v.AssumedEra(), int64(0), "its table may be from before the restore")
}

package serve

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
)

// newWatchingLots returns the Lots of a daemon that owns no lots.
func newWatchingLots(t *testing.T, table platform.Table) *Lots {
	w := batch.New(table, batch.Options{RowsPerSecond: 1e6, Daemons: 1})
	t.Cleanup(w.Close)
	return NewLots(LotsConfig{Daemon: "two", Table: table, Objects: platform.NewMemoryObjects(), Writer: w, Log: hclog.NewNullLogger()})
}

// idInPartition0 returns a random id whose rows belong to partition 0.
func idInPartition0() string {
	want := ledger.PartitionName(ledger.OwnershipPartition, 0) + "/"
	for {
		id := uuid.NewString()
		if key := ledger.OwnershipKey(id); key[:len(key)-len(id)] == want {
			return id
		}
	}
}

// TestScanReadsAllPages checks that overdue lots of a dead daemon are ended even if they
// fill several pages of a scan.
func TestScanReadsAllPages(t *testing.T) {
	ctx, now := context.Background(), time.Now()
	table := platform.NewMemoryTable()
	const lots = 5*pageRows/2 + 1
	for range lots {
		id := idInPartition0()
		open, writes, err := ledger.AcceptLot(ledger.Lot{ID: id, Deadline: now.Add(-time.Hour)}, "one", "t", time.Second, now.Add(-2*time.Hour))
		assert.NilError(t, err)
		assert.NilError(t, table.Commit(ctx, id, writes))
		_, writes, err = ledger.UpdateLot(open, ledger.Dispatch, time.Second, now.Add(-2*time.Hour))
		assert.NilError(t, err)
		assert.NilError(t, table.Commit(ctx, id+"d", writes))
	}
	newWatchingLots(t, table).scanOwnership(ctx, 0, now)
	rows, err := table.Scan(ctx, ledger.PartitionName(ledger.OwnershipPartition, 0), "", 2*lots)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// TestExpiredRecordsAreCollected checks that expired records are deleted, even if they fill
// several pages, and that other records are kept.
func TestExpiredRecordsAreCollected(t *testing.T) {
	ctx, now := context.Background(), time.Now()
	table := platform.NewMemoryTable()
	const calls = 3 * pageRows
	for i := range calls {
		id := idInPartition0()
		at := now.Add(-2 * recordRetention)
		if i%3 == 0 {
			at = now
		}
		d, err := ledger.ClaimDispatch(ledger.StoredRecord{}, ledger.Claim{ID: id}, at)
		assert.NilError(t, err)
		assert.NilError(t, table.Commit(ctx, id, []platform.Write{d.Write}))
	}
	l := newWatchingLots(t, table)
	for range 60 {
		l.collect(ctx, 0, now)
	}
	rows, err := table.Scan(ctx, ledger.PartitionName(ledger.CallPartition, 0), "", calls)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), calls/3)
}

// TestLotIsMarkedBeforeObjectsAreDeleted checks that garbage collection of an ended lot
// first sets the state in its row to Collected, and deletes the object with the response
// and the row only collectGrace later. A reader that read the row before still finds the
// object.
func TestLotIsMarkedBeforeObjectsAreDeleted(t *testing.T) {
	ctx, now := context.Background(), time.Now()
	table := platform.NewMemoryTable()
	l := newWatchingLots(t, table)
	id := idInPartition0()
	open, writes, err := ledger.AcceptLot(ledger.Lot{ID: id}, "one", "t", time.Second, now)
	assert.NilError(t, err)
	assert.NilError(t, table.Commit(ctx, "a", writes))
	assert.NilError(t, l.objects.Put(ctx, "answer", []byte("{}")))
	_, writes, err = ledger.EndLot(open, ledger.LotResult{Event: ledger.Answer, TextObject: "answer"}, now)
	assert.NilError(t, err)
	assert.NilError(t, table.Commit(ctx, "b", writes))

	later := now.Add(recordRetention + time.Minute)
	l.collect(ctx, 0, later)
	lot, _, err := l.readLot(ctx, id)
	assert.NilError(t, err)
	assert.Equal(t, lot.State, ledger.Collected)
	_, err = l.objects.Get(ctx, "answer")
	assert.NilError(t, err)
	l.collect(ctx, 0, later.Add(collectGrace+time.Minute))
	_, err = l.objects.Get(ctx, "answer")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	_, _, err = l.readLot(ctx, id)
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

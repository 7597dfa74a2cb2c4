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

// watcher returns lots over a table, as on a daemon that owns none.
func watcher(t *testing.T, table platform.Table) *Lots {
	w := batch.New(table, batch.Options{RowsPerSecond: 1e6, Daemons: 1})
	t.Cleanup(w.Close)
	return NewLots(LotsConfig{Daemon: "two", Table: table, Objects: platform.NewMemoryObjects(), Writer: w, Log: hclog.NewNullLogger()})
}

// inPartition returns an id whose open row lies in the first partition.
func inPartition() string {
	want := ledger.PartitionName(ledger.OpenPartition, 0) + "/"
	for {
		id := uuid.NewString()
		if key := ledger.OpenKey(id); key[:len(key)-len(id)] == want {
			return id
		}
	}
}

// TestEveryOpenLotIsSeen checks that a lot of a dead daemon is ended although
// more open lots than a page holds come before it.
func TestEveryOpenLotIsSeen(t *testing.T) {
	ctx, now := context.Background(), time.Now()
	table := platform.NewMemoryTable()
	const lots = 5*scanLimit/2 + 1
	for range lots {
		id := inPartition()
		hold, writes, err := ledger.AcceptLot(ledger.Lot{ID: id, Deadline: now.Add(-time.Hour)}, "one", "t", time.Second, now.Add(-2*time.Hour))
		assert.NilError(t, err)
		assert.NilError(t, table.Commit(ctx, id, writes))
		_, writes, err = ledger.Change(hold, ledger.Dispatch, time.Second, now.Add(-2*time.Hour))
		assert.NilError(t, err)
		assert.NilError(t, table.Commit(ctx, id+"d", writes))
	}
	watcher(t, table).scanOpen(ctx, 0, now)
	rows, err := table.Scan(ctx, ledger.PartitionName(ledger.OpenPartition, 0), "", 2*lots)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// TestCollection checks that expired records go, however many there are, and
// that others stay.
func TestCollection(t *testing.T) {
	ctx, now := context.Background(), time.Now()
	table := platform.NewMemoryTable()
	const calls = 3 * scanLimit
	for i := range calls {
		id := inPartition()
		at := now.Add(-2 * retention)
		if i%3 == 0 {
			at = now
		}
		d, err := ledger.Admit(ledger.Stored{}, ledger.Intent{ID: id}, at)
		assert.NilError(t, err)
		assert.NilError(t, table.Commit(ctx, id, []platform.Write{d.Write}))
	}
	l := watcher(t, table)
	for range 60 {
		l.collect(ctx, 0, now)
	}
	rows, err := table.Scan(ctx, ledger.PartitionName(ledger.CallPartition, 0), "", calls)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), calls/3)
}

// TestLotIsMarkedBeforeItsObjectsGo checks that a reader that saw the row of an
// ended lot still finds its answer.
func TestLotIsMarkedBeforeItsObjectsGo(t *testing.T) {
	ctx, now := context.Background(), time.Now()
	table := platform.NewMemoryTable()
	l := watcher(t, table)
	id := inPartition()
	hold, writes, err := ledger.AcceptLot(ledger.Lot{ID: id}, "one", "t", time.Second, now)
	assert.NilError(t, err)
	assert.NilError(t, table.Commit(ctx, "a", writes))
	assert.NilError(t, l.objects.Put(ctx, "answer", []byte("{}")))
	_, writes, err = ledger.EndLot(hold, ledger.End{Event: ledger.Answer, Answer: "answer"}, now)
	assert.NilError(t, err)
	assert.NilError(t, table.Commit(ctx, "b", writes))

	later := now.Add(retention + time.Minute)
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

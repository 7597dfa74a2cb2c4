package serve

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
)

const (
	watchInterval   = time.Second
	scansPerSecond  = 16.0             // partitions of open lots that all daemons together scan
	pageRows        = 100              // page size of a scan
	maxAdoptions    = 8                // per scan of a partition
	collectTicks    = 5                // watch intervals between two collections
	recordRetention = 24 * time.Hour   // of the records of ended lots and of calls
	collectGrace    = 10 * time.Minute // between marking a lot and deleting its objects
	overdueGrace    = time.Minute      // after the deadline of a dispatched lot
	scanTimeout     = 5 * time.Second
)

// Run adopts open lots whose lease has expired and deletes expired records, until ctx
// ends. Daemons don't coordinate: each scans random partitions, at a rate that is
// scansPerSecond for all daemons together.
func (l *Lots) Run(ctx context.Context) error {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	var cycle partitionCycle
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		scans := scansPerSecond / float64(l.daemonCount.Load())
		for ; scans > 0 && rand.Float64() < scans; scans-- {
			l.scanOwnership(ctx, cycle.next(), time.Now())
		}
		if tick%collectTicks == 0 {
			l.collect(ctx, rand.IntN(ledger.Partitions), time.Now())
		}
	}
}

// partitionCycle returns partitions in random order, each of them once per cycle. With
// independent random choices, nothing would bound the time between two scans of a
// partition.
type partitionCycle struct{ remaining []int }

func (c *partitionCycle) next() int {
	if len(c.remaining) == 0 {
		c.remaining = rand.Perm(ledger.Partitions)
	}
	next := c.remaining[0]
	c.remaining = c.remaining[1:]
	return next
}

// scanOwnership checks all open lots of a partition, and adopts up to maxAdoptions of them.
func (l *Lots) scanOwnership(ctx context.Context, partition int, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	adopted := 0
	for after := ""; ; {
		rows, err := l.table.Scan(ctx, ledger.PartitionName(ledger.OwnershipPartition, partition), after, pageRows)
		if err != nil {
			l.log.Debug("scan of open lots failed", "step", stepLots, "peer", peerTable, "error", err)
			return
		}
		for _, row := range rows {
			if l.checkLot(ctx, row, now, adopted < maxAdoptions) {
				adopted++
			}
		}
		if len(rows) < pageRows {
			return
		}
		after = requestID(rows[len(rows)-1])
	}
}

// requestID returns the id of the request to which the row belongs.
func requestID(row platform.Row) string { return row.Key[len(row.Key)-len(uuid.Nil.String()):] }

// checkLot tries to adopt an open lot whose lease has expired, if mayAdopt, and fails a
// dispatched lot that is overdue. It reports whether it tried to adopt the lot.
func (l *Lots) checkLot(ctx context.Context, row platform.Row, now time.Time, mayAdopt bool) bool {
	var ownership ledger.Ownership
	if err := ledger.DecodeRow(row, &ownership); err != nil {
		l.log.Error("ownership row of a lot not decoded", "error", err)
		return false
	}
	id := requestID(row)
	switch {
	case l.find(id) != nil:
	case ledger.MayAdopt(ownership, now) && mayAdopt:
		l.adopt(ctx, id, ownership, row.Version)
		return true
	case ownership.State == ledger.Dispatched && ledger.Overdue(ownership, overdueGrace, now):
		l.failOverdue(ctx, id, ownership, row.Version)
	}
	return false
}

// adopt takes over a lot whose lease has expired and resumes it from the saved progress.
func (l *Lots) adopt(ctx context.Context, id string, ownership ledger.Ownership, version int64) {
	lot, _, err := l.readLot(ctx, id)
	if err != nil {
		return
	}
	p, err := l.readProgress(ctx, ownership.ProgressObject)
	if err != nil {
		l.log.Debug("progress of the lot not read", "id", id, "error", err)
		return
	}
	o := newOwnedLot(ledger.AssignOwner(ledger.OpenLot{Lot: lot, Ownership: ownership, Version: version}, l.daemon, uuid.NewString()), nil)
	o.claimed = false
	o.restore(p)
	if err := l.record(ctx, o, noChange); err != nil {
		return
	}
	l.log.Info("lot adopted", "id", id, "peer", ownership.Owner, "tokens", p.Tokens)
	l.start(o)
}

// failOverdue ends a dispatched lot whose owner can no longer record a response.
func (l *Lots) failOverdue(ctx context.Context, id string, ownership ledger.Ownership, version int64) {
	lot, _, err := l.readLot(ctx, id)
	if err != nil {
		return
	}
	o := newOwnedLot(ledger.OpenLot{Lot: lot, Ownership: ownership, Version: version}, nil)
	result := ledger.LotResult{Event: ledger.Fail, Outcome: "unknown", Reason: "daemon " + ownership.Owner + " did not record an answer"}
	_ = l.record(ctx, o, func(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error) {
		return ledger.EndLot(open, result, now)
	})
}

// collect deletes expired records from one page of lots and one page of calls of a
// partition. The pages begin at a random id, so that every row is eventually checked,
// regardless of the number of rows.
func (l *Lots) collect(ctx context.Context, partition int, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	for _, row := range l.randomPage(ctx, ledger.LotPartition, partition) {
		var lot ledger.Lot
		if ledger.DecodeRow(row, &lot) == nil {
			l.collectLot(ctx, lot, row, now)
		}
	}
	for _, row := range l.randomPage(ctx, ledger.CallPartition, partition) {
		s, err := ledger.DecodeRecord(row)
		if err == nil && ledger.Expired(s, recordRetention, now) {
			l.collectCall(ctx, s, row)
		}
	}
}

// randomPage reads up to pageRows rows, beginning at a random id. It continues with the
// first rows of the partition if too few follow the id.
func (l *Lots) randomPage(ctx context.Context, kind string, partition int) []platform.Row {
	name := ledger.PartitionName(kind, partition)
	rows, err := l.table.Scan(ctx, name, uuid.NewString(), pageRows)
	if err != nil {
		return nil
	}
	if missing := pageRows - len(rows); missing > 0 {
		wrapped, _ := l.table.Scan(ctx, name, "", missing)
		rows = append(rows, wrapped...)
	}
	return rows
}

// collectLot marks an ended lot whose retention is over. Once collectGrace has passed, it
// deletes the objects and then the row. A reader that read the row before it was marked
// thus still finds the objects.
func (l *Lots) collectLot(ctx context.Context, lot ledger.Lot, row platform.Row, now time.Time) {
	age := now.Sub(lot.UpdatedAt)
	switch {
	case (lot.State == ledger.Done || lot.State == ledger.Failed) && age > recordRetention:
		w, err := ledger.CollectLot(lot, row.Version, now)
		if err == nil {
			_ = l.writer.Commit(ctx, batch.Control, uuid.NewString(), []platform.Write{w})
		}
	case lot.State == ledger.Collected && age > collectGrace:
		for _, name := range []string{ledger.InputObject(lot.ID), lot.TextObject, "lot-" + lot.ID + "-reply"} {
			if name == "" {
				continue
			}
			if err := l.objects.Delete(ctx, name); err != nil && !errors.Is(err, platform.ErrNotFound) {
				return
			}
		}
		l.deleteRow(ctx, row)
	}
}

func (l *Lots) collectCall(ctx context.Context, s ledger.StoredRecord, row platform.Row) {
	if r := s.Record.Response; r != nil && r.Object != "" {
		if err := l.objects.Delete(ctx, r.Object); err != nil {
			return
		}
	}
	l.deleteRow(ctx, row)
}

func (l *Lots) deleteRow(ctx context.Context, row platform.Row) {
	w := platform.Write{Key: row.Key, Version: row.Version, Delete: true}
	_ = l.writer.Commit(ctx, batch.Control, uuid.NewString(), []platform.Write{w})
}

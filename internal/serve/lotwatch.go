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
	scansPerSecond  = 16.0 // partitions of open lots, by all daemons together
	scanLimit       = 100  // rows of one page of a scan
	maxAdoptions    = 8    // by one scan
	collectEvery    = 5    // intervals between two scans for collection
	retention       = 24 * time.Hour
	collectGrace    = 10 * time.Minute // from the mark until the objects are deleted
	overdueGrace    = time.Minute
	watchCallBudget = 5 * time.Second
)

// Run watches the open lots for lapsed leases and collects what is no longer
// kept, until ctx ends. All daemons share the partitions by chance.
func (l *Lots) Run(ctx context.Context) error {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	var partitions deck
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		scans := scansPerSecond / float64(l.daemons.Load())
		for ; scans > 0 && rand.Float64() < scans; scans-- {
			l.scanOpen(ctx, partitions.draw(), time.Now())
		}
		if n%collectEvery == 0 {
			l.collect(ctx, rand.IntN(ledger.Partitions), time.Now())
		}
	}
}

// deck deals out the partitions in random order, each once before any comes again: drawn
// by chance alone, one can be missed for as long as chance has it.
type deck struct{ left []int }

func (d *deck) draw() int {
	if len(d.left) == 0 {
		d.left = rand.Perm(ledger.Partitions)
	}
	next := d.left[0]
	d.left = d.left[1:]
	return next
}

// scanOpen adopts lots of one partition whose lease has lapsed.
func (l *Lots) scanOpen(ctx context.Context, partition int, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, watchCallBudget)
	defer cancel()
	adopted := 0
	for after := ""; ; {
		rows, err := l.table.Scan(ctx, ledger.PartitionName(ledger.OpenPartition, partition), after, scanLimit)
		if err != nil {
			l.log.Debug("scan failed", "step", stepLots, "peer", peerTable, "error", err)
			return
		}
		for _, row := range rows {
			if l.look(ctx, row, now, adopted < maxAdoptions) {
				adopted++
			}
		}
		if len(rows) < scanLimit {
			return
		}
		after = idOf(rows[len(rows)-1])
	}
}

// idOf returns the id of the request whose row it is.
func idOf(row platform.Row) string { return row.Key[len(row.Key)-len(uuid.Nil.String()):] }

// look tries to adopt an open lot whose lease has lapsed, if it may, and ends
// one that cannot be answered any more. It reports whether it tried to adopt.
func (l *Lots) look(ctx context.Context, row platform.Row, now time.Time, mayAdopt bool) bool {
	var open ledger.Open
	if err := ledger.Decode(row, &open); err != nil {
		l.log.Error("row not read", "error", err)
		return false
	}
	id := idOf(row)
	switch {
	case l.find(id) != nil:
	case ledger.MayAdopt(open, now) && mayAdopt:
		l.adopt(ctx, id, open, row.Version)
		return true
	case open.State == ledger.Dispatched && ledger.Overdue(open, overdueGrace, now):
		l.giveUp(ctx, id, open, row.Version)
	}
	return false
}

// adopt takes a lot whose lease has lapsed and goes on from what is kept.
func (l *Lots) adopt(ctx context.Context, id string, open ledger.Open, version int64) {
	lot, _, err := l.readLot(ctx, id)
	if err != nil {
		return
	}
	p, err := l.readProgress(ctx, open.Progress)
	if err != nil {
		l.log.Debug("progress not read", "id", id, "error", err)
		return
	}
	h := newHeld(ledger.Take(ledger.Hold{Lot: lot, Open: open, Version: version}, l.daemon, uuid.NewString()), nil)
	h.claimed = false
	h.restore(p)
	if err := l.record(ctx, h, unchanged); err != nil {
		return
	}
	l.log.Info("lot adopted", "id", id, "peer", open.Owner, "tokens", p.Tokens)
	l.hold(h)
}

// giveUp ends a lot that was dispatched and whose answer can no longer come.
func (l *Lots) giveUp(ctx context.Context, id string, open ledger.Open, version int64) {
	lot, _, err := l.readLot(ctx, id)
	if err != nil {
		return
	}
	h := newHeld(ledger.Hold{Lot: lot, Open: open, Version: version}, nil)
	end := ledger.End{Event: ledger.Fail, Outcome: "unknown", Reason: "daemon " + open.Owner + " did not record an answer"}
	_ = l.record(ctx, h, func(hold ledger.Hold, now time.Time) (ledger.Hold, []platform.Write, error) {
		return ledger.EndLot(hold, end, now)
	})
}

// collect removes what is no longer kept from one page of a partition of lots
// and one of calls. The pages begin at a random id, so that every row is met in
// time however many there are.
func (l *Lots) collect(ctx context.Context, partition int, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, watchCallBudget)
	defer cancel()
	for _, row := range l.page(ctx, ledger.LotPartition, partition) {
		var lot ledger.Lot
		if ledger.Decode(row, &lot) == nil {
			l.collectLot(ctx, lot, row, now)
		}
	}
	for _, row := range l.page(ctx, ledger.CallPartition, partition) {
		s, err := ledger.DecodeRecord(row)
		if err == nil && ledger.Expired(s, retention, now) {
			l.collectCall(ctx, s, row)
		}
	}
}

// page reads rows from a random id on, and from the first where few follow it.
func (l *Lots) page(ctx context.Context, kind string, partition int) []platform.Row {
	name := ledger.PartitionName(kind, partition)
	rows, err := l.table.Scan(ctx, name, uuid.NewString(), scanLimit)
	if err != nil {
		return nil
	}
	if left := scanLimit - len(rows); left > 0 {
		first, _ := l.table.Scan(ctx, name, "", left)
		rows = append(rows, first...)
	}
	return rows
}

// collectLot marks an ended lot first, deletes its objects a grace period later
// and its row last, so that a reader that saw the row before the mark still
// finds the objects.
func (l *Lots) collectLot(ctx context.Context, lot ledger.Lot, row platform.Row, now time.Time) {
	age := now.Sub(lot.At)
	switch {
	case (lot.State == ledger.Done || lot.State == ledger.Failed) && age > retention:
		w, err := ledger.CollectLot(lot, row.Version, now)
		if err == nil {
			_ = l.writer.Commit(ctx, batch.Control, uuid.NewString(), []platform.Write{w})
		}
	case lot.State == ledger.Collected && age > collectGrace:
		for _, name := range []string{ledger.InputObject(lot.ID), lot.Answer, "lot-" + lot.ID + "-reply"} {
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

func (l *Lots) collectCall(ctx context.Context, s ledger.Stored, row platform.Row) {
	if r := s.Record.Reply; r != nil && r.Object != "" {
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

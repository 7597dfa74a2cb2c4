package node

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
)

const (
	// evidenceTable has one row, with the evidence that did not suffice for a quarantine yet. Daemons
	// exchange it; it is stored for the case that all of them end. One daemon writes it for all.
	evidenceTable = "evidence"
	evidenceKey   = "ends"
	// evidenceArbiter selects the daemon that writes the row; see mesh.Mesh.Arbiter.
	evidenceArbiter = 0x65766964656e6365
	// evidenceWritePause is the least time between two writes of the row.
	evidenceWritePause = time.Second
	// evidenceRefresh is the time after which an unchanged row is compared with the store again, which may
	// have been restored from a copy.
	evidenceRefresh = 30 * time.Second
	// evidenceReadPause is the time between two attempts to read the row after the start.
	evidenceReadPause = time.Second
	// maxStoredSuspects and maxEvidenceBytes bound the row. A store may limit rows to 64 KiB.
	maxStoredSuspects = 512
	maxEvidenceBytes  = 32 << 10
	// evidenceKnownFor is how long after the last evidence there may be a row. Ends count for ten minutes.
	evidenceKnownFor = 11 * time.Minute
)

// evidenceStore keeps evidence against segments and requests in the store. One goroutine uses it, but
// for the atomic fields.
type evidenceStore struct {
	node     *Node
	loaded   atomic.Bool   // the row was read after the start
	failed   atomic.Bool   // an attempt to read it failed
	tryAt    time.Duration // of the next attempt to read or write; boot time, as those below
	digest   uint64        // of the evidence when the row was written
	version  int64         // of the row that this daemon wrote last
	isKnown  bool          // this daemon writes the row, and knows its contents
	checkAt  time.Duration // when an unchanged row is compared with the store
	lastSeen time.Duration // when there was evidence, here or in the row; 0 for never

	writes, bytes atomic.Int64
}

// run reads the row once the store answers, and then writes it until ctx ends if this daemon is the one
// that does.
func (e *evidenceStore) run(ctx context.Context) {
	e.node.quarantine.table.SetRestoring(true)
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for !e.loaded.Load() {
		if e.node.upstreamView.UpFor() > 0 && boottime.Now() >= e.tryAt {
			e.load(ctx)
		}
		if !sleep(ctx, firstReadPoll) {
			return
		}
	}
	e.node.quarantine.table.SetRestoring(false)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.tick(ctx)
	}
}

// sleep waits for d, and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// load reads the row after the start.
func (e *evidenceStore) load(ctx context.Context) {
	if _, _, err := e.read(ctx); err != nil {
		e.failed.Store(true)
		e.tryAt = boottime.Now() + evidenceReadPause
		e.node.log.Info("cannot read evidence from the store", "error", err)
		return
	}
	e.loaded.Store(true)
}

// read returns the row and its version, and adds the evidence in it to the table unless this daemon wrote
// it.
func (e *evidenceStore) read(ctx context.Context) (list []quarantine.Statement, version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeRowTimeout)
	defer cancel()
	value, version, err := e.node.Store.Read(ctx, evidenceTable, evidenceKey)
	if err != nil || len(value) == 0 {
		return nil, version, err
	}
	e.lastSeen = boottime.Now()
	var row meshpb.StoredEvidence
	if err := proto.Unmarshal(value, &row); err != nil {
		e.node.log.Warn("cannot decode the evidence in the store, which is replaced", "error", err)
		return nil, version, nil
	}
	list = mesh.DecodeSuspects(row.Suspects)
	if version == e.version {
		return list, version, nil
	}
	storeNow, ok := e.node.Clock.StoreNow()
	if !ok {
		return nil, 0, errNoStoreClock
	}
	q := e.node.quarantine
	q.log(q.table.MergeStored(list, storeNow-time.Duration(row.AtMs)*time.Millisecond, boottime.Now()), "store")
	e.node.log.Info("evidence read from the store", "subjects", len(list))
	return list, version, nil
}

// errNoStoreClock means that the store has not answered yet.
var errNoStoreClock = errors.New("the store's clock is not known")

// tick writes the row if this daemon is to, and evidence was added or voided.
func (e *evidenceStore) tick(ctx context.Context) {
	now := boottime.Now()
	list := e.node.quarantine.table.Evidence(maxStoredSuspects, now)
	if len(list) > 0 {
		e.lastSeen = now
	}
	if _, self := e.node.mesh.Arbiter(evidenceArbiter); !self {
		e.isKnown = false
		return
	}
	changed := quarantine.Digest(list) != e.digest
	if !e.isKnown {
		changed = e.lastSeen > 0 && now-e.lastSeen < evidenceKnownFor
	}
	if now < e.tryAt || !changed && (len(list) == 0 || now < e.checkAt) {
		return
	}
	e.tryAt = now + evidenceWritePause
	if err := e.write(ctx); err != nil {
		e.isKnown = false
		e.node.log.Info("cannot write evidence to the store", "error", err)
	}
}

// write adds what another daemon has written to the evidence, and writes all of it unless the row has it
// already.
func (e *evidenceStore) write(ctx context.Context) error {
	stored, version, err := e.read(ctx)
	if err != nil {
		return errors.Wrap(err, "read the row")
	}
	now := boottime.Now()
	list := e.node.quarantine.table.Evidence(maxStoredSuspects, now)
	storeNow, ok := e.node.Clock.StoreNow()
	if !ok {
		return errNoStoreClock
	}
	row, kept := encodeEvidence(list, storeNow)
	if quarantine.Digest(kept) != quarantine.Digest(stored) {
		if version, err = e.put(ctx, row, version); err != nil {
			return err
		}
	}
	e.digest, e.version, e.isKnown, e.checkAt = quarantine.Digest(list), version, true, now+evidenceRefresh
	if len(list) == 0 {
		e.lastSeen = 0
	}
	return nil
}

// put replaces the row, which has a version, or removes it if there is no evidence.
func (e *evidenceStore) put(ctx context.Context, row *meshpb.StoredEvidence, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeRowTimeout)
	defer cancel()
	e.writes.Add(1)
	if len(row.Suspects) == 0 {
		e.bytes.Store(0)
		return 0, e.node.Store.Remove(ctx, evidenceTable, evidenceKey)
	}
	value, err := proto.Marshal(row)
	if err != nil {
		return 0, errors.Wrap(err, "encode the row")
	}
	e.bytes.Store(int64(len(value)))
	return e.node.Store.Write(ctx, evidenceTable, evidenceKey, value, version)
}

// encodeEvidence returns the row for statements, and those that it has room for.
func encodeEvidence(list []quarantine.Statement, storeNow time.Duration) (*meshpb.StoredEvidence, []quarantine.Statement) {
	row := &meshpb.StoredEvidence{AtMs: storeNow.Milliseconds()}
	size := 0
	for i, s := range mesh.EncodeSuspects(list) {
		if size += proto.Size(s) + suspectOverhead; size > maxEvidenceBytes {
			return row, list[:i]
		}
		row.Suspects = append(row.Suspects, s)
	}
	return row, list
}

// suspectOverhead bounds the bytes that a Suspect takes in a row besides its own.
const suspectOverhead = 8

// isKnownOrAway reports whether the row was read, or cannot be read now.
func (e *evidenceStore) isKnownOrAway() bool {
	return e.loaded.Load() || e.failed.Load() || e.node.upstreamView.UpFor() == 0
}

// writeMetrics writes the writes of the row and its size.
func (e *evidenceStore) writeMetrics(w io.Writer) {
	_, _ = fmt.Fprintf(w, "lagoonmux_evidence_writes_total %d\nlagoonmux_evidence_bytes %d\n", e.writes.Load(), e.bytes.Load())
}

package node

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/throttle"
)

const (
	// evidenceTable has one row, with the evidence that did not suffice for a quarantine yet and the
	// limits that upstreams name. Daemons exchange both; they are stored for the case that all of them end.
	// One daemon writes the row for all.
	evidenceTable = "evidence"
	evidenceKey   = "ends"
	// evidenceArbiter selects the daemon that writes the row; see mesh.Mesh.Arbiter.
	evidenceArbiter = 0x65766964656e6365
	// evidenceWritePause is the least time between two writes of the row.
	evidenceWritePause = time.Second
	// limitsWritePause is the same if only limits have changed: upstreams in need name ever other rates.
	limitsWritePause = 5 * time.Second
	// limitsRefresh is the time after which unchanged limits are written again, with their newer age, and
	// limitsKnownFor how long after the upstream's response a stored limit counts.
	limitsRefresh  = 4 * time.Minute
	limitsKnownFor = 10 * time.Minute
	// evidenceRefresh is the time after which an unchanged row is compared with the store again, which may
	// have been restored from a copy.
	evidenceRefresh = 30 * time.Second
	// evidenceReadPause is the time between two attempts to read the row after the start.
	evidenceReadPause = time.Second
	// maxStoredSuspects, maxEvidenceBytes and maxStoredLimits, of some 30 bytes each, bound the row. A store
	// may limit rows to 64 KiB.
	maxStoredSuspects = 512
	maxEvidenceBytes  = 32 << 10
	maxStoredLimits   = 512
	// evidenceKnownFor is how long after the last evidence there may be a row. Ends count for ten minutes.
	evidenceKnownFor = 11 * time.Minute
)

// evidenceStore keeps evidence against segments and requests, and limits of upstreams, in the store. One
// goroutine uses it, but for the atomic fields.
type evidenceStore struct {
	node     *Node
	loaded   atomic.Bool   // the row was read after the start
	failed   atomic.Bool   // an attempt to read it failed
	tryAt    time.Duration // of the next attempt to read or write; boot time, as those below
	limitsAt time.Duration // of the next write of limits alone
	digest   uint64        // of the evidence when the row was written
	limits   uint64        // digest of the limits then
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

// read returns the row and its version, and takes over what is in it unless this daemon wrote it.
func (e *evidenceStore) read(ctx context.Context) (row *meshpb.StoredEvidence, version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeRowTimeout)
	defer cancel()
	row = &meshpb.StoredEvidence{}
	value, version, err := e.node.Store.Read(ctx, evidenceTable, evidenceKey)
	if err != nil || len(value) == 0 {
		return row, version, err
	}
	e.lastSeen = boottime.Now()
	if err := proto.Unmarshal(value, row); err != nil {
		e.node.log.Warn("cannot decode the evidence in the store, which is replaced", "error", err)
		return &meshpb.StoredEvidence{}, version, nil
	}
	if version == e.version {
		return row, version, nil
	}
	storeNow, ok := e.node.Clock.StoreNow()
	if !ok {
		return nil, 0, errNoStoreClock
	}
	elapsed := max(storeNow-time.Duration(row.AtMs)*time.Millisecond, 0)
	q := e.node.quarantine
	q.log(q.table.MergeStored(mesh.DecodeSuspects(row.Suspects), elapsed, boottime.Now()), "store")
	e.node.throttle.merge(agedLimits(row.Limits, elapsed), "store")
	e.node.log.Info("evidence read from the store", "subjects", len(row.Suspects), "limits", len(row.Limits))
	return row, version, nil
}

// agedLimits returns limits that were written some time ago, without those that no longer count.
func agedLimits(stored []*meshpb.Limit, elapsed time.Duration) (list []*meshpb.Limit) {
	for _, l := range stored {
		if age := time.Duration(l.AgeMs)*time.Millisecond + elapsed; l.Rate > 0 && age <= limitsKnownFor {
			list = append(list, &meshpb.Limit{Upstream: l.Upstream, Rate: l.Rate, AgeMs: uint32(age.Milliseconds())})
		}
	}
	return list
}

// currentLimits returns the limits in force, the newest first.
func (e *evidenceStore) currentLimits(now time.Duration) (list []*meshpb.Limit) {
	statements := e.node.throttle.gate.Limits.Statements(true, now)
	statements = slices.DeleteFunc(statements, func(s throttle.Statement) bool { return s.Rate == 0 || s.Age > limitsKnownFor })
	slices.SortFunc(statements, func(a, b throttle.Statement) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Hash, b.Hash))
	})
	for _, s := range statements[:min(len(statements), maxStoredLimits)] {
		list = append(list, &meshpb.Limit{Upstream: s.Hash, Rate: s.Rate, AgeMs: uint32(s.Age.Milliseconds())})
	}
	return list
}

// digestOfLimits identifies the upstreams and rates of limits, in any order.
func digestOfLimits(list []*meshpb.Limit) (sum uint64) {
	for _, l := range list {
		sum += xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, l.Upstream), math.Float64bits(l.Rate)))
	}
	return sum
}

// errNoStoreClock means that the store has not answered yet.
var errNoStoreClock = errors.New("the store's clock is not known")

// tick writes the row if this daemon is to, and evidence or limits have changed.
func (e *evidenceStore) tick(ctx context.Context) {
	now := boottime.Now()
	list := e.node.quarantine.table.Evidence(maxStoredSuspects, now)
	limits := e.currentLimits(now)
	isEmpty := len(list)+len(limits) == 0
	if !isEmpty {
		e.lastSeen = now
	}
	if _, self := e.node.mesh.Arbiter(evidenceArbiter); !self {
		e.isKnown = false
		return
	}
	changed := quarantine.Digest(list) != e.digest || digestOfLimits(limits) != e.limits && now >= e.limitsAt
	if !e.isKnown {
		changed = e.lastSeen > 0 && now-e.lastSeen < evidenceKnownFor
	}
	if now < e.tryAt || !changed && (isEmpty || now < e.checkAt) {
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
	row.Limits = e.currentLimits(now)
	if quarantine.Digest(kept) != quarantine.Digest(mesh.DecodeSuspects(stored.Suspects)) || limitsDiffer(stored, row) {
		if version, err = e.put(ctx, row, version); err != nil {
			return err
		}
	}
	e.digest, e.limits, e.version, e.isKnown = quarantine.Digest(list), digestOfLimits(row.Limits), version, true
	e.checkAt, e.limitsAt = now+evidenceRefresh, now+limitsWritePause
	if len(list)+len(row.Limits) == 0 {
		e.lastSeen = 0
	}
	return nil
}

// limitsDiffer reports whether the limits of a row have changed, or are to be written again.
func limitsDiffer(stored, row *meshpb.StoredEvidence) bool {
	return digestOfLimits(stored.Limits) != digestOfLimits(row.Limits) ||
		len(row.Limits) > 0 && time.Duration(row.AtMs-stored.AtMs)*time.Millisecond > limitsRefresh
}

// put replaces the row, which has a version, or removes it if there is nothing to store.
func (e *evidenceStore) put(ctx context.Context, row *meshpb.StoredEvidence, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeRowTimeout)
	defer cancel()
	e.writes.Add(1)
	if len(row.Suspects)+len(row.Limits) == 0 {
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

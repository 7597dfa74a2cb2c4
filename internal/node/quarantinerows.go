package node

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// quarantineTable is the store's table of quarantined prompt segments and requests. All daemons may
// end at once.
const quarantineTable = "quarantine"

// quarantineRow is a row of quarantineTable. Its key is that of quarantineKey.
type quarantineRow struct {
	Service   string `json:"service"`
	Segment   uint64 `json:"segment,string"` // or the hash of a request's content
	Request   bool   `json:"request,omitempty"`
	SinceMS   int64  `json:"since"` // unix time
	Ended     int    `json:"ended"`
	Trials    int    `json:"trials"`
	TrialMS   int64  `json:"trialAt"` // unix time of the last one; 0 for none
	Confirmed bool   `json:"confirmed"`
	Software  uint32 `json:"software"` // hash, at the last trial
	// Hashes of the segments that a request must have too to be refused.
	Companions []uint64 `json:"companions,omitempty"`
}

// newQuarantineRow returns the row for a statement made at a unix time.
func newQuarantineRow(s quarantine.Statement, unixNow time.Duration) quarantineRow {
	r := quarantineRow{Service: s.Service, Segment: s.ID, Request: s.Request, SinceMS: (unixNow - s.QuarantineAge).Milliseconds(), Ended: s.Ended,
		Trials: s.Trials, Confirmed: s.Confirmed, Software: s.Software, Companions: s.Companions}
	if s.TrialAge > 0 {
		r.TrialMS = (unixNow - s.TrialAge).Milliseconds()
	}
	return r
}

// statement is the reverse of newQuarantineRow.
func (r *quarantineRow) statement(unixNow time.Duration) quarantine.Statement {
	age := func(ms int64) time.Duration { return max(unixNow-time.Duration(ms)*time.Millisecond, time.Millisecond) }
	s := quarantine.Statement{Subject: quarantine.Subject{Service: r.Service, ID: r.Segment, Request: r.Request}, Quarantined: true, QuarantineAge: age(r.SinceMS),
		Ended: r.Ended, Trials: r.Trials, Confirmed: r.Confirmed, Software: r.Software, Companions: r.Companions}
	if r.TrialMS > 0 {
		s.TrialAge = age(r.TrialMS)
	}
	return s
}

// quarantineKey returns the key of a segment's row.
func quarantineKey(s quarantine.Subject) string {
	return strconv.FormatUint(s.Hash(), 16)
}

// maxUnixMS bounds the times in rows, in the year 5138.
const maxUnixMS = 1e14

// decodeQuarantineRow decodes a row. One that another writer left must not keep requests from
// being served: its key is the hash of its subject.
func decodeQuarantineRow(key string, value []byte) (quarantineRow, error) {
	var r quarantineRow
	if err := json.Unmarshal(value, &r); err != nil {
		return r, errors.Wrap(err, "decode row")
	}
	s := quarantine.Subject{Service: r.Service, ID: r.Segment, Request: r.Request}
	if r.Service == "" || key != quarantineKey(s) {
		return r, errors.New("key is not that of the subject")
	}
	for _, ms := range []int64{r.SinceMS, r.TrialMS} {
		if ms < 0 || ms > maxUnixMS {
			return r, errors.Errorf("time %d is out of range", ms)
		}
	}
	return r, nil
}

// onRows takes over the quarantines in the store.
func (q *segmentQuarantine) onRows(rows map[string]views.Row) {
	decoded := make(map[string]quarantineRow, len(rows))
	var statements []quarantine.Statement
	q.odd.keep(rows)
	for key, row := range rows {
		r, err := decodeQuarantineRow(key, row.Value)
		if err != nil {
			if q.odd.isNew(row) {
				q.node.log.Warn("cannot decode a quarantine's row of the store", "row", key, "error", err)
			}
			continue
		}
		decoded[key] = r
		statements = append(statements, r.statement(q.node.Clock.Now()))
	}
	q.mu.Lock()
	q.rows = decoded
	q.mu.Unlock()
	q.log(q.table.Merge(statements, boottime.Now()), "store")
}

// writeRows writes the quarantines of which this daemon is the arbiter to the store and
// removes those that ended. After a failed call the rest waits for the next time.
func (q *segmentQuarantine) writeRows(ctx context.Context) {
	list, _ := q.table.Quarantined(boottime.Now())
	q.mu.Lock()
	rows := q.rows
	q.mu.Unlock()
	if len(list) == 0 && len(rows) == 0 {
		return
	}
	current := make(map[string]bool, len(list))
	for _, s := range list {
		key := quarantineKey(s.Subject)
		current[key] = true
		old, stored := rows[key]
		if _, self := q.node.mesh.Arbiter(s.Hash()); !self || stored && old.Trials == s.Trials && old.Confirmed == s.Confirmed && slices.Equal(old.Companions, s.Companions) {
			continue
		}
		if !q.writeRow(ctx, key, newQuarantineRow(s, q.node.Clock.Now())) {
			return
		}
	}
	for key, r := range rows {
		s := quarantine.Subject{Service: r.Service, ID: r.Segment, Request: r.Request}
		if _, self := q.node.mesh.Arbiter(s.Hash()); self && !current[key] && !q.removeRow(ctx, key) {
			return
		}
	}
}

func (q *segmentQuarantine) writeRow(ctx context.Context, key string, r quarantineRow) (ok bool) {
	value, err := json.Marshal(r)
	if err != nil {
		q.node.log.Error("cannot encode a quarantine's row for the store", "error", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeRowTimeout)
	defer cancel()
	err = q.node.Store.Put(ctx, quarantineTable, key, value)
	if err != nil {
		q.node.log.Info("cannot write a quarantine's row to the store", "segment", r.Segment, "error", err)
	}
	return err == nil
}

func (q *segmentQuarantine) removeRow(ctx context.Context, key string) (ok bool) {
	ctx, cancel := context.WithTimeout(ctx, writeRowTimeout)
	defer cancel()
	err := q.node.Store.Remove(ctx, quarantineTable, key)
	if err != nil {
		q.node.log.Info("cannot remove a quarantine's row from the store", "row", key, "error", err)
	}
	return err == nil
}

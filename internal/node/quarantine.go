package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/netopt"
	"github.com/lagoonmux/lagoonmux/internal/proxy"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
	"github.com/lagoonmux/lagoonmux/internal/throttle"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// quarantineTable is the store's table of quarantined prompt segments. All daemons may
	// end at once.
	quarantineTable = "quarantine"
	// An upstream has ended if a connection to it is refused. endProbes are made,
	// endProbePause apart, each within endProbeTimeout.
	endProbes       = 2
	endProbePause   = 50 * time.Millisecond
	endProbeTimeout = 150 * time.Millisecond
	// settleIntervals is the number of call intervals in which all daemons hear of evidence
	// and object to it: to a hub, to another one, to its members, and back.
	settleIntervals = 5
	// trialPermitTTL is how long after the question the permit for a trial may be used.
	trialPermitTTL = 500 * time.Millisecond
	// maxListedQuarantines bounds the quarantines with a metric of their own.
	maxListedQuarantines = 100
)

// segmentQuarantine connects a quarantine.Table to the other daemons, to the store and to
// the proxy. It implements proxy.Quarantine.
type segmentQuarantine struct {
	node   *Node
	table  *quarantine.Table
	probes singleflight.Group // by upstream

	ended, refused, trials atomic.Int64

	mu   sync.Mutex
	rows map[string]quarantineRow // in the store
}

// quarantineRow is a row of quarantineTable. Its key is that of quarantineKey.
type quarantineRow struct {
	Service   string `json:"service"`
	Segment   uint64 `json:"segment,string"`
	SinceMS   int64  `json:"since"` // unix time
	Ended     int    `json:"ended"`
	Trials    int    `json:"trials"`
	TrialMS   int64  `json:"trialAt"` // unix time of the last one; 0 for none
	Confirmed bool   `json:"confirmed"`
	Software  uint32 `json:"software"` // hash, at the last trial
}

// newQuarantineRow returns the row for a statement made at a unix time.
func newQuarantineRow(s quarantine.Statement, unixNow time.Duration) quarantineRow {
	r := quarantineRow{Service: s.Service, Segment: s.ID, SinceMS: (unixNow - s.QuarantineAge).Milliseconds(), Ended: s.Ended,
		Trials: s.Trials, Confirmed: s.Confirmed, Software: s.Software}
	if s.TrialAge > 0 {
		r.TrialMS = (unixNow - s.TrialAge).Milliseconds()
	}
	return r
}

// statement is the reverse of newQuarantineRow.
func (r *quarantineRow) statement(unixNow time.Duration) quarantine.Statement {
	age := func(ms int64) time.Duration { return max(unixNow-time.Duration(ms)*time.Millisecond, time.Millisecond) }
	s := quarantine.Statement{Subject: quarantine.Subject{Service: r.Service, ID: r.Segment}, Quarantined: true, QuarantineAge: age(r.SinceMS),
		Ended: r.Ended, Trials: r.Trials, Confirmed: r.Confirmed, Software: r.Software}
	if r.TrialMS > 0 {
		s.TrialAge = age(r.TrialMS)
	}
	return s
}

func newSegmentQuarantine(n *Node) *segmentQuarantine {
	return &segmentQuarantine{node: n, table: quarantine.NewTable()}
}

// Check implements proxy.Quarantine.
func (q *segmentQuarantine) Check(service string, segments []place.Segment) *quarantine.Verdict {
	v := q.table.Check(service, segments, q.software, boottime.Now())
	if v != nil && !v.TrialDue {
		q.refused.Add(1)
	}
	return v
}

// software returns a hash of the software that all usable upstreams of a service run, 0 if
// they differ or there are none.
func (q *segmentQuarantine) software(service string) uint32 {
	hash := uint32(0)
	for i, u := range q.node.roster.roster().Usable(service) {
		h := uint32(xxhash.Sum64String(u.Software))
		if i > 0 && h != hash {
			return 0
		}
		hash = h
	}
	return hash
}

// Completed implements proxy.Quarantine.
func (q *segmentQuarantine) Completed(service string, segments []place.Segment) {
	if len(segments) > 0 {
		q.log(q.table.Completed(service, segments, boottime.Now()), q.node.Name)
	}
}

// Broken implements proxy.Quarantine. Only a response with a head and without an event is
// evidence, and only if the upstream has ended without having announced it.
func (q *segmentQuarantine) Broken(ctx context.Context, b proxy.BrokenAnswer) (mayRerun bool) {
	segments := b.Request.SharedPrompt()
	at := boottime.Now()
	if b.Stage != proxy.BeforeEvent || b.Suspended || len(segments) == 0 || !q.serving(b.Upstream) {
		return true
	}
	if !q.hasEnded(ctx, b.Upstream) || !q.serving(b.Upstream) {
		return true
	}
	q.ended.Add(1)
	hash := throttle.Hash(b.Upstream.Key())
	repeated, changes := q.table.Ended(b.Service, segments, quarantine.End{Upstream: hash, SentAt: b.SentAt, At: at}, boottime.Now())
	q.node.log.Warn("upstream ended under a request", "upstream", b.Upstream.ID, "born", b.Upstream.Incarnation, "id", b.Request.ID,
		"service", b.Service, "segments", proxy.FormatSegments(segments), "suspected_before", repeated)
	q.log(changes, q.node.Name)
	return !repeated
}

// serving reports whether an upstream is known and has not announced that it leaves.
func (q *segmentQuarantine) serving(u *roster.Upstream) bool {
	known := q.node.roster.roster().Get(u.ID)
	return known != nil && known.Key() == u.Key() && !known.Leaving
}

// hasEnded reports whether the upstream's address refuses connections. An upstream that
// only resets some, or cannot be reached, has not ended as far as known.
func (q *segmentQuarantine) hasEnded(ctx context.Context, u *roster.Upstream) bool {
	ended, _, _ := q.probes.Do(u.ID+strconv.FormatInt(u.Incarnation, 10), func() (any, error) {
		for i := range endProbes {
			if i > 0 {
				time.Sleep(endProbePause)
			}
			c, err := netopt.Dial(context.WithoutCancel(ctx), u.Address, endProbeTimeout, endProbeTimeout)
			switch {
			case errors.Is(err, syscall.ECONNREFUSED):
				return true, nil
			case err != nil:
				return false, nil
			}
			_ = c.Close()
		}
		return false, nil
	})
	return ended == true
}

// StartTrial implements proxy.Quarantine. The segment's arbiter, one daemon for all, decides.
func (q *segmentQuarantine) StartTrial(ctx context.Context, s quarantine.Subject) bool {
	asked := boottime.Now()
	a := q.answer(context.WithoutCancel(ctx), &meshpb.Question{Segment: s.Hash()}, false)
	if !a.Ok || boottime.Now()-asked > trialPermitTTL {
		return false
	}
	q.trials.Add(1)
	q.node.log.Info("quarantine trial", "service", s.Service, "segment", strconv.FormatUint(s.ID, 16))
	return true
}

// answer decides as the arbiter whether a trial may start, or asks it. relay is set if the
// question is another daemon's; a question is passed on only once.
func (q *segmentQuarantine) answer(ctx context.Context, question *meshpb.Question, relay bool) *meshpb.Answer {
	address, self := q.node.mesh.Arbiter(question.Segment)
	switch {
	case self:
		return &meshpb.Answer{Ok: q.table.StartTrial(question.Segment, q.software, boottime.Now())}
	case address == "" || question.Relayed:
		return &meshpb.Answer{}
	}
	a, err := q.node.mesh.AskDaemon(ctx, address, &meshpb.Question{Segment: question.Segment, Relayed: relay})
	if err != nil {
		q.node.log.Info("quarantine trial not decided", "arbiter", address, "error", err)
		return &meshpb.Answer{}
	}
	return a
}

// merge adds what another daemon told.
func (q *segmentQuarantine) merge(list []*meshpb.Suspect, from string) {
	if len(list) > 0 {
		q.log(q.table.Merge(mesh.DecodeSuspects(list), boottime.Now()), from)
	}
}

// log logs changes; toldBy is the daemon whose evidence decided.
func (q *segmentQuarantine) log(changes []quarantine.Change, toldBy string) {
	for _, c := range changes {
		q.node.log.Warn("segment "+c.Kind.String(), "service", c.Service, "segment", strconv.FormatUint(c.ID, 16), "ended", c.Ended, "told_by", toldBy)
	}
}

// tick begins quarantines that are due.
func (q *segmentQuarantine) tick() {
	q.log(q.table.Tick(settleIntervals*q.node.mesh.Interval(), boottime.Now()), q.node.Name)
}

// quarantineKey returns the key of a segment's row.
func quarantineKey(s quarantine.Subject) string {
	return strconv.FormatUint(s.Hash(), 16)
}

// onRows takes over the quarantines in the store.
func (q *segmentQuarantine) onRows(rows map[string]views.Row) {
	decoded := make(map[string]quarantineRow, len(rows))
	var statements []quarantine.Statement
	for key, row := range rows {
		var r quarantineRow
		if err := json.Unmarshal(row.Value, &r); err != nil || r.Service == "" {
			q.node.log.Warn("cannot decode a quarantine's row of the store", "row", key, "error", err)
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
		if _, self := q.node.mesh.Arbiter(s.Hash()); !self || stored && old.Trials == s.Trials && old.Confirmed == s.Confirmed {
			continue
		}
		if !q.writeRow(ctx, key, newQuarantineRow(s, q.node.Clock.Now())) {
			return
		}
	}
	for key, r := range rows {
		s := quarantine.Subject{Service: r.Service, ID: r.Segment}
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

// writeMetrics writes the quarantines and the counts of decisions.
func (q *segmentQuarantine) writeMetrics(w io.Writer) {
	list, suspected := q.table.Quarantined(boottime.Now())
	_, _ = fmt.Fprintf(w, "lagoonmux_upstreams_ended_under_requests_total %d\nlagoonmux_segments_suspected %d\nlagoonmux_segments_quarantined %d\n",
		q.ended.Load(), suspected, len(list))
	_, _ = fmt.Fprintf(w, "lagoonmux_quarantine_refused_total %d\nlagoonmux_quarantine_trials_total %d\n", q.refused.Load(), q.trials.Load())
	for i, s := range list {
		if i == maxListedQuarantines {
			return
		}
		_, _ = fmt.Fprintf(w, "lagoonmux_quarantine_age_ms{service=%q,segment=\"%x\",ended=\"%d\"} %d\n", s.Service, s.ID, s.Ended, s.QuarantineAge.Milliseconds())
	}
}

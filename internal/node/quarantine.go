package node

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/netopt"
	"github.com/lagoonmux/lagoonmux/internal/proxy"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/silence"
	"github.com/lagoonmux/lagoonmux/internal/throttle"
)

const (
	// An upstream has ended if a connection to it is refused. endProbes are made,
	// endProbePause apart, each within endProbeTimeout.
	endProbes       = 2
	endProbePause   = 50 * time.Millisecond
	endProbeTimeout = 150 * time.Millisecond
	// settleIntervals is the number of call intervals in which all daemons receive evidence
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

	odd oddRows // used by onRows only

	mu   sync.Mutex
	rows map[string]quarantineRow // in the store
}

func newSegmentQuarantine(n *Node) *segmentQuarantine {
	return &segmentQuarantine{node: n, table: quarantine.NewTable(), odd: make(oddRows)}
}

// runQuarantine checks silent upstreams and begins quarantines until ctx ends. It makes no calls to the
// store, which may take long.
func (n *Node) runQuarantine(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.silence.tick(ctx)
		n.quarantine.tick()
	}
}

// Check implements proxy.Quarantine.
func (q *segmentQuarantine) Check(subjects []quarantine.Subject) *quarantine.Verdict {
	v := q.table.Check(subjects, q.software, boottime.Now())
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
func (q *segmentQuarantine) Completed(subjects []quarantine.Subject) {
	q.log(q.table.Completed(subjects, boottime.Now()), q.node.Name)
}

// HasEvidence implements proxy.Quarantine.
func (q *segmentQuarantine) HasEvidence(subjects []quarantine.Subject) bool {
	return q.table.HasEvidence(subjects)
}

// Progressed implements proxy.Quarantine.
func (q *segmentQuarantine) Progressed(subjects []quarantine.Subject, progress quarantine.Progress) {
	q.log(q.table.Progressed(subjects, progress, boottime.Now()), q.node.Name)
}

// Broken implements proxy.Quarantine. A broken response is evidence if the upstream has ended
// without having announced it. The caller waits for the outcome only if there is evidence
// against its request already.
func (q *segmentQuarantine) Broken(ctx context.Context, b proxy.BrokenAnswer) (mayRerun bool) {
	at := boottime.Now()
	switch {
	case b.Suspended:
		q.logNoEvidence(b, "this VM was suspended")
		return true
	case !q.serving(b.Upstream):
		q.logNoEvidence(b, "the upstream announced it or has no entry")
		return true
	case q.table.HasEvidence(b.Subjects):
		return q.recordEnd(ctx, b, at)
	}
	go func() {
		defer invariant.Recover(q.node.log, "record the end of an upstream")
		q.recordEnd(context.WithoutCancel(ctx), b, at)
	}()
	return true
}

// recordEnd records that an upstream ended under a request at a boot time, if it has ended.
func (q *segmentQuarantine) recordEnd(ctx context.Context, b proxy.BrokenAnswer, at time.Duration) (mayRerun bool) {
	if !q.hasEnded(ctx, b.Upstream) {
		q.logNoEvidence(b, "the upstream accepts connections or cannot be reached")
		return true
	}
	if !q.serving(b.Upstream) {
		q.logNoEvidence(b, "the upstream announced it or has no entry")
		return true
	}
	q.ended.Add(1)
	end := quarantine.End{Upstream: throttle.Hash(b.Upstream.Key()), SentAt: b.SentAt, At: at, Stage: b.Stage, Progress: b.Progress}
	return !q.record(b.Upstream, silence.Request{ID: b.Request.ID, Service: b.Service, Content: b.Content, Subjects: b.Subjects}, end)
}

// recordSilence records that an upstream fell silent under a request.
func (q *segmentQuarantine) recordSilence(u *roster.Upstream, w silence.Waiting) {
	q.ended.Add(1)
	q.record(u, w.Request, w.End)
}

// record records the end of an upstream under a request, and reports whether one of the request's
// subjects may well be the cause.
func (q *segmentQuarantine) record(u *roster.Upstream, r silence.Request, end quarantine.End) (repeated bool) {
	repeated, effects, changes := q.table.Ended(r.Subjects, end, boottime.Now())
	fields := []any{"upstream", u.ID, "born", u.Incarnation, "hash", strconv.FormatUint(end.Upstream, 16), "id", r.ID,
		"service", r.Service, "stage", end.Stage.String(), "progress_ms", end.Progress.Time.Milliseconds(), "events", end.Progress.Events, "run_ms", (end.At - end.SentAt).Milliseconds(),
		"content", strconv.FormatUint(r.Content, 16), "silent", end.Silent, "may_rerun", !repeated}
	q.node.log.Warn("upstream ended under a request", append(fields, effectFields(effects)...)...)
	q.log(changes, q.node.Name)
	return repeated
}

// withdraw voids the silent end of an upstream that sends again, given by its hash.
func (q *segmentQuarantine) withdraw(upstream uint64) {
	q.log(q.table.Withdraw(upstream, boottime.Now()), q.node.Name)
}

// Responds implements proxy.Quarantine.
func (q *segmentQuarantine) Responds(ctx context.Context, u *roster.Upstream, subjects []quarantine.Subject) bool {
	return !q.table.HasSilentEnds(subjects) || q.node.silence.respondsNow(ctx, u)
}

func (q *segmentQuarantine) logNoEvidence(b proxy.BrokenAnswer, reason string) {
	q.node.log.Info("broken answer is no evidence", "upstream", b.Upstream.ID, "id", b.Request.ID, "reason", reason)
}

// effectFields returns the fields of a log line that tell against which subjects an end
// counts, and why not against the others.
func effectFields(effects []quarantine.Effect) (fields []any) {
	names := [...]string{quarantine.Evidence: "evidence_for", quarantine.WasAnswered: "answered", quarantine.WasOutlived: "outlived",
		quarantine.WasKnown: "known_for", quarantine.Dropped: "dropped_for", quarantine.WasWithdrawn: "withdrawn_for", quarantine.Doubted: "doubted_for"}
	for kind, name := range names {
		var ids []string
		for _, e := range effects {
			if e.Kind == quarantine.EffectKind(kind) {
				key, id := logField(e.Subject)
				ids = append(ids, key+":"+id)
			}
		}
		if len(ids) > 0 {
			fields = append(fields, name, strings.Join(ids, ","))
		}
	}
	return fields
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
	key, id := logField(s)
	q.node.log.Info("quarantine trial", "service", s.Service, key, id)
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

// logField returns the name and value of the field that identifies a subject in logs. A request
// has the same field in the other lines about it.
func logField(s quarantine.Subject) (key, id string) {
	if s.Request {
		return "content", strconv.FormatUint(s.ID, 16)
	}
	return "segment", strconv.FormatUint(s.ID, 16)
}

// log logs changes; toldBy is the daemon whose evidence decided. The first evidence against a
// request has its own line: each end of an upstream is one for all requests that were under way
// there.
func (q *segmentQuarantine) log(changes []quarantine.Change, toldBy string) {
	for _, c := range changes {
		what := "segment "
		if c.Request {
			what = "request "
			if c.Kind == quarantine.Suspected {
				continue
			}
		}
		key, id := logField(c.Subject)
		q.node.log.Warn(what+c.Kind.String(), "service", c.Service, key, id, "ended", c.Ended, "companions", c.Companions, "ends", formatEnds(c.Ends), "told_by", toldBy)
	}
}

// formatEnds lists the upstreams that ended, by the hash in the lines on their ends, with the
// stage, the events and the time from the first event of the response.
func formatEnds(ends []quarantine.End) string {
	list := make([]string, len(ends))
	for i, e := range ends {
		list[i] = fmt.Sprintf("%x:%s:%d:%dms", e.Upstream, e.Stage, e.Progress.Events, e.Progress.Time.Milliseconds())
	}
	return strings.Join(list, ",")
}

// tick begins quarantines that are due.
func (q *segmentQuarantine) tick() {
	q.log(q.table.Tick(settleIntervals*q.node.mesh.Interval(), boottime.Now()), q.node.Name)
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
		key, id := logField(s.Subject)
		_, _ = fmt.Fprintf(w, "lagoonmux_quarantine_age_ms{service=%q,%s=%q,ended=\"%d\"} %d\n", s.Service, key, id, s.Ended, s.QuarantineAge.Milliseconds())
	}
}

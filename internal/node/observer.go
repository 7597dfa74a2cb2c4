package node

import (
	"strconv"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/proxy"
	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// RequestStarted implements proxy.Observer.
func (n *Node) RequestStarted(customer string) { n.usage.Add(customer, n.Clock.Now()) }

// UpstreamLeaving implements proxy.Observer.
func (n *Node) UpstreamLeaving(u *roster.Upstream) { n.roster.markLeaving(u.Key(), n.Name) }

// AnswerBroken implements proxy.Observer.
func (n *Node) AnswerBroken(b proxy.BrokenAnswer) {
	n.metrics.addBroken(b.Stage)
	n.log.Info("answer broken off", "id", b.Request.ID, "upstream", b.Upstream.ID, "service", b.Service, "stage", b.Stage.String(),
		"first_age_ms", b.Progress.Time.Milliseconds(), "events", b.Progress.Events, "content", strconv.FormatUint(b.Content, 16), "segments", proxy.FormatSegments(b.Request.SharedPrompt()), "error", b.Err)
}

// AnswerMalformed implements proxy.Observer.
func (n *Node) AnswerMalformed(id, service string, u *roster.Upstream, err error) {
	n.metrics.malformed.Add(1)
	n.log.Warn("answer malformed", "id", id, "upstream", u.ID, "service", service, "error", err)
}

// AttemptEnded implements proxy.Observer.
func (n *Node) AttemptEnded(r proxy.AttemptReport) { n.rollouts.observe(r) }

// RequestEnded implements proxy.Observer. It counts the request in the metrics and logs it.
func (n *Node) RequestEnded(r *proxy.Record) {
	n.metrics.add(r)
	total := r.Ended.Sub(r.Arrived)
	first := time.Duration(0)
	if !r.First.IsZero() {
		first = r.First.Sub(r.Arrived)
	}
	fields := []any{"id", r.ID, "route", r.Route, "kind", r.Kind.String(), "customer", r.Customer,
		"status", r.Status, "end", r.Result.String(), "late", r.Late, "cut", r.Cut, "gone", r.Gone, "tries", r.Tries(),
		"first_ms", first.Milliseconds(), "total_ms", total.Milliseconds(), "gap_ms", r.MaxGap.Milliseconds(),
		"expected_ms", r.Expected.Milliseconds(), "missing", r.Prefill, "usable", r.Candidates, "home", r.Home, "ahead", r.Backlog, "running", r.Running,
		"config", r.ConfigVersion, "content", strconv.FormatUint(r.Content, 16), "retry_ms", r.RetryAfter.Milliseconds(), "may_have_run", r.MayHaveRun, "reason", r.Reason}
	if r.Hedge.Due {
		fields = append(fields, "hedge", r.Hedge.String(), "hedge_extra_ms", r.Hedge.Extra.Milliseconds())
	}
	n.log.Info("request", fields...)
}

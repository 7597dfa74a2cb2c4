package mesh

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/rollout"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// EncodeRollout encodes a report for a State.
func EncodeRollout(r *rollout.Report) *meshpb.Rollout {
	era, order := views.SplitVersion(r.Order)
	out := &meshpb.Rollout{Service: r.Service, To: r.To, Order: order, Era: era, Revision: r.Revision, SeenMs: r.Seen.Milliseconds(),
		Verdict: string(r.Verdict), Daemons: uint32(r.Daemons), OldRunning: uint32(r.OldRunning), Failing: r.Failing}
	for route, c := range r.Routes {
		out.Routes = append(out.Routes, &meshpb.RolloutRoute{Route: route, Old: encodeAnswers(&c.Old), New: encodeAnswers(&c.New)})
	}
	return out
}

// encodeAnswers leaves out the zeros at the end of the histogram.
func encodeAnswers(c *rollout.Counts) *meshpb.Answers {
	last := len(c.Times)
	for last > 0 && c.Times[last-1] == 0 {
		last--
	}
	return &meshpb.Answers{Failures: c.Failures, Times: append([]uint32(nil), c.Times[:last]...)}
}

// maxRolloutRunning bounds the numbers of daemons and requests in a message, so that no sum
// overflows.
const maxRolloutRunning = 1 << 24

// DecodeRollout is the reverse of EncodeRollout.
func DecodeRollout(m *meshpb.Rollout) rollout.Report {
	r := rollout.Report{Service: m.Service, To: m.To, Order: views.MakeVersion(m.Era, m.Order), Revision: max(m.Revision, 0),
		Seen: time.Duration(min(max(m.SeenMs, 0), maxSeenMs)) * time.Millisecond, Daemons: int(min(m.Daemons, maxRolloutRunning)),
		OldRunning: int(min(m.OldRunning, maxRolloutRunning)), Failing: m.Failing}
	if v := rollout.Phase(m.Verdict); v.Final() {
		r.Verdict = v
	}
	if len(m.Routes) > 0 {
		r.Routes = make(map[uint32]*rollout.RouteCounts, len(m.Routes))
	}
	for _, route := range m.Routes {
		r.Routes[route.Route] = &rollout.RouteCounts{Old: decodeAnswers(route.Old), New: decodeAnswers(route.New)}
	}
	return r
}

// maxSeenMs bounds times of the store's clock, in unix ms the year 5138.
const maxSeenMs = 1e14

func decodeAnswers(m *meshpb.Answers) rollout.Counts {
	if m == nil {
		return rollout.Counts{}
	}
	c := rollout.Counts{Failures: m.Failures}
	copy(c.Times[:], m.Times)
	return c
}

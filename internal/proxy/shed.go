package proxy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
	"github.com/lagoonmux/lagoonmux/internal/admission"
	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// shedLoad returns the reply to a request that would wait too long at the chosen upstream, or
// whose customer is above its share of the service, nil to send it. Only the first attempt is
// checked: before a later one, the request has already used upstream time.
func (t *task) shedLoad(c place.Choice, try int) *localReply {
	if try > 0 || ablation.Disabled(ablation.LoadShedding) {
		return nil
	}
	t.Shares.Dropped(t.ticket) // of an upstream that had no room
	now := boottime.Now()
	repeated := t.weighed
	if !repeated {
		t.weighed, t.shareDraw = true, rand.Float64()
	}
	r := admission.Request{
		Wait:          c.Wait,
		LatencyTarget: t.waitTarget(now),
		Rank:          t.priority - t.service.TopPriority,
		Remaining:     time.Until(t.deadline),
		Draw:          t.shareDraw,
		RetryDraw:     rand.Float64(),
	}
	ask := admission.Ask{Service: t.service.Name, Customer: admission.HashCustomer(t.record.Customer), Rank: r.Rank,
		Work: t.upstreamMS(c), Wait: c.Wait, Target: r.LatencyTarget, Repeated: repeated}
	if standing := t.Shares.Ask(ask, now); !ablation.Disabled(ablation.FairShares) {
		r.Standing = standing
	}
	d := admission.Decide(r)
	t.Hedges.NoteWait(t.service.Name, d.Wait, d.MaxWait, now)
	if !d.Admit || r.Standing.Pressed { // other daemons may see pressure where this one sees short waits
		t.Hedges.NoteRefusal(t.service.Name, now)
	}
	if d.Admit {
		t.ticket = t.Shares.Admit(ask, c.Expected, now)
		return nil
	}
	t.record.Shed, t.record.Class = d.Cause, admission.Class(r.Rank)
	return &localReply{fasthttp.StatusServiceUnavailable, d.RetryAfter, shedReason(r, d)}
}

// waitTarget returns the latency target that bounds the request's wait.
func (t *task) waitTarget(now time.Duration) time.Duration {
	if ablation.Disabled(ablation.RouteTargets) {
		return t.service.MinLatencyTarget
	}
	return t.service.WaitTarget(t.route, t.priority, func(priority int) bool {
		return t.Shares.Absent(t.service.Name, priority-t.service.TopPriority, now)
	})
}

// upstreamMS returns the milliseconds of upstream time that the request needs at the chosen
// upstream.
func (t *task) upstreamMS(c place.Choice) float64 {
	if c.Prefill == 0 && t.req.MaxOutputTokens == 0 {
		return float64(c.Expected-c.Wait) / float64(time.Millisecond)
	}
	return t.Placer.PrefillFactor(t.service.Name) * (float64(c.Prefill)/prefillRate + outputTokenMS*float64(t.req.MaxOutputTokens))
}

// shedReason states what the decision was based on.
func shedReason(r admission.Request, d admission.Decision) string {
	reason := fmt.Sprintf("would wait for %v, limit %v, class %d", d.Wait.Round(time.Millisecond), d.MaxWait, admission.Class(r.Rank))
	if d.Cause == admission.CauseShare {
		reason = "customer over its share of the service: " + reason
	}
	if s := r.Standing; s.Share > 0 {
		reason += fmt.Sprintf(", share %.1f ms/s, asked %.1f ms/s", s.Share, s.Asked)
	}
	return reason
}

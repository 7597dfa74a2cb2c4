package node

import (
	"context"
	"math"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/quota"
)

// limiter enforces customers' limits. A hub or a daemon of a deployment without hubs
// decides by itself; a member asks its hub, so that only few daemons divide each limit
// among themselves. It implements proxy.Limiter.
type limiter struct{ node *Node }

// Take implements proxy.Limiter.
func (l *limiter) Take(ctx context.Context, r quota.Request, now time.Duration) quota.Decision {
	d := l.decide(ctx, r, now)
	l.node.metrics.customerCost.add(&r, d.Admit)
	return d
}

// decide admits or refuses a request. A member whose hubs do not answer in time admits requests by
// its own share of the limit. That is small, so it asks again before it refuses one.
func (l *limiter) decide(ctx context.Context, r quota.Request, now time.Duration) quota.Decision {
	n := l.node
	if n.mesh.Role() != mesh.Member {
		return n.quota.TakeRequest(r, now)
	}
	q := &meshpb.Question{Customer: r.Customer, Cost: r.Cost, Priority: uint32(max(r.Rank, 0)), Content: r.Content,
		MaxWaitMs: uint32(min(max(r.MaxWait.Milliseconds(), 0), math.MaxUint32))}
	a, err := n.mesh.AskHub(ctx, q)
	if err != nil {
		n.metrics.unansweredQuestions.Add(1)
		d := n.quota.TakeRequest(r, now)
		if d.Admit {
			return d
		}
		if a, err = n.mesh.AskHubAgain(ctx, q); err != nil {
			return d
		}
	}
	return decodeDecision(a)
}

// encodeDecision returns the answer to a member's question.
func encodeDecision(d quota.Decision) *meshpb.Answer {
	return &meshpb.Answer{Ok: d.Admit, WaitMs: d.Wait.Milliseconds(), Level: d.Level, Mine: d.Unsynced, Share: d.Share, Part: d.PartitionShare,
		Allowance: d.Allowance, Headroom: d.Headroom, Early: d.Early}
}

// decodeDecision is the inverse of encodeDecision.
func decodeDecision(a *meshpb.Answer) quota.Decision {
	return quota.Decision{Admit: a.Ok, Wait: time.Duration(a.WaitMs) * time.Millisecond, Level: a.Level, Unsynced: a.Mine, Share: a.Share, PartitionShare: a.Part,
		Allowance: a.Allowance, Headroom: a.Headroom, Early: a.Early}
}

// Refund implements proxy.Limiter.
func (l *limiter) Refund(customer string, cost float64) {
	n := l.node
	if n.mesh.Role() != mesh.Member {
		n.quota.Refund(customer, cost)
		return
	}
	go func() { // the caller need not wait for the hub
		if _, err := n.mesh.AskHub(context.Background(), &meshpb.Question{Customer: customer, Cost: -cost}); err != nil {
			n.metrics.unansweredQuestions.Add(1)
		}
	}()
}

// askHubRetry reports whether this daemon's hub permits a retry beyond this daemon's
// own retry budget. Only members have a hub to ask; the others may not exceed theirs.
func (l *limiter) askHubRetry(service string) bool {
	n := l.node
	if n.mesh.Role() != mesh.Member {
		return false
	}
	a, err := n.mesh.AskHub(context.Background(), &meshpb.Question{Service: service})
	return err == nil && a.Ok
}

// answer answers a question of another daemon: about an upstream's rate or, from a
// member of this hub's group, about a retry, a refund or the admission of a request.
func (l *limiter) answer(ctx context.Context, q *meshpb.Question) *meshpb.Answer {
	n, now := l.node, boottime.Now()
	switch {
	case q.Segment != 0:
		return n.quarantine.answer(ctx, q, true)
	case q.Upstream != 0:
		return n.throttle.answer(ctx, q)
	case q.Silent != 0:
		return n.silence.answer(q)
	case q.Customer == "":
		return &meshpb.Answer{Ok: n.retryBudget.AllowLocalRetry(q.Service, now)}
	case q.Cost < 0:
		n.quota.Refund(q.Customer, -q.Cost)
		return &meshpb.Answer{Ok: true}
	}
	r := quota.Request{Customer: q.Customer, Cost: q.Cost, Rank: int(min(q.Priority, math.MaxInt32)), Content: q.Content,
		MaxWait: time.Duration(q.MaxWaitMs) * time.Millisecond}
	return encodeDecision(n.quota.TakeRequest(r, now))
}

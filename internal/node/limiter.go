package node

import (
	"context"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/quota"
)

// limiter keeps the limits of customers where they are known best: at this daemon,
// or at its hub, which decides for its members, so that few share out each limit. It
// implements proxy.Limiter.
type limiter struct{ node *Node }

// Take implements proxy.Limiter. A daemon whose hubs do not answer admits by its own
// part of the limit.
func (l *limiter) Take(ctx context.Context, customer string, cost float64, now time.Duration) quota.Decision {
	n := l.node
	if n.mesh.Role() != mesh.Member {
		return n.quota.Take(customer, cost, now)
	}
	a, err := n.mesh.AskHub(ctx, &meshpb.Question{Customer: customer, Cost: cost})
	if err != nil {
		n.metrics.unanswered.Add(1)
		return n.quota.Take(customer, cost, now)
	}
	return quota.Decision{OK: a.Ok, Wait: time.Duration(a.WaitMs) * time.Millisecond, Level: a.Level, Mine: a.Mine, Share: a.Share, Part: a.Part}
}

// Refund implements proxy.Limiter.
func (l *limiter) Refund(customer string, cost float64) {
	n := l.node
	if n.mesh.Role() != mesh.Member {
		n.quota.Refund(customer, cost)
		return
	}
	go func() { // nobody waits for it
		if _, err := n.mesh.AskHub(context.Background(), &meshpb.Question{Customer: customer, Cost: -cost}); err != nil {
			n.metrics.unanswered.Add(1)
		}
	}()
}

// beyond asks this daemon's hub for a repeat beyond its own budget.
func (l *limiter) beyond(service string) bool {
	n := l.node
	if n.mesh.Role() != mesh.Member {
		return false
	}
	a, err := n.mesh.AskHub(context.Background(), &meshpb.Question{Service: service})
	return err == nil && a.Ok
}

// answer answers a member as its hub.
func (l *limiter) answer(q *meshpb.Question) *meshpb.Answer {
	n, now := l.node, boottime.Now()
	switch {
	case q.Customer == "":
		return &meshpb.Answer{Ok: n.budget.TakeLocal(q.Service, now)}
	case q.Cost < 0:
		n.quota.Refund(q.Customer, -q.Cost)
		return &meshpb.Answer{Ok: true}
	}
	d := n.quota.Take(q.Customer, q.Cost, now)
	return &meshpb.Answer{Ok: d.OK, WaitMs: d.Wait.Milliseconds(), Level: d.Level, Mine: d.Mine, Share: d.Share, Part: d.Part}
}

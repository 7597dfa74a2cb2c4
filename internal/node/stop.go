package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/proxy"
)

const (
	// latePart of the grace has passed when requests are refused that could outlast
	// it: those sent in the first 3 of 8 s must be served to their end.
	latePart = 3.0 / 8
	// stopPart of the grace is left for the farewell. What is still at work in the
	// last sixth of it may be cut, nothing before.
	stopPart = 0.14
)

func part(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// drain returns the times of a drain that begins at a moment.
func drain(began time.Time, grace time.Duration) proxy.Drain {
	return proxy.Drain{RefuseAfter: began.Add(part(grace, latePart)), End: began.Add(part(grace, 1-stopPart))}
}

// stop finishes what is under way.
func (n *Node) stop() error {
	began := time.Now()
	n.stopping.Store(true)
	grace := time.Duration(n.grace.Load())
	d := drain(began, grace)
	n.proxy.SetDrain(d)
	n.log.Info("daemon stops", "connections", n.server.Connections(), "grace", grace)
	ctx, cancel := context.WithDeadline(context.Background(), d.End)
	defer cancel()
	err := n.server.Stop(ctx)
	farewell, cancelFarewell := context.WithDeadline(context.Background(), d.End.Add(part(grace, stopPart/2)))
	defer cancelFarewell()
	if rerr := n.Store.Remove(farewell, daemonTable, n.Name); rerr != nil {
		n.log.Info("own row not removed", "error", rerr)
	}
	return errors.Wrap(err, "drain")
}

package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/proxy"
)

const (
	// refuseFraction of the grace has passed when requests are refused that could outlast
	// it: those sent in the first 3 of 8 s must be served to their end.
	refuseFraction = 3.0 / 8
	// cleanupFraction of the grace is left for the farewell. What is still at work in the
	// last sixth of it may be cut, nothing before.
	cleanupFraction = 0.14
)

func fraction(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// newDrain returns the times of a drain that begins at a moment.
func newDrain(began time.Time, grace time.Duration) proxy.Drain {
	return proxy.Drain{LateFrom: began.Add(fraction(grace, refuseFraction)), End: began.Add(fraction(grace, 1-cleanupFraction))}
}

// stop finishes what is under way.
func (n *Node) stop() error {
	began := time.Now()
	n.stopping.Store(true)
	grace := time.Duration(n.grace.Load())
	d := newDrain(began, grace)
	n.proxy.SetDrain(d)
	n.log.Info("daemon stops", "connections", n.server.Connections(), "grace", grace)
	ctx, cancel := context.WithDeadline(context.Background(), d.End)
	defer cancel()
	err := n.server.Stop(ctx)
	farewell, cancelFarewell := context.WithDeadline(context.Background(), d.End.Add(fraction(grace, cleanupFraction/2)))
	defer cancelFarewell()
	if rerr := n.Store.Remove(farewell, daemonTable, n.Name); rerr != nil {
		n.log.Info("own row not removed", "error", rerr)
	}
	return errors.Wrap(err, "drain")
}

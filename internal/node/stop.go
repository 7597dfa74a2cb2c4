package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/proxy"
)

const (
	// refuseFraction is the fraction of the grace period after which requests are refused
	// that could take longer than the rest of the drain. Requests sent in the first 3 s of
	// a grace period of 8 s must be completed.
	refuseFraction = 3.0 / 8
	// cleanupFraction is the fraction of the grace period that is reserved for removing
	// this daemon's row after the drain. It must be less than a sixth: requests may be cut
	// off only in the last sixth of the grace period.
	cleanupFraction = 0.14
	// flushTime is the time for the responses to requests that the drain ends, before their
	// connections are closed.
	flushTime = 150 * time.Millisecond
)

// scaleDuration returns d multiplied by p.
func scaleDuration(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// newDrain returns the deadlines of a drain that starts at began.
func newDrain(began time.Time, grace time.Duration) proxy.Drain {
	cut := began.Add(scaleDuration(grace, 1-cleanupFraction))
	flush := min(flushTime, scaleDuration(grace, 1-cleanupFraction-5.0/6)/2) // nothing ends before the last sixth
	return proxy.Drain{RefuseAfter: began.Add(scaleDuration(grace, refuseFraction)), End: cut.Add(-flush), Cut: cut}
}

// stop drains the daemon: it completes the requests in flight as far as the grace
// period allows, then removes this daemon's row from the store.
func (n *Node) stop() error {
	began := time.Now()
	n.stopping.Store(true)
	grace := time.Duration(n.grace.Load())
	d := newDrain(began, grace)
	n.proxy.SetDrain(d)
	n.log.Info("daemon stops", "connections", n.server.Connections(), "grace", grace)
	ctx, cancel := context.WithDeadline(context.Background(), d.Cut)
	defer cancel()
	err := n.server.Stop(ctx)
	removeCtx, cancelRemove := context.WithDeadline(context.Background(), d.Cut.Add(scaleDuration(grace, cleanupFraction/2)))
	defer cancelRemove()
	if removeErr := n.Store.Remove(removeCtx, daemonTable, n.Name); removeErr != nil {
		n.log.Info("cannot remove this daemon's row from the store", "error", removeErr)
	}
	return errors.Wrap(err, "drain caller connections")
}

package daemon

import (
	"context"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/members"
)

// handOverReserve is the time reserved at the end of a drain, before the VM ends, for
// handing over accepted work.
const handOverReserve = 3 * time.Second

// OnDrained adds a function that stop calls after the requests in flight have ended,
// to hand over accepted work. It must be called before Run.
func (d *Daemon) OnDrained(f func(ctx context.Context)) { d.drainedHooks = append(d.drainedHooks, f) }

// fire applies an event to the daemon's state machine. An event that is not allowed in
// the current state is logged and ignored.
func (d *Daemon) fire(e chart.Event, step, peer string) {
	d.stateLock.Lock()
	defer d.stateLock.Unlock()
	if err := d.stateMachine.Fire(e, step, peer); err != nil {
		d.log.Error("daemon state machine rejected an event", "error", err)
	}
}

func (d *Daemon) state() chart.State {
	d.stateLock.Lock()
	defer d.stateLock.Unlock()
	return d.stateMachine.State()
}

// stop shuts the daemon down gracefully: it reports not ready, waits until the load
// balancer has noticed, finishes the requests in flight, hands over accepted work and
// announces to its peers that it left.
func (d *Daemon) stop() error {
	d.draining.Store(true)
	d.fire("stop", "stop", "")
	d.log.Info("drain started", "name", d.settings.Name)
	d.members.SetSelf(func(r *members.Record) { r.State = members.Leaving })
	time.Sleep(time.Duration(d.settings.DrainWaitMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), d.drainDeadline())
	defer cancel()
	err := d.entry.Stop(ctx)
	d.fire("drained", "stop", "")
	handOver, cancelHandOver := context.WithTimeout(context.Background(), handOverReserve)
	defer cancelHandOver()
	for _, f := range d.drainedHooks {
		f(handOver)
	}
	d.fire("handed-over", "stop", "")
	d.members.SetSelf(func(r *members.Record) { r.State = members.Left })
	time.Sleep(leaveGossipTime)
	d.pool.Close()
	if oerr := d.operator.Stop(); err == nil {
		err = oerr
	}
	return err
}

// drainDeadline returns when the requests in flight must have ended: after
// drainTimeout, or handOverReserve before the announced end of the VM if that is
// sooner.
func (d *Daemon) drainDeadline() time.Time {
	deadline := time.Now().Add(drainTimeout)
	if end := d.vmDeadline.Load(); end != nil && end.Add(-handOverReserve).Before(deadline) {
		return end.Add(-handOverReserve)
	}
	return deadline
}

package daemon

import (
	"context"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/members"
)

// handOverReserve is what a reclaim notice leaves for handing over accepted
// work.
const handOverReserve = 3 * time.Second

// OnDrained names a function that stop calls once no request is in flight, to
// hand over accepted work. It must be called before Run.
func (d *Daemon) OnDrained(f func(ctx context.Context)) { d.drainedHooks = append(d.drainedHooks, f) }

// fire moves the daemon's state chart. An event that the chart does not allow
// is logged and changes nothing.
func (d *Daemon) fire(e chart.Event, step, peer string) {
	d.stateLock.Lock()
	defer d.stateLock.Unlock()
	if err := d.machine.Fire(e, step, peer); err != nil {
		d.log.Error("event not allowed", "error", err)
	}
}

func (d *Daemon) state() chart.State {
	d.stateLock.Lock()
	defer d.stateLock.Unlock()
	return d.machine.State()
}

// stop ends the daemon in order: it reports not ready, waits until the
// balancer has seen that, finishes the requests in flight, hands over accepted
// work and says farewell to its peers.
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

// drainDeadline returns when the requests in flight must have ended: before
// the VM ends, if its reclaim was announced.
func (d *Daemon) drainDeadline() time.Time {
	deadline := time.Now().Add(drainTimeout)
	if end := d.vmDeadline.Load(); end != nil && end.Add(-handOverReserve).Before(deadline) {
		return end.Add(-handOverReserve)
	}
	return deadline
}

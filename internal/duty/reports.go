package duty

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
)

// finalizeWindows adds reports of windows that have ended to the row. They are sent
// only after the store has the row.
func (d *Duty) finalizeWindows() {
	now := d.Clock.Now()
	for len(d.row.Pending) < maxPendingReports {
		next := d.row.Finalized + 1
		age := now - d.Usage.WindowEnd(next)
		if age < finalizeDelay || age < finalizeTimeout && !d.AllReachable() {
			return
		}
		d.row.Pending = append(d.undelivered(), UsageReport{Window: next, Counts: d.Usage.Sum(next)})
		d.row.Finalized = next
		d.dirty = true
	}
}

// sendReports sends the pending reports of the row.
func (d *Duty) sendReports(ctx context.Context) {
	for _, r := range d.undelivered() {
		now := boottime.Now()
		if now < d.retryAt[r.Window] {
			continue
		}
		f, ok := d.fence()
		if !ok {
			return
		}
		err := d.callCloud(ctx, func(ctx context.Context) error { return d.Cloud.Report(ctx, f, r) })
		d.retryAt[r.Window] = boottime.Now() + retryDelay
		d.Log.Info("usage reported", "window", r.Window, "token", f.Token, "counts", r.Counts, "error", err)
		switch {
		case err == nil:
			d.delivered[r.Window] = true
		case errors.Is(err, ErrRefused):
			d.lose("cloud has seen a higher token")
			return
		case errors.Is(err, ErrRejected):
			d.Log.Error("usage given up", "window", r.Window, "counts", r.Counts, "error", err)
			d.delivered[r.Window] = true
		default:
			return // the cloud is unreachable: only one report is tried in a step
		}
	}
}

// callCloud runs one fenced call, which must end before the lease does. It fails
// without the call if the row was changed and not written, or names another holder.
func (d *Duty) callCloud(ctx context.Context, do func(context.Context) error) error {
	if d.dirty || d.row.Holder != d.Name || d.row.Incarnation != d.Incarnation {
		invariant.Broken(d.Log, "ONE", "token", d.row.Token, "holder", d.row.Holder, "born", d.row.Incarnation, "dirty", d.dirty)
		return errors.New("call not sent: the lease row is not stored or names another holder")
	}
	ctx, cancel := context.WithTimeout(ctx, min(cloudTimeout, d.expiresAt-boottime.Now()))
	defer cancel()
	return do(ctx)
}

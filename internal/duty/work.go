package duty

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
)

// settleWindows fixes the counts of windows that have ended. They are sent only
// after the row holds them.
func (d *Duty) settleWindows() {
	now := d.Clock.Now()
	for len(d.row.Pending) < maxPending {
		next := d.row.Reported + 1
		age := now - d.Usage.End(next)
		if age < settle || age < patience && !d.Complete() {
			return
		}
		d.row.Pending = append(d.unsent(), Report{Window: next, Counts: d.Usage.Sum(next)})
		d.row.Reported = next
		d.dirty = true
	}
}

// report sends the reports that the row holds.
func (d *Duty) report(ctx context.Context) {
	for _, r := range d.unsent() {
		now := boottime.Now()
		if now < d.tried[r.Window] {
			continue
		}
		f, ok := d.fence()
		if !ok {
			return
		}
		err := d.call(ctx, func(ctx context.Context) error { return d.Cloud.Report(ctx, f, r) })
		d.tried[r.Window] = boottime.Now() + callGap
		d.Log.Info("usage reported", "window", r.Window, "token", f.Token, "counts", r.Counts, "error", err)
		switch {
		case err == nil:
			d.sent[r.Window] = true
		case errors.Is(err, ErrFenced):
			d.lose("cloud has seen a higher token")
			return
		case errors.Is(err, ErrRejected):
			d.Log.Error("usage given up", "window", r.Window, "counts", r.Counts, "error", err)
			d.sent[r.Window] = true
		default:
			return // the cloud is away: one try at a time
		}
	}
}

func (d *Duty) call(ctx context.Context, do func(context.Context) error) error {
	if d.dirty || d.row.Holder != d.Name || d.row.Born != d.Born {
		invariant.Broken(d.Log, "ONE", "token", d.row.Token, "holder", d.row.Holder, "born", d.row.Born, "dirty", d.dirty)
		return errors.New("call not made: the row does not stand for it")
	}
	ctx, cancel := context.WithTimeout(ctx, min(cloudTimeout, d.heldBy-boottime.Now()))
	defer cancel()
	return do(ctx)
}

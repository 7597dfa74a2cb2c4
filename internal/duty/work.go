package duty

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/capacity"
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
		default:
			return // the cloud is away: one try at a time
		}
	}
}

func (d *Duty) call(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, min(cloudTimeout, d.heldBy-boottime.Now()))
	defer cancel()
	return do(ctx)
}

// orders remembers what was ordered under one token.
type orders struct {
	placed map[capacity.Place]int
	at     map[capacity.Place]time.Duration // boot time of the order
	next   map[capacity.Place]time.Duration // boot time before which it is not tried again
}

func newOrders() *orders {
	return &orders{
		placed: make(map[capacity.Place]int),
		at:     make(map[capacity.Place]time.Duration),
		next:   make(map[capacity.Place]time.Duration),
	}
}

// stands tells whether an order was given and has been followed, or may still be.
func (o *orders) stands(p capacity.Place, count, have int, now time.Duration) bool {
	placed, ok := o.placed[p]
	return ok && placed == count && (have >= count || now-o.at[p] < reorderAfter)
}

// order brings the numbers of upstreams to what the plan says.
func (d *Duty) order(ctx context.Context) {
	plan := d.Plan()
	if len(plan) == 0 {
		return
	}
	have := d.Have()
	for place, count := range plan {
		now := boottime.Now()
		if d.orders.stands(place, count, have[place], now) || now < d.orders.next[place] {
			continue
		}
		f, ok := d.fence()
		if !ok {
			return
		}
		err := d.call(ctx, func(ctx context.Context) error { return d.Cloud.Order(ctx, f, place, count) })
		d.Log.Info("upstreams ordered", "service", place.Service, "zone", place.Zone, "reclaimable", bool(place.Kind),
			"count", count, "have", have[place], "token", f.Token, "error", err)
		switch {
		case err == nil:
			d.orders.placed[place], d.orders.at[place] = count, now
		case errors.Is(err, ErrFenced):
			delete(d.orders.placed, place)
			d.orders.next[place] = now + refusedGap
		default:
			delete(d.orders.placed, place)
			d.orders.next[place] = now + callGap
			return
		}
	}
}

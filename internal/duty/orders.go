package duty

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/capacity"
)

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

// site is a service in a zone.
type site struct{ service, zone string }

// open tells whether upstreams of a service can be ordered in a zone.
func (d *Duty) open(service, zone string) bool {
	return boottime.Now() >= d.closed[site{service, zone}]
}

// order brings the numbers of upstreams to what the plan says.
func (d *Duty) order(ctx context.Context) {
	plan := d.Plan(d.open)
	if len(plan) == 0 {
		return
	}
	have := d.Have()
	for place, count := range plan {
		now := boottime.Now()
		if d.orders.stands(place, count, have[place], now) || now < d.orders.next[place] || !d.open(place.Service, place.Zone) {
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
		case errors.Is(err, ErrRejected):
			d.closed[site{place.Service, place.Zone}] = now + closedFor
		default:
			delete(d.orders.placed, place)
			d.orders.next[place] = now + callGap
			return
		}
	}
}

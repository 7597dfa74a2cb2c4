package duty

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/capacity"
)

// orders remembers what was ordered under one token.
type orders struct {
	boot   func(service string) time.Duration
	placed map[capacity.Pool]int
	seen   map[capacity.Pool]int           // the most that there have been since the order
	at     map[capacity.Pool]time.Duration // boot time of the order
	next   map[capacity.Pool]time.Duration // boot time before which it is not tried again
	dry    map[string]time.Duration        // boot time until which a service's reclaimable ones count as not to be had
}

func newOrders(boot func(service string) time.Duration) *orders {
	return &orders{
		boot:   boot,
		placed: make(map[capacity.Pool]int),
		seen:   make(map[capacity.Pool]int),
		at:     make(map[capacity.Pool]time.Duration),
		next:   make(map[capacity.Pool]time.Duration),
		dry:    make(map[string]time.Duration),
	}
}

// patience is how long upstreams of an order are awaited before it is given again.
func (o *orders) patience(p capacity.Pool) time.Duration {
	if boot := o.boot(p.Service); boot > 0 {
		return boot + enterAfter
	}
	return usualBoot + enterAfter
}

// look notes how many upstreams there are.
func (o *orders) look(have map[capacity.Pool]int) {
	for p := range o.placed {
		o.seen[p] = max(o.seen[p], have[p])
	}
}

// due returns how many upstreams of an order have not come yet. Where some have come
// and are gone again, the order does not bring them back.
func (o *orders) due(p capacity.Pool, have int, now time.Duration) int {
	placed, ok := o.placed[p]
	if !ok || have < o.seen[p] || now-o.at[p] >= o.patience(p) {
		return 0
	}
	return max(placed-have, 0)
}

// stands tells whether an order was given and has been followed, or may still be.
func (o *orders) stands(p capacity.Pool, count, have int, now time.Duration) bool {
	placed, ok := o.placed[p]
	return ok && placed == count && have+o.due(p, have, now) >= count
}

// given notes that an order was taken.
func (o *orders) given(p capacity.Pool, count, have int, now time.Duration) {
	o.placed[p], o.seen[p], o.at[p] = count, have, now
}

// Due returns how many upstreams were ordered and have not come yet.
func (o *orders) Due(have map[capacity.Pool]int) map[capacity.Pool]int {
	now := boottime.Now()
	due := make(map[capacity.Pool]int, len(o.placed))
	for p := range o.placed {
		due[p] = o.due(p, have[p], now)
	}
	return due
}

// Drought tells whether reclaimable upstreams of a service were refused of late.
func (o *orders) Drought(service string) bool { return boottime.Now() < o.dry[service] }

// site is a service in a zone.
type site struct{ service, zone string }

// open tells whether upstreams of a service can be ordered in a zone.
func (d *Duty) open(service, zone string) bool {
	return boottime.Now() >= d.closed[site{service, zone}]
}

// order brings the numbers of upstreams to what the plan says.
func (d *Duty) order(ctx context.Context) {
	have := d.Have()
	d.orders.look(have)
	plan := d.Plan(d.open, have, d.orders)
	for _, place := range sequence(plan, have) {
		if !d.orderOne(ctx, place, plan[place], have[place]) {
			return
		}
	}
}

// sequence returns the places of a plan: those that get more first, since what is cut
// has its substitute there, and reclaimable ones before those that stand in for them.
func sequence(plan, have map[capacity.Pool]int) []capacity.Pool {
	list := slices.Collect(maps.Keys(plan))
	rank := func(p capacity.Pool) int {
		n := 0
		if plan[p] < have[p] {
			n += 2
		}
		if p.Kind == capacity.OnDemand {
			n++
		}
		return n
	}
	slices.SortFunc(list, func(a, b capacity.Pool) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return list
}

// orderOne orders upstreams of one place where that is due. It returns false where no
// more calls are to be made now.
func (d *Duty) orderOne(ctx context.Context, place capacity.Pool, count, have int) bool {
	now := boottime.Now()
	if d.orders.stands(place, count, have, now) || now < d.orders.next[place] || !d.open(place.Service, place.Zone) {
		return true
	}
	f, ok := d.fence()
	if !ok {
		return false
	}
	err := d.call(ctx, func(ctx context.Context) error { return d.Cloud.Order(ctx, f, place, count) })
	d.Log.Info("upstreams ordered", "service", place.Service, "zone", place.Zone, "reclaimable", bool(place.Kind),
		"count", count, "have", have, "token", f.Token, "error", err)
	switch {
	case err == nil:
		d.orders.given(place, count, have, now)
	case errors.Is(err, ErrFenced):
		delete(d.orders.placed, place)
		d.orders.next[place] = now + refusedGap
		if place.Kind == capacity.Reclaimable {
			d.orders.dry[place.Service] = now + dryFor
		}
	case errors.Is(err, ErrRejected):
		d.closed[site{place.Service, place.Zone}] = now + closedFor
	default:
		delete(d.orders.placed, place)
		d.orders.next[place] = now + callGap
		return false
	}
	return true
}

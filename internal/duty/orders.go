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

// orderTracker remembers what was ordered under one token.
type orderTracker struct {
	bootTime         func(service string) time.Duration
	ordered          map[capacity.Place]int
	peak             map[capacity.Place]int           // the most that there have been since the order
	orderedAt        map[capacity.Place]time.Duration // boot time of the order
	retryAt          map[capacity.Place]time.Duration // boot time before which it is not tried again
	unavailableUntil map[string]time.Duration         // boot time until which a service's reclaimable ones count as not to be had
}

func newOrderTracker(boot func(service string) time.Duration) *orderTracker {
	return &orderTracker{
		bootTime:         boot,
		ordered:          make(map[capacity.Place]int),
		peak:             make(map[capacity.Place]int),
		orderedAt:        make(map[capacity.Place]time.Duration),
		retryAt:          make(map[capacity.Place]time.Duration),
		unavailableUntil: make(map[string]time.Duration),
	}
}

// arrivalTimeout is how long upstreams of an order are awaited before it is given again.
func (o *orderTracker) arrivalTimeout(p capacity.Place) time.Duration {
	if boot := o.bootTime(p.Service); boot > 0 {
		return boot + registrationTime
	}
	return defaultBootTime + registrationTime
}

// observe notes how many upstreams there are.
func (o *orderTracker) observe(have map[capacity.Place]int) {
	for p := range o.ordered {
		o.peak[p] = max(o.peak[p], have[p])
	}
}

// outstanding returns how many upstreams of an order have not come yet. Where some have come
// and are gone again, the order does not bring them back.
func (o *orderTracker) outstanding(p capacity.Place, have int, now time.Duration) int {
	ordered, ok := o.ordered[p]
	if !ok || have < o.peak[p] || now-o.orderedAt[p] >= o.arrivalTimeout(p) {
		return 0
	}
	return max(ordered-have, 0)
}

// inEffect tells whether an order was given and has been followed, or may still be.
func (o *orderTracker) inEffect(p capacity.Place, count, have int, now time.Duration) bool {
	ordered, ok := o.ordered[p]
	return ok && ordered == count && have+o.outstanding(p, have, now) >= count
}

// record notes that an order was taken.
func (o *orderTracker) record(p capacity.Place, count, have int, now time.Duration) {
	o.ordered[p], o.peak[p], o.orderedAt[p] = count, have, now
}

// Outstanding returns how many upstreams were ordered and have not come yet.
func (o *orderTracker) Outstanding(have map[capacity.Place]int) map[capacity.Place]int {
	now := boottime.Now()
	outstanding := make(map[capacity.Place]int, len(o.ordered))
	for p := range o.ordered {
		outstanding[p] = o.outstanding(p, have[p], now)
	}
	return outstanding
}

// ReclaimableUnavailable tells whether reclaimable upstreams of a service were refused of late.
func (o *orderTracker) ReclaimableUnavailable(service string) bool {
	return boottime.Now() < o.unavailableUntil[service]
}

// serviceZone is a service in a zone.
type serviceZone struct{ service, zone string }

// canOrder tells whether upstreams of a service can be ordered in a zone.
func (d *Duty) canOrder(service, zone string) bool {
	return boottime.Now() >= d.rejectedUntil[serviceZone{service, zone}]
}

// placeOrders brings the numbers of upstreams to what the plan says.
func (d *Duty) placeOrders(ctx context.Context) {
	have := d.Have()
	d.orders.observe(have)
	plan := d.Plan(d.canOrder, have, d.orders)
	for _, place := range sortPlaces(plan, have) {
		if !d.placeOrder(ctx, place, plan[place], have[place]) {
			return
		}
	}
}

// sortPlaces returns the places of a plan: those that get more first, since what is cut
// has its substitute there, and reclaimable ones before those that stand in for them.
func sortPlaces(plan, have map[capacity.Place]int) []capacity.Place {
	list := slices.Collect(maps.Keys(plan))
	rank := func(p capacity.Place) int {
		n := 0
		if plan[p] < have[p] {
			n += 2
		}
		if p.Kind == capacity.Firm {
			n++
		}
		return n
	}
	slices.SortFunc(list, func(a, b capacity.Place) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return list
}

// placeOrder orders upstreams of one place where that is due. It returns false where no
// more calls are to be made now.
func (d *Duty) placeOrder(ctx context.Context, place capacity.Place, count, have int) bool {
	now := boottime.Now()
	if d.orders.inEffect(place, count, have, now) || now < d.orders.retryAt[place] || !d.canOrder(place.Service, place.Zone) {
		return true
	}
	f, ok := d.fence()
	if !ok {
		return false
	}
	err := d.callCloud(ctx, func(ctx context.Context) error { return d.Cloud.Order(ctx, f, place, count) })
	d.Log.Info("upstreams ordered", "service", place.Service, "zone", place.Zone, "reclaimable", bool(place.Kind),
		"count", count, "have", have, "token", f.Token, "error", err)
	switch {
	case err == nil:
		d.orders.record(place, count, have, now)
	case errors.Is(err, ErrRefused):
		delete(d.orders.ordered, place)
		d.orders.retryAt[place] = now + refusedRetryDelay
		if place.Kind == capacity.Reclaimable {
			d.orders.unavailableUntil[place.Service] = now + unavailableFor
		}
	case errors.Is(err, ErrRejected):
		d.rejectedUntil[serviceZone{place.Service, place.Zone}] = now + rejectedFor
	default:
		delete(d.orders.ordered, place)
		d.orders.retryAt[place] = now + retryDelay
		return false
	}
	return true
}

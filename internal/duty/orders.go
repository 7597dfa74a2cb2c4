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

// orderTracker tracks the orders that were placed under one fencing token.
type orderTracker struct {
	bootTime         func(service string) time.Duration
	orderedCount     map[capacity.Pool]int           // number of upstreams in the last accepted order
	peakCount        map[capacity.Pool]int           // largest number of upstreams present since that order
	orderedAt        map[capacity.Pool]time.Duration // boot time of that order
	retryAt          map[capacity.Pool]time.Duration // boot time before which a failed order is not retried
	unavailableUntil map[string]time.Duration        // by service: boot time until which reclaimable upstreams count as unavailable
}

func newOrderTracker(bootTime func(service string) time.Duration) *orderTracker {
	return &orderTracker{
		bootTime:         bootTime,
		orderedCount:     make(map[capacity.Pool]int),
		peakCount:        make(map[capacity.Pool]int),
		orderedAt:        make(map[capacity.Pool]time.Duration),
		retryAt:          make(map[capacity.Pool]time.Duration),
		unavailableUntil: make(map[string]time.Duration),
	}
}

// arrivalTimeout returns how long to wait for the upstreams of an order before it is
// placed again.
func (o *orderTracker) arrivalTimeout(p capacity.Pool) time.Duration {
	if boot := o.bootTime(p.Service); boot > 0 {
		return boot + registrationTime
	}
	return defaultBootTime + registrationTime
}

// observe records the present number of upstreams of each pool.
func (o *orderTracker) observe(have map[capacity.Pool]int) {
	for p := range o.orderedCount {
		o.peakCount[p] = max(o.peakCount[p], have[p])
	}
}

// outstanding returns how many upstreams of the last order are still expected. It
// returns 0 if the number of upstreams has decreased since the order: the same order
// does not replace upstreams that are gone.
func (o *orderTracker) outstanding(p capacity.Pool, have int, now time.Duration) int {
	ordered, ok := o.orderedCount[p]
	if !ok || have < o.peakCount[p] || now-o.orderedAt[p] >= o.arrivalTimeout(p) {
		return 0
	}
	return max(ordered-have, 0)
}

// inEffect reports whether the last order was for count upstreams and is fulfilled or
// may still be.
func (o *orderTracker) inEffect(p capacity.Pool, count, have int, now time.Duration) bool {
	ordered, ok := o.orderedCount[p]
	return ok && ordered == count && have+o.outstanding(p, have, now) >= count
}

// record stores an order that the cloud accepted.
func (o *orderTracker) record(p capacity.Pool, count, have int, now time.Duration) {
	o.orderedCount[p], o.peakCount[p], o.orderedAt[p] = count, have, now
}

// Outstanding implements OrderStatus.
func (o *orderTracker) Outstanding(have map[capacity.Pool]int) map[capacity.Pool]int {
	now := boottime.Now()
	outstanding := make(map[capacity.Pool]int, len(o.orderedCount))
	for p := range o.orderedCount {
		outstanding[p] = o.outstanding(p, have[p], now)
	}
	return outstanding
}

// ReclaimableUnavailable implements OrderStatus.
func (o *orderTracker) ReclaimableUnavailable(service string) bool {
	return boottime.Now() < o.unavailableUntil[service]
}

// serviceZone is a service in a zone.
type serviceZone struct{ service, zone string }

// canOrder reports whether upstreams of a service may be ordered in a zone: not for
// rejectedFor after the cloud rejected an order there.
func (d *Duty) canOrder(service, zone string) bool {
	return boottime.Now() >= d.rejectedUntil[serviceZone{service, zone}]
}

// placeOrders orders the numbers of upstreams that the plan requires.
func (d *Duty) placeOrders(ctx context.Context) {
	have := d.Have()
	d.orders.observe(have)
	plan := d.Plan(d.canOrder, have, d.orders)
	for _, pool := range sortPools(plan, have) {
		if !d.placeOrder(ctx, pool, plan[pool], have[pool]) {
			return
		}
	}
}

// sortPools returns the pools of a plan in the order of their calls: decreases come
// last, so that their replacements are ordered first, and reclaimable upstreams come
// before the on-demand ones that replace them.
func sortPools(plan, have map[capacity.Pool]int) []capacity.Pool {
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

// placeOrder orders count upstreams of one pool if that is due. It returns false if
// no more calls may be made in this step: the lease is about to expire, or the call
// failed for another reason than a refusal or rejection.
func (d *Duty) placeOrder(ctx context.Context, pool capacity.Pool, count, have int) bool {
	now := boottime.Now()
	if d.orders.inEffect(pool, count, have, now) || now < d.orders.retryAt[pool] || !d.canOrder(pool.Service, pool.Zone) {
		return true
	}
	f, ok := d.fence()
	if !ok {
		return false
	}
	err := d.callCloud(ctx, func(ctx context.Context) error { return d.Cloud.Order(ctx, f, pool, count) })
	d.Log.Info("upstreams ordered", "service", pool.Service, "zone", pool.Zone, "reclaimable", bool(pool.Kind),
		"count", count, "have", have, "token", f.Token, "error", err)
	switch {
	case err == nil:
		d.orders.record(pool, count, have, now)
	case errors.Is(err, ErrRefused):
		delete(d.orders.orderedCount, pool)
		d.orders.retryAt[pool] = now + refusedRetryDelay
		if pool.Kind == capacity.Reclaimable {
			d.orders.unavailableUntil[pool.Service] = now + unavailableFor
		}
	case errors.Is(err, ErrRejected):
		d.rejectedUntil[serviceZone{pool.Service, pool.Zone}] = now + rejectedFor
	default:
		delete(d.orders.orderedCount, pool)
		d.orders.retryAt[pool] = now + retryDelay
		return false
	}
	return true
}

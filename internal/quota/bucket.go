package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
)

// charge is the cost of admitted requests.
type charge struct {
	at   time.Duration // boot time
	cost float64
}

// charges lists costs that were admitted recently, oldest first.
type charges []charge

// prune drops the charges from before a time.
func (c charges) prune(before time.Duration) charges {
	n := 0
	for n < len(c) && c[n].at < before {
		n++
	}
	return c[n:]
}

// since returns the sum of the charges from a time on.
func (c charges) since(from time.Duration) (sum float64) {
	for i := len(c) - 1; i >= 0 && c[i].at >= from; i-- {
		sum += c[i].cost
	}
	return sum
}

// reportParts is the number of charges into which a report of another daemon is divided,
// since it does not tell when in the interval the requests were admitted.
const reportParts = 4

// spread adds a cost that was admitted between two times.
func (c charges) spread(cost float64, from, to time.Duration) charges {
	if cost == 0 {
		return c
	}
	for i := range time.Duration(reportParts) { // each part in the middle of its time
		e := charge{from + (to-from)*(2*i+1)/(2*reportParts), cost / reportParts}
		at, _ := slices.BinarySearchFunc(c, e.at, func(c charge, at time.Duration) int { return cmp.Compare(c.at, at) })
		c = slices.Insert(c, at, e)
	}
	return c
}

// peerDemand is the demand that another daemon reported.
type peerDemand struct {
	reported float64       // requested cost per second
	own      float64       // this daemon's demand at the time of the report
	heardAt  time.Duration // boot time of the report
}

// maxDemandGrowth bounds the growth that is assumed of another daemon's demand. A daemon whose
// first requests come after the report would otherwise assume a thousandfold growth. Overloads
// are up to 7.5 times the usual traffic of a customer.
const maxDemandGrowth = 8

// at returns the demand of another daemon. If its report is older than trusted, the demand is
// assumed to have grown since then like this daemon's own, up to maxDemandGrowth times.
func (d peerDemand) at(own float64, trusted, now time.Duration) float64 {
	if now-d.heardAt <= trusted || own <= d.own {
		return d.reported
	}
	return d.reported * math.Min(own/math.Max(d.own, 1), maxDemandGrowth)
}

// bucket is this daemon's copy of a customer's bucket.
type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Duration         // boot time of the last refill
	spent      float64               // admitted by this daemon since its start
	unsynced   charges               // admitted by this daemon, unknown to others yet
	reported   charges               // admitted by others in the same time, as far as they reported it
	demand     float64               // requested cost per second, moving average
	meanCost   float64               // of all requests, refused ones included; moving average
	decayedAt  time.Duration         // boot time of the last update of demand
	peerDemand map[string]peerDemand // by daemon name
	ranks      ranks
	backlog    backlog
	deferred   deferred
	absentAt   time.Duration // boot time since which the configuration lacks the customer; 0 if it does not
}

// allowance returns the cost that this daemon may admit between two exchanges; usable is the
// level at the last exchange plus the refill since then, fraction what this daemon may use of it.
func (b *bucket) allowance(cost, usable, fraction float64) float64 {
	if b.isSmall(cost) {
		fraction *= smallRequestBoost
	} else {
		usable -= smallRequestReserve * b.limit.Burst
	}
	return math.Max(math.Min(fraction, 1)*usable, 0)
}

// isSmall reports whether a request is one of those that do not wait behind large ones.
func (b *bucket) isSmall(cost float64) bool {
	return cost <= smallRequestRatio*b.meanCost && !ablation.Disabled(ablation.SmallRequestPriority)
}

// admit deducts the cost of a request.
func (b *bucket) admit(r *Request, now time.Duration) {
	b.level -= r.Cost
	b.spent += r.Cost
	b.unsynced = append(b.unsynced, charge{now, r.Cost})
	delete(b.deferred.due, r.Content)
	b.ranks.recordAdmitted(r.rank(), r.Cost)
}

// prune drops the charges from before a time.
func (b *bucket) prune(before time.Duration) {
	b.unsynced, b.reported = b.unsynced.prune(before), b.reported.prune(before)
}

// recordDemand adds a request to the averages of demand and cost, admitted or not.
func (b *bucket) recordDemand(rank int, cost float64, now time.Duration) {
	b.decay(now)
	b.demand += cost / demandDecay.Seconds()
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += meanCostWeight * (cost - b.meanCost)
	b.ranks.record(rank, cost, b.meanCost)
}

// decay brings the moving average of the demand up to date.
func (b *bucket) decay(now time.Duration) {
	if now > b.decayedAt {
		keep := math.Exp(-(now - b.decayedAt).Seconds() / demandDecay.Seconds())
		b.demand *= keep
		b.ranks.decay(keep)
		b.decayedAt = now
	}
}

// retryAfter returns when a refused request may be sent again: once the given share of the
// refill has covered the deficit of the allowance, and the refused requests before it.
func (b *bucket) retryAfter(r *Request, deficit, share float64, now time.Duration) time.Duration {
	rate := b.limit.Rate * share
	seconds := deficit / math.Max(rate, 1)
	wait := max(time.Duration(seconds*float64(time.Second)), b.backlog.wait(r.rank(), r.Cost, rate, b.ranks.moreUrgent(r.rank()), now))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	if r.MaxWait > 0 { // a caller that is told more returns sooner than told
		wait = min(wait, max(r.MaxWait, minRetryAfter))
	}
	b.deferred.add(r.Content, now+wait, now)
	return wait
}

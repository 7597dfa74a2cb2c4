// Package quota enforces the rate limits of customers across all daemons without a
// remote call for each request.
//
// Each deciding daemon (a hub decides for its members too) keeps a copy of every
// customer's token bucket. It deducts the cost of the requests that it admits and, once
// they are reported to it, of those that the other daemons admit. Until the others can
// know about a request, its cost counts against the daemon's share of the bucket. The
// shares add up to one, so that all daemons together admit no more than the bucket
// holds, apart from the last request of each daemon. When daemons lose contact with each
// other, the daemons of each network partition together keep their fraction of the
// bucket's level and of its refill.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
)

const (
	// minSyncDelay and syncExchanges, a number of exchange intervals, define the time
	// after which the other daemons know about an admitted request; the longer one
	// applies. 2.4 intervals allow for one failed exchange and some spare time.
	minSyncDelay  = 600 * time.Millisecond
	syncExchanges = 2.4
	// pauseThreshold is the time without a refill after which this process is considered
	// to have been suspended. It is also the shortest time without a report after which
	// another daemon is considered to have been unreachable; with long exchange
	// intervals, timeoutExchanges of them apply instead.
	pauseThreshold   = 1200 * time.Millisecond
	timeoutExchanges = 4.8
	// demandDecay is the time constant of the moving average of the requested cost.
	demandDecay = 2 * time.Second
	// evenFraction is the fraction of the bucket that the daemons share evenly, so that each
	// can admit the first requests of a customer at once. The rest is shared by demand.
	evenFraction = 0.4
	// overcommitFactor is the factor by which the requests that other daemons do not know about
	// yet may exceed a daemon's share: callers that reconnect together after an outage are
	// not spread evenly. A bucket that falls below zero recovers the excess from its refill.
	overcommitFactor = 1.6
	// smallRequestRatio times the mean cost of a customer's requests is the most that a
	// small request costs. If a customer sends requests with and without prompts, one
	// without costs a twentieth of the mean. Small requests add up to at most this fraction
	// of the requested cost.
	smallRequestRatio = 0.1
	// smallRequestBoost multiplies a daemon's share for small requests, so that under overload
	// they do not wait behind large ones, each of which costs as much as dozens of them.
	smallRequestBoost = 4
	// smallRequestReserve is the fraction of the burst that only small requests may use: one
	// large request may take the bucket far below zero, and the refill then needs some
	// tens of milliseconds to bring it back.
	smallRequestReserve = 0.02
	// meanCostWeight is the weight of one request in the moving average of the cost.
	meanCostWeight = 0.02
	// minOvershootShare is the smallest partition share with which a daemon may admit a
	// last request that exceeds its allowance. There are at most 16 partitions of this size,
	// and their overshoot together is within the tolerance.
	minOvershootShare = 1.0 / 16
	// minRetryAfter and maxRetryAfter bound the wait that is reported to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Limit is the token bucket limit of one customer. A Rate of 0 means no limit.
type Limit struct {
	Rate  float64 // cost per second
	Burst float64 // capacity of the bucket
}

// Spend is the cost that one daemon has admitted for one customer.
type Spend struct {
	Customer string
	Spent    float64 // since the daemon started
	Demand   float64 // requested cost per second, moving average
}

// Tolerance is the excess over a limit that the platform accepts in any window, since
// daemons learn of each other's admissions with a delay.
type Tolerance struct {
	Relative float64       // fraction of what the limit allows in the window
	Absolute float64       // cost, in addition to the relative excess
	Window   time.Duration // length of the sliding window
}

// startToleranceFraction is the fraction of the tolerance that is the initial level of a bucket at
// a daemon that cannot know what was admitted before its start. The other half of the
// tolerance covers admissions that daemons have not reported to each other yet.
const startToleranceFraction = 0.5

// initialLevel returns the level of a bucket when a daemon starts.
func (t Tolerance) initialLevel(l Limit) float64 {
	return math.Min(l.Burst, startToleranceFraction*(t.Relative*(l.Rate*t.Window.Seconds()+l.Burst)+t.Absolute))
}

// charge is the cost of an admitted request that other daemons may not know about yet.
type charge struct {
	at   time.Duration // boot time
	cost float64
}

// bucket is this daemon's copy of a customer's bucket.
type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Duration      // boot time of the last refill
	spent      float64            // admitted by this daemon since its start
	unsynced   []charge           // oldest first
	demand     float64            // requested cost per second, moving average
	meanCost   float64            // of all requests, refused ones included; moving average
	decayedAt  time.Duration      // boot time of the last update of demand
	peerDemand map[string]float64 // by daemon name
	absentAt   time.Duration      // boot time since which the configuration lacks the customer; 0 if it does not
}

// absentRetention is how long the bucket of a customer is kept that the configuration lacks. A
// new bucket would be full, and count what is spent from 0.
const absentRetention = 10 * time.Minute

// peer holds the last report of another daemon.
type peer struct {
	incarnation int64
	heardAt     time.Duration      // boot time of the report
	spent       map[string]float64 // by customer
}

// Limiter admits or refuses the requests of all customers. Its methods are safe for
// concurrent use; now is the boot time, which also counts while the VM is suspended.
type Limiter struct {
	mu          sync.Mutex
	buckets     map[string]*bucket
	peers       map[string]*peer
	daemons     int           // number of daemons that may admit requests
	reachable   int           // of daemons: those that this daemon exchanges state with, and itself
	group       int           // of reachable: this daemon and those that it decides for
	syncDelay   time.Duration // until other daemons know about an admitted request
	peerTimeout time.Duration // without a report, until a daemon counts as unreachable

	tolerance   Tolerance
	initialized bool // SetLimits was called
}

// New returns a Limiter that admits everything until SetLimits is called.
func New(t Tolerance) *Limiter {
	return &Limiter{buckets: make(map[string]*bucket), peers: make(map[string]*peer), daemons: 1, reachable: 1, group: 1,
		syncDelay: minSyncDelay, peerTimeout: pauseThreshold, tolerance: t}
}

// SetLimits replaces the limits of all customers, by name. Buckets of the first call
// start at the level that the tolerance allows, since what was admitted before a restart
// is unknown. Buckets of customers that are added later start full.
func (lim *Limiter) SetLimits(limits map[string]Limit, now time.Duration) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	for name, limit := range limits {
		b := lim.buckets[name]
		if b == nil {
			b = &bucket{refilledAt: now, level: limit.Burst, peerDemand: make(map[string]float64)}
			if !lim.initialized {
				b.level = lim.tolerance.initialLevel(limit)
			}
			lim.buckets[name] = b
		}
		lim.refill(b, now)
		b.limit, b.absentAt = limit, 0
		b.level = math.Min(b.level, limit.Burst)
	}
	for name, b := range lim.buckets {
		if _, ok := limits[name]; ok {
			continue
		}
		if b.absentAt == 0 {
			b.absentAt = now
		}
		if now-b.absentAt > absentRetention {
			delete(lim.buckets, name)
		}
	}
	lim.initialized = true
}

// SetDaemons sets the number of daemons that may admit requests, how many of these are
// reachable (this one included), how many this daemon decides for (itself included), and
// the interval of exchanges with other deciding daemons.
func (lim *Limiter) SetDaemons(daemons, reachable, group int, interval, now time.Duration) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	for _, b := range lim.buckets {
		lim.refill(b, now)
	}
	oldShare := lim.partitionShare()
	lim.daemons, lim.reachable = max(daemons, 1), max(min(reachable, daemons), 1)
	lim.group = max(min(group, lim.reachable), 1)
	lim.scaleLevels(oldShare)
	lim.syncDelay = max(minSyncDelay, time.Duration(syncExchanges*float64(interval)))
	lim.peerTimeout = max(pauseThreshold, time.Duration(timeoutExchanges*float64(interval)))
}

// partitionShare returns the fraction of each limit that the reachable daemons may use.
func (lim *Limiter) partitionShare() float64 { return float64(lim.reachable) / float64(lim.daemons) }

// scaleLevels reduces all levels when daemons become unreachable, since these keep their
// fraction of each bucket. Levels are not raised when daemons come back: the sum over
// all partitions never exceeds the bucket, and the refill soon makes up the difference.
func (lim *Limiter) scaleLevels(oldShare float64) {
	share := lim.partitionShare()
	if share >= oldShare {
		return
	}
	for _, b := range lim.buckets {
		if b.level > 0 {
			b.level *= share / oldShare
		}
	}
}

// refill adds the partition's fraction of the refill since the last call. After a
// suspension of the process only the daemon's own group counts as reachable.
func (lim *Limiter) refill(b *bucket, now time.Duration) {
	elapsed := now - b.refilledAt
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	if elapsed > pauseThreshold {
		oldShare := lim.partitionShare()
		lim.reachable = lim.group // until the next SetDaemons
		lim.scaleLevels(oldShare)
	}
	b.level = math.Min(b.level+b.limit.Rate*elapsed.Seconds()*lim.partitionShare(), b.limit.Burst*lim.partitionShare())
}

// Decision is the result of Take with the values that it was based on.
type Decision struct {
	Admit          bool          // the request is admitted
	Wait           time.Duration // until the caller should retry, if refused
	Level          float64       // of this daemon's copy of the bucket, before the request
	Unsynced       float64       // cost admitted here that other daemons may not know about yet
	Share          float64       // fraction of the partition's bucket that this daemon may use
	PartitionShare float64       // fraction of the limit that the reachable daemons may use
}

// Take admits or refuses a request of the given cost. A customer without a limit is
// always admitted.
func (lim *Limiter) Take(customer string, cost float64, now time.Duration) Decision {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	b := lim.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{Admit: true}
	}
	lim.refill(b, now)
	b.recordDemand(cost, now)
	unsynced := b.pruneUnsynced(now, lim.syncDelay)
	d := Decision{Level: b.level, Unsynced: unsynced, Share: lim.share(b), PartitionShare: lim.partitionShare()}
	// The last request may exceed the allowance; the excess is recovered from the
	// refill. Otherwise large requests would be admitted less often than small ones.
	allowance := b.allowance(cost, b.level+unsynced, d.Share)
	if unsynced >= allowance || lim.rejectPartial(allowance-unsynced, cost) {
		d.Wait = b.retryAfter(unsynced-allowance, d.Share*d.PartitionShare)
		return d
	}
	b.level -= cost
	b.spent += cost
	b.unsynced = append(b.unsynced, charge{now, cost})
	d.Admit = true
	return d
}

// rejectPartial reports whether to refuse a request because the remaining allowance
// covers only a fraction of its cost. In small partitions such a request is admitted with
// that fraction as its probability, so that many isolated daemons together admit no more
// than their shares on average.
func (lim *Limiter) rejectPartial(remaining, cost float64) bool {
	return lim.partitionShare() < minOvershootShare && remaining < cost && rand.Float64()*cost > remaining
}

// allowance returns the cost that this daemon may admit before other daemons know about
// it; usable is the level of the bucket without such admissions.
func (b *bucket) allowance(cost, usable, share float64) float64 {
	fraction := overcommitFactor * share
	if cost <= smallRequestRatio*b.meanCost && !ablation.Disabled(ablation.SmallRequestPriority) {
		fraction *= smallRequestBoost
	} else {
		usable -= smallRequestReserve * b.limit.Burst
	}
	return math.Max(math.Min(fraction, 1)*usable, 0)
}

// recordDemand adds a request to the averages of demand and cost, admitted or not.
func (b *bucket) recordDemand(cost float64, now time.Duration) {
	b.decay(now)
	b.demand += cost / demandDecay.Seconds()
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += meanCostWeight * (cost - b.meanCost)
}

// decay brings the moving average of the demand up to date.
func (b *bucket) decay(now time.Duration) {
	if now > b.decayedAt {
		b.demand *= math.Exp(-(now - b.decayedAt).Seconds() / demandDecay.Seconds())
		b.decayedAt = now
	}
}

// pruneUnsynced drops the charges that other daemons know about by now and returns the
// sum of the rest.
func (b *bucket) pruneUnsynced(now, syncDelay time.Duration) float64 {
	n := 0
	for n < len(b.unsynced) && now-b.unsynced[n].at > syncDelay {
		n++
	}
	b.unsynced = b.unsynced[:copy(b.unsynced, b.unsynced[n:])]
	sum := 0.0
	for _, c := range b.unsynced {
		sum += c.cost
	}
	return sum
}

// share returns this daemon's fraction of what the reachable daemons may use.
func (lim *Limiter) share(b *bucket) float64 {
	total := b.demand
	for _, d := range b.peerDemand {
		total += d
	}
	even := float64(lim.group) / float64(lim.reachable)
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*b.demand/total
}

// retryAfter returns the time in which the given share of the refill covers deficit,
// within minRetryAfter and maxRetryAfter.
func (b *bucket) retryAfter(deficit, share float64) time.Duration {
	seconds := deficit / math.Max(b.limit.Rate*share, 1)
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// Refund returns the cost of an admitted request that did not run.
func (lim *Limiter) Refund(customer string, cost float64) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	b := lim.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	b.level = math.Min(b.level+cost, b.limit.Burst)
	b.spent -= cost
	if n := len(b.unsynced); n > 0 {
		b.unsynced[n-1].cost -= cost // only the sum of the charges matters
	}
}

// LocalSpends returns the Spend of this daemon for each customer.
func (lim *Limiter) LocalSpends(now time.Duration) []Spend {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	list := make([]Spend, 0, len(lim.buckets))
	for name, b := range lim.buckets {
		b.decay(now)
		list = append(list, Spend{Customer: name, Spent: b.spent, Demand: b.demand})
	}
	return list
}

// Merge deducts what another daemon has admitted since its last report. Nothing is
// deducted at the first report, or at the first one after peerTimeout without any: what
// the daemon admitted meanwhile came from its own partition's share. Reports of an earlier
// incarnation are ignored.
func (lim *Limiter) Merge(name string, incarnation int64, spends []Spend, now time.Duration) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	p := lim.peers[name]
	if p != nil && p.incarnation > incarnation {
		return
	}
	restarted := p != nil && p.incarnation != incarnation && now-p.heardAt <= lim.peerTimeout
	newContact := p == nil || now-p.heardAt > lim.peerTimeout
	if newContact || restarted {
		p = &peer{incarnation: incarnation, spent: make(map[string]float64)}
		lim.peers[name] = p
	}
	p.heardAt = now
	for _, s := range spends {
		delta := s.Spent - p.spent[s.Customer]
		p.spent[s.Customer] = s.Spent
		b := lim.buckets[s.Customer]
		if b == nil {
			continue
		}
		lim.refill(b, now)
		b.peerDemand[name] = s.Demand
		if newContact {
			continue
		}
		b.level = math.Min(b.level-delta, b.limit.Burst)
	}
}

// DropDemand removes an unreachable daemon's demand from the calculation of shares. The
// totals of its last report are kept for Merge.
func (lim *Limiter) DropDemand(name string) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	for _, b := range lim.buckets {
		delete(b.peerDemand, name)
	}
}

// Level returns the level of this daemon's copy of a customer's bucket as of its last
// refill, 0 for an unknown customer.
func (lim *Limiter) Level(customer string) float64 {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if b := lim.buckets[customer]; b != nil {
		return b.level
	}
	return 0
}

// Package quota keeps the limits of customers over all daemons without a call
// for each request.
//
// Every daemon that decides, for itself or as a hub for its members too, keeps a copy
// of each customer's token bucket, from which it takes what it admits and, as it hears
// of it, what the others admit. As long
// as the others cannot know of what a daemon admitted, it may take only its
// share of what the bucket held: shares add up to one, so that all together
// take no more than there is, but for the last request of each. Daemons that lose
// touch keep their part of what the bucket holds and of its refill; the others
// leave both alone.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
)

const (
	// minSyncDelay is how long what a daemon admitted may be unknown to others at least;
	// it is unseenExchanges, the first of which may fail, with some time to spare.
	minSyncDelay  = 600 * time.Millisecond
	syncExchanges = 2.4
	// pauseThreshold is the time without a refill after which the process counts as having
	// stood still, or without a word a daemon as having been out of touch. It is
	// pauseExchanges where these are rare.
	pauseThreshold   = 1200 * time.Millisecond
	timeoutExchanges = 4.8
	// demandDecay is the time over which what is asked for is averaged.
	demandDecay = 2 * time.Second
	// evenFraction is the part of the bucket that is shared out evenly, so that a
	// daemon on which a customer shows up anew can admit at once.
	evenFraction = 0.4
	// overcommit is how much more than its share a daemon may take before others
	// know of it: callers that come back together after an outage are not spread
	// evenly, and a bucket that was drawn below zero pays that back.
	overcommit = 1.6
	// smallCostRatio of the mean cost of a customer's requests is what counts as small:
	// a plain request costs a twentieth of the mean beside prompts. All of them
	// together are at most this part of what is asked for.
	smallCostRatio = 0.1
	// smallBoost is how many times its share a daemon may take for small requests:
	// under excess they need not wait behind large ones, of which one costs as much
	// as dozens of them.
	smallBoost = 4
	// smallReserve is the part of a burst that is left for small requests: a large
	// one may draw a bucket far below zero, from which it comes back in some tens of
	// milliseconds.
	smallReserve = 0.02
	// meanCostWeight is how much one request moves the mean cost.
	meanCostWeight = 0.02
	// minOvershootShare of a limit or more is enough for the last request to exceed it:
	// so few daemons at once are within the tolerance.
	minOvershootShare = 1.0 / 16
	// minRetry and maxRetry bound what a refused caller is told to wait.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Limit is the limit of one customer. A Rate of 0 means none.
type Limit struct {
	Rate  float64 // a second
	Burst float64
}

// Spend is what one daemon has taken for one customer.
type Spend struct {
	Customer string
	Spent    float64 // since the start of the daemon
	Demand   float64 // a second, of late
}

// Tolerance is what the platform lets pass beyond a limit in any window, since
// no system of many daemons can know everything at once.
type Tolerance struct {
	Relative float64       // of what the limit allows in the window
	Absolute float64       // beside that
	Window   time.Duration // slides
}

// startFraction is the part of the tolerance with which a bucket starts at a daemon
// that cannot know what was taken before its start. Half of it is left for what
// daemons do not yet know of each other.
const startFraction = 0.5

// initialLevel returns what a bucket holds at the start of a daemon.
func (t Tolerance) initialLevel(l Limit) float64 {
	return math.Min(l.Burst, startFraction*(t.Relative*(l.Rate*t.Window.Seconds()+l.Burst)+t.Absolute))
}

// charge is an amount that others may not know of yet.
type charge struct {
	at   time.Duration
	cost float64
}

// bucket is this daemon's copy of a customer's bucket.
type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Duration // of the last refill
	spent      float64       // by this daemon
	unsynced   []charge
	demand     float64 // a second, decayed
	meanCost   float64 // cost of a request that was asked for
	decayedAt  time.Duration
	peerDemand map[string]float64 // demand by daemon
}

// peer is what is known of another daemon's spending.
type peer struct {
	incarnation int64
	heardAt     time.Duration
	spent       map[string]float64
}

// Limiter admits requests of all customers. Its methods may be called from any
// goroutine; now is a clock that counts while the VM is suspended.
type Limiter struct {
	mu          sync.Mutex
	buckets     map[string]*bucket
	peers       map[string]*peer
	total       int // daemons that may admit requests
	reachable   int // of them, in touch with this one
	group       int // of them, for which this one decides, itself among them
	syncDelay   time.Duration
	peerTimeout time.Duration // after which a daemon has been out of touch

	tolerance   Tolerance
	initialized bool // limits were set before
}

// New returns a keeper without limits.
func New(t Tolerance) *Limiter {
	return &Limiter{buckets: make(map[string]*bucket), peers: make(map[string]*peer), total: 1, reachable: 1, group: 1,
		syncDelay: minSyncDelay, peerTimeout: pauseThreshold, tolerance: t}
}

// SetLimits puts limits into force. The first ones start with what the tolerance
// allows: after a restart nobody knows what was taken before it. A bucket of a
// customer that is new later starts full.
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
		b.limit = limit
		b.level = math.Min(b.level, limit.Burst)
	}
	for name := range lim.buckets {
		if _, ok := limits[name]; !ok {
			delete(lim.buckets, name)
		}
	}
	lim.initialized = true
}

// SetDaemons tells how many daemons may admit requests, how many of them are in
// touch, with this one, for how many this one decides, and the time between two
// exchanges with another that decides.
func (lim *Limiter) SetDaemons(total, reachable, group int, interval, now time.Duration) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	for _, b := range lim.buckets {
		lim.refill(b, now)
	}
	oldShare := lim.partitionShare()
	lim.total, lim.reachable = max(total, 1), max(min(reachable, total), 1)
	lim.group = max(min(group, lim.reachable), 1)
	lim.scaleLevels(oldShare)
	lim.syncDelay = max(minSyncDelay, time.Duration(syncExchanges*float64(interval)))
	lim.peerTimeout = max(pauseThreshold, time.Duration(timeoutExchanges*float64(interval)))
}

// partitionShare is the part of each limit that the daemons in touch may use.
func (lim *Limiter) partitionShare() float64 { return float64(lim.reachable) / float64(lim.total) }

// scaleLevels leaves to daemons that are not in touch any more their part of what the
// buckets hold. What those that come back had left is not added: the sum of all
// parts never exceeds the bucket, and the refill soon makes up for it.
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

func (lim *Limiter) refill(b *bucket, now time.Duration) {
	elapsed := now - b.refilledAt
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	if elapsed > pauseThreshold {
		oldShare := lim.partitionShare()
		lim.reachable = lim.group // until the others are heard again
		lim.scaleLevels(oldShare)
	}
	b.level = math.Min(b.level+b.limit.Rate*elapsed.Seconds()*lim.partitionShare(), b.limit.Burst*lim.partitionShare())
}

// Decision tells whether a request was admitted, and by what.
type Decision struct {
	OK             bool
	Wait           time.Duration // before the caller should ask again
	Level          float64       // of this daemon's copy of the bucket
	Unsynced       float64       // taken here of late, so that others may not know of it
	Share          float64       // of this daemon among those in touch
	PartitionShare float64       // of the limit that the daemons in touch may use
}

// Take admits a request of the given cost, or tells its caller to wait.
func (lim *Limiter) Take(customer string, cost float64, now time.Duration) Decision {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	b := lim.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{OK: true}
	}
	lim.refill(b, now)
	b.recordDemand(cost, now)
	unsynced := b.pruneUnsynced(now, lim.syncDelay)
	d := Decision{Level: b.level, Unsynced: unsynced, Share: lim.share(b), PartitionShare: lim.partitionShare()}
	// What is taken too much by the last request is paid back from the refill, so
	// that the largest requests are admitted as often as usual ones.
	allowance := b.allowance(cost, b.level+unsynced, d.Share)
	if unsynced >= allowance || lim.rejectPartial(allowance-unsynced, cost) {
		d.Wait = b.retryAfter(unsynced-allowance, d.Share*d.PartitionShare)
		return d
	}
	b.level -= cost
	b.spent += cost
	b.unsynced = append(b.unsynced, charge{now, cost})
	d.OK = true
	return d
}

// rejectPartial tells whether a request is refused since what may be taken covers only a
// part of it: by chance, so that many daemons on their own take no more together
// than their parts.
func (lim *Limiter) rejectPartial(remaining, cost float64) bool {
	return lim.partitionShare() < minOvershootShare && remaining < cost && rand.Float64()*cost > remaining
}

// allowance returns up to which sum this daemon may take from the bucket before
// others know of it; usable is what the bucket would hold for all without that.
func (b *bucket) allowance(cost, usable, share float64) float64 {
	fraction := overcommit * share
	if cost <= smallCostRatio*b.meanCost && !ablation.Disabled(ablation.SmallRequestPriority) {
		fraction *= smallBoost
	} else {
		usable -= smallReserve * b.limit.Burst
	}
	return math.Max(math.Min(fraction, 1)*usable, 0)
}

// recordDemand counts a request among those asked for.
func (b *bucket) recordDemand(cost float64, now time.Duration) {
	b.decay(now)
	b.demand += cost / demandDecay.Seconds()
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += meanCostWeight * (cost - b.meanCost)
}

func (b *bucket) decay(now time.Duration) {
	if now > b.decayedAt {
		b.demand *= math.Exp(-(now - b.decayedAt).Seconds() / demandDecay.Seconds())
		b.decayedAt = now
	}
}

// pruneUnsynced drops what the others know by now and returns the sum of the rest.
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

// share is this daemon's part of what the daemons in touch may take.
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

// retryAfter returns when an amount will have flowed into a part of the bucket.
func (b *bucket) retryAfter(deficit, share float64) time.Duration {
	seconds := deficit / math.Max(b.limit.Rate*share, 1)
	return min(max(time.Duration(seconds*float64(time.Second)), minRetry), maxRetry)
}

// Refund gives back what a request was charged that did not run.
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
		b.unsynced[n-1].cost -= cost // the sum counts, not the entry
	}
}

// LocalSpends returns what this daemon has taken.
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

// Merge takes in what another daemon has taken. What it took while it was not
// heard came from its own part of the limit, and shows in the level of its
// bucket alone.
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

// DropDemand drops the demand of a daemon that is out of touch; what it has taken
// stays known.
func (lim *Limiter) DropDemand(name string) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	for _, b := range lim.buckets {
		delete(b.peerDemand, name)
	}
}

// Level returns this daemon's copy of a customer's bucket, for logs.
func (lim *Limiter) Level(customer string) float64 {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if b := lim.buckets[customer]; b != nil {
		return b.level
	}
	return 0
}

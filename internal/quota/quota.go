// Package quota enforces the rate limits of customers across all daemons without a
// remote call for each request.
//
// Each deciding daemon (a hub decides for its members too) keeps a copy of every
// customer's token bucket. It deducts the cost of the requests that it admits and, once
// they are reported to it, of those that the other daemons admit. All daemons know what
// was admitted before the last exchange of reports. The level at that time plus the refill
// since then is divided into shares, and each daemon may admit its share. The shares add
// up to about one, so that all daemons together admit what the bucket holds. When daemons
// lose contact with each other, the daemons of each network partition together keep
// their fraction of the bucket's level and of its refill.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
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
	// reportSlackDivisor divides the sync delay into the time that a report may be on its way.
	reportSlackDivisor = 6
	// demandDecay is the time constant of the moving average of the requested cost.
	demandDecay = 2 * time.Second
	// evenFraction is the fraction of the bucket that the daemons share evenly, so that each
	// can admit the first requests of a customer at once. The rest is shared by demand.
	evenFraction = 0.4
	// overcommitFactor is the factor by which a daemon may exceed its share: demand is not spread
	// like the shares, and what one daemon leaves unused would otherwise stay in the bucket. A
	// bucket that falls below zero recovers the excess from its refill. With 1 up to 0.03 of a
	// limit were left unused under overload; with 1.25 the levels fall so far below zero that
	// small requests wait.
	overcommitFactor = 1.15
	// startOvercommitFactor applies instead for the first peerTimeout after the start, while the daemons
	// do not know each other's demand yet. Callers that reconnect after an outage are not spread evenly,
	// and a level at the start is only startToleranceFraction of what the platform accepts.
	startOvercommitFactor = 1.6
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
	// majority is the partition share below which a daemon, once it hears the others again, takes
	// over a lower level of theirs.
	majority = 0.5
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
	Level    float64 // of the daemon's copy of the bucket
	HasLevel bool    // Level is set
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
	return math.Min(l.Burst, startToleranceFraction*t.excess(l))
}

// excess returns the cost that the platform accepts in a window beyond a limit.
func (t Tolerance) excess(l Limit) float64 {
	return t.Relative*(l.Rate*t.Window.Seconds()+l.Burst) + t.Absolute
}

// absentRetention is how long the bucket of a customer is kept that the configuration lacks, and the
// last report of a daemon that sends none. A new bucket would be full, and count what is spent
// from 0.
const absentRetention = 10 * time.Minute

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
	startedAt   time.Duration // boot time of the first SetLimits
	separatedAt time.Duration // boot time of the start, or of the end of the last time without a majority

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
			b = &bucket{refilledAt: now, level: limit.Burst, peerDemand: make(map[string]peerDemand), deferred: deferred{due: make(map[uint64]time.Duration)}}
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
	if !lim.initialized {
		lim.initialized, lim.startedAt, lim.separatedAt = true, now, now
	}
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
	daemons = max(daemons, 1)
	reachable = max(min(reachable, daemons), 1)
	lim.scaleLevels(float64(reachable)/float64(daemons)/lim.partitionShare(), reachable, now)
	if lim.partitionShare() < majority {
		lim.separatedAt = now
	}
	lim.daemons, lim.reachable = daemons, reachable
	lim.group = max(min(group, lim.reachable), 1)
	lim.syncDelay = max(minSyncDelay, time.Duration(syncExchanges*float64(interval)))
	lim.peerTimeout = max(pauseThreshold, time.Duration(timeoutExchanges*float64(interval)))
	lim.dropStaleDemand(now)
	lim.dropAbsentPeers(now)
}

// partitionShare returns the fraction of each limit that the reachable daemons may use.
func (lim *Limiter) partitionShare() float64 { return float64(lim.reachable) / float64(lim.daemons) }

// scaleLevels reduces all levels when daemons become unreachable, since these keep their
// fraction of each bucket. Levels are not raised when daemons come back: the sum over
// all partitions never exceeds the bucket, and the refill soon makes up the difference.
// What unreachable daemons may have admitted of their shares since the last exchange is deducted.
func (lim *Limiter) scaleLevels(ratio float64, reachable int, now time.Duration) {
	if ratio >= 1 {
		return
	}
	if reachable >= lim.reachable { // daemons joined that are not reachable yet
		for _, b := range lim.buckets {
			b.level = math.Min(b.level, b.level*ratio)
		}
		return
	}
	for _, b := range lim.buckets {
		if b.level > 0 {
			from := now - lim.delayAtLoss(now)
			spent := b.unsynced.since(from) + b.reported.since(from)
			left := lim.remainingShare(b, reachable, now)*(b.level+spent) - spent
			b.level = math.Min(b.level*ratio, math.Max(left, 0))
		}
		b.reported = nil // what unreachable daemons admitted no longer counts
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
		lim.scaleLevels(float64(lim.group)/float64(lim.reachable), lim.group, now)
		lim.reachable = lim.group // until the next SetDaemons
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
	Allowance      float64       // cost that this daemon may admit between two exchanges, Unsynced included
	Headroom       float64       // of the allowance, left to more urgent requests
	Early          bool          // the caller returned earlier than it was told after a refusal
}

// Take admits or refuses a request of the most urgent rank.
func (lim *Limiter) Take(customer string, cost float64, now time.Duration) Decision {
	return lim.TakeRequest(Request{Customer: customer, Cost: cost}, now)
}

// TakeRequest admits or refuses a request. A customer without a limit is always admitted.
func (lim *Limiter) TakeRequest(r Request, now time.Duration) Decision {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	b := lim.buckets[r.Customer]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{Admit: true}
	}
	now = max(now, b.refilledAt) // callers read the clock before they wait for the lock
	lim.refill(b, now)
	wait, early := b.deferred.early(r.Content, now)
	early = early && !b.isSmall(r.Cost)
	if !early {
		b.recordDemand(r.rank(), r.Cost, now)
	}
	d := lim.weigh(b, &r, now)
	if d.Early = early; early && lim.overloaded(b) {
		d.Headroom = maxHeadroomFraction * d.Allowance
	}
	// The last request may exceed the allowance; the excess is recovered from the
	// refill. Otherwise large requests would be admitted less often than small ones.
	remaining := d.Allowance - d.Headroom - d.Unsynced
	if remaining <= 0 || lim.rejectPartial(remaining, r.Cost) {
		if d.Wait = wait; !early {
			d.Wait = b.retryAfter(&r, -remaining, d.Share*d.PartitionShare, now)
		}
		d.Wait = min(max(d.Wait, minRetryAfter), maxRetryAfter)
		return d
	}
	d.Admit = true
	b.admit(&r, now)
	return d
}

// weigh returns the values on which a decision is based.
func (lim *Limiter) weigh(b *bucket, r *Request, now time.Duration) Decision {
	b.prune(now - lim.peerTimeout)
	from := now - lim.exchangeDelay(now)
	unsynced, reported := b.unsynced.since(from), b.reported.since(from)
	d := Decision{Level: b.level, Unsynced: unsynced, Share: lim.share(b, now), PartitionShare: lim.partitionShare()}
	d.Allowance = b.allowance(r.Cost, b.level+unsynced+reported, lim.overcommit(now)*d.Share)
	if lim.overloaded(b) && !b.isSmall(r.Cost) {
		d.Headroom = b.ranks.headroom(r.rank(), r.Cost, d.Allowance, b.limit.Rate*d.Share*d.PartitionShare, b.meanCost)
	}
	return d
}

// rejectPartial reports whether to refuse a request because the remaining allowance
// covers only a fraction of its cost. In small partitions such a request is admitted with
// that fraction as its probability, so that many isolated daemons together admit no more
// than their shares on average.
func (lim *Limiter) rejectPartial(remaining, cost float64) bool {
	return lim.partitionShare() < minOvershootShare && remaining < cost && rand.Float64()*cost > remaining
}

// share returns this daemon's fraction of what the reachable daemons may use.
func (lim *Limiter) share(b *bucket, now time.Duration) float64 {
	even := float64(lim.group) / float64(lim.reachable)
	total := lim.totalDemand(b, now)
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*b.demand/total
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

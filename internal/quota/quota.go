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
	// minUnseen is how long what a daemon admitted may be unknown to others at least;
	// it is unseenExchanges, the first of which may fail, with some time to spare.
	minUnseen       = 600 * time.Millisecond
	unseenExchanges = 2.4
	// minPause is the time without a refill after which the process counts as having
	// stood still, or without a word a daemon as having been out of touch. It is
	// pauseExchanges where these are rare.
	minPause       = 1200 * time.Millisecond
	pauseExchanges = 4.8
	// demandDecay is the time over which what is asked for is averaged.
	demandDecay = 2 * time.Second
	// equalPart is the part of the bucket that is shared out evenly, so that a
	// daemon on which a customer shows up anew can admit at once.
	equalPart = 0.4
	// overcommit is how much more than its share a daemon may take before others
	// know of it: callers that come back together after an outage are not spread
	// evenly, and a bucket that was drawn below zero pays that back.
	overcommit = 1.6
	// smallPart of the mean cost of a customer's requests is what counts as small:
	// a plain request costs a twentieth of the mean beside prompts. All of them
	// together are at most this part of what is asked for.
	smallPart = 0.1
	// smallAhead is how many times its share a daemon may take for small requests:
	// under excess they need not wait behind large ones, of which one costs as much
	// as dozens of them.
	smallAhead = 4
	// smallReserve is the part of a burst that is left for small requests: a large
	// one may draw a bucket far below zero, from which it comes back in some tens of
	// milliseconds.
	smallReserve = 0.02
	// meanWeight is how much one request moves the mean cost.
	meanWeight = 0.02
	// smallFleetPart of a limit or more is enough for the last request to exceed it:
	// so few daemons at once are within the tolerance.
	smallFleetPart = 1.0 / 16
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
	Part   float64       // of what the limit allows in the window
	Fixed  float64       // beside that
	Window time.Duration // slides
}

// startPart is the part of the tolerance with which a bucket starts at a daemon
// that cannot know what was taken before its start. Half of it is left for what
// daemons do not yet know of each other.
const startPart = 0.5

// level returns what a bucket holds at the start of a daemon.
func (t Tolerance) level(l Limit) float64 {
	return math.Min(l.Burst, startPart*(t.Part*(l.Rate*t.Window.Seconds()+l.Burst)+t.Fixed))
}

// recent is an amount that others may not know of yet.
type recent struct {
	at   time.Duration
	cost float64
}

// bucket is this daemon's copy of a customer's bucket.
type bucket struct {
	limit  Limit
	level  float64
	at     time.Duration // of the last refill
	spent  float64       // by this daemon
	recent []recent
	demand float64 // a second, decayed
	mean   float64 // cost of a request that was asked for
	asked  time.Duration
	others map[string]float64 // demand by daemon
}

// peer is what is known of another daemon's spending.
type peer struct {
	born  int64
	heard time.Duration
	spent map[string]float64
}

// Keeper admits requests of all customers. Its methods may be called from any
// goroutine; now is a clock that counts while the VM is suspended.
type Keeper struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	all     int // daemons that may admit requests
	touched int // of them, in touch with this one
	group   int // of them, for which this one decides, itself among them
	unseen  time.Duration
	silence time.Duration // after which a daemon has been out of touch

	tolerance Tolerance
	started   bool // limits were set before
}

// New returns a keeper without limits.
func New(t Tolerance) *Keeper {
	return &Keeper{buckets: make(map[string]*bucket), peers: make(map[string]*peer), all: 1, touched: 1, group: 1,
		unseen: minUnseen, silence: minPause, tolerance: t}
}

// SetLimits puts limits into force. The first ones start with what the tolerance
// allows: after a restart nobody knows what was taken before it. A bucket of a
// customer that is new later starts full.
func (k *Keeper) SetLimits(limits map[string]Limit, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, l := range limits {
		b := k.buckets[name]
		if b == nil {
			b = &bucket{at: now, level: l.Burst, others: make(map[string]float64)}
			if !k.started {
				b.level = k.tolerance.level(l)
			}
			k.buckets[name] = b
		}
		k.refill(b, now)
		b.limit = l
		b.level = math.Min(b.level, l.Burst)
	}
	for name := range k.buckets {
		if _, ok := limits[name]; !ok {
			delete(k.buckets, name)
		}
	}
	k.started = true
}

// SetDaemons tells how many daemons may admit requests, how many of them are in
// touch, with this one, for how many this one decides, and the time between two
// exchanges with another that decides.
func (k *Keeper) SetDaemons(all, touched, group int, exchange, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, b := range k.buckets {
		k.refill(b, now)
	}
	before := k.part()
	k.all, k.touched = max(all, 1), max(min(touched, all), 1)
	k.group = max(min(group, k.touched), 1)
	k.divide(before)
	k.unseen = max(minUnseen, time.Duration(unseenExchanges*float64(exchange)))
	k.silence = max(minPause, time.Duration(pauseExchanges*float64(exchange)))
}

// part is the part of each limit that the daemons in touch may use.
func (k *Keeper) part() float64 { return float64(k.touched) / float64(k.all) }

// divide leaves to daemons that are not in touch any more their part of what the
// buckets hold. What those that come back had left is not added: the sum of all
// parts never exceeds the bucket, and the refill soon makes up for it.
func (k *Keeper) divide(before float64) {
	part := k.part()
	if part >= before {
		return
	}
	for _, b := range k.buckets {
		if b.level > 0 {
			b.level *= part / before
		}
	}
}

func (k *Keeper) refill(b *bucket, now time.Duration) {
	step := now - b.at
	if step <= 0 {
		return
	}
	b.at = now
	if step > minPause {
		before := k.part()
		k.touched = k.group // until the others are heard again
		k.divide(before)
	}
	b.level = math.Min(b.level+b.limit.Rate*step.Seconds()*k.part(), b.limit.Burst*k.part())
}

// Decision tells whether a request was admitted, and by what.
type Decision struct {
	OK    bool
	Wait  time.Duration // before the caller should ask again
	Level float64       // of this daemon's copy of the bucket
	Mine  float64       // taken here of late, so that others may not know of it
	Share float64       // of this daemon among those in touch
	Part  float64       // of the limit that the daemons in touch may use
}

// Take admits a request of the given cost, or tells its caller to wait.
func (k *Keeper) Take(customer string, cost float64, now time.Duration) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{OK: true}
	}
	k.refill(b, now)
	b.note(cost, now)
	mine := b.forget(now, k.unseen)
	d := Decision{Level: b.level, Mine: mine, Share: k.share(b), Part: k.part()}
	// What is taken too much by the last request is paid back from the refill, so
	// that the largest requests are admitted as often as usual ones.
	mayTake := b.mayTake(cost, b.level+mine, d.Share)
	if mine >= mayTake || k.tooSmall(mayTake-mine, cost) {
		d.Wait = b.wait(mine-mayTake, d.Share*d.Part)
		return d
	}
	b.level -= cost
	b.spent += cost
	b.recent = append(b.recent, recent{now, cost})
	d.OK = true
	return d
}

// tooSmall tells whether a request is refused since what may be taken covers only a
// part of it: by chance, so that many daemons on their own take no more together
// than their parts.
func (k *Keeper) tooSmall(left, cost float64) bool {
	return k.part() < smallFleetPart && left < cost && rand.Float64()*cost > left
}

// mayTake returns up to which sum this daemon may take from the bucket before
// others know of it; usable is what the bucket would hold for all without that.
func (b *bucket) mayTake(cost, usable, share float64) float64 {
	part := overcommit * share
	if cost <= smallPart*b.mean && !ablation.Without(ablation.SmallRequests) {
		part *= smallAhead
	} else {
		usable -= smallReserve * b.limit.Burst
	}
	return math.Max(math.Min(part, 1)*usable, 0)
}

// note counts a request among those asked for.
func (b *bucket) note(cost float64, now time.Duration) {
	b.decay(now)
	b.demand += cost / demandDecay.Seconds()
	if b.mean == 0 {
		b.mean = cost
	}
	b.mean += meanWeight * (cost - b.mean)
}

func (b *bucket) decay(now time.Duration) {
	if now > b.asked {
		b.demand *= math.Exp(-(now - b.asked).Seconds() / demandDecay.Seconds())
		b.asked = now
	}
}

// forget drops what the others know by now and returns the sum of the rest.
func (b *bucket) forget(now, unseen time.Duration) float64 {
	n := 0
	for n < len(b.recent) && now-b.recent[n].at > unseen {
		n++
	}
	b.recent = b.recent[:copy(b.recent, b.recent[n:])]
	sum := 0.0
	for _, r := range b.recent {
		sum += r.cost
	}
	return sum
}

// share is this daemon's part of what the daemons in touch may take.
func (k *Keeper) share(b *bucket) float64 {
	total := b.demand
	for _, d := range b.others {
		total += d
	}
	even := float64(k.group) / float64(k.touched)
	if total <= 0 {
		return even
	}
	return equalPart*even + (1-equalPart)*b.demand/total
}

// wait returns when an amount will have flowed into a part of the bucket.
func (b *bucket) wait(missing, part float64) time.Duration {
	seconds := missing / math.Max(b.limit.Rate*part, 1)
	return min(max(time.Duration(seconds*float64(time.Second)), minRetry), maxRetry)
}

// Refund gives back what a request was charged that did not run.
func (k *Keeper) Refund(customer string, cost float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	b.level = math.Min(b.level+cost, b.limit.Burst)
	b.spent -= cost
	if n := len(b.recent); n > 0 {
		b.recent[n-1].cost -= cost // the sum counts, not the entry
	}
}

// Local returns what this daemon has taken.
func (k *Keeper) Local(now time.Duration) []Spend {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Spend, 0, len(k.buckets))
	for name, b := range k.buckets {
		b.decay(now)
		list = append(list, Spend{Customer: name, Spent: b.spent, Demand: b.demand})
	}
	return list
}

// Learn takes in what another daemon has taken. What it took while it was not
// heard came from its own part of the limit, and shows in the level of its
// bucket alone.
func (k *Keeper) Learn(name string, born int64, spends []Spend, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.peers[name]
	if p != nil && p.born > born {
		return
	}
	restarted := p != nil && p.born != born && now-p.heard <= k.silence
	anew := p == nil || now-p.heard > k.silence
	if anew || restarted {
		p = &peer{born: born, spent: make(map[string]float64)}
		k.peers[name] = p
	}
	p.heard = now
	for _, s := range spends {
		taken := s.Spent - p.spent[s.Customer]
		p.spent[s.Customer] = s.Spent
		b := k.buckets[s.Customer]
		if b == nil {
			continue
		}
		k.refill(b, now)
		b.others[name] = s.Demand
		if anew {
			continue
		}
		b.level = math.Min(b.level-taken, b.limit.Burst)
	}
}

// Forget drops the demand of a daemon that is out of touch; what it has taken
// stays known.
func (k *Keeper) Forget(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, b := range k.buckets {
		delete(b.others, name)
	}
}

// Level returns this daemon's copy of a customer's bucket, for logs.
func (k *Keeper) Level(customer string) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if b := k.buckets[customer]; b != nil {
		return b.level
	}
	return 0
}

package quota

import (
	"math"
	"time"
)

// peer holds the last report of another daemon.
type peer struct {
	incarnation int64
	heardAt     time.Duration      // boot time of the report
	spent       map[string]float64 // by customer
	dropped     bool               // unreachable since the report
}

// exchangeDelay returns the time within which some admissions of this daemon or of others may
// not be known to all. It is the sync delay, or longer while reports of a daemon are
// missing that still counts as reachable.
func (lim *Limiter) exchangeDelay(now time.Duration) time.Duration {
	return lim.delaySince(now, func(p *peer) bool { return lim.counts(p, now) })
}

// delayAtLoss returns the exchange delay just before daemons became unreachable.
func (lim *Limiter) delayAtLoss(now time.Duration) time.Duration {
	return lim.delaySince(now, func(p *peer) bool { return now-p.heardAt <= lim.peerTimeout })
}

// counts reports whether a daemon is reachable and still decides by itself. A hub that has become a
// member sends no Spends any more.
func (lim *Limiter) counts(p *peer, now time.Duration) bool {
	return !p.dropped && now-p.heardAt <= lim.peerTimeout
}

func (lim *Limiter) delaySince(now time.Duration, counts func(*peer) bool) time.Duration {
	delay := lim.syncDelay
	for _, p := range lim.peers {
		if counts(p) {
			delay = max(delay, now-p.heardAt+lim.syncDelay/reportSlackDivisor)
		}
	}
	return min(delay, lim.peerTimeout)
}

// remainingShare returns the fraction of a bucket that this daemon and those that it still hears
// could admit from since the last exchange.
func (lim *Limiter) remainingShare(b *bucket, reachable int, now time.Duration) float64 {
	total, heard, trusted := b.demand, b.demand, lim.trustedAge(b)
	for name, demand := range b.peerDemand {
		d := demand.at(b.demand, trusted, now)
		total += d
		if p := lim.peers[name]; p != nil && now-p.heardAt <= lim.syncDelay {
			heard += d
		}
	}
	even := math.Min(float64(reachable)/float64(lim.reachable), 1)
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*heard/total
}

// totalDemand returns the demand at this daemon and the reachable others.
func (lim *Limiter) totalDemand(b *bucket, now time.Duration) float64 {
	total, trusted := b.demand, lim.trustedAge(b)
	for name, d := range b.peerDemand {
		if p := lim.peers[name]; p != nil && lim.counts(p, now) {
			total += d.at(b.demand, trusted, now)
		}
	}
	return total
}

// trustedAge returns the age up to which a reported demand is taken as it is. Beyond the limit it
// is shorter: the shares of all daemons would rise together at the start of an overload, and
// that of one that hears nothing would go on to.
func (lim *Limiter) trustedAge(b *bucket) time.Duration {
	if lim.overloaded(b) {
		return lim.syncDelay / 2
	}
	return lim.syncDelay
}

// overloaded reports whether the demand that this daemon knows of exceeds the limit.
func (lim *Limiter) overloaded(b *bucket) bool {
	sum := b.demand
	for _, d := range b.peerDemand {
		sum += d.reported
	}
	return sum > b.limit.Rate
}

// staleDemandTimeouts is the number of peer timeouts after which a reported demand is dropped. It is
// more than one, since scaleLevels uses the demand of daemons that have just become unreachable.
const staleDemandTimeouts = 2

// dropStaleDemand drops demands that are no longer reported, such as that of a hub that has
// become a member. Those of daemons that left the network altogether are dropped by DropDemand.
func (lim *Limiter) dropStaleDemand(now time.Duration) {
	for _, b := range lim.buckets {
		for name, d := range b.peerDemand {
			if now-d.heardAt > staleDemandTimeouts*lim.peerTimeout {
				delete(b.peerDemand, name)
			}
		}
	}
}

// dropAbsentPeers forgets the daemons without a report for absentRetention. Their next report counts
// as the first one, as it does after peerTimeout.
func (lim *Limiter) dropAbsentPeers(now time.Duration) {
	for name, p := range lim.peers {
		if now-p.heardAt > absentRetention {
			delete(lim.peers, name)
		}
	}
}

// LocalSpends returns the Spend of this daemon for each customer.
func (lim *Limiter) LocalSpends(now time.Duration) []Spend {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	list := make([]Spend, 0, len(lim.buckets))
	for name, b := range lim.buckets {
		b.decay(now)
		list = append(list, Spend{Customer: name, Spent: b.spent, Demand: b.demand, Level: b.level, HasLevel: true})
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
		p = &peer{incarnation: incarnation, heardAt: now, spent: make(map[string]float64)}
		lim.peers[name] = p
	}
	since := max(p.heardAt, now-lim.peerTimeout)
	p.heardAt, p.dropped = now, false
	for _, s := range spends {
		delta := s.Spent - p.spent[s.Customer]
		p.spent[s.Customer] = s.Spent
		b := lim.buckets[s.Customer]
		if b == nil {
			continue
		}
		lim.refill(b, now)
		b.decay(now)
		b.peerDemand[name] = peerDemand{reported: s.Demand, own: b.demand, heardAt: now}
		if newContact {
			if s.HasLevel && lim.wasSeparated(now) {
				// A level below zero is the sender's own excess, which its next reports deduct. When
				// all daemons start together, each would else adopt the largest excess.
				b.level = math.Min(b.level, math.Max(s.Level, 0))
			}
			continue
		}
		b.level = math.Min(b.level-delta, b.limit.Burst)
		b.prune(now - lim.peerTimeout)
		b.reported = b.reported.spread(delta, since, now)
	}
}

// overcommit returns the factor by which this daemon may exceed its share.
func (lim *Limiter) overcommit(now time.Duration) float64 {
	if now-lim.startedAt <= lim.peerTimeout {
		return startOvercommitFactor
	}
	return overcommitFactor
}

// wasSeparated reports whether this daemon has just started, or could reach fewer than half of
// the daemons a moment ago. What the others admitted meanwhile was not reported to it.
func (lim *Limiter) wasSeparated(now time.Duration) bool {
	return lim.partitionShare() < majority || now-lim.separatedAt <= lim.peerTimeout
}

// DropDemand removes an unreachable daemon's demand from the calculation of shares. The demand
// is kept for peerTimeout for scaleLevels, the totals of its last report for Merge.
func (lim *Limiter) DropDemand(name string) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if p := lim.peers[name]; p != nil {
		p.dropped = true
	}
	for _, b := range lim.buckets {
		if now := b.refilledAt; now-b.peerDemand[name].heardAt > lim.peerTimeout {
			delete(b.peerDemand, name)
		}
	}
}

// Package capacity decides how many upstreams of a service to order, where and
// of which kind.
//
// Reclaimable upstreams carry the load as long as they can be had. On-demand ones,
// which cost several times as much, stand in for those that were taken away, and
// cover what a reclaim of one zone would leave short until others have booted.
package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
)

const (
	// busyFull is the part of their time for which on-demand upstreams may be busy;
	// above it first events come late (docs/ROUTING.md). The slack that it leaves is
	// what one at the full price is worth.
	busyFull = 0.72
	// busyShort is the same for the moments in which reclaimable ones were taken away
	// and those that stand in have not booted.
	busyShort = 0.9
	// leastBusy bounds the slack of very cheap upstreams: more of them would keep less of
	// prompts each, and need more connections, than they save.
	leastBusy = 0.25
	// fullSlots and fullShort are the parts of their slots that may be taken: above,
	// requests queue at upstreams, or are turned away.
	fullSlots = 0.8
	fullShort = 1.0
	// holdFor is how long a lower count must have been enough before upstreams are
	// given back: a wave of the load returns sooner than one boots.
	holdFor = 8 * time.Second
)

// settleFor is how long no further upstream must have entered itself before those of a
// deployment that begins count as known: each does so once a second or two.
const settleFor = 3 * time.Second

// Kind tells whether an upstream may be taken away.
type Kind bool

// Kinds of upstreams.
const (
	Firm        Kind = false
	Reclaimable Kind = true
)

// Place is what one order is about.
type Place struct {
	Service string
	Zone    string
	Kind    Kind
}

// Demand is the load of one service, and what there is for it.
type Demand struct {
	Service *catalog.Service
	Zones   []string
	Work    float64       // milliseconds of upstream time asked for per second
	Running int           // requests under way
	Have    map[Place]int // upstreams that take requests
	Due     map[Place]int // upstreams that were ordered and have not come yet
	Drought bool          // reclaimable upstreams were asked for of late and not to be had
}

// peak remembers the highest count that was needed of late.
type peak struct {
	count int
	at    time.Duration
}

// Planner decides on orders. It belongs to one goroutine.
type Planner struct {
	peaks   map[need]*peak
	present map[string]*peak // on-demand upstreams of a deployment that begins, by service
	counts  map[string]Counts
	firm    map[string]int // on-demand upstreams planned last, by service
}

// need is one of the counts that a service has to have.
type need struct {
	service string
	of      string
}

// NewPlanner returns a planner that remembers nothing.
func NewPlanner() *Planner {
	return &Planner{peaks: make(map[need]*peak), present: make(map[string]*peak), firm: make(map[string]int),
		counts: make(map[string]Counts)}
}

// Plan returns how many upstreams of each kind a service should have in each
// zone, or nil if the load is not known yet.
func (p *Planner) Plan(d Demand, now time.Duration) map[Place]int {
	s := d.Service.Scaling
	if s == nil || len(d.Zones) == 0 {
		return nil
	}
	if d.Work <= 0 {
		return p.exchange(d, now)
	}
	zones := byPrice(d.Zones, s.ZonePrices)
	least, most := s.Min*len(zones), s.Max*len(zones)
	enough := p.hold(need{d.Service.Name, "enough"}, d.count(busyFull, fullSlots), now)
	enough = min(max(enough, least), most)
	plan := make(map[Place]int)
	if s.ReclaimablePriceRatio <= 0 || s.ReclaimablePriceRatio >= 1 {
		d.deal(plan, zones, 0, enough)
		return plan
	}
	p.remember(d, now)
	ample := p.hold(need{d.Service.Name, "ample"}, d.count(cheapPart(busyFull, s.ReclaimablePriceRatio), cheapPart(fullSlots, s.ReclaimablePriceRatio)), now)
	short := p.hold(need{d.Service.Name, "short"}, d.count(busyShort, fullShort), now)
	cheap := min(max(ample, least), most)
	if d.Drought && !ablation.Disabled(ablation.ReclaimReserve) {
		short = enough // what is taken now does not come back soon
	}
	firm := p.standIn(d, enough, zones)
	if ablation.Disabled(ablation.OnDemandReplacement) {
		firm = enough
	}
	if !ablation.Disabled(ablation.ZoneLossReserve) {
		firm = max(firm, short-d.leftByReclaim(cheap, zones))
	}
	d.deal(plan, zones, cheap, firm)
	p.counts[d.Service.Name] = Counts{Enough: enough, Short: short, Cheap: cheap, Firm: firm}
	return plan
}

// Counts are what a plan was made of, for logs.
type Counts struct {
	Enough int // upstreams, for answers in time
	Short  int // the same for some seconds
	Cheap  int // reclaimable ones planned, before the room in zones
	Firm   int // on-demand ones, the same
}

// Counts returns what the last plan of a service was made of.
func (p *Planner) Counts(service string) Counts { return p.counts[service] }

// exchange plans for a load that is not known yet, where a deployment begins with
// on-demand upstreams only: as many reclaimable ones take their place, but for what the
// reclaim of one zone would take away. It returns nil where somebody has planned before.
func (p *Planner) exchange(d Demand, now time.Duration) map[Place]int {
	s, service := d.Service.Scaling, d.Service.Name
	firm, cheap := d.there(Firm), d.there(Reclaimable)
	if s.ReclaimablePriceRatio <= 0 || s.ReclaimablePriceRatio >= 1 || ablation.Disabled(ablation.InitialReclaimable) {
		return nil
	}
	present := p.present[service]
	if present == nil {
		if firm == 0 || cheap > 0 {
			return nil
		}
		present = &peak{}
		p.present[service] = present
	}
	if firm > present.count {
		present.count, present.at = firm, now
	}
	if now-present.at < settleFor {
		return nil
	}
	enough := present.count
	p.hold(need{service, "ample"}, enough, now)
	zones := byPrice(d.Zones, s.ZonePrices)
	plan := make(map[Place]int)
	d.deal(plan, zones, enough, max(p.standIn(d, enough, zones), enough-d.leftByReclaim(enough, zones)))
	return plan
}

// there counts the upstreams of a kind that take requests.
func (d Demand) there(k Kind) int {
	n := 0
	for place, have := range d.Have {
		if place.Service == d.Service.Name && place.Kind == k {
			n += have
		}
	}
	return n
}

// cheapPart returns the part of their time or slots that upstreams at a part of the
// full price may have taken: as much is paid for slack as at the full price.
func cheapPart(full, price float64) float64 {
	if ablation.Disabled(ablation.PriceScaledSlack) {
		return full
	}
	slack := (1 - full) / full
	return max(1/(1+slack/price), leastBusy)
}

// standIn returns how many on-demand upstreams make up for reclaimable ones that are
// missing. They are given back once those are there, not when they are ordered.
func (p *Planner) standIn(d Demand, enough int, zones []string) int {
	there, coming := d.there(Reclaimable), 0
	for _, z := range zones {
		coming += d.Due[Place{d.Service.Name, z, Reclaimable}]
	}
	last, known := p.firm[d.Service.Name]
	if !known {
		last = d.there(Firm)
	}
	firm := min(max(last, enough-there-coming), max(enough-there, 0))
	p.firm[d.Service.Name] = firm
	return firm
}

// leftByReclaim returns how many reclaimable upstreams stay when the zone that has
// most of them loses them: of so many planned, or in a drought of those that are there.
func (d Demand) leftByReclaim(planned int, zones []string) int {
	if !d.Drought || ablation.Disabled(ablation.ReclaimReserve) {
		return planned - (planned+len(zones)-1)/len(zones)
	}
	largest := 0
	for _, z := range zones {
		largest = max(largest, d.Have[Place{d.Service.Name, z, Reclaimable}])
	}
	return d.there(Reclaimable) - largest
}

// deal spreads both kinds over the zones. What a zone may have is shared: on-demand
// upstreams take the room that reclaimable ones do not fill at present, and more of these
// are ordered as the on-demand ones leave.
func (d Demand) deal(plan map[Place]int, zones []string, cheap, firm int) {
	service, most := d.Service.Name, d.Service.Scaling.Max
	spread(plan, service, Firm, zones, firm, func(z string) int { return most - d.Have[Place{service, z, Reclaimable}] })
	spread(plan, service, Reclaimable, zones, cheap, func(z string) int { return most - plan[Place{service, z, Firm}] })
}

// count returns how many upstreams are busy for a part of their time and have a part
// of their slots taken.
func (d Demand) count(busy, full float64) int {
	n := d.Work / 1000 / busy
	if e := d.Service.Engine; e != nil && e.Slots > 0 {
		n = max(n, float64(d.Running)/float64(e.Slots)/full)
	}
	return int(math.Ceil(n))
}

// remember takes the reclaimable upstreams that an earlier holder of the duty ordered for
// what it had seen.
func (p *Planner) remember(d Demand, now time.Duration) {
	of := need{d.Service.Name, "ample"}
	if p.peaks[of] != nil {
		return
	}
	p.peaks[of] = &peak{d.there(Reclaimable), now}
}

// hold returns the highest count of late.
func (p *Planner) hold(of need, n int, now time.Duration) int {
	pk := p.peaks[of]
	if pk == nil {
		pk = &peak{}
		p.peaks[of] = pk
	}
	switch {
	case n >= pk.count || ablation.Disabled(ablation.PeakHold):
		pk.count, pk.at = n, now
	case now-pk.at > holdFor:
		pk.count, pk.at = pk.count-1, now-holdFor+time.Second // give back one a second
	}
	return pk.count
}

// byPrice returns the zones, the cheapest first.
func byPrice(zones []string, prices map[string]float64) []string {
	list := slices.Clone(zones)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
	return list
}

// spread deals n upstreams out over the zones, the cheapest first, so that no zone
// holds more than one above another where there is room.
func spread(plan map[Place]int, service string, k Kind, zones []string, n int, room func(zone string) int) {
	for _, z := range zones {
		plan[Place{service, z, k}] = 0
	}
	for n > 0 {
		placed := false
		for _, z := range zones {
			if p := (Place{service, z, k}); n > 0 && plan[p] < room(z) {
				plan[p]++
				n--
				placed = true
			}
		}
		if !placed {
			return
		}
	}
}

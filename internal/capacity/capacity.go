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
	// maxUtilization is the part of their time for which on-demand upstreams may be busy;
	// above it first events come late (docs/ROUTING.md). The slack that it leaves is
	// what one at the full price is worth.
	maxUtilization = 0.72
	// maxShortTermUtilization is the same for the moments in which reclaimable ones were taken away
	// and those that stand in have not booted.
	maxShortTermUtilization = 0.9
	// minUtilization bounds the slack of very cheap upstreams: more of them would keep less of
	// prompts each, and need more connections, than they save.
	minUtilization = 0.25
	// maxSlotUse and fullShort are the parts of their slots that may be taken: above,
	// requests queue at upstreams, or are turned away.
	maxSlotUse          = 0.8
	maxShortTermSlotUse = 1.0
	// scaleDownDelay is how long a lower count must have been enough before upstreams are
	// given back: a wave of the load returns sooner than one boots.
	scaleDownDelay = 8 * time.Second
)

// settleDelay is how long no further upstream must have entered itself before those of a
// deployment that begins count as known: each does so once a second or two.
const settleDelay = 3 * time.Second

// Kind tells whether an upstream may be taken away.
type Kind bool

// Kinds of upstreams.
const (
	OnDemand    Kind = false
	Reclaimable Kind = true
)

// Pool is what one order is about.
type Pool struct {
	Service string
	Zone    string
	Kind    Kind
}

// Demand is the load of one service, and what there is for it.
type Demand struct {
	Service                *catalog.Service
	Zones                  []string
	Work                   float64      // milliseconds of upstream time asked for per second
	Running                int          // requests under way
	Have                   map[Pool]int // upstreams that take requests
	Outstanding            map[Pool]int // upstreams that were ordered and have not come yet
	ReclaimableUnavailable bool         // reclaimable upstreams were asked for of late and not to be had
}

// peak remembers the highest count that was needed of late.
type peak struct {
	count int
	at    time.Duration
}

// Planner decides on orders. It belongs to one goroutine.
type Planner struct {
	peaks    map[peakKey]*peak
	initial  map[string]*peak // on-demand upstreams of a deployment that begins, by service
	counts   map[string]Counts
	onDemand map[string]int // on-demand upstreams planned last, by service
}

// peakKey is one of the counts that a service has to have.
type peakKey struct {
	service string
	count   string
}

// NewPlanner returns a planner that remembers nothing.
func NewPlanner() *Planner {
	return &Planner{peaks: make(map[peakKey]*peak), initial: make(map[string]*peak), onDemand: make(map[string]int),
		counts: make(map[string]Counts)}
}

// Plan returns how many upstreams of each kind a service should have in each
// zone, or nil if the load is not known yet.
func (p *Planner) Plan(d Demand, now time.Duration) map[Pool]int {
	s := d.Service.Scaling
	if s == nil || len(d.Zones) == 0 {
		return nil
	}
	if d.Work <= 0 {
		return p.planInitial(d, now)
	}
	zones := byPrice(d.Zones, s.ZonePrices)
	minTotal, maxTotal := s.Min*len(zones), s.Max*len(zones)
	required := p.holdPeak(peakKey{d.Service.Name, "enough"}, d.required(maxUtilization, maxSlotUse), now)
	required = min(max(required, minTotal), maxTotal)
	plan := make(map[Pool]int)
	if s.ReclaimPrice <= 0 || s.ReclaimPrice >= 1 {
		d.allocate(plan, zones, 0, required)
		return plan
	}
	p.seedPeak(d, now)
	ample := p.holdPeak(peakKey{d.Service.Name, "ample"}, d.required(discountedUse(maxUtilization, s.ReclaimPrice), discountedUse(maxSlotUse, s.ReclaimPrice)), now)
	shortTerm := p.holdPeak(peakKey{d.Service.Name, "short"}, d.required(maxShortTermUtilization, maxShortTermSlotUse), now)
	reclaimable := min(max(ample, minTotal), maxTotal)
	if d.ReclaimableUnavailable && !ablation.Without(ablation.DroughtCover) {
		shortTerm = required // what is taken now does not come back soon
	}
	onDemand := p.substitutes(d, required, zones)
	if ablation.Without(ablation.StandIn) {
		onDemand = required
	}
	if !ablation.Without(ablation.ZoneCover) {
		onDemand = max(onDemand, shortTerm-d.leftAfterReclaim(reclaimable, zones))
	}
	d.allocate(plan, zones, reclaimable, onDemand)
	p.counts[d.Service.Name] = Counts{Required: required, RequiredShortTerm: shortTerm, Reclaimable: reclaimable, OnDemand: onDemand}
	return plan
}

// Counts are what a plan was made of, for logs.
type Counts struct {
	Required          int // upstreams, for answers in time
	RequiredShortTerm int // the same for some seconds
	Reclaimable       int // reclaimable ones planned, before the room in zones
	OnDemand          int // on-demand ones, the same
}

// Counts returns what the last plan of a service was made of.
func (p *Planner) Counts(service string) Counts { return p.counts[service] }

// planInitial plans for a load that is not known yet, where a deployment begins with
// on-demand upstreams only: as many reclaimable ones take their place, but for what the
// reclaim of one zone would take away. It returns nil where somebody has planned before.
func (p *Planner) planInitial(d Demand, now time.Duration) map[Pool]int {
	s, service := d.Service.Scaling, d.Service.Name
	onDemand, reclaimable := d.available(OnDemand), d.available(Reclaimable)
	if s.ReclaimPrice <= 0 || s.ReclaimPrice >= 1 || ablation.Without(ablation.Exchange) {
		return nil
	}
	initial := p.initial[service]
	if initial == nil {
		if onDemand == 0 || reclaimable > 0 {
			return nil
		}
		initial = &peak{}
		p.initial[service] = initial
	}
	if onDemand > initial.count {
		initial.count, initial.at = onDemand, now
	}
	if now-initial.at < settleDelay {
		return nil
	}
	required := initial.count
	p.holdPeak(peakKey{service, "ample"}, required, now)
	zones := byPrice(d.Zones, s.ZonePrices)
	plan := make(map[Pool]int)
	d.allocate(plan, zones, required, max(p.substitutes(d, required, zones), required-d.leftAfterReclaim(required, zones)))
	return plan
}

// available counts the upstreams of a kind that take requests.
func (d Demand) available(k Kind) int {
	n := 0
	for pool, count := range d.Have {
		if pool.Service == d.Service.Name && pool.Kind == k {
			n += count
		}
	}
	return n
}

// discountedUse returns the part of their time or slots that upstreams at a part of the
// full price may have taken: as much is paid for slack as at the full price.
func discountedUse(atFullPrice, price float64) float64 {
	if ablation.Without(ablation.CheapSlack) {
		return atFullPrice
	}
	slack := (1 - atFullPrice) / atFullPrice
	return max(1/(1+slack/price), minUtilization)
}

// substitutes returns how many on-demand upstreams make up for reclaimable ones that are
// missing. They are given back once those are there, not when they are ordered.
func (p *Planner) substitutes(d Demand, required int, zones []string) int {
	available, outstanding := d.available(Reclaimable), 0
	for _, z := range zones {
		outstanding += d.Outstanding[Pool{d.Service.Name, z, Reclaimable}]
	}
	last, known := p.onDemand[d.Service.Name]
	if !known {
		last = d.available(OnDemand)
	}
	onDemand := min(max(last, required-available-outstanding), max(required-available, 0))
	p.onDemand[d.Service.Name] = onDemand
	return onDemand
}

// leftAfterReclaim returns how many reclaimable upstreams stay when the zone that has
// most of them loses them: of so many planned, or in a drought of those that are there.
func (d Demand) leftAfterReclaim(planned int, zones []string) int {
	if !d.ReclaimableUnavailable || ablation.Without(ablation.DroughtCover) {
		return planned - (planned+len(zones)-1)/len(zones)
	}
	largest := 0
	for _, z := range zones {
		largest = max(largest, d.Have[Pool{d.Service.Name, z, Reclaimable}])
	}
	return d.available(Reclaimable) - largest
}

// allocate spreads both kinds over the zones. What a zone may have is shared: on-demand
// upstreams take the room that reclaimable ones do not fill at present, and more of these
// are ordered as the on-demand ones leave.
func (d Demand) allocate(plan map[Pool]int, zones []string, reclaimable, onDemand int) {
	service, maxPerZone := d.Service.Name, d.Service.Scaling.Max
	spread(plan, service, OnDemand, zones, onDemand, func(z string) int { return maxPerZone - d.Have[Pool{service, z, Reclaimable}] })
	spread(plan, service, Reclaimable, zones, reclaimable, func(z string) int { return maxPerZone - plan[Pool{service, z, OnDemand}] })
}

// required returns how many upstreams are busy for a part of their time and have a part
// of their slots taken.
func (d Demand) required(utilization, slotUse float64) int {
	n := d.Work / 1000 / utilization
	if e := d.Service.Engine; e != nil && e.Slots > 0 {
		n = max(n, float64(d.Running)/float64(e.Slots)/slotUse)
	}
	return int(math.Ceil(n))
}

// seedPeak takes the reclaimable upstreams that an earlier holder of the duty ordered for
// what it had seen.
func (p *Planner) seedPeak(d Demand, now time.Duration) {
	key := peakKey{d.Service.Name, "ample"}
	if p.peaks[key] != nil {
		return
	}
	p.peaks[key] = &peak{d.available(Reclaimable), now}
}

// holdPeak returns the highest count of late.
func (p *Planner) holdPeak(key peakKey, n int, now time.Duration) int {
	pk := p.peaks[key]
	if pk == nil {
		pk = &peak{}
		p.peaks[key] = pk
	}
	switch {
	case n >= pk.count || ablation.Without(ablation.Crests):
		pk.count, pk.at = n, now
	case now-pk.at > scaleDownDelay:
		pk.count, pk.at = pk.count-1, now-scaleDownDelay+time.Second // give back one a second
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
func spread(plan map[Pool]int, service string, kind Kind, zones []string, n int, room func(zone string) int) {
	for _, z := range zones {
		plan[Pool{service, z, kind}] = 0
	}
	for n > 0 {
		progress := false
		for _, z := range zones {
			if p := (Pool{service, z, kind}); n > 0 && plan[p] < room(z) {
				plan[p]++
				n--
				progress = true
			}
		}
		if !progress {
			return
		}
	}
}

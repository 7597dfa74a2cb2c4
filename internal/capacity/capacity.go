// Package capacity decides how many upstreams of a service to order, by zone and by
// kind.
//
// Reclaimable upstreams carry the load while the cloud has them. On-demand upstreams,
// which cost several times as much, replace reclaimed ones, and cover the shortfall that
// a reclaim of one zone would cause until replacements have booted.
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
	// maxUtilization is the fraction of time for which on-demand upstreams may be busy.
	// Above it first events are late (docs/ROUTING.md). The remaining slack is worth
	// its cost at the full price; cheaper upstreams get more (discountedUse).
	maxUtilization = 0.72
	// maxShortTermUtilization is the limit for the short time after a reclaim until
	// replacements have booted.
	maxShortTermUtilization = 0.9
	// minUtilization bounds the slack of very cheap upstreams: with more of them, each
	// caches fewer prompts and more connections are needed, which outweighs the gain.
	minUtilization = 0.25
	// maxSlotUse and maxShortTermSlotUse are the corresponding limits on the fraction of
	// busy slots. Above them upstreams queue or refuse requests.
	maxSlotUse          = 0.8
	maxShortTermSlotUse = 1.0
	// scaleDownDelay is how long a lower count must have sufficed before upstreams are
	// released: periodic load returns faster than an upstream boots.
	scaleDownDelay = 8 * time.Second
)

// settleDelay is the time without a new upstream after which the number of upstreams of
// a starting deployment counts as final. Each registers every 1 to 2 s.
const settleDelay = 3 * time.Second

// Kind distinguishes reclaimable from on-demand upstreams.
type Kind bool

// Kinds of upstreams.
const (
	OnDemand    Kind = false
	Reclaimable Kind = true
)

// Pool identifies the upstreams of one service, zone and kind, which are ordered together.
type Pool struct {
	Service string
	Zone    string
	Kind    Kind
}

// Demand describes the load of one service and its upstreams.
type Demand struct {
	Service                *catalog.Service
	Zones                  []string     // zones in which upstreams may be ordered
	Work                   float64      // requested milliseconds of upstream time per second
	Running                int          // requests in flight
	Accepting              map[Pool]int // upstreams that accept requests
	Rates                  []float64    // requests per second that upstreams accept at most, for those that limit it
	WorkPerRequest         float64      // mean milliseconds of upstream time per request; 0 if unknown
	Outstanding            map[Pool]int // upstreams ordered and not available yet
	ReclaimableUnavailable bool         // the cloud recently had no reclaimable upstreams to offer
}

// peak holds the highest count required recently.
type peak struct {
	count int
	at    time.Duration // when the count was last required
}

// Planner computes plans. It is not safe for concurrent use.
type Planner struct {
	peaks    map[peakKey]*peak
	initial  map[string]*peak // on-demand upstreams of a starting deployment, by service
	counts   map[string]Counts
	onDemand map[string]int // on-demand upstreams in the last plan, by service
}

// peakKey identifies one of the counts whose peak is held.
type peakKey struct {
	service string
	count   string // "enough" (required), "ample" (reclaimable) or "short" (short-term)
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner {
	return &Planner{peaks: make(map[peakKey]*peak), initial: make(map[string]*peak), onDemand: make(map[string]int),
		counts: make(map[string]Counts)}
}

// Plan returns how many upstreams of each kind a service should have in each zone, or
// nil to change nothing, for example while the load is unknown.
func (p *Planner) Plan(d Demand, now time.Duration) map[Pool]int {
	s := d.Service.Scaling
	if s == nil || len(d.Zones) == 0 {
		return nil
	}
	if d.Work <= 0 {
		return p.planInitial(d, now)
	}
	zones := byPrice(d.Zones, s.ZonePrices)
	minTotal, maxTotal := s.MinPerZone*len(zones), s.MaxPerZone*len(zones)
	required := p.holdPeak(peakKey{d.Service.Name, "enough"}, d.required(maxUtilization, maxSlotUse), now)
	required = min(max(required, minTotal), maxTotal)
	plan := make(map[Pool]int)
	if s.ReclaimablePriceRatio <= 0 || s.ReclaimablePriceRatio >= 1 {
		d.allocate(plan, zones, 0, required)
		return plan
	}
	p.seedPeak(d, now)
	ample := p.holdPeak(peakKey{d.Service.Name, "ample"}, d.required(discountedUse(maxUtilization, s.ReclaimablePriceRatio), discountedUse(maxSlotUse, s.ReclaimablePriceRatio)), now)
	shortTerm := p.holdPeak(peakKey{d.Service.Name, "short"}, d.required(maxShortTermUtilization, maxShortTermSlotUse), now)
	reclaimable := min(max(ample, minTotal), maxTotal)
	if d.ReclaimableUnavailable && !ablation.Disabled(ablation.ReclaimReserve) {
		shortTerm = required // reclaimed upstreams can't be replaced soon
	}
	onDemand := p.replacements(d, required, zones)
	if ablation.Disabled(ablation.OnDemandReplacement) {
		onDemand = required
	}
	if !ablation.Disabled(ablation.ZoneLossReserve) {
		onDemand = max(onDemand, shortTerm-d.leftAfterReclaim(reclaimable, zones))
	}
	d.allocate(plan, zones, reclaimable, onDemand)
	p.counts[d.Service.Name] = Counts{Required: required, RequiredShortTerm: shortTerm, Reclaimable: reclaimable, OnDemand: onDemand}
	return plan
}

// Counts are the intermediate results of a plan, for logs.
type Counts struct {
	Required          int // upstreams required for the latency targets
	RequiredShortTerm int // upstreams required for a few seconds after a reclaim
	Reclaimable       int // reclaimable upstreams planned, before zone limits
	OnDemand          int // on-demand upstreams planned, before zone limits
}

// Counts returns the intermediate results of the last plan of a service.
func (p *Planner) Counts(service string) Counts { return p.counts[service] }

// planInitial plans while the load of a deployment that starts with on-demand upstreams
// only is unknown. It replaces them by as many reclaimable ones, except for the number
// that the reclaim of one zone would remove. It returns nil if the service already has
// reclaimable upstreams, which an earlier plan ordered, and until the number of on-demand
// ones has settled.
func (p *Planner) planInitial(d Demand, now time.Duration) map[Pool]int {
	s, service := d.Service.Scaling, d.Service.Name
	onDemand, reclaimable := d.available(OnDemand), d.available(Reclaimable)
	if s.ReclaimablePriceRatio <= 0 || s.ReclaimablePriceRatio >= 1 || ablation.Disabled(ablation.InitialReclaimable) {
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
	d.allocate(plan, zones, required, max(p.replacements(d, required, zones), required-d.leftAfterReclaim(required, zones)))
	return plan
}

// available returns the number of upstreams of a kind that accept requests.
func (d Demand) available(k Kind) int {
	n := 0
	for pool, count := range d.Accepting {
		if pool.Service == d.Service.Name && pool.Kind == k {
			n += count
		}
	}
	return n
}

// discountedUse returns the maximum utilization or slot use of upstreams at a fraction of
// the full price: their slack may cost as much as the slack at the full price.
func discountedUse(atFullPrice, price float64) float64 {
	if ablation.Disabled(ablation.PriceScaledSlack) {
		return atFullPrice
	}
	slack := (1 - atFullPrice) / atFullPrice
	return max(1/(1+slack/price), minUtilization)
}

// replacements returns how many on-demand upstreams replace missing reclaimable ones.
// They are released once reclaimable ones accept requests, not when these are ordered.
func (p *Planner) replacements(d Demand, required int, zones []string) int {
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

// leftAfterReclaim returns how many reclaimable upstreams remain if the zone with most of
// them is reclaimed: of the planned ones, or of the available ones if the cloud has no more.
func (d Demand) leftAfterReclaim(planned int, zones []string) int {
	if !d.ReclaimableUnavailable || ablation.Disabled(ablation.ReclaimReserve) {
		return planned - (planned+len(zones)-1)/len(zones)
	}
	largest := 0
	for _, z := range zones {
		largest = max(largest, d.Accepting[Pool{d.Service.Name, z, Reclaimable}])
	}
	return d.available(Reclaimable) - largest
}

// allocate distributes both kinds over the zones. They share the limit of a zone: on-demand
// upstreams may use what the current reclaimable ones don't, and further reclaimable ones
// are ordered as on-demand ones are released.
func (d Demand) allocate(plan map[Pool]int, zones []string, reclaimable, onDemand int) {
	service, maxPerZone := d.Service.Name, d.Service.Scaling.MaxPerZone
	spread(plan, service, OnDemand, zones, onDemand, func(z string) int { return maxPerZone - d.Accepting[Pool{service, z, Reclaimable}] })
	spread(plan, service, Reclaimable, zones, reclaimable, func(z string) int { return maxPerZone - plan[Pool{service, z, OnDemand}] })
}

// required returns the number of upstreams that keeps utilization and slot use at the
// given limits, including upstreams that limit the rate of requests.
func (d Demand) required(utilization, slotUse float64) int {
	n := d.Work / 1000 / utilization
	if e := d.Service.Engine; e != nil && e.Slots > 0 {
		n = max(n, float64(d.Running)/float64(e.Slots)/slotUse)
	}
	limited := float64(len(d.Rates))
	usable := d.usableOfLimited(utilization)
	switch {
	case usable >= limited:
	case n > usable:
		n += limited - usable
	default:
		n *= limited / usable
	}
	return int(math.Ceil(n))
}

// usableOfLimited returns how many unlimited upstreams at a utilization could do as much
// work as those that limit the rate of requests.
func (d Demand) usableOfLimited(utilization float64) float64 {
	if d.WorkPerRequest <= 0 {
		return float64(len(d.Rates))
	}
	sum := 0.0
	for _, rate := range d.Rates {
		sum += min(rate*d.WorkPerRequest/1000/utilization, 1)
	}
	return sum
}

// seedPeak starts the reclaimable peak with the upstreams ordered by an earlier holder of
// the fleet duty, which had seen a longer history of the load.
func (p *Planner) seedPeak(d Demand, now time.Duration) {
	key := peakKey{d.Service.Name, "ample"}
	if p.peaks[key] != nil {
		return
	}
	p.peaks[key] = &peak{d.available(Reclaimable), now}
}

// holdPeak returns the highest recent value of a count.
func (p *Planner) holdPeak(key peakKey, n int, now time.Duration) int {
	pk := p.peaks[key]
	if pk == nil {
		pk = &peak{}
		p.peaks[key] = pk
	}
	switch {
	case n >= pk.count || ablation.Disabled(ablation.PeakHold):
		pk.count, pk.at = n, now
	case now-pk.at > scaleDownDelay:
		pk.count, pk.at = pk.count-1, now-scaleDownDelay+time.Second // release one per second
	}
	return pk.count
}

// byPrice returns the zones sorted by price, the cheapest first.
func byPrice(zones []string, prices map[string]float64) []string {
	list := slices.Clone(zones)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
	return list
}

// spread distributes n upstreams over the zones, the cheapest first, evenly to within one
// as far as maxCount, the limit of each zone, allows.
func spread(plan map[Pool]int, service string, kind Kind, zones []string, n int, maxCount func(zone string) int) {
	for _, z := range zones {
		plan[Pool{service, z, kind}] = 0
	}
	for n > 0 {
		progress := false
		for _, z := range zones {
			if p := (Pool{service, z, kind}); n > 0 && plan[p] < maxCount(z) {
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

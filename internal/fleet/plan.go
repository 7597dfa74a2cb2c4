package fleet

import (
	"math"
	"sort"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
)

// Parameters of the planner.
const (
	targetUtilization = 0.7              // fraction of slots in use that the size of a fleet aims at
	shrinkUtilization = 0.45             // fraction of slots in use below which a fleet may shrink
	shrinkAfter       = 5 * time.Minute  // a fleet shrinks only after a surplus for this long
	reclaimCostHours  = 1.0              // cost of one reclaim in hours of the VM's price: VM start, loading weights, recomputing tokens
	zonePenalty       = 0.5              // price increase, as a fraction, for a zone that has the whole fleet already
	refusalBackoff    = 30 * time.Second // after the first refusal of an offer
	maxRefusalBackoff = 10 * time.Minute
	hoursPerDay       = 24
)

// Upstream is an upstream of a service as the planner sees it.
type Upstream struct {
	Name        string  `json:"name"`
	VM          string  `json:"vm,omitempty"` // ID of its VM if the fleet started it; empty if the operators did
	Zone        string  `json:"zone"`
	VMClass     string  `json:"vm_class"`
	Reclaimable bool    `json:"reclaimable"`
	PerHour     float64 `json:"per_hour"`
	Slots       int     `json:"slots"`
	InFlight    float64 `json:"busy"` // running and queued requests
	Unavailable bool    `json:"gone"` // leaving, dead or left
}

// OfferKey identifies an offer of the cloud.
type OfferKey struct {
	VMClass     string `json:"vm_class"`
	Zone        string `json:"zone"`
	Reclaimable bool   `json:"reclaimable"`
}

// Refusal counts consecutive starts of one offer that the cloud refused.
type Refusal struct {
	Offer OfferKey  `json:"offer"`
	Count int       `json:"count"`
	Until time.Time `json:"until"` // the offer is not tried again before this time
}

// Input is everything that a decision about one service depends on, so that a
// logged Input is enough to replay the decision.
type Input struct {
	Now          time.Time          `json:"now"`
	Service      string             `json:"service"`
	Floor        int                `json:"floor"` // minimum number of upstreams of the service
	Slots        int                `json:"slots"` // of an upstream that the fleet starts
	Bounds       manifest.Fleet     `json:"bounds"`
	Classes      []manifest.VMClass `json:"classes"`
	Upstreams    []Upstream         `json:"runners"`
	Offers       []cloud.Offer      `json:"offers"`
	Refusals     []Refusal          `json:"refusals"`
	WeightLoads  int                `json:"loads"`          // model loads that the weight store's rate limit allows now
	SurplusFor   time.Duration      `json:"idle_for"`       // how long the fleet has been larger than needed
	OtherPerHour float64            `json:"other_per_hour"` // cost per hour of the other services' VMs
}

// Action starts or stops one VM.
type Action struct {
	Start  *OfferKey `json:"start,omitempty"`
	Stop   string    `json:"stop,omitempty"` // ID of the VM to stop
	Reason string    `json:"why"`
}

// Decision is the result of Plan.
type Decision struct {
	Needed  int      `json:"needed"`  // upstreams for the load and the floor
	Usable  int      `json:"usable"`  // upstreams that accept work or are starting
	Surplus bool     `json:"surplus"` // the fleet is larger than needed
	Actions []Action `json:"actions"`
}

// Plan decides which upstreams of one service to start and stop. It is a pure
// function of its input.
func Plan(in *Input) Decision {
	p := planner{in: in}
	for i := range in.Upstreams {
		if !in.Upstreams[i].Unavailable {
			p.usable = append(p.usable, in.Upstreams[i])
		}
	}
	d := Decision{Needed: p.needed(), Usable: len(p.usable)}
	d.Surplus = d.Usable > d.Needed
	switch {
	case d.Usable < d.Needed:
		d.Actions = p.planStarts(d.Needed - d.Usable)
	case d.Surplus && in.SurplusFor >= shrinkAfter:
		d.Actions = p.planStops(d.Needed)
	}
	return d
}

type planner struct {
	in     *Input
	usable []Upstream
}

// needed returns how many upstreams the load and the floor need. The number does
// not change while the utilization is between shrinkUtilization and
// targetUtilization, so that it does not oscillate.
func (p *planner) needed() int {
	slots, inFlight := 0, 0.0
	for i := range p.usable {
		slots += p.usable[i].Slots
		inFlight += p.usable[i].InFlight
	}
	n := len(p.usable)
	slotsPerUpstream := float64(max(1, p.in.Slots))
	if n > 0 {
		slotsPerUpstream = float64(slots) / float64(n)
	}
	if utilization := inFlight / math.Max(1, float64(slots)); n == 0 || utilization > targetUtilization || utilization < shrinkUtilization {
		n = int(math.Ceil(inFlight / (slotsPerUpstream * targetUtilization)))
	}
	return min(max(n, p.in.Floor, p.zoneLossFloor()), p.in.Bounds.MaxUpstreams)
}

// zoneLossFloor returns how many upstreams, spread evenly over the zones, still
// leave the floor after the loss of one zone.
func (p *planner) zoneLossFloor() int {
	zones := map[string]bool{}
	for i := range p.in.Offers {
		zones[p.in.Offers[i].Zone] = true
	}
	if n := len(zones); n > 1 {
		return int(math.Ceil(float64(p.in.Floor) * float64(n) / float64(n-1)))
	}
	return p.in.Floor
}

// planStarts chooses up to n offers, one after the other, each for the lowest cost.
func (p *planner) planStarts(n int) []Action {
	var out []Action
	for range min(n, p.in.WeightLoads) {
		o := p.cheapest()
		if o == nil {
			break
		}
		key := OfferKey{VMClass: o.VMClass, Zone: o.Zone, Reclaimable: o.Reclaimable}
		out = append(out, Action{Start: &key, Reason: "too few runners"})
		p.usable = append(p.usable, Upstream{Zone: o.Zone, VMClass: o.VMClass, Reclaimable: o.Reclaimable, PerHour: o.PerHour, Slots: p.in.Slots})
	}
	return out
}

func (p *planner) cheapest() *cloud.Offer {
	var best *cloud.Offer
	lowest := math.Inf(1)
	for i := range p.in.Offers {
		o := &p.in.Offers[i]
		if !p.allowed(o) {
			continue
		}
		if c := p.cost(o); c < lowest {
			best, lowest = o, c
		}
	}
	return best
}

// allowed reports whether the offer is within the bounds of the manifest and not in
// the backoff after a refusal.
func (p *planner) allowed(o *cloud.Offer) bool {
	reclaimable, spend := 0, p.in.OtherPerHour+o.PerHour
	for i := range p.usable {
		spend += p.usable[i].PerHour
		if p.usable[i].Reclaimable {
			reclaimable++
		}
	}
	if p.class(o.VMClass) == nil || spend > p.in.Bounds.MaxPerHour {
		return false
	}
	if o.Reclaimable && float64(reclaimable+1) > p.in.Bounds.MaxReclaimableShare*float64(len(p.usable)+1) {
		return false
	}
	for i := range p.in.Refusals {
		r := &p.in.Refusals[i]
		if r.Offer == (OfferKey{o.VMClass, o.Zone, o.Reclaimable}) && p.in.Now.Before(r.Until) {
			return false
		}
	}
	return true
}

func (p *planner) class(name string) *manifest.VMClass {
	for i := range p.in.Classes {
		if p.in.Classes[i].Name == name {
			return &p.in.Classes[i]
		}
	}
	return nil
}

// cost returns the offer's price per hour, including the expected cost of reclaims,
// divided by the prefill rate of its VM class if that is known. It is increased in
// proportion to the fraction of upstreams that are already in the zone.
func (p *planner) cost(o *cloud.Offer) float64 {
	c := p.class(o.VMClass)
	cost := o.PerHour
	if o.Reclaimable {
		cost += o.PerHour * reclaimCostHours * c.ReclaimsPerDay / hoursPerDay
	}
	if c.PrefillPerMS > 0 {
		cost /= float64(c.PrefillPerMS)
	}
	inZone := 0
	for i := range p.usable {
		if p.usable[i].Zone == o.Zone {
			inZone++
		}
	}
	return cost * (1 + zonePenalty*float64(inZone)/float64(max(1, len(p.usable))))
}

// planStops chooses one upstream that the fleet started: the most expensive in the
// zone with the most upstreams. It stops only one at a time, so that the effect of
// each stop shows before the next.
func (p *planner) planStops(needed int) []Action {
	if len(p.usable) <= needed {
		return nil
	}
	zones := map[string]int{}
	var owned []Upstream
	for i := range p.usable {
		zones[p.usable[i].Zone]++
		if p.usable[i].VM != "" {
			owned = append(owned, p.usable[i])
		}
	}
	if len(owned) == 0 {
		return nil
	}
	sort.SliceStable(owned, func(i, j int) bool {
		if a, b := zones[owned[i].Zone], zones[owned[j].Zone]; a != b {
			return a > b
		}
		return owned[i].PerHour > owned[j].PerHour
	})
	return []Action{{Stop: owned[0].VM, Reason: "more runners than needed"}}
}

// AddRefusal returns the refusals after one more refused start of an offer. Each
// consecutive refusal doubles the backoff, up to maxRefusalBackoff.
func AddRefusal(list []Refusal, offer OfferKey, now time.Time) []Refusal {
	for i := range list {
		if list[i].Offer == offer {
			list[i].Count++
			list[i].Until = now.Add(min(refusalBackoff<<min(list[i].Count-1, 10), maxRefusalBackoff))
			return list
		}
	}
	return append(list, Refusal{Offer: offer, Count: 1, Until: now.Add(refusalBackoff)})
}

// ClearRefusal returns the refusals without that of an offer whose start succeeded.
func ClearRefusal(list []Refusal, offer OfferKey) []Refusal {
	out := list[:0]
	for i := range list {
		if list[i].Offer != offer {
			out = append(out, list[i])
		}
	}
	return out
}

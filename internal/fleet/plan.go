package fleet

import (
	"math"
	"sort"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
)

// Constants of the planner.
const (
	targetUtilization = 0.7  // share of slots in use at which a fleet is right
	shrinkUtilization = 0.45 // share below which a fleet may shrink
	shrinkAfter       = 5 * time.Minute
	reclaimCostHours  = 1.0 // hours of a VM's price that one reclaim costs: start, weights, recomputed tokens
	zonePenalty       = 0.5 // price share added for the share of the fleet in the zone already
	refusalBackoff    = 30 * time.Second
	maxRefusalBackoff = 10 * time.Minute
	hoursPerDay       = 24
)

// Upstream is one upstream of a service as the planner sees it.
type Upstream struct {
	Name        string  `json:"name"`
	VM          string  `json:"vm,omitempty"` // ID of one that the fleet started; others are the operators'
	Zone        string  `json:"zone"`
	VMClass     string  `json:"vm_class"`
	Reclaimable bool    `json:"reclaimable"`
	PerHour     float64 `json:"per_hour"`
	Slots       int     `json:"slots"`
	InFlight    float64 `json:"busy"` // requests running and waiting
	Unavailable bool    `json:"gone"` // leaving, dead or being stopped
}

// OfferKey names an offer.
type OfferKey struct {
	VMClass     string `json:"vm_class"`
	Zone        string `json:"zone"`
	Reclaimable bool   `json:"reclaimable"`
}

// Refusal counts refused starts of one offer in a row.
type Refusal struct {
	Offer OfferKey  `json:"offer"`
	Count int       `json:"count"`
	Until time.Time `json:"until"` // not tried before
}

// Input is everything that one decision about one service depends on. A logged
// Input replays the decision.
type Input struct {
	Now          time.Time          `json:"now"`
	Service      string             `json:"service"`
	Floor        int                `json:"floor"`
	Slots        int                `json:"slots"` // of a started runner
	Bounds       manifest.Fleet     `json:"bounds"`
	Classes      []manifest.VMClass `json:"classes"`
	Upstreams    []Upstream         `json:"runners"`
	Offers       []cloud.Offer      `json:"offers"`
	Refusals     []Refusal          `json:"refusals"`
	WeightLoads  int                `json:"loads"`          // of weights that the store's rate limit allows now
	SurplusFor   time.Duration      `json:"idle_for"`       // for how long the fleet has been larger than it needs
	OtherPerHour float64            `json:"other_per_hour"` // spend an hour for other services
}

// Action is one thing to do.
type Action struct {
	Start  *OfferKey `json:"start,omitempty"`
	Stop   string    `json:"stop,omitempty"` // VM
	Reason string    `json:"why"`
}

// Decision is the planner's answer.
type Decision struct {
	Needed  int      `json:"needed"`  // runners for the load and the floor
	Usable  int      `json:"usable"`  // runners that take work or are starting
	Surplus bool     `json:"surplus"` // the fleet is larger than it needs
	Actions []Action `json:"actions"`
}

// Plan decides which runners of one service to start and stop. It is a pure
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

// needed returns how many runners the load needs. Between shrinkBusy and
// targetBusy the number stays, so that it does not swing.
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

// zoneLossFloor returns the number of runners with which the floor
// still stands, spread evenly, after one zone is lost.
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

// planStarts chooses n offers, one after the other, each for the least cost.
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

// allowed checks the bounds of the manifest and the pauses after refusals.
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
	if o.Reclaimable && float64(reclaimable+1) > p.in.Bounds.MaxReclaimableFrac*float64(len(p.usable)+1) {
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

// cost returns the price an hour with the expected cost of reclaims, for the
// work that the class does, raised by the share of runners in the zone already.
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

// planStops chooses one runner that the fleet started: the dearest, of the fullest
// zone. One at a time, so that each step shows its effect first.
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

// AddRefusal returns the refusals after one more refused start of an offer: each in
// a row doubles the pause.
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

// ClearRefusal returns the refusals without those of an offer that was granted.
func ClearRefusal(list []Refusal, offer OfferKey) []Refusal {
	out := list[:0]
	for i := range list {
		if list[i].Offer != offer {
			out = append(out, list[i])
		}
	}
	return out
}

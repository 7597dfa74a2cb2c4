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
	targetBusy      = 0.7  // share of slots in use at which a fleet is right
	shrinkBusy      = 0.45 // share below which a fleet may shrink
	shrinkAfter     = 5 * time.Minute
	replaceHours    = 1.0 // hours of a VM's price that one reclaim costs: start, weights, recomputed tokens
	zonePenalty     = 0.5 // price share added for the share of the fleet in the zone already
	refusalPause    = 30 * time.Second
	maxRefusalPause = 10 * time.Minute
	hoursPerDay     = 24
)

// Runner is one upstream of a service as the planner sees it.
type Runner struct {
	Name        string  `json:"name"`
	VM          string  `json:"vm,omitempty"` // ID of one that the fleet started; others are the operators'
	Zone        string  `json:"zone"`
	VMClass     string  `json:"vm_class"`
	Reclaimable bool    `json:"reclaimable"`
	PerHour     float64 `json:"per_hour"`
	Slots       int     `json:"slots"`
	Busy        float64 `json:"busy"` // requests running and waiting
	Gone        bool    `json:"gone"` // leaving, dead or being stopped
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
	Runners      []Runner           `json:"runners"`
	Offers       []cloud.Offer      `json:"offers"`
	Refusals     []Refusal          `json:"refusals"`
	Loads        int                `json:"loads"`          // of weights that the store's rate limit allows now
	IdleFor      time.Duration      `json:"idle_for"`       // for how long the fleet has been larger than it needs
	OtherPerHour float64            `json:"other_per_hour"` // spend an hour for other services
}

// Action is one thing to do.
type Action struct {
	Start *OfferKey `json:"start,omitempty"`
	Stop  string    `json:"stop,omitempty"` // VM
	Why   string    `json:"why"`
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
	for i := range in.Runners {
		if !in.Runners[i].Gone {
			p.usable = append(p.usable, in.Runners[i])
		}
	}
	d := Decision{Needed: p.needed(), Usable: len(p.usable)}
	d.Surplus = d.Usable > d.Needed
	switch {
	case d.Usable < d.Needed:
		d.Actions = p.starts(d.Needed - d.Usable)
	case d.Surplus && in.IdleFor >= shrinkAfter:
		d.Actions = p.stops(d.Needed)
	}
	return d
}

type planner struct {
	in     *Input
	usable []Runner
}

// needed returns how many runners the load needs. Between shrinkBusy and
// targetBusy the number stays, so that it does not swing.
func (p *planner) needed() int {
	slots, busy := 0, 0.0
	for i := range p.usable {
		slots += p.usable[i].Slots
		busy += p.usable[i].Busy
	}
	n := len(p.usable)
	perRunner := float64(max(1, p.in.Slots))
	if n > 0 {
		perRunner = float64(slots) / float64(n)
	}
	if share := busy / math.Max(1, float64(slots)); n == 0 || share > targetBusy || share < shrinkBusy {
		n = int(math.Ceil(busy / (perRunner * targetBusy)))
	}
	return min(max(n, p.in.Floor, p.floorWithoutLargestZone()), p.in.Bounds.MaxUpstreams)
}

// floorWithoutLargestZone returns the number of runners with which the floor
// still stands, spread evenly, after one zone is lost.
func (p *planner) floorWithoutLargestZone() int {
	zones := map[string]bool{}
	for i := range p.in.Offers {
		zones[p.in.Offers[i].Zone] = true
	}
	if n := len(zones); n > 1 {
		return int(math.Ceil(float64(p.in.Floor) * float64(n) / float64(n-1)))
	}
	return p.in.Floor
}

// starts chooses n offers, one after the other, each for the least cost.
func (p *planner) starts(n int) []Action {
	var out []Action
	for range min(n, p.in.Loads) {
		o := p.cheapest()
		if o == nil {
			break
		}
		key := OfferKey{VMClass: o.VMClass, Zone: o.Zone, Reclaimable: o.Reclaimable}
		out = append(out, Action{Start: &key, Why: "too few runners"})
		p.usable = append(p.usable, Runner{Zone: o.Zone, VMClass: o.VMClass, Reclaimable: o.Reclaimable, PerHour: o.PerHour, Slots: p.in.Slots})
	}
	return out
}

func (p *planner) cheapest() *cloud.Offer {
	var best *cloud.Offer
	least := math.Inf(1)
	for i := range p.in.Offers {
		o := &p.in.Offers[i]
		if !p.allowed(o) {
			continue
		}
		if c := p.cost(o); c < least {
			best, least = o, c
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

// cost returns the price an hour with the expected cost of reclaims, for the
// work that the class does, raised by the share of runners in the zone already.
func (p *planner) cost(o *cloud.Offer) float64 {
	c := p.class(o.VMClass)
	cost := o.PerHour
	if o.Reclaimable {
		cost += o.PerHour * replaceHours * c.ReclaimsPerDay / hoursPerDay
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

// stops chooses one runner that the fleet started: the dearest, of the fullest
// zone. One at a time, so that each step shows its effect first.
func (p *planner) stops(needed int) []Action {
	if len(p.usable) <= needed {
		return nil
	}
	zones := map[string]int{}
	var own []Runner
	for i := range p.usable {
		zones[p.usable[i].Zone]++
		if p.usable[i].VM != "" {
			own = append(own, p.usable[i])
		}
	}
	if len(own) == 0 {
		return nil
	}
	sort.SliceStable(own, func(i, j int) bool {
		if a, b := zones[own[i].Zone], zones[own[j].Zone]; a != b {
			return a > b
		}
		return own[i].PerHour > own[j].PerHour
	})
	return []Action{{Stop: own[0].VM, Why: "more runners than needed"}}
}

// Refused returns the refusals after one more refused start of an offer: each in
// a row doubles the pause.
func Refused(list []Refusal, offer OfferKey, now time.Time) []Refusal {
	for i := range list {
		if list[i].Offer == offer {
			list[i].Count++
			list[i].Until = now.Add(min(refusalPause<<min(list[i].Count-1, 10), maxRefusalPause))
			return list
		}
	}
	return append(list, Refusal{Offer: offer, Count: 1, Until: now.Add(refusalPause)})
}

// Granted returns the refusals without those of an offer that was granted.
func Granted(list []Refusal, offer OfferKey) []Refusal {
	out := list[:0]
	for i := range list {
		if list[i].Offer != offer {
			out = append(out, list[i])
		}
	}
	return out
}

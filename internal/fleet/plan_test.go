package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"

	_ "github.com/lagoonmux/lagoonmux/internal/fixedseed" // property tests
)

var classes = []manifest.VMClass{
	{Name: "g", OnDemandPerHour: 2, ReclaimablePerHour: 0.7, ReclaimsPerDay: 2},
	{Name: "h", OnDemandPerHour: 3, ReclaimablePerHour: 1, ReclaimsPerDay: 2},
}

var offers = func() []cloud.Offer {
	var out []cloud.Offer
	for _, z := range []string{"a", "b", "c"} {
		for _, c := range classes {
			out = append(out, cloud.Offer{VMClass: c.Name, Zone: z, PerHour: c.OnDemandPerHour},
				cloud.Offer{VMClass: c.Name, Zone: z, PerHour: c.ReclaimablePerHour, Reclaimable: true})
		}
	}
	return out
}()

func newInput() *Input {
	return &Input{Now: time.UnixMilli(1e12), Service: "s", Floor: 3, Slots: 4, Classes: classes, Offers: offers, WeightLoads: 100,
		Bounds: manifest.Fleet{MaxUpstreams: 20, MaxPerHour: 100, MaxReclaimableShare: 0.6}}
}

// apply adds the upstreams that d starts to in.
func apply(in *Input, d Decision) {
	for _, a := range d.Actions {
		if a.Start != nil {
			in.Upstreams = append(in.Upstreams, Upstream{Zone: a.Start.Zone, VMClass: a.Start.VMClass, Reclaimable: a.Start.Reclaimable,
				PerHour: priceOf(in.Offers, *a.Start), Slots: in.Slots, VM: "vm"})
		}
	}
}

func TestPlanWithinBoundsAndReplayable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := newInput()
		in.Floor = rapid.IntRange(0, 12).Draw(rt, "floor")
		in.Bounds.MaxUpstreams = rapid.IntRange(1, 20).Draw(rt, "max")
		in.Bounds.MaxPerHour = rapid.Float64Range(0, 30).Draw(rt, "spend")
		in.Bounds.MaxReclaimableShare = rapid.Float64Range(0, 1).Draw(rt, "share")
		in.WeightLoads = rapid.IntRange(0, 5).Draw(rt, "loads")
		for range 8 {
			d := Plan(in)
			text, err := json.Marshal(in)
			assert.NilError(rt, err)
			var replayed Input
			assert.NilError(rt, json.Unmarshal(text, &replayed))
			assert.DeepEqual(rt, Plan(&replayed), d)
			assert.Assert(rt, len(d.Actions) <= in.WeightLoads)
			apply(in, d)
		}
		spend, reclaimable := 0.0, 0
		for _, r := range in.Upstreams {
			spend += r.PerHour
			if r.Reclaimable {
				reclaimable++
			}
		}
		assert.Assert(rt, len(in.Upstreams) <= in.Bounds.MaxUpstreams)
		assert.Assert(rt, spend <= in.Bounds.MaxPerHour)
		assert.Assert(rt, float64(reclaimable) <= in.Bounds.MaxReclaimableShare*float64(len(in.Upstreams)))
	})
}

func TestPlanKeepsFloorAfterZoneLoss(t *testing.T) {
	in := newInput()
	apply(in, Plan(in))
	zones := map[string]int{}
	for _, r := range in.Upstreams {
		zones[r.Zone]++
	}
	for z, n := range zones {
		assert.Assert(t, len(in.Upstreams)-n >= in.Floor, "upstreams below the floor without zone %s of %v", z, zones)
	}
}

func TestPlanSkipsRefusedOffersDuringBackoff(t *testing.T) {
	in := newInput()
	first := Plan(in).Actions[0].Start
	in.Refusals = AddRefusal(AddRefusal(nil, *first, in.Now), *first, in.Now)
	assert.Equal(t, in.Refusals[0].Until, in.Now.Add(2*refusalBackoff))
	for _, a := range Plan(in).Actions {
		assert.Assert(t, *a.Start != *first)
	}
	in.Now = in.Refusals[0].Until
	assert.DeepEqual(t, Plan(in).Actions[0].Start, first)
}

func TestPlanHysteresis(t *testing.T) {
	in := newInput()
	for range 10 {
		in.Upstreams = append(in.Upstreams, Upstream{Slots: 4, InFlight: 2.4, VM: "vm", Zone: "a"})
	}
	assert.Equal(t, len(Plan(in).Actions), 0) // utilization 60%: no change
	for i := range in.Upstreams {
		in.Upstreams[i].InFlight = 1
	}
	assert.Equal(t, len(Plan(in).Actions), 0) // utilization 25%, but not for shrinkAfter yet
	in.SurplusFor = shrinkAfter
	assert.Equal(t, len(Plan(in).Actions), 1)
}

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

func base() *Input {
	return &Input{Now: time.UnixMilli(1e12), Service: "s", Floor: 3, Slots: 4, Classes: classes, Offers: offers, Loads: 100,
		Bounds: manifest.Fleet{MaxUpstreams: 20, MaxPerHour: 100, MaxReclaimableShare: 0.6}}
}

// started applies the starts of d to in.
func apply(in *Input, d Decision) {
	for _, a := range d.Actions {
		if a.Start != nil {
			in.Runners = append(in.Runners, Runner{Zone: a.Start.Zone, VMClass: a.Start.VMClass, Reclaimable: a.Start.Reclaimable,
				PerHour: priceOf(in.Offers, *a.Start), Slots: in.Slots, VM: "vm"})
		}
	}
}

func TestPlanStaysWithinBoundsAndReplays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := base()
		in.Floor = rapid.IntRange(0, 12).Draw(rt, "floor")
		in.Bounds.MaxUpstreams = rapid.IntRange(1, 20).Draw(rt, "max")
		in.Bounds.MaxPerHour = rapid.Float64Range(0, 30).Draw(rt, "spend")
		in.Bounds.MaxReclaimableShare = rapid.Float64Range(0, 1).Draw(rt, "share")
		in.Loads = rapid.IntRange(0, 5).Draw(rt, "loads")
		for range 8 {
			d := Plan(in)
			text, err := json.Marshal(in)
			assert.NilError(rt, err)
			var again Input
			assert.NilError(rt, json.Unmarshal(text, &again))
			assert.DeepEqual(rt, Plan(&again), d)
			assert.Assert(rt, len(d.Actions) <= in.Loads)
			apply(in, d)
		}
		spend, reclaimable := 0.0, 0
		for _, r := range in.Runners {
			spend += r.PerHour
			if r.Reclaimable {
				reclaimable++
			}
		}
		assert.Assert(rt, len(in.Runners) <= in.Bounds.MaxUpstreams)
		assert.Assert(rt, spend <= in.Bounds.MaxPerHour)
		assert.Assert(rt, float64(reclaimable) <= in.Bounds.MaxReclaimableShare*float64(len(in.Runners)))
	})
}

func TestPlanKeepsTheFloorWithoutAnyZone(t *testing.T) {
	in := base()
	apply(in, Plan(in))
	zones := map[string]int{}
	for _, r := range in.Runners {
		zones[r.Zone]++
	}
	for z, n := range zones {
		assert.Assert(t, len(in.Runners)-n >= in.Floor, "without %s of %v", z, zones)
	}
}

func TestPlanAvoidsRefusedOffersUntilTheirPauseEnds(t *testing.T) {
	in := base()
	first := Plan(in).Actions[0].Start
	in.Refusals = Refused(Refused(nil, *first, in.Now), *first, in.Now)
	assert.Equal(t, in.Refusals[0].Until, in.Now.Add(2*refusalPause))
	for _, a := range Plan(in).Actions {
		assert.Assert(t, *a.Start != *first)
	}
	in.Now = in.Refusals[0].Until
	assert.DeepEqual(t, Plan(in).Actions[0].Start, first)
}

func TestPlanDoesNotSwing(t *testing.T) {
	in := base()
	for range 10 {
		in.Runners = append(in.Runners, Runner{Slots: 4, Busy: 2.4, VM: "vm", Zone: "a"})
	}
	assert.Equal(t, len(Plan(in).Actions), 0) // 60% busy: stays
	for i := range in.Runners {
		in.Runners[i].Busy = 1
	}
	assert.Equal(t, len(Plan(in).Actions), 0) // 25% busy, not for long
	in.IdleFor = shrinkAfter
	assert.Equal(t, len(Plan(in).Actions), 1)
}

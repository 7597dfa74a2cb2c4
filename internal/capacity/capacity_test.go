package capacity

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/catalog"
)

func demand(work float64) Demand {
	return Demand{
		Service: &catalog.Service{Name: "s", Scaling: &catalog.Scaling{Min: 1, Max: 12, ReclaimablePriceRatio: 0.22,
			ZonePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}},
		Zones: []string{"a", "b", "c"},
		Work:  work,
	}
}

func sum(plan map[Place]int, k Kind) int {
	n := 0
	for p, count := range plan {
		if p.Kind == k {
			n += count
		}
	}
	return n
}

// steady returns the plan once all that was ordered has come, and what it replaces is gone.
func steady(p *Planner, d Demand, now time.Duration) map[Place]int {
	for range 8 {
		d.Have = p.Plan(d, now)
	}
	return d.Have
}

// TestALostZoneLeavesEnough replays loads up to what the zones take: without the
// reclaimable upstreams of any one zone, the rest carries the load until others have
// booted, in one zone as in three.
func TestALostZoneLeavesEnough(t *testing.T) {
	for _, zones := range [][]string{{"a", "b", "c"}, {"a", "b"}, {"a"}} {
		for _, work := range []float64{100, 1000, 2500, 5000, 7000} {
			d := demand(work)
			d.Zones = zones
			plan := steady(NewPlanner(), d, time.Hour)
			most, left := 0, 0
			for _, z := range zones {
				n := plan[Place{"s", z, Firm}] + plan[Place{"s", z, Reclaimable}]
				assert.Assert(t, n >= 1 && n <= 12, "%v: %d in %s", work, n, z)
				left += n
				most = max(most, plan[Place{"s", z, Reclaimable}])
			}
			left -= most
			assert.Assert(t, float64(left)*busyShort*1000 >= work || left+most == 12*len(zones), "%v in %v: %d left", work, zones, left)
		}
	}
}

// TestCheapSlackIsLarger compares what is kept for the same load at different prices.
func TestCheapSlackIsLarger(t *testing.T) {
	last := 0
	for _, price := range []float64{0.9, 0.4, 0.2, 0.1} {
		d := demand(5000)
		d.Service.Scaling.ReclaimablePriceRatio = price
		n := sum(steady(NewPlanner(), d, time.Hour), Reclaimable)
		assert.Assert(t, n > last, "at %v: %d, before %d", price, n, last)
		last = n
	}
	d := demand(5000)
	d.Service.Scaling.ReclaimablePriceRatio = 0.001
	assert.Equal(t, sum(steady(NewPlanner(), d, time.Hour), Reclaimable), int(5/leastBusy))
}

// TestOnDemandStandsIn replays a reclaim of one zone while no others are to be had:
// what is missing is ordered on demand at once, and given back only when reclaimable
// ones are there again.
func TestOnDemandStandsIn(t *testing.T) {
	p, d, now := NewPlanner(), demand(5000), time.Hour
	plan := steady(p, d, now)
	d.Have = plan
	lost := make(map[Place]int)
	for place, n := range plan {
		lost[place] = n
	}
	delete(lost, Place{"s", "a", Reclaimable})
	delete(lost, Place{"s", "b", Reclaimable})
	d.Have = lost
	stood := p.Plan(d, now)
	enough := int(math.Ceil(5000.0 / 1000 / busyFull))
	assert.Assert(t, sum(stood, Firm) >= enough-sum(lost, Reclaimable), "%v", stood)

	d.Have = stood
	d.Have[Place{"s", "a", Reclaimable}], d.Have[Place{"s", "b", Reclaimable}] = 0, 0
	d.Due = map[Place]int{{"s", "a", Reclaimable}: 4, {"s", "b", Reclaimable}: 4}
	assert.Equal(t, sum(p.Plan(d, now), Firm), sum(stood, Firm), "ordered, not there")

	d.Have, d.Due = plan, nil
	assert.Equal(t, sum(p.Plan(d, now), Firm), sum(plan, Firm), "there")
}

// TestOnDemandIsKeptUntilOthersBoot replays the first orders of a deployment that
// begins with on-demand upstreams only.
func TestOnDemandIsKeptUntilOthersBoot(t *testing.T) {
	p, d, now := NewPlanner(), demand(5000), time.Hour
	d.Have = map[Place]int{{"s", "a", Firm}: 6, {"s", "b", Firm}: 6, {"s", "c", Firm}: 6}
	first := p.Plan(d, now)
	assert.Assert(t, float64(sum(first, Firm))*busyFull*1000 >= 5000, "%v", first)
	d.Due = map[Place]int{{"s", "a", Reclaimable}: 4}
	assert.Equal(t, sum(p.Plan(d, now), Firm), sum(first, Firm))
}

// TestADroughtCoversTheNextReclaim replays two zones that are reclaimed one after the
// other while none are to be had: after the first, on-demand upstreams are ordered for
// the second.
func TestADroughtCoversTheNextReclaim(t *testing.T) {
	p, d, now := NewPlanner(), demand(5000), time.Hour
	plan := steady(p, d, now)
	d.Have = make(map[Place]int)
	for place, n := range plan {
		d.Have[place] = n
	}
	d.Have[Place{"s", "a", Reclaimable}] = 0
	d.Drought = true
	next := p.Plan(d, now)
	left := min(plan[Place{"s", "b", Reclaimable}], plan[Place{"s", "c", Reclaimable}]) + sum(next, Firm)
	assert.Assert(t, float64(left)*busyFull*1000 >= 5000, "%d left of %v", left, next)
}

// TestStandInsHaveRoom replays a load for which the zones are full of reclaimable
// upstreams, and the reclaim of two zones: on-demand ones take the room that is left, and
// no zone is asked for more than it may have.
func TestStandInsHaveRoom(t *testing.T) {
	p, d, now := NewPlanner(), demand(20000), time.Hour
	plan := steady(p, d, now)
	assert.Equal(t, sum(plan, Reclaimable), 36)
	d.Have = map[Place]int{{"s", "b", Reclaimable}: 12}
	d.Drought = true
	plan = p.Plan(d, now)
	assert.Equal(t, sum(plan, Firm), 24, "for what is missing, and for the loss of the last zone: %v", plan)
	for _, z := range d.Zones {
		assert.Assert(t, plan[Place{"s", z, Firm}]+plan[Place{"s", z, Reclaimable}] <= 12, "%v", plan)
	}
}

func TestCheapZonesFirst(t *testing.T) {
	d := demand(3.9 * busyFull * 1000) // 4 on demand
	d.Service.Scaling.ReclaimablePriceRatio = 0
	plan := NewPlanner().Plan(d, time.Hour)
	assert.Equal(t, plan[Place{"s", "a", Firm}], 2)
	assert.Equal(t, plan[Place{"s", "b", Firm}], 1)
	assert.Equal(t, plan[Place{"s", "c", Firm}], 1)
}

// TestExchangeBeforeTheLoadIsKnown replays the start of a deployment of on-demand
// upstreams: reclaimable ones take their place, and the on-demand ones leave once these
// are there, but for what one zone's reclaim would take.
func TestExchangeBeforeTheLoadIsKnown(t *testing.T) {
	p, d, now := NewPlanner(), demand(0), time.Hour
	d.Have = map[Place]int{{"s", "a", Firm}: 2}
	assert.Equal(t, len(p.Plan(d, now)), 0, "others may be there that have not entered themselves")
	d.Have = map[Place]int{{"s", "a", Firm}: 6, {"s", "b", Firm}: 6, {"s", "c", Firm}: 6}
	assert.Equal(t, len(p.Plan(d, now+settleFor)), 0)
	now += 2 * settleFor
	plan := p.Plan(d, now)
	assert.Equal(t, sum(plan, Reclaimable), 18)
	assert.Equal(t, sum(plan, Firm), 18)
	for place, n := range plan {
		if place.Kind == Reclaimable {
			d.Have[place] = n
		}
	}
	plan = p.Plan(d, now+4*time.Second)
	assert.Equal(t, sum(plan, Reclaimable), 18)
	assert.Equal(t, sum(plan, Firm), 6)
	for place, n := range plan {
		d.Have[place] = n
	}
	d.Work = 5000
	assert.Assert(t, sum(p.Plan(d, now+5*time.Second), Firm) < 6, "the load is known")
}

// TestARestartExchangesNothing replays a holder that has just started, beside upstreams
// that others have ordered.
func TestARestartExchangesNothing(t *testing.T) {
	d := demand(0)
	d.Have = map[Place]int{{"s", "a", Firm}: 2, {"s", "a", Reclaimable}: 4}
	assert.Equal(t, len(NewPlanner().Plan(d, time.Hour)), 0)
}

func TestUnknownLoadOrdersNothing(t *testing.T) {
	assert.Equal(t, len(NewPlanner().Plan(demand(0), time.Hour)), 0)
	d := demand(1000)
	d.Service = &catalog.Service{Name: "s"}
	assert.Equal(t, len(NewPlanner().Plan(d, time.Hour)), 0)
}

// TestLowLoadIsBelievedSlowly replays a wave: what its trough does not need is
// kept for its next crest.
func TestLowLoadIsBelievedSlowly(t *testing.T) {
	p := NewPlanner()
	now := time.Hour
	high := sum(p.Plan(demand(5000), now), Reclaimable)
	now += holdFor
	assert.Equal(t, sum(p.Plan(demand(1000), now), Reclaimable), high)
	for range 30 {
		now += time.Second
		p.Plan(demand(1000), now)
	}
	assert.Equal(t, sum(p.Plan(demand(1000), now), Reclaimable), 3)
	assert.Equal(t, sum(p.Plan(demand(5000), now), Reclaimable), high, "at once")
}

// TestANewHolderKeepsWhatIsThere replays a change of the holder in the trough of a wave.
func TestANewHolderKeepsWhatIsThere(t *testing.T) {
	d := demand(5000)
	high := steady(NewPlanner(), d, time.Hour)
	d.Work, d.Have = 2000, high
	assert.Equal(t, sum(NewPlanner().Plan(d, time.Hour), Reclaimable), sum(high, Reclaimable))
}

func TestNoReclaimableWhereThereAreNone(t *testing.T) {
	d := demand(3000)
	d.Service.Scaling.ReclaimablePriceRatio = 0
	assert.Equal(t, sum(NewPlanner().Plan(d, time.Hour), Reclaimable), 0)
}

// TestFullSlotsNeedUpstreams replays long answers of short prompts: slots are taken
// though little is to be read.
func TestFullSlotsNeedUpstreams(t *testing.T) {
	d := demand(1000)
	d.Service.Engine = &catalog.Engine{Slots: 12}
	d.Running = 120
	plan := steady(NewPlanner(), d, time.Hour)
	n := sum(plan, Reclaimable)
	assert.Assert(t, float64(n*12)*fullSlots >= 120, "%d", n)
	d.Running = 1
	assert.Equal(t, sum(steady(NewPlanner(), d, time.Hour), Reclaimable), 3, "by its work, one in each zone")
}

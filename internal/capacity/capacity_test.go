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
		Service: &catalog.Service{Name: "s", Scaling: &catalog.Scaling{Min: 1, Max: 12, ReclaimPrice: 0.22,
			ZonePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}},
		Zones: []string{"a", "b", "c"},
		Work:  work,
	}
}

func sum(plan map[Pool]int, k Kind) int {
	n := 0
	for p, count := range plan {
		if p.Kind == k {
			n += count
		}
	}
	return n
}

// steady returns the plan once all that was ordered has come, and what it replaces is gone.
func steady(p *Planner, d Demand, now time.Duration) map[Pool]int {
	for range 8 {
		d.Have = p.Plan(d, now)
	}
	return d.Have
}

// TestLostZoneLeavesRequiredCapacity replays loads up to what the zones take: without the
// reclaimable upstreams of any one zone, the rest carries the load until others have
// booted, in one zone as in three.
func TestLostZoneLeavesRequiredCapacity(t *testing.T) {
	for _, zones := range [][]string{{"a", "b", "c"}, {"a", "b"}, {"a"}} {
		for _, work := range []float64{100, 1000, 2500, 5000, 7000} {
			d := demand(work)
			d.Zones = zones
			plan := steady(NewPlanner(), d, time.Hour)
			largest, left := 0, 0
			for _, z := range zones {
				n := plan[Pool{"s", z, OnDemand}] + plan[Pool{"s", z, Reclaimable}]
				assert.Assert(t, n >= 1 && n <= 12, "%v: %d in %s", work, n, z)
				left += n
				largest = max(largest, plan[Pool{"s", z, Reclaimable}])
			}
			left -= largest
			assert.Assert(t, float64(left)*maxShortTermUtilization*1000 >= work || left+largest == 12*len(zones), "%v in %v: %d left", work, zones, left)
		}
	}
}

// TestCheaperUpstreamsGetMoreSlack compares what is kept for the same load at different prices.
func TestCheaperUpstreamsGetMoreSlack(t *testing.T) {
	last := 0
	for _, price := range []float64{0.9, 0.4, 0.2, 0.1} {
		d := demand(5000)
		d.Service.Scaling.ReclaimPrice = price
		n := sum(steady(NewPlanner(), d, time.Hour), Reclaimable)
		assert.Assert(t, n > last, "at %v: %d, before %d", price, n, last)
		last = n
	}
	d := demand(5000)
	d.Service.Scaling.ReclaimPrice = 0.001
	assert.Equal(t, sum(steady(NewPlanner(), d, time.Hour), Reclaimable), int(5/minUtilization))
}

// TestOnDemandReplacesReclaimed replays a reclaim of one zone while no others are to be had:
// what is missing is ordered on demand at once, and given back only when reclaimable
// ones are there again.
func TestOnDemandReplacesReclaimed(t *testing.T) {
	p, d, now := NewPlanner(), demand(5000), time.Hour
	plan := steady(p, d, now)
	d.Have = plan
	lost := make(map[Pool]int)
	for pool, n := range plan {
		lost[pool] = n
	}
	delete(lost, Pool{"s", "a", Reclaimable})
	delete(lost, Pool{"s", "b", Reclaimable})
	d.Have = lost
	replaced := p.Plan(d, now)
	required := int(math.Ceil(5000.0 / 1000 / maxUtilization))
	assert.Assert(t, sum(replaced, OnDemand) >= required-sum(lost, Reclaimable), "%v", replaced)

	d.Have = replaced
	d.Have[Pool{"s", "a", Reclaimable}], d.Have[Pool{"s", "b", Reclaimable}] = 0, 0
	d.Outstanding = map[Pool]int{{"s", "a", Reclaimable}: 4, {"s", "b", Reclaimable}: 4}
	assert.Equal(t, sum(p.Plan(d, now), OnDemand), sum(replaced, OnDemand), "ordered, not there")

	d.Have, d.Outstanding = plan, nil
	assert.Equal(t, sum(p.Plan(d, now), OnDemand), sum(plan, OnDemand), "there")
}

// TestOnDemandStaysUntilReclaimableBoot replays the first orders of a deployment that
// begins with on-demand upstreams only.
func TestOnDemandStaysUntilReclaimableBoot(t *testing.T) {
	p, d, now := NewPlanner(), demand(5000), time.Hour
	d.Have = map[Pool]int{{"s", "a", OnDemand}: 6, {"s", "b", OnDemand}: 6, {"s", "c", OnDemand}: 6}
	first := p.Plan(d, now)
	assert.Assert(t, float64(sum(first, OnDemand))*maxUtilization*1000 >= 5000, "%v", first)
	d.Outstanding = map[Pool]int{{"s", "a", Reclaimable}: 4}
	assert.Equal(t, sum(p.Plan(d, now), OnDemand), sum(first, OnDemand))
}

// TestShortageCoversNextReclaim replays two zones that are reclaimed one after the
// other while none are to be had: after the first, on-demand upstreams are ordered for
// the second.
func TestShortageCoversNextReclaim(t *testing.T) {
	p, d, now := NewPlanner(), demand(5000), time.Hour
	plan := steady(p, d, now)
	d.Have = make(map[Pool]int)
	for pool, n := range plan {
		d.Have[pool] = n
	}
	d.Have[Pool{"s", "a", Reclaimable}] = 0
	d.ReclaimableUnavailable = true
	next := p.Plan(d, now)
	left := min(plan[Pool{"s", "b", Reclaimable}], plan[Pool{"s", "c", Reclaimable}]) + sum(next, OnDemand)
	assert.Assert(t, float64(left)*maxUtilization*1000 >= 5000, "%d left of %v", left, next)
}

// TestOnDemandFillsZoneLimits replays a load for which the zones are full of reclaimable
// upstreams, and the reclaim of two zones: on-demand ones take the room that is left, and
// no zone is asked for more than it may have.
func TestOnDemandFillsZoneLimits(t *testing.T) {
	p, d, now := NewPlanner(), demand(20000), time.Hour
	plan := steady(p, d, now)
	assert.Equal(t, sum(plan, Reclaimable), 36)
	d.Have = map[Pool]int{{"s", "b", Reclaimable}: 12}
	d.ReclaimableUnavailable = true
	plan = p.Plan(d, now)
	assert.Equal(t, sum(plan, OnDemand), 24, "for what is missing, and for the loss of the last zone: %v", plan)
	for _, z := range d.Zones {
		assert.Assert(t, plan[Pool{"s", z, OnDemand}]+plan[Pool{"s", z, Reclaimable}] <= 12, "%v", plan)
	}
}

func TestCheapZonesFirst(t *testing.T) {
	d := demand(3.9 * maxUtilization * 1000) // 4 on demand
	d.Service.Scaling.ReclaimPrice = 0
	plan := NewPlanner().Plan(d, time.Hour)
	assert.Equal(t, plan[Pool{"s", "a", OnDemand}], 2)
	assert.Equal(t, plan[Pool{"s", "b", OnDemand}], 1)
	assert.Equal(t, plan[Pool{"s", "c", OnDemand}], 1)
}

// TestInitialPlanReplacesOnDemand replays the start of a deployment of on-demand
// upstreams: reclaimable ones take their place, and the on-demand ones leave once these
// are there, but for what one zone's reclaim would take.
func TestInitialPlanReplacesOnDemand(t *testing.T) {
	p, d, now := NewPlanner(), demand(0), time.Hour
	d.Have = map[Pool]int{{"s", "a", OnDemand}: 2}
	assert.Equal(t, len(p.Plan(d, now)), 0, "others may be there that have not entered themselves")
	d.Have = map[Pool]int{{"s", "a", OnDemand}: 6, {"s", "b", OnDemand}: 6, {"s", "c", OnDemand}: 6}
	assert.Equal(t, len(p.Plan(d, now+settleDelay)), 0)
	now += 2 * settleDelay
	plan := p.Plan(d, now)
	assert.Equal(t, sum(plan, Reclaimable), 18)
	assert.Equal(t, sum(plan, OnDemand), 18)
	for pool, n := range plan {
		if pool.Kind == Reclaimable {
			d.Have[pool] = n
		}
	}
	plan = p.Plan(d, now+4*time.Second)
	assert.Equal(t, sum(plan, Reclaimable), 18)
	assert.Equal(t, sum(plan, OnDemand), 6)
	for pool, n := range plan {
		d.Have[pool] = n
	}
	d.Work = 5000
	assert.Assert(t, sum(p.Plan(d, now+5*time.Second), OnDemand) < 6, "the load is known")
}

// TestInitialPlanSkipsRunningDeployment replays a holder that has just started, beside upstreams
// that others have ordered.
func TestInitialPlanSkipsRunningDeployment(t *testing.T) {
	d := demand(0)
	d.Have = map[Pool]int{{"s", "a", OnDemand}: 2, {"s", "a", Reclaimable}: 4}
	assert.Equal(t, len(NewPlanner().Plan(d, time.Hour)), 0)
}

func TestUnknownLoadOrdersNothing(t *testing.T) {
	assert.Equal(t, len(NewPlanner().Plan(demand(0), time.Hour)), 0)
	d := demand(1000)
	d.Service = &catalog.Service{Name: "s"}
	assert.Equal(t, len(NewPlanner().Plan(d, time.Hour)), 0)
}

// TestScaleDownIsDelayed replays a wave: what its trough does not need is
// kept for its next crest.
func TestScaleDownIsDelayed(t *testing.T) {
	p := NewPlanner()
	now := time.Hour
	high := sum(p.Plan(demand(5000), now), Reclaimable)
	now += scaleDownDelay
	assert.Equal(t, sum(p.Plan(demand(1000), now), Reclaimable), high)
	for range 30 {
		now += time.Second
		p.Plan(demand(1000), now)
	}
	assert.Equal(t, sum(p.Plan(demand(1000), now), Reclaimable), 3)
	assert.Equal(t, sum(p.Plan(demand(5000), now), Reclaimable), high, "at once")
}

// TestNewPlannerKeepsReclaimable replays a change of the holder in the trough of a wave.
func TestNewPlannerKeepsReclaimable(t *testing.T) {
	d := demand(5000)
	high := steady(NewPlanner(), d, time.Hour)
	d.Work, d.Have = 2000, high
	assert.Equal(t, sum(NewPlanner().Plan(d, time.Hour), Reclaimable), sum(high, Reclaimable))
}

func TestNoReclaimableWithoutPrice(t *testing.T) {
	d := demand(3000)
	d.Service.Scaling.ReclaimPrice = 0
	assert.Equal(t, sum(NewPlanner().Plan(d, time.Hour), Reclaimable), 0)
}

// TestSlotsRequireUpstreams replays long answers of short prompts: slots are taken
// though little is to be read.
func TestSlotsRequireUpstreams(t *testing.T) {
	d := demand(1000)
	d.Service.Engine = &catalog.Engine{Slots: 12}
	d.Running = 120
	plan := steady(NewPlanner(), d, time.Hour)
	n := sum(plan, Reclaimable)
	assert.Assert(t, float64(n*12)*maxSlotUse >= 120, "%d", n)
	d.Running = 1
	assert.Equal(t, sum(steady(NewPlanner(), d, time.Hour), Reclaimable), 3, "by its work, one in each zone")
}

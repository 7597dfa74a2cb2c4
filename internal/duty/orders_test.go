package duty

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/capacity"
)

var (
	firmA  = capacity.Place{Service: "s", Zone: "a", Kind: capacity.Firm}
	cheapA = capacity.Place{Service: "s", Zone: "a", Kind: capacity.Reclaimable}
	cheapB = capacity.Place{Service: "s", Zone: "b", Kind: capacity.Reclaimable}
)

// TestReclaimedUpstreamsAreOrderedAgain replays a zone that is reclaimed while its order is
// still young: what came and is gone is not awaited, but ordered again.
func TestReclaimedUpstreamsAreOrderedAgain(t *testing.T) {
	o := newOrderTracker(func(string) time.Duration { return 0 })
	o.record(cheapA, 4, 0, time.Minute)
	assert.Equal(t, o.outstanding(cheapA, 0, time.Minute+time.Second), 4)
	assert.Assert(t, o.inEffect(cheapA, 4, 0, time.Minute+time.Second))
	o.observe(map[capacity.Place]int{cheapA: 3})
	assert.Equal(t, o.outstanding(cheapA, 3, time.Minute+4*time.Second), 1)
	assert.Equal(t, o.outstanding(cheapA, 0, time.Minute+5*time.Second), 0)
	assert.Assert(t, !o.inEffect(cheapA, 4, 0, time.Minute+5*time.Second))
	assert.Equal(t, o.outstanding(cheapA, 3, time.Minute+defaultBootTime+registrationTime), 0, "should have booted")
}

// TestSortPlacesPutsIncreasesFirst orders more of one kind and less of another: the cut comes
// last, and the substitute for what may be refused after it was refused.
func TestSortPlacesPutsIncreasesFirst(t *testing.T) {
	list := sortPlaces(map[capacity.Place]int{firmA: 1, cheapA: 5, cheapB: 2}, map[capacity.Place]int{firmA: 6, cheapB: 4})
	assert.DeepEqual(t, list, []capacity.Place{cheapA, cheapB, firmA})
	list = sortPlaces(map[capacity.Place]int{firmA: 8, cheapA: 5}, map[capacity.Place]int{firmA: 6})
	assert.DeepEqual(t, list, []capacity.Place{cheapA, firmA})
}

// TestRefusedOrdersMarkReclaimableUnavailable has the cloud refuse: the next plan is told, on-demand
// refusals do not count.
func TestRefusedOrdersMarkReclaimableUnavailable(t *testing.T) {
	for _, c := range []struct {
		place capacity.Place
		want  bool
	}{{cheapA, true}, {firmA, false}} {
		env := newTestEnv(t)
		env.cloud.noCapacity = true
		d := env.duty("a")
		unavailable := false
		d.Plan = func(_ func(string, string) bool, _ map[capacity.Place]int, o OrderStatus) map[capacity.Place]int {
			unavailable = o.ReclaimableUnavailable("s")
			return map[capacity.Place]int{c.place: 2}
		}
		env.step(d) // takes the duty
		env.step(d) // orders
		assert.Assert(t, !unavailable)
		env.step(d)
		assert.Equal(t, unavailable, c.want)
	}
}

// TestOutstandingUntilBootTimeEnds orders upstreams that take half a minute to boot: they count as
// due until then, and the order is not given again.
func TestOutstandingUntilBootTimeEnds(t *testing.T) {
	o := newOrderTracker(func(string) time.Duration { return 30 * time.Second })
	o.record(cheapA, 4, 0, time.Minute)
	assert.Equal(t, o.outstanding(cheapA, 0, time.Minute+29*time.Second), 4)
	assert.Equal(t, o.outstanding(cheapA, 0, time.Minute+33*time.Second), 0)
}

package duty

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/capacity"
)

var (
	firmA  = capacity.Pool{Service: "s", Zone: "a", Kind: capacity.OnDemand}
	cheapA = capacity.Pool{Service: "s", Zone: "a", Kind: capacity.Reclaimable}
	cheapB = capacity.Pool{Service: "s", Zone: "b", Kind: capacity.Reclaimable}
)

// TestReclaimedSoonAfterTheOrder replays a zone that is reclaimed while its order is
// still young: what came and is gone is not awaited, but ordered again.
func TestReclaimedSoonAfterTheOrder(t *testing.T) {
	o := newOrders(func(string) time.Duration { return 0 })
	o.given(cheapA, 4, 0, time.Minute)
	assert.Equal(t, o.due(cheapA, 0, time.Minute+time.Second), 4)
	assert.Assert(t, o.stands(cheapA, 4, 0, time.Minute+time.Second))
	o.look(map[capacity.Pool]int{cheapA: 3})
	assert.Equal(t, o.due(cheapA, 3, time.Minute+4*time.Second), 1)
	assert.Equal(t, o.due(cheapA, 0, time.Minute+5*time.Second), 0)
	assert.Assert(t, !o.stands(cheapA, 4, 0, time.Minute+5*time.Second))
	assert.Equal(t, o.due(cheapA, 3, time.Minute+usualBoot+enterAfter), 0, "should have booted")
}

// TestWhatIsAddedGoesFirst orders more of one kind and less of another: the cut comes
// last, and the substitute for what may be refused after it was refused.
func TestWhatIsAddedGoesFirst(t *testing.T) {
	list := sequence(map[capacity.Pool]int{firmA: 1, cheapA: 5, cheapB: 2}, map[capacity.Pool]int{firmA: 6, cheapB: 4})
	assert.DeepEqual(t, list, []capacity.Pool{cheapA, cheapB, firmA})
	list = sequence(map[capacity.Pool]int{firmA: 8, cheapA: 5}, map[capacity.Pool]int{firmA: 6})
	assert.DeepEqual(t, list, []capacity.Pool{cheapA, firmA})
}

// TestRefusalsTellOfADrought has the cloud refuse: the next plan is told, on-demand
// refusals do not count.
func TestRefusalsTellOfADrought(t *testing.T) {
	for _, c := range []struct {
		place capacity.Pool
		want  bool
	}{{cheapA, true}, {firmA, false}} {
		w := newWorld(t)
		w.cloud.none = true
		d := w.duty("a")
		told := false
		d.Plan = func(_ func(string, string) bool, _ map[capacity.Pool]int, o Orders) map[capacity.Pool]int {
			told = o.Drought("s")
			return map[capacity.Pool]int{c.place: 2}
		}
		w.step(d) // takes the duty
		w.step(d) // orders
		assert.Assert(t, !told)
		w.step(d)
		assert.Equal(t, told, c.want)
	}
}

// TestSlowBootsAreAwaited orders upstreams that take half a minute to boot: they count as
// due until then, and the order is not given again.
func TestSlowBootsAreAwaited(t *testing.T) {
	o := newOrders(func(string) time.Duration { return 30 * time.Second })
	o.given(cheapA, 4, 0, time.Minute)
	assert.Equal(t, o.due(cheapA, 0, time.Minute+29*time.Second), 4)
	assert.Equal(t, o.due(cheapA, 0, time.Minute+33*time.Second), 0)
}

package duty

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/capacity"
)

var (
	onDemandA    = capacity.Pool{Service: "s", Zone: "a", Kind: capacity.OnDemand}
	reclaimableA = capacity.Pool{Service: "s", Zone: "a", Kind: capacity.Reclaimable}
	reclaimableB = capacity.Pool{Service: "s", Zone: "b", Kind: capacity.Reclaimable}
)

// TestReclaimedUpstreamsAreOrderedAgain reclaims the upstreams of a zone shortly after they
// were ordered. Upstreams that came and are gone again must not count as outstanding, but
// be ordered again.
func TestReclaimedUpstreamsAreOrderedAgain(t *testing.T) {
	o := newOrderTracker(func(string) time.Duration { return 0 })
	o.record(reclaimableA, 4, 0, time.Minute)
	assert.Equal(t, o.outstanding(reclaimableA, 0, time.Minute+time.Second), 4)
	assert.Assert(t, o.inEffect(reclaimableA, 4, 0, time.Minute+time.Second))
	o.observe(map[capacity.Pool]int{reclaimableA: 3})
	assert.Equal(t, o.outstanding(reclaimableA, 3, time.Minute+4*time.Second), 1)
	assert.Equal(t, o.outstanding(reclaimableA, 0, time.Minute+5*time.Second), 0)
	assert.Assert(t, !o.inEffect(reclaimableA, 4, 0, time.Minute+5*time.Second))
	assert.Equal(t, o.outstanding(reclaimableA, 3, time.Minute+defaultBootTime+registrationTime), 0, "the time for boot and registration is over")
}

// TestSortPoolsPutsIncreasesFirst checks that decreases come last, and on-demand upstreams
// after the reclaimable ones that they replace, whose order may be refused.
func TestSortPoolsPutsIncreasesFirst(t *testing.T) {
	list := sortPools(map[capacity.Pool]int{onDemandA: 1, reclaimableA: 5, reclaimableB: 2}, map[capacity.Pool]int{onDemandA: 6, reclaimableB: 4})
	assert.DeepEqual(t, list, []capacity.Pool{reclaimableA, reclaimableB, onDemandA})
	list = sortPools(map[capacity.Pool]int{onDemandA: 8, reclaimableA: 5}, map[capacity.Pool]int{onDemandA: 6})
	assert.DeepEqual(t, list, []capacity.Pool{reclaimableA, onDemandA})
}

// TestRefusedOrdersMarkReclaimableUnavailable has the cloud refuse an order. The next plan
// must see reclaimable upstreams as unavailable, but not after the refusal of on-demand ones.
func TestRefusedOrdersMarkReclaimableUnavailable(t *testing.T) {
	for _, c := range []struct {
		pool capacity.Pool
		want bool
	}{{reclaimableA, true}, {onDemandA, false}} {
		env := newTestEnv(t)
		env.cloud.noCapacity = true
		d := env.duty("a")
		unavailable := false
		d.Plan = func(_ func(string, string) bool, _ map[capacity.Pool]int, o OrderStatus) map[capacity.Pool]int {
			unavailable = o.ReclaimableUnavailable("s")
			return map[capacity.Pool]int{c.pool: 2}
		}
		env.step(d) // acquires the duty
		env.step(d) // places the order
		assert.Assert(t, !unavailable)
		env.step(d)
		assert.Equal(t, unavailable, c.want)
	}
}

// TestOutstandingUntilBootTimeEnds orders upstreams that take half a minute to boot. They
// must count as outstanding until the boot and registration times are over.
func TestOutstandingUntilBootTimeEnds(t *testing.T) {
	o := newOrderTracker(func(string) time.Duration { return 30 * time.Second })
	o.record(reclaimableA, 4, 0, time.Minute)
	assert.Equal(t, o.outstanding(reclaimableA, 0, time.Minute+29*time.Second), 4)
	assert.Equal(t, o.outstanding(reclaimableA, 0, time.Minute+33*time.Second), 0)
}

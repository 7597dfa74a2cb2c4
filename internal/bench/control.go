package bench

import (
	"fmt"
	"io"
	"time"

	planner "github.com/lagoonmux/lagoonmux/internal/fleet"
	"github.com/lagoonmux/lagoonmux/internal/limits"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
)

// LimiterSlope fits the time of an admission against the number of customers.
func LimiterSlope(out io.Writer, sizes []int) {
	var decision []Point
	for _, n := range sizes {
		b := newLimiterBench(n)
		decision = append(decision, Point{float64(n), us(fastest(picks, b.decisions))})
	}
	Line("limits.decision_us", "customers", decision).Print(out)
}

type limiterBench struct {
	limiter   *limits.Limiter
	customers int
	now       time.Time
}

func newLimiterBench(customers int) *limiterBench {
	m := Fleet(1)
	m.Customers = nil
	for i := range customers {
		m.Customers = append(m.Customers, manifest.Customer{Name: customerName(i), Key: fmt.Sprintf("bench-key-%d", i),
			Weight: 1, RequestsPerSecond: 1e6, TokensPerSecond: 1e9, Concurrency: 1e6})
	}
	self := limits.Member{Name: "daemon-0", Cores: 2}
	b := &limiterBench{limiter: limits.NewLimiter(self, 1, func(limits.Decision) {}), customers: customers, now: time.Unix(1000, 0)}
	b.limiter.SetManifest(b.now, m)
	b.limiter.SetMembers(b.now, []limits.Member{self})
	b.limiter.SetCapacity(b.now, limits.Capacity{Service: "m", Slots: 1e6, Free: 1e6})
	return b
}

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

// decisions admits and ends requests of all customers in turn.
func (b *limiterBench) decisions() {
	for i := range picks {
		b.now = b.now.Add(100 * time.Microsecond)
		it := &limits.Request{Customer: customerName(i % b.customers), Service: "m", Class: manifest.Normal, Tokens: 100,
			Deadline: b.now.Add(time.Minute)}
		b.limiter.Submit(b.now, it)
		b.limiter.Done(b.now, it, 100, true)
	}
}

// PlannerSlope fits the time of one decision of the fleet duty against the
// number of runners of its service.
func PlannerSlope(out io.Writer, sizes []int) {
	var plan []Point
	for _, n := range sizes {
		in := plannerInput(n)
		plan = append(plan, Point{float64(n), us(fastest(1, func() { planner.Plan(in) }))})
	}
	Line("fleet.plan_us", "runners", plan).Print(out)
}

func plannerInput(runners int) *planner.Input {
	m := Fleet(runners)
	in := &planner.Input{
		Now: time.Unix(1000, 0), Service: "m", Floor: 1, Slots: 32, WeightLoads: 10, Classes: m.VMClasses,
		Bounds: manifest.Fleet{MaxUpstreams: 2 * runners, MaxPerHour: 1e6, MaxReclaimableShare: 0.58},
	}
	for i := range m.Upstreams {
		u := &m.Upstreams[i]
		in.Upstreams = append(in.Upstreams, planner.Upstream{Name: u.Name, VM: u.Name, Zone: u.Zone, VMClass: u.VMClass,
			Reclaimable: u.Reclaimable, PerHour: 1, Slots: u.Slots, InFlight: 28, Unavailable: i%14 == 0})
	}
	for i := range 14 {
		zone := fmt.Sprintf("zone-%d", i)
		in.Offers = append(in.Offers, cloud.Offer{VMClass: "g", Zone: zone, PerHour: 2},
			cloud.Offer{VMClass: "g", Zone: zone, Reclaimable: true, PerHour: 1})
	}
	return in
}

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

// LimiterSlope fits the time of one admission decision, with its end of request, against the number
// of customers.
func LimiterSlope(out io.Writer, sizes []int) {
	var decisionTimes []Point
	for _, size := range sizes {
		b := newLimiterBench(size)
		decisionTimes = append(decisionTimes, Point{float64(size), microseconds(fastestRun(decisionsPerRun, b.runDecisions))})
	}
	FitLine("limits.decision_us", "customers", decisionTimes).Print(out)
}

// limiterBench submits requests of all customers to a limiter with a simulated clock.
type limiterBench struct {
	limiter   *limits.Limiter
	customers int
	now       time.Time
}

func newLimiterBench(customers int) *limiterBench {
	m := SyntheticManifest(1)
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

// runDecisions submits and ends decisionsPerRun requests, of all customers in turn.
func (b *limiterBench) runDecisions() {
	for i := range decisionsPerRun {
		b.now = b.now.Add(100 * time.Microsecond)
		req := &limits.Request{Customer: customerName(i % b.customers), Service: "m", Class: manifest.Normal, Tokens: 100,
			Deadline: b.now.Add(time.Minute)}
		b.limiter.Submit(b.now, req)
		b.limiter.Done(b.now, req, 100, true)
	}
}

// PlannerSlope fits the time in which the fleet duty plans one service against the number of the
// service's upstreams.
func PlannerSlope(out io.Writer, sizes []int) {
	var planTimes []Point
	for _, size := range sizes {
		in := plannerInput(size)
		planTimes = append(planTimes, Point{float64(size), microseconds(fastestRun(1, func() { planner.Plan(in) }))})
	}
	FitLine("fleet.plan_us", "runners", planTimes).Print(out)
}

func plannerInput(upstreams int) *planner.Input {
	m := SyntheticManifest(upstreams)
	in := &planner.Input{
		Now: time.Unix(1000, 0), Service: "m", Floor: 1, Slots: 32, WeightLoads: 10, Classes: m.VMClasses,
		Bounds: manifest.Fleet{MaxUpstreams: 2 * upstreams, MaxPerHour: 1e6, MaxReclaimableShare: 0.58},
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

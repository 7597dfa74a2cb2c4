package node

import (
	"maps"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/capacity"
	"github.com/lagoonmux/lagoonmux/internal/duty"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
)

// planDelay is how long this daemon must have measured load before it orders upstreams
// according to it.
const planDelay = 4 * time.Second

// newDuty lets this daemon compete for the fleet duty; see package duty.
func (n *Node) newDuty() {
	planner := capacity.NewPlanner()
	n.duty = duty.New(duty.Config{
		Name:               n.Name,
		Incarnation:        n.incarnation,
		LeaseDuration:      n.LeaseDuration,
		Log:                n.log.Named("duty"),
		Store:              n.Store,
		Cloud:              n.Cloud,
		Clock:              n.Clock,
		Usage:              n.usage,
		Eligible:           func() bool { return n.mesh.Role() != mesh.Member },
		HeldElsewhere:      n.dutyHeldElsewhere,
		FinalizedElsewhere: n.finalized.Load,
		AllReachable: func() bool {
			all, reachable := n.mesh.CountDaemons()
			return all == reachable
		},
		EpochMS:  n.medianEpochMS,
		Have:     n.roster.countUsable,
		BootTime: n.bootTime,
		Plan: func(canOrder func(service, zone string) bool, have map[capacity.Pool]int, orders duty.OrderStatus) map[capacity.Pool]int {
			now := boottime.Now()
			if !n.OrdersUpstreams || n.Cloud == nil || n.proxy.Catalog() == nil {
				return nil
			}
			work := n.totalWork(now)
			if firstLoad := n.workMeter.FirstRequest(); firstLoad == 0 || now-firstLoad < planDelay {
				clear(work) // the load is not known yet
			}
			rolling := n.rollouts.inProgress()
			plan, outstanding := make(map[capacity.Pool]int), orders.Outstanding(have)
			for name, s := range n.proxy.Catalog().Services {
				cannotOrder := func(zone string) bool { return !canOrder(name, zone) }
				zones := slices.DeleteFunc(n.serviceZones(name), cannotOrder)
				d := capacity.Demand{Service: s, Zones: zones, Work: work[name], Running: n.placer.Running(name),
					Accepting: have, Rates: n.throttle.rates(name), WorkPerRequest: n.workMeter.PerRequest(name, now),
					Outstanding: outstanding, ReclaimableUnavailable: orders.ReclaimableUnavailable(name)}
				before := planner.Counts(name)
				counts := planner.Plan(d, now)
				if rolling[name] {
					keepAtLeast(counts, have)
				}
				maps.Copy(plan, counts)
				n.logPlan(d, before, planner.Counts(name))
			}
			return plan
		},
		ReportUsage: n.ReportsUsage && n.Cloud != nil,
	})
}

// keepAtLeast raises planned numbers of upstreams to the present ones: during a roll-out no
// decrease is ordered.
func keepAtLeast(plan, have map[capacity.Pool]int) {
	for pool := range plan {
		plan[pool] = max(plan[pool], have[pool])
	}
}

// logPlan logs the planned numbers of upstreams of a service if they have changed, with
// the demand that they were computed from.
func (n *Node) logPlan(d capacity.Demand, before, c capacity.Counts) {
	if c == before {
		return
	}
	n.log.Info("upstreams planned", "service", d.Service.Name, "reclaimable", c.Reclaimable, "on_demand", c.OnDemand, "enough", c.Required,
		"short", c.RequiredShortTerm, "drought", d.ReclaimableUnavailable, "work_ms", int(d.Work), "running", d.Running,
		"limited", len(d.Rates))
}

// bootTime returns how long an upstream of a service takes to boot, 0 if not known.
func (n *Node) bootTime(service string) time.Duration {
	c := n.proxy.Catalog()
	if c == nil {
		return 0
	}
	if s := c.Services[service]; s != nil && s.Scaling != nil {
		return s.Scaling.BootTime
	}
	return 0
}

// dutyHeldElsewhere reports whether another reachable daemon holds the fleet duty.
func (n *Node) dutyHeldElsewhere() bool {
	for _, s := range n.mesh.States() {
		if s.DutyToken != 0 && !s.Leaving {
			return true
		}
	}
	return false
}

// medianEpochMS returns the median epoch (unix time minus the store's clock, in
// milliseconds) of this daemon and the reachable ones, 0 if none is known.
func (n *Node) medianEpochMS() int64 {
	var list []int64
	if e, ok := n.Clock.Epoch(); ok {
		list = append(list, e.Milliseconds())
	}
	for _, s := range n.mesh.States() {
		if s.EpochMs != 0 {
			list = append(list, s.EpochMs)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// totalWork returns the work requested at this daemon and all reachable ones, in
// milliseconds of upstream time per second, by service.
func (n *Node) totalWork(now time.Duration) map[string]float64 {
	sum := n.workMeter.Rates(now)
	for _, s := range n.mesh.States() {
		for name, w := range s.Work {
			sum[name] += w
		}
	}
	return sum
}

// serviceZones returns the availability zones of the settings in which the service has
// a price for upstreams.
func (n *Node) serviceZones(service string) []string {
	seen := make(map[string]bool)
	if s := n.proxy.Catalog().Services[service]; s != nil && s.Scaling != nil {
		for _, z := range n.Zones {
			if _, priced := s.Scaling.ZonePrices[z]; priced {
				seen[z] = true
			}
		}
	}
	var list []string
	for z := range seen {
		list = append(list, z)
	}
	slices.Sort(list)
	return list
}

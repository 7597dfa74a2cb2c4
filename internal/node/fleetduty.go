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

// planAfter is how long the load must have been seen before upstreams are
// ordered by it.
const planAfter = 4 * time.Second

// newDuty makes the daemon compete for the fleet duty.
func (n *Node) newDuty() {
	planner := capacity.NewPlanner()
	n.duty = duty.New(duty.Config{
		Name:     n.Name,
		Born:     n.born,
		Lease:    n.Lease,
		Log:      n.log.Named("duty"),
		Store:    n.Store,
		Cloud:    n.Cloud,
		Clock:    n.Clock,
		Usage:    n.usage,
		Eligible: func() bool { return n.mesh.Role() != mesh.Member },
		Held:     n.dutyHeld,
		Complete: func() bool {
			all, touched := n.mesh.Count()
			return all == touched
		},
		EpochMS: n.epochMS,
		Have:    n.fleet.have,
		Boot:    n.bootTime,
		Plan: func(open func(service, zone string) bool, have map[capacity.Place]int, o duty.Orders) map[capacity.Place]int {
			now := boottime.Now()
			if !n.OrdersUpstreams || n.proxy.Catalog() == nil {
				return nil
			}
			work := n.totalWork(now)
			if first := n.work.FirstRequest(); first == 0 || now-first < planAfter {
				clear(work) // not known yet
			}
			plan, due := make(map[capacity.Place]int), o.Due(have)
			for name, s := range n.proxy.Catalog().Services {
				closed := func(zone string) bool { return !open(name, zone) }
				zones := slices.DeleteFunc(n.serviceZones(name), closed)
				d := capacity.Demand{Service: s, Zones: zones, Work: work[name], Running: n.placer.Running(name),
					Have: have, Due: due, Drought: o.Drought(name)}
				before := planner.Counts(name)
				maps.Copy(plan, planner.Plan(d, now))
				n.notePlan(d, before, planner.Counts(name))
			}
			return plan
		},
		Reports: n.ReportsUsage,
	})
}

// notePlan logs a plan that has changed, and what it was made of.
func (n *Node) notePlan(d capacity.Demand, before, c capacity.Counts) {
	if c == before {
		return
	}
	n.log.Info("upstreams planned", "service", d.Service.Name, "reclaimable", c.Cheap, "on_demand", c.Firm, "enough", c.Enough,
		"short", c.Short, "drought", d.Drought, "work_ms", int(d.Work), "running", d.Running)
}

// bootTime returns how long an upstream of a service takes to boot, 0 if that is not known.
func (n *Node) bootTime(service string) time.Duration {
	c := n.proxy.Catalog()
	if c == nil {
		return 0
	}
	if s := c.Services[service]; s != nil && s.Scaling != nil {
		return s.Scaling.Boot
	}
	return 0
}

// dutyHeld tells whether another daemon in touch holds the duty.
func (n *Node) dutyHeld() bool {
	for _, s := range n.mesh.States() {
		if s.DutyToken != 0 && !s.Leaving {
			return true
		}
	}
	return false
}

// epochMS returns the median of the epochs that the daemons in touch read.
func (n *Node) epochMS() int64 {
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

// totalWork returns the work asked for at all daemons in touch, by service.
func (n *Node) totalWork(now time.Duration) map[string]float64 {
	sum := n.work.Rates(now)
	for _, s := range n.mesh.States() {
		for name, w := range s.Work {
			sum[name] += w
		}
	}
	return sum
}

// serviceZones returns the zones in which upstreams of a service may be.
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

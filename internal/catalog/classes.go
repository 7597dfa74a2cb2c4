package catalog

import (
	"cmp"
	"slices"
	"time"
)

// class summarizes the routes of one priority to a service.
type class struct {
	priority int
	target   time.Duration // strictest latency target of these routes; 0 if none has one
}

// addClass adds a priority with a latency target to the classes of the service.
func (s *Service) addClass(priority int, target time.Duration) {
	i, found := slices.BinarySearchFunc(s.classes, priority, func(c class, p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		s.classes = slices.Insert(s.classes, i, class{priority: priority})
	}
	if c := &s.classes[i]; target > 0 && (c.target == 0 || target < c.target) {
		c.target = target
	}
}

// WaitTarget returns the latency target that bounds how long a request on r of a priority may
// wait for an upstream of the service. It is the strictest of that of r and those of the
// classes of the same and of higher priority: engines prefill in the order of admission as
// long as they have free slots, and a longer queue would have their requests refused or late.
// Classes that are absent do not count. Without a target of r, it is the service's strictest.
func (s *Service) WaitTarget(r *Route, priority int, absent func(priority int) bool) time.Duration {
	target := r.LatencyTarget
	if target <= 0 {
		return s.MinLatencyTarget
	}
	for _, c := range s.classes {
		if c.priority <= priority && c.target > 0 && c.target < target && !absent(c.priority) {
			target = c.target
		}
	}
	return target
}

// addCustomerClasses adds the priorities of customers to the classes of all services: requests of
// such a customer may be for any route.
func (b *Builder) addCustomerClasses() {
	for _, c := range b.c.Customers {
		if c.Priority < 0 {
			continue
		}
		for _, s := range b.c.Services {
			s.addClass(c.Priority, s.MinLatencyTarget)
		}
	}
}

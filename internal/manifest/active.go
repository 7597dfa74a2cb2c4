package manifest

import "sync/atomic"

// Active is a manifest in force, indexed by service name and customer key. It is
// immutable.
type Active struct {
	Generation int64 // starts at 1
	*Manifest

	services  map[string]*Service
	customers map[string]*Customer // by bearer token
}

// NewActive returns m indexed, with its generation.
func NewActive(generation int64, m *Manifest) *Active {
	a := &Active{
		Generation: generation,
		Manifest:   m,
		services:   make(map[string]*Service, len(m.Services)),
		customers:  make(map[string]*Customer, len(m.Customers)),
	}
	for i := range m.Services {
		a.services[m.Services[i].Name] = &m.Services[i]
	}
	for i := range m.Customers {
		a.customers[m.Customers[i].Key] = &m.Customers[i]
	}
	return a
}

// Service returns the named service, or nil.
func (a *Active) Service(name string) *Service { return a.services[name] }

// CustomerByKey returns the customer with the bearer token key, or nil.
func (a *Active) CustomerByKey(key []byte) *Customer { return a.customers[string(key)] }

// Route returns the route that matches method and path, or nil.
func (s *Service) Route(method, path string) *Route {
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Method == method && coversPath(r.Path, path) {
			return r
		}
	}
	return nil
}

// Current holds the manifest in force at one daemon. The zero value holds none.
// All methods may be called from any goroutine.
type Current struct {
	active atomic.Pointer[Active]
}

// Load returns the manifest in force, or nil if there is none yet.
func (c *Current) Load() *Active { return c.active.Load() }

// Advance puts a in force unless the manifest in force has the same or a higher
// generation. It reports whether a was put in force.
func (c *Current) Advance(a *Active) bool {
	for {
		old := c.active.Load()
		if old != nil && old.Generation >= a.Generation {
			return false
		}
		if c.active.CompareAndSwap(old, a) {
			return true
		}
	}
}

// Generation returns the generation in force, or 0 if there is none yet.
func (c *Current) Generation() int64 {
	if a := c.active.Load(); a != nil {
		return a.Generation
	}
	return 0
}

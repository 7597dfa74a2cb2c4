// Package catalog holds the configuration in force: routes, services, customers
// and limits, with the look-ups that each request needs. A Config is immutable.
package catalog

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be done with a request more than once.
type Kind int

// Kinds of requests.
const (
	Repeatable Kind = iota // may run more than once
	Once                   // may run at most once
	Stream                 // is answered by events; may run at most once unless resumable
)

// String returns the name used in logs.
func (k Kind) String() string { return [...]string{"repeatable", "once", "stream"}[k] }

// WeightedService is a service to which a part of a route's requests go.
type WeightedService struct {
	Service string
	Weight  int
}

// Route tells how requests of one host and path prefix are served.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool // a stream may go on at another upstream
	Public        bool // needs no customer key
	Timeout       time.Duration
	LatencyTarget time.Duration // to the answer or first event for full credit
	GapTarget     time.Duration // between events
	Priority      int           // 0 is the highest
	MaxAttempts   int           // upstreams to which one request may be sent
	Split         []WeightedService
}

// MayRerun tells whether a request that may have run can be sent again.
func (r *Route) MayRerun() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service chooses the service of a request; the same id gives the same choice.
func (r *Route) Service(id string) string {
	total := 0
	for _, t := range r.Split {
		total += t.Weight
	}
	if total <= 0 {
		return r.Split[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	n := int(h.Sum32() % uint32(total))
	for _, t := range r.Split {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return r.Split[0].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int
	CacheTokens int // memory for running requests and kept prompts
	// FetchRate is how many tokens of a prompt an engine fetches from another one that
	// keeps them, in a millisecond; 0 where it cannot.
	FetchRate float64
}

// Scaling tells how many upstreams of a service may be ordered.
type Scaling struct {
	Min, Max              int                // per availability zone, of both kinds together
	ReclaimablePriceRatio float64            // of a reclaimable upstream, as part of the full price; 0 where there are none
	ZonePrices            map[string]float64 // per second
	BootTime              time.Duration      // from an order until an upstream serves; 0 if not known
}

// Service is a group of equal upstreams.
type Service struct {
	Name     string
	MaxConns int      // connections that an upstream accepts from all daemons
	Engine   *Engine  // nil for a plain service
	Scaling  *Scaling // nil where none are ordered

	// Of the routes to it:
	MinLatencyTarget time.Duration // the shortest target; 0 for none
	TopPriority      int           // the highest priority, which is the lowest number
}

// Customer is one who sends requests.
type Customer struct {
	Name          string
	Priority      int // -1: that of the route
	ByTokens      bool
	DefaultTokens float64 // cost of a request that names no tokens
	Rate          float64 // requests or tokens a second over all daemons; 0 for no limit
	Burst         float64
}

// HTTPLimits bounds what a caller may send; zero fields leave the default.
type HTTPLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version   int64
	Limits    HTTPLimits
	Services  map[string]*Service
	Customers []*Customer

	byKey       map[string]*Customer
	routes      map[string][]*Route // by host, longest prefix first
	requireKeys bool
}

// Builder collects the parts of a Config.
type Builder struct{ c *Config }

// NewBuilder starts a configuration.
func NewBuilder(version int64, limits HTTPLimits) *Builder {
	return &Builder{c: &Config{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]*Service),
		byKey:    make(map[string]*Customer),
		routes:   make(map[string][]*Route),
	}}
}

// AddRoute adds a route.
func (b *Builder) AddRoute(r *Route) {
	host := strings.ToLower(r.Host)
	b.c.routes[host] = append(b.c.routes[host], r)
}

// AddService adds a service.
func (b *Builder) AddService(s *Service) { b.c.Services[s.Name] = s }

// AddCustomer adds a customer with its keys. From the first one on, requests
// need a key.
func (b *Builder) AddCustomer(c *Customer, keys []string) {
	b.c.requireKeys = true
	b.c.Customers = append(b.c.Customers, c)
	for _, k := range keys {
		b.c.byKey[k] = c
	}
}

// Build returns the configuration. The builder must not be used after it.
func (b *Builder) Build() *Config {
	b.summarizeRoutes()
	for _, list := range b.c.routes {
		slices.SortStableFunc(list, func(x, y *Route) int { return cmp.Compare(len(y.Prefix), len(x.Prefix)) })
	}
	return b.c
}

// summarizeRoutes notes at each service what its routes ask of it.
func (b *Builder) summarizeRoutes() {
	routed := make(map[*Service]bool)
	for _, list := range b.c.routes {
		for _, r := range list {
			for _, t := range r.Split {
				s := b.c.Services[t.Service]
				if s == nil {
					continue
				}
				if r.LatencyTarget > 0 && (s.MinLatencyTarget == 0 || r.LatencyTarget < s.MinLatencyTarget) {
					s.MinLatencyTarget = r.LatencyTarget
				}
				if !routed[s] || r.Priority < s.TopPriority {
					s.TopPriority = r.Priority
				}
				routed[s] = true
			}
		}
	}
}

// Route returns the route of a request, or nil. The port of host, if any, is
// ignored.
func (c *Config) Route(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	path, _, _ = strings.Cut(path, "?")
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey tells whether requests on r need a customer key.
func (c *Config) NeedsKey(r *Route) bool { return c.requireKeys && !r.Public }

// Customer returns the holder of a key, or nil.
func (c *Config) Customer(key string) *Customer { return c.byKey[key] }

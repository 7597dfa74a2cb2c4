// Package catalog holds the active configuration (routes, services, customers and limits)
// and the lookups that each request needs. A Config is immutable.
package catalog

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Kind defines whether a request may run more than once.
type Kind int

// Kinds of requests.
const (
	Repeatable Kind = iota // idempotent: may run more than once
	Once                   // not idempotent: may run at most once
	Stream                 // has a response of events; may run at most once unless the route is Resumable
)

// String returns the name that logs use.
func (k Kind) String() string { return [...]string{"repeatable", "once", "stream"}[k] }

// WeightedService is a service that gets a fraction of a route's requests: Weight divided
// by the sum of the route's weights.
type WeightedService struct {
	Service string
	Weight  int
}

// Route defines how requests of one host and path prefix are served.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Resumable     bool // a broken stream may continue at another upstream
	Public        bool // requests need no customer key
	Timeout       time.Duration
	LatencyTarget time.Duration // for the time until the response or the first event, above which it counts as late; 0 for none
	GapTarget     time.Duration // for the longest time between two events, above which the response counts as late; 0 for none
	Priority      int           // 0 is the highest
	MaxAttempts   int           // upstreams to which one request may be sent
	Split         []WeightedService
}

// MayRerun reports whether a request that may have run already can be sent again.
func (r *Route) MayRerun() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request id, chosen by the hash of the id and the
// weights: the same id always gets the same service. Without a positive weight it is the
// first one.
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
	n := int(uint64(h.Sum32()) % uint64(total))
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
	CacheTokens int // KV memory for running requests and cached prompts
	// FetchRate is the rate, in prompt tokens per millisecond, at which an engine fetches
	// cached prompts from another engine; 0 if it cannot.
	FetchRate float64
}

// Scaling defines how many upstreams of a service may be ordered, and their prices.
type Scaling struct {
	MinPerZone, MaxPerZone int                // upstreams per availability zone, reclaimable and on-demand together
	ReclaimablePriceRatio  float64            // price of a reclaimable upstream divided by the on-demand price; 0 if there are none
	ZonePrices             map[string]float64 // on-demand price per second, by availability zone
	BootTime               time.Duration      // from the order until the upstream serves; 0 if unknown
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name     string
	MaxConns int      // connections that one upstream accepts from all daemons together
	Engine   *Engine  // nil for a plain service
	Scaling  *Scaling // nil if no upstreams are ordered
	// HealthPath is the path of health checks; empty if the configuration names none.
	HealthPath string

	// Summary of the routes to the service, set by Build.
	MinLatencyTarget time.Duration // shortest target; 0 if no route has one
	TopPriority      int           // highest priority, which is the lowest number
	classes          []class       // most urgent first
}

// Customer is a sender of requests, identified by its keys.
type Customer struct {
	Name          string
	Priority      int     // -1 for the priority of the route
	LimitByTokens bool    // Rate and Burst count tokens, not requests
	DefaultTokens float64 // cost of a request without a token count, if LimitByTokens is set
	Rate          float64 // tokens or requests per second over all daemons; 0 for no limit
	Burst         float64 // tokens or requests

	// Weight of the customer's share of a service that cannot serve all requests, set by Build: its
	// rate divided by the mean rate of the customers that are limited in the same unit;
	// 1 without a limit.
	Weight float64
}

// HTTPLimits bounds the requests of callers. Zero fields mean the daemon's defaults.
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

	byKey       map[string]*Customer // by customer key
	routes      map[string][]*Route  // by lower-case host, longest prefix first
	requireKeys bool                 // there are customers
}

// Builder builds a Config.
type Builder struct{ c *Config }

// NewBuilder returns a Builder for an empty configuration.
func NewBuilder(version int64, limits HTTPLimits) *Builder {
	return &Builder{c: &Config{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]*Service),
		byKey:    make(map[string]*Customer),
		routes:   make(map[string][]*Route),
	}}
}

// AddRoute adds a route. Hosts are compared without regard to case.
func (b *Builder) AddRoute(r *Route) {
	host := strings.ToLower(r.Host)
	b.c.routes[host] = append(b.c.routes[host], r)
}

// AddService adds a service, or replaces the one of the same name.
func (b *Builder) AddService(s *Service) { b.c.Services[s.Name] = s }

// AddCustomer adds a customer with its keys. A configuration with any customer requires a
// key for all routes that are not Public.
func (b *Builder) AddCustomer(c *Customer, keys []string) {
	b.c.requireKeys = true
	b.c.Customers = append(b.c.Customers, c)
	for _, k := range keys {
		b.c.byKey[k] = c
	}
}

// Build returns the configuration. The builder must not be used afterwards.
func (b *Builder) Build() *Config {
	b.summarizeRoutes()
	b.summarizeCustomers()
	b.addCustomerClasses()
	for _, list := range b.c.routes {
		slices.SortStableFunc(list, func(x, y *Route) int { return cmp.Compare(len(y.Prefix), len(x.Prefix)) })
	}
	return b.c
}

// summarizeRoutes sets MinLatencyTarget and TopPriority of each service.
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
				s.addClass(r.Priority, r.LatencyTarget)
				routed[s] = true
			}
		}
	}
}

// Route returns the route with the longest matching prefix, or nil. A port in host and a
// query in path are ignored.
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

// NeedsKey reports whether requests on r need a customer key.
func (c *Config) NeedsKey(r *Route) bool { return c.requireKeys && !r.Public }

// Customer returns the customer with a key, or nil.
func (c *Config) Customer(key string) *Customer { return c.byKey[key] }

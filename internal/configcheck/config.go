// Package configcheck finds mistakes in a configuration before daemons read it, and lists how it
// differs from the one in force. It reads no files and opens no connections.
package configcheck

import (
	"fmt"
	"time"
)

// Config is a configuration as decoded, with the mistakes that a daemon refuses or ignores.
type Config struct {
	Version   int64
	Limits    HTTPLimits
	Routes    []Route
	Services  []Service
	Customers []Customer

	// Decoding lists what was found while the text was decoded. An entry with an error in it
	// has zero values in the fields that could not be decoded.
	Decoding []Finding
}

// HTTPLimits bounds the requests of callers.
type HTTPLimits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Route defines how requests of one host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               string
	KnownKind          bool
	Timeout            time.Duration
	LatencyTarget      time.Duration
	GapTarget          time.Duration
	Priority           int
	MaxAttempts        int
	Public, Resumable  bool
	Service            string // used if Split is empty
	Split              []WeightedService
}

// WeightedService is a service with its weight, rounded as daemons do.
type WeightedService struct {
	Service string
	Weight  int
}

// services returns the services of the route, with a weight of 1 for a single one.
func (r *Route) services() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name     string
	MaxConns int
	Engine   *Engine
	Scaling  *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots, CacheTokens int
	FetchRate          float64 // tokens per millisecond
}

// Scaling bounds the number of upstreams of a service in each zone.
type Scaling struct {
	Min, Max              int
	ReclaimablePriceRatio float64
	ZonePrices            map[string]float64
	BootTime              time.Duration
}

// Customer is a sender of requests.
type Customer struct {
	Name          string
	Keys          []string
	Priority      *int // nil for the priority of the route
	LimitByTokens bool
	DefaultTokens float64
	Rate, Burst   float64
}

// Kinds of entries, as findings name them.
const (
	KindConfig   = "configuration"
	KindRoute    = "route"
	KindService  = "service"
	KindCustomer = "customer"
)

// EntryName returns how findings name the entry at an index of its list. The position tells
// entries of the same name apart.
func EntryName(kind string, index int, name string) string {
	return fmt.Sprintf("%s %d (%q)", kind, index+1, name)
}

// Package manifest defines what operators declare: services, upstreams,
// customers, prices and latency targets.
//
// A manifest is validated as a whole and never modified: a new manifest with a
// higher generation replaces the one in force.
package manifest

import (
	"encoding/json"

	"github.com/lagoonmux/lagoonmux/internal/jsonc"
)

// Kind is the protocol by which a service is called.
type Kind string

// Kinds of service.
const (
	Model Kind = "model" // language model, called by the completions API
	Plain Kind = "plain" // any other HTTP service
)

// Class is the priority class of a request.
type Class string

// Priority classes, highest priority first.
const (
	Urgent Class = "urgent" // a user waits for a short response
	Normal Class = "normal"
	Lot    Class = "lot" // long requests processed asynchronously with the capacity that the other classes leave
)

// Policy names a routing policy.
type Policy string

// Routing policies. ExpectedLatency is the default, the others are baselines for
// comparison.
const (
	ExpectedLatency Policy = "expected" // lowest expected time to first token
	RoundRobin      Policy = "round-robin"
	LeastInFlight   Policy = "least-in-flight"
	PrefixHash      Policy = "prefix-hash"
)

// Manifest declares the services, upstreams, customers and VM classes of a
// deployment.
type Manifest struct {
	Services  []Service  `json:"services" validate:"required,min=1,dive"`
	Upstreams []Upstream `json:"upstreams" validate:"required,min=1,dive"`
	Customers []Customer `json:"customers" validate:"required,min=1,dive"`
	VMClasses []VMClass  `json:"vm_classes" validate:"required,min=1,dive"`
	Fleet     *Fleet     `json:"fleet,omitempty"`
}

// Service is a model or HTTP service that callers can call.
type Service struct {
	Name         string  `json:"name" validate:"required,max=64"`
	Kind         Kind    `json:"kind" validate:"required,oneof=model plain"`
	Class        Class   `json:"class,omitempty" validate:"omitempty,oneof=urgent normal lot"`
	Policy       Policy  `json:"policy,omitempty" validate:"omitempty,oneof=expected round-robin least-in-flight prefix-hash"`
	Target       Target  `json:"target"`
	Routes       []Route `json:"routes,omitempty" validate:"dive"`
	RetryShare   float64 `json:"retry_share,omitempty" validate:"gte=0,lte=1"`                      // limit of retries as a fraction of requests; 0 means the default
	MaxBodyBytes int     `json:"max_body_bytes,omitempty" validate:"omitempty,min=1,max=268435456"` // limit of request bodies; 0 means the default
	Floor        int     `json:"floor,omitempty" validate:"gte=0"`                                  // minimum number of upstreams
}

// Target is the latency target of a service, in milliseconds; 0 means no target.
type Target struct {
	FirstTokenMS    int `json:"first_token_ms,omitempty" validate:"gte=0"`
	BetweenTokensMS int `json:"between_tokens_ms,omitempty" validate:"gte=0"`
	TotalMS         int `json:"total_ms" validate:"required,min=1"` // timeout of requests that specify none
}

// Route is a method and path of a plain service.
type Route struct {
	Method     string `json:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string `json:"path" validate:"required,startswith=/"` // prefix that matches whole path segments
	Repeatable bool   `json:"repeatable"`                            // safe to run more than once
	Class      Class  `json:"class,omitempty" validate:"omitempty,oneof=urgent normal lot"`
}

// Upstream is one server that runs one service.
type Upstream struct {
	Name         string `json:"name" validate:"required,max=64"`
	Service      string `json:"service" validate:"required"`
	Address      string `json:"address" validate:"required,hostname_port"`
	Zone         string `json:"zone" validate:"required"`
	VMClass      string `json:"vm_class" validate:"required"`
	Reclaimable  bool   `json:"reclaimable"`
	ChecksFence  bool   `json:"checks_fence"`                              // refuses orders with an outdated fencing token
	Slots        int    `json:"slots" validate:"required,min=1"`           // maximum number of requests in one batch
	CacheTokens  int    `json:"cache_tokens,omitempty" validate:"gte=0"`   // capacity of the prefix cache
	PrefillPerMS int    `json:"prefill_per_ms,omitempty" validate:"gte=0"` // declared prefill rate in tokens per millisecond; 0 means unknown
}

// Customer is a party that pays for requests. The limits apply to the sum over
// all daemons.
type Customer struct {
	Name              string  `json:"name" validate:"required,max=64"`
	Key               string  `json:"key" validate:"required,min=8"` // bearer token
	Weight            float64 `json:"weight" validate:"required,gt=0"`
	RequestsPerSecond float64 `json:"requests_per_second" validate:"required,gt=0"`
	TokensPerSecond   float64 `json:"tokens_per_second" validate:"required,gt=0"`
	Concurrency       int     `json:"concurrency" validate:"required,min=1"`
}

// VMClass is a VM type that the cloud offers, with its prices.
type VMClass struct {
	Name               string  `json:"name" validate:"required,max=64"`
	OnDemandPerHour    float64 `json:"on_demand_per_hour" validate:"required,gt=0"`
	ReclaimablePerHour float64 `json:"reclaimable_per_hour" validate:"required,gt=0"`
	Accelerators       int     `json:"accelerators,omitempty" validate:"gte=0"`
	ReclaimsPerDay     float64 `json:"reclaims_per_day,omitempty" validate:"gte=0"` // expected reclaims of one reclaimable VM
	PrefillPerMS       int     `json:"prefill_per_ms,omitempty" validate:"gte=0"`
}

// Fleet limits the upstreams that the holder of the fleet duty may order.
type Fleet struct {
	MaxUpstreams        int     `json:"max_upstreams" validate:"required,min=1"`
	MaxPerHour          float64 `json:"max_per_hour" validate:"required,gt=0"` // total price of the running VMs
	MaxReclaimableShare float64 `json:"max_reclaimable_share" validate:"gte=0,lte=1"`
	WeightLoads         float64 `json:"weight_loads_per_second,omitempty" validate:"gte=0"` // model loads that the weight store can serve
	// Templates describe the upstreams that the fleet duty starts, at most one per
	// service. The fleet duty starts no upstreams of a service without a template.
	Templates []Template `json:"templates,omitempty" validate:"dive"`
}

// Template describes the upstreams of one service that the fleet duty starts.
// Their zone, VM class, address and name come from the cloud's list of VMs.
type Template struct {
	Service     string `json:"service" validate:"required"`
	ChecksFence bool   `json:"checks_fence"`
	Slots       int    `json:"slots" validate:"required,min=1"`
	CacheTokens int    `json:"cache_tokens,omitempty" validate:"gte=0"`
	Version     string `json:"version,omitempty"` // model version to load
}

// Parse decodes and validates a manifest given as JSON with comments and sets
// defaults. Violations are returned as jsonc.Errors, syntax errors as an error
// with their position. The file name is used in errors only.
func Parse(file string, data []byte) (*Manifest, error) {
	m := &Manifest{}
	doc, err := jsonc.Decode(file, data, m)
	if err != nil {
		return nil, err
	}
	m.check(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	m.setDefaults()
	return m, nil
}

// Encode returns the manifest as JSON without comments, which Parse accepts.
func (m *Manifest) Encode() ([]byte, error) {
	return json.Marshal(m)
}

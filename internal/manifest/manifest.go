// Package manifest defines what operators declare: services, upstreams,
// customers, prices and latency targets.
//
// A manifest is validated whole. It never changes in place: a new one replaces
// the one in force, under a higher generation.
package manifest

import (
	"encoding/json"

	"github.com/lagoonmux/lagoonmux/internal/jsonc"
)

// Kind tells how a service is called.
type Kind string

// Kinds of service.
const (
	Model Kind = "model" // language model behind the completions calls
	Plain Kind = "plain" // any other HTTP service
)

// Class is the urgency of a request, from Urgent to Lot.
type Class string

// Classes of request, most urgent first.
const (
	Urgent Class = "urgent" // a person waits for one short answer
	Normal Class = "normal"
	Lot    Class = "lot" // long accepted work, which fills what is left
)

// Policy names a routing policy.
type Policy string

// Routing policies. All but Expected are baselines.
const (
	Expected      Policy = "expected" // least expected time to first token
	RoundRobin    Policy = "round-robin"
	LeastInFlight Policy = "least-in-flight"
	PrefixHash    Policy = "prefix-hash"
)

// Manifest is one complete declaration of what runs.
type Manifest struct {
	Services  []Service  `json:"services" validate:"required,min=1,dive"`
	Upstreams []Upstream `json:"upstreams" validate:"required,min=1,dive"`
	Customers []Customer `json:"customers" validate:"required,min=1,dive"`
	VMClasses []VMClass  `json:"vm_classes" validate:"required,min=1,dive"`
	Fleet     *Fleet     `json:"fleet,omitempty"`
}

// Service is one thing that callers can ask for.
type Service struct {
	Name         string  `json:"name" validate:"required,max=64"`
	Kind         Kind    `json:"kind" validate:"required,oneof=model plain"`
	Class        Class   `json:"class,omitempty" validate:"omitempty,oneof=urgent normal lot"`
	Policy       Policy  `json:"policy,omitempty" validate:"omitempty,oneof=expected round-robin least-in-flight prefix-hash"`
	Target       Target  `json:"target"`
	Routes       []Route `json:"routes,omitempty" validate:"dive"`
	RetryShare   float64 `json:"retry_share,omitempty" validate:"gte=0,lte=1"`                      // retries as a share of requests; 0 means the default
	MaxBodyBytes int     `json:"max_body_bytes,omitempty" validate:"omitempty,min=1,max=268435456"` // request body
	Floor        int     `json:"floor,omitempty" validate:"gte=0"`                                  // least number of upstreams to keep
}

// Target is the latency that a service promises.
type Target struct {
	FirstTokenMS    int `json:"first_token_ms,omitempty" validate:"gte=0"`
	BetweenTokensMS int `json:"between_tokens_ms,omitempty" validate:"gte=0"`
	TotalMS         int `json:"total_ms" validate:"required,min=1"` // the caller's patience when it names none
}

// Route is one path of a plain service.
type Route struct {
	Method     string `json:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string `json:"path" validate:"required,startswith=/"` // prefix, matched by whole segments
	Repeatable bool   `json:"repeatable"`                            // whether a second run does no harm
	Class      Class  `json:"class,omitempty" validate:"omitempty,oneof=urgent normal lot"`
}

// Upstream is one runner of one service.
type Upstream struct {
	Name         string `json:"name" validate:"required,max=64"`
	Service      string `json:"service" validate:"required"`
	Address      string `json:"address" validate:"required,hostname_port"`
	Zone         string `json:"zone" validate:"required"`
	VMClass      string `json:"vm_class" validate:"required"`
	Reclaimable  bool   `json:"reclaimable"`
	ChecksFence  bool   `json:"checks_fence"`                              // refuses an order with an old fencing number
	Slots        int    `json:"slots" validate:"required,min=1"`           // requests in one batch
	CacheTokens  int    `json:"cache_tokens,omitempty" validate:"gte=0"`   // prefix cache
	PrefillPerMS int    `json:"prefill_per_ms,omitempty" validate:"gte=0"` // declared tokens prefilled a millisecond; 0 is unknown
}

// Customer is one party that pays for requests. The limits hold for all
// daemons together.
type Customer struct {
	Name              string  `json:"name" validate:"required,max=64"`
	Key               string  `json:"key" validate:"required,min=8"` // bearer key
	Weight            float64 `json:"weight" validate:"required,gt=0"`
	RequestsPerSecond float64 `json:"requests_per_second" validate:"required,gt=0"`
	TokensPerSecond   float64 `json:"tokens_per_second" validate:"required,gt=0"`
	Concurrency       int     `json:"concurrency" validate:"required,min=1"`
}

// VMClass is one class of VM that the cloud offers.
type VMClass struct {
	Name               string  `json:"name" validate:"required,max=64"`
	OnDemandPerHour    float64 `json:"on_demand_per_hour" validate:"required,gt=0"`
	ReclaimablePerHour float64 `json:"reclaimable_per_hour" validate:"required,gt=0"`
	Accelerators       int     `json:"accelerators,omitempty" validate:"gte=0"`
	ReclaimsPerDay     float64 `json:"reclaims_per_day,omitempty" validate:"gte=0"` // expected for one reclaimable VM
	PrefillPerMS       int     `json:"prefill_per_ms,omitempty" validate:"gte=0"`
}

// Fleet bounds what the fleet duty may buy.
type Fleet struct {
	MaxUpstreams        int     `json:"max_upstreams" validate:"required,min=1"`
	MaxPerHour          float64 `json:"max_per_hour" validate:"required,gt=0"` // spend
	MaxReclaimableShare float64 `json:"max_reclaimable_share" validate:"gte=0,lte=1"`
	WeightLoads         float64 `json:"weight_loads_per_second,omitempty" validate:"gte=0"` // that the weight store serves
	// Templates describes the upstreams that the fleet duty starts, at most one
	// for each service. A service without one is never enlarged.
	Templates []Template `json:"templates,omitempty" validate:"dive"`
}

// Template describes the upstreams of one service that the fleet duty starts.
// Zone, VM class, address and name come from the list of VMs.
type Template struct {
	Service     string `json:"service" validate:"required"`
	ChecksFence bool   `json:"checks_fence"`
	Slots       int    `json:"slots" validate:"required,min=1"`
	CacheTokens int    `json:"cache_tokens,omitempty" validate:"gte=0"`
	Version     string `json:"version,omitempty"` // of the model to load
}

// Parse validates a manifest given as JSON with comments. Errors of the text
// are jsonc.Errors with line, field and rule.
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

// Encode returns the manifest as plain JSON, which Parse accepts.
func (m *Manifest) Encode() ([]byte, error) {
	return json.Marshal(m)
}

package bench

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// floodingCustomer is the index in Mix.Customers of the customer that sends the extra
// requests of Scenario.FloodFactor.
const floodingCustomer = 0

// Scenario is the load and the faults of a fleet under which policies are compared.
type Scenario struct {
	Name           string
	LoadFactor     float64       // request rate as a fraction of what the fleet sustains
	MixedSpeeds    bool          // upstreams differ up to fourfold in prefill rate; the manifest states one rate for all
	ReclaimZone    bool          // every upstream of one zone gets reclaimNotice after a third of the run
	ReportDelay    time.Duration // delay of load reports and cache events
	EventLoss      float64       // fraction of the cache events that are dropped
	SlowUpstream   bool          // one upstream is ten times slower than the manifest states
	FloodFactor    int           // extra requests of the flooding customer per request of the mix
	CustomerLimits bool          // customers are limited to twice the request rate that the mix needs
	ShiftInterval  time.Duration // interval at which the popular groups are replaced; 0 for never
}

// Scenarios are the scenarios of the routing bench.
var Scenarios = []Scenario{
	{Name: "speeds", LoadFactor: 0.7, MixedSpeeds: true},
	{Name: "overload", LoadFactor: 1.3},
	{Name: "reclaim", LoadFactor: 0.55, ReclaimZone: true},
	{Name: "stale", LoadFactor: 0.7, ReportDelay: 2 * time.Second, EventLoss: 0.2},
	{Name: "slow-one", LoadFactor: 0.6, SlowUpstream: true},
	{Name: "at-limit", LoadFactor: 0.4, CustomerLimits: true, FloodFactor: 1},
	{Name: "flood", LoadFactor: 0.4, CustomerLimits: true, FloodFactor: 19},
	{Name: "shift", LoadFactor: 0.7, ShiftInterval: 3 * time.Second},
}

// Policies lists the routing policies that are compared.
var Policies = []manifest.Policy{manifest.ExpectedLatency, manifest.RoundRobin, manifest.LeastInFlight, manifest.PrefixHash}

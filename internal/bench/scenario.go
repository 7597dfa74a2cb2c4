package bench

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const floodingCustomer = 0

// Scenario is one situation under which the policies are compared.
type Scenario struct {
	Name           string
	LoadFactor     float64       // as a part of what the fleet sustains
	MixedSpeeds    bool          // fourfold differences of speed that the manifest does not tell
	ReclaimZone    bool          // a zone is reclaimed at a third, on five seconds' notice
	ReportDelay    time.Duration // of load reports and cache events
	EventLoss      float64       // of the cache events
	SlowUpstream   bool          // one runner is ten times slower than the manifest tells
	FloodFactor    int           // requests that the flooding customer adds to each of its own
	CustomerLimits bool          // customers are limited to twice what the mix needs
	ShiftInterval  time.Duration // after which other groups are popular
}

// Scenarios are the situations of the routing bench.
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

// Policies are the routing policies compared.
var Policies = []manifest.Policy{manifest.Expected, manifest.RoundRobin, manifest.LeastInFlight, manifest.PrefixHash}

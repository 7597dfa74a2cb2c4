package bench

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

const floodCustomer = 0

// Scenario is one situation under which the policies are compared.
type Scenario struct {
	Name     string
	Load     float64       // as a part of what the fleet sustains
	Speeds   bool          // fourfold differences of speed that the manifest does not tell
	Reclaim  bool          // a zone is reclaimed at a third, on five seconds' notice
	LoadLag  time.Duration // of load reports and cache events
	LostPart float64       // of the cache events
	SlowOne  bool          // one runner is ten times slower than the manifest tells
	Flood    int           // requests that the flooding customer adds to each of its own
	Limits   bool          // customers are limited to twice what the mix needs
	Shift    time.Duration // after which other groups are popular
}

// Scenarios are the situations of the routing bench.
var Scenarios = []Scenario{
	{Name: "speeds", Load: 0.7, Speeds: true},
	{Name: "overload", Load: 1.3},
	{Name: "reclaim", Load: 0.55, Reclaim: true},
	{Name: "stale", Load: 0.7, LoadLag: 2 * time.Second, LostPart: 0.2},
	{Name: "slow-one", Load: 0.6, SlowOne: true},
	{Name: "at-limit", Load: 0.4, Limits: true, Flood: 1},
	{Name: "flood", Load: 0.4, Limits: true, Flood: 19},
	{Name: "shift", Load: 0.7, Shift: 3 * time.Second},
}

// Policies are the routing policies compared.
var Policies = []manifest.Policy{manifest.Expected, manifest.RoundRobin, manifest.LeastInFlight, manifest.PrefixHash}

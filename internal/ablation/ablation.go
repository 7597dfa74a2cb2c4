// Package ablation disables single mechanisms for experiments that measure the effect of
// each (docs/MEASURES.md). Operators' settings have no option for it, and a daemon that runs
// without a mechanism logs this when it starts.
package ablation

import (
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// EnvVar is the environment variable with the mechanisms to disable, separated by commas.
const EnvVar = "LAGOONMUX_WITHOUT"

// Mechanism is the name of a mechanism in EnvVar.
type Mechanism string

// Mechanisms, with what each does when it is enabled.
const (
	LoadShedding         Mechanism = "turn-away"      // requests whose expected wait is too long are rejected
	CacheTracking        Mechanism = "kept-parts"     // the prompt segments that each upstream has cached are tracked
	HomeUpstreams        Mechanism = "homes"          // each prompt segment has a home upstream, the same for all daemons
	PopularSegments      Mechanism = "popular-parts"  // frequently used segments count as cached at all upstreams
	RecomputePenalty     Mechanism = "reread-price"   // prefilling shared segments again is penalized beyond the time it takes
	CacheFetch           Mechanism = "fetches"        // upstreams fetch cached segments from other upstreams
	InitialReclaimable   Mechanism = "exchange"       // on-demand upstreams are replaced by reclaimable ones before the load is known
	SlowdownEstimates    Mechanism = "speeds"         // the slowdown of each upstream is estimated from its response times
	PeerLoad             Mechanism = "others-load"    // requests that other daemons have in flight at an upstream count
	FailurePenalty       Mechanism = "failures"       // upstreams that fail requests are avoided
	SilenceDetection     Mechanism = "silence"        // upstreams that stop sending are detected and abandoned
	SlotPenalty          Mechanism = "full"           // upstreams with nearly all slots in use are avoided
	ZonePreference       Mechanism = "own-zone"       // upstreams in the daemon's own zone are preferred
	EstimateNoise        Mechanism = "blur"           // random noise is added to the estimates for plain requests
	Reruns               Mechanism = "repeats"        // requests that may have run are sent again if their route allows it
	PriceScaledSlack     Mechanism = "cheap-slack"    // the cheaper reclaimable upstreams are, the more spare ones are planned
	OnDemandReplacement  Mechanism = "stand-in"       // on-demand upstreams only replace missing reclaimable ones
	ZoneLossReserve      Mechanism = "zone-cover"     // the loss of all reclaimable upstreams of one zone is covered
	ReclaimReserve       Mechanism = "drought-cover"  // the next reclaim is covered while no new reclaimable upstreams are available
	PeakHold             Mechanism = "crests"         // upstreams are kept for the next load peak
	SmallRequestPriority Mechanism = "small-requests" // a limited customer's small requests do not wait behind large ones
	FairShares           Mechanism = "fair-shares"    // under overload, customers get weighted fair shares of a service
	RouteTargets         Mechanism = "route-targets"  // requests may wait by the latency target of their own route
)

var mechanisms = []Mechanism{LoadShedding, CacheTracking, HomeUpstreams, PopularSegments, RecomputePenalty, CacheFetch, InitialReclaimable, SlowdownEstimates, PeerLoad, FailurePenalty, SilenceDetection, SlotPenalty,
	ZonePreference, EstimateNoise, Reruns, PriceScaledSlack, OnDemandReplacement, ZoneLossReserve, ReclaimReserve, PeakHold, SmallRequestPriority, FairShares, RouteTargets}

var disabled = map[Mechanism]bool{}

// Disabled reports whether a mechanism is disabled.
func Disabled(m Mechanism) bool { return disabled[m] }

// Load reads EnvVar, disables the mechanisms that it lists and returns them. An unknown name
// is an error. It must be called before any goroutine calls Disabled.
func Load() ([]Mechanism, error) {
	value := os.Getenv(EnvVar)
	if value == "" {
		return nil, nil
	}
	var list []Mechanism
	for _, name := range strings.Split(value, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if !slices.Contains(mechanisms, m) {
			return nil, errors.Errorf("%s: unknown mechanism %q", EnvVar, name)
		}
		list = append(list, m)
		disabled[m] = true
	}
	return list, nil
}

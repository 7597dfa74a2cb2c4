// Package ablation switches single mechanisms off, to measure what each is worth
// (docs/MEASURES.md). It is for trials only: operators' settings do not name it, and a
// daemon that runs without a mechanism says so in its log at the start.
package ablation

import (
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// EnvVar of the environment that names what is switched off, separated by commas.
const EnvVar = "LAGOONMUX_WITHOUT"

// Mechanism is a mechanism that can be switched off.
type Mechanism string

// Mechanisms.
const (
	LoadShedding         Mechanism = "turn-away"      // requests that would wait too long are refused
	CacheTracking        Mechanism = "kept-parts"     // what upstreams keep of prompts is remembered
	HomeUpstreams        Mechanism = "homes"          // parts of prompts have a home, the same for all daemons
	PopularSegments      Mechanism = "popular-parts"  // much used parts count as kept everywhere
	RecomputePenalty     Mechanism = "reread-price"   // reading shared parts again costs more than its time
	CacheFetch           Mechanism = "fetches"        // upstreams fetch parts from others that keep them
	InitialReclaimable   Mechanism = "exchange"       // kinds are exchanged before the load is known
	SlowdownEstimates    Mechanism = "speeds"         // each upstream's speed is learnt
	PeerLoad             Mechanism = "others-load"    // what other daemons have under way counts
	FailurePenalty       Mechanism = "failures"       // upstreams that fail are avoided
	SilenceDetection     Mechanism = "silence"        // upstreams that say nothing are left
	SlotPenalty          Mechanism = "full"           // upstreams near their slots are avoided
	ZonePreference       Mechanism = "own-zone"       // the daemon's own zone is preferred
	EstimateNoise        Mechanism = "blur"           // estimates for plain requests are blurred
	Reruns               Mechanism = "repeats"        // what may have run is sent again where that is allowed
	PriceScaledSlack     Mechanism = "cheap-slack"    // the cheaper upstreams are, the more slack is kept
	OnDemandReplacement  Mechanism = "stand-in"       // on-demand upstreams come only for missing reclaimable ones
	ZoneLossReserve      Mechanism = "zone-cover"     // the loss of one zone's reclaimable upstreams is covered
	ReclaimReserve       Mechanism = "drought-cover"  // in a drought the next reclaim is covered
	PeakHold             Mechanism = "crests"         // upstreams are kept for the next crest
	SmallRequestPriority Mechanism = "small-requests" // small requests of a limited customer go ahead
)

var mechanisms = []Mechanism{LoadShedding, CacheTracking, HomeUpstreams, PopularSegments, RecomputePenalty, CacheFetch, InitialReclaimable, SlowdownEstimates, PeerLoad, FailurePenalty, SilenceDetection, SlotPenalty,
	ZonePreference, EstimateNoise, Reruns, PriceScaledSlack, OnDemandReplacement, ZoneLossReserve, ReclaimReserve, PeakHold, SmallRequestPriority}

var disabled = map[Mechanism]bool{}

// Disabled tells whether a mechanism is switched off.
func Disabled(m Mechanism) bool { return disabled[m] }

// Load reads what is switched off from the environment. It is called once, before
// anything else runs.
func Load() ([]Mechanism, error) {
	value := os.Getenv(EnvVar)
	if value == "" {
		return nil, nil
	}
	var list []Mechanism
	for _, name := range strings.Split(value, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if !slices.Contains(mechanisms, m) {
			return nil, errors.Errorf("%s: no mechanism is called %q", EnvVar, name)
		}
		list = append(list, m)
		disabled[m] = true
	}
	return list, nil
}

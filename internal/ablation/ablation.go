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

// Variable of the environment that names what is switched off, separated by commas.
const Variable = "LAGOONMUX_WITHOUT"

// Mechanism is a mechanism that can be switched off.
type Mechanism string

// Mechanisms.
const (
	TurnAway      Mechanism = "turn-away"      // requests that would wait too long are refused
	KeptParts     Mechanism = "kept-parts"     // what upstreams keep of prompts is remembered
	Homes         Mechanism = "homes"          // parts of prompts have a home, the same for all daemons
	PopularParts  Mechanism = "popular-parts"  // much used parts count as kept everywhere
	RereadPrice   Mechanism = "reread-price"   // reading shared parts again costs more than its time
	Fetches       Mechanism = "fetches"        // upstreams fetch parts from others that keep them
	Exchange      Mechanism = "exchange"       // kinds are exchanged before the load is known
	Speeds        Mechanism = "speeds"         // each upstream's speed is learnt
	OthersLoad    Mechanism = "others-load"    // what other daemons have under way counts
	Failures      Mechanism = "failures"       // upstreams that fail are avoided
	Silence       Mechanism = "silence"        // upstreams that say nothing are left
	Full          Mechanism = "full"           // upstreams near their slots are avoided
	OwnZone       Mechanism = "own-zone"       // the daemon's own zone is preferred
	Blur          Mechanism = "blur"           // estimates for plain requests are blurred
	Repeats       Mechanism = "repeats"        // what may have run is sent again where that is allowed
	CheapSlack    Mechanism = "cheap-slack"    // the cheaper upstreams are, the more slack is kept
	StandIn       Mechanism = "stand-in"       // on-demand upstreams come only for missing reclaimable ones
	ZoneCover     Mechanism = "zone-cover"     // the loss of one zone's reclaimable upstreams is covered
	DroughtCover  Mechanism = "drought-cover"  // in a drought the next reclaim is covered
	Crests        Mechanism = "crests"         // upstreams are kept for the next crest
	SmallRequests Mechanism = "small-requests" // small requests of a limited customer go ahead
)

var all = []Mechanism{TurnAway, KeptParts, Homes, PopularParts, RereadPrice, Fetches, Exchange, Speeds, OthersLoad, Failures, Silence, Full,
	OwnZone, Blur, Repeats, CheapSlack, StandIn, ZoneCover, DroughtCover, Crests, SmallRequests}

var off = map[Mechanism]bool{}

// Without tells whether a mechanism is switched off.
func Without(m Mechanism) bool { return off[m] }

// Load reads what is switched off from the environment. It is called once, before
// anything else runs.
func Load() ([]Mechanism, error) {
	text := os.Getenv(Variable)
	if text == "" {
		return nil, nil
	}
	var list []Mechanism
	for _, name := range strings.Split(text, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if !slices.Contains(all, m) {
			return nil, errors.Errorf("%s: no mechanism is called %q", Variable, name)
		}
		list = append(list, m)
		off[m] = true
	}
	return list, nil
}

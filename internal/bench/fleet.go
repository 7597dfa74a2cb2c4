package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/daemon"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/standin/engine"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
)

const (
	zoneCount          = 3
	upstreamSlots      = 6                     // concurrent requests of one upstream
	prefillPerMS       = 8                     // prompt tokens
	decodeInterval     = 12 * time.Millisecond // one decode step
	batchGrowth        = 0.3
	chunkTokens        = 64
	cacheTokens        = 5000
	slowUpstreamFactor = 0.1             // speed in Scenario.SlowUpstream, relative to the manifest
	reclaimNotice      = 5 * time.Second // from the notice to the end of the upstream
	upstreamPerHour    = 1.0             // price
	serviceName        = "text"
	firstTokenMS       = 420 // latency targets of the service
	betweenTokensMS    = 29
	totalMS            = 8000
	unreachedLimit     = 1e6 // customer limit that is never reached
)

// daemonCores has the cores of each daemon in its settings.
var daemonCores = []int{1, 2, 1}

// speedFactors are the actual prefill rates of the upstreams, in turn, relative to the rate in the
// manifest, for Scenario.MixedSpeeds.
var speedFactors = []float64{0.5, 1, 1, 2}

// fleet is a set of simulated upstreams and the daemons in front of them, all in this process.
type fleet struct {
	engines         []*engine.Engine
	faultSets       []*faults.Set
	daemons         []*daemon.Daemon
	callerAddresses []string // one for each daemon
	manifest        *manifest.Manifest
	cancel          context.CancelFunc
	group           errgroup.Group
}

// fleetCount counts the fleets started by this process. Each fleet has loopback addresses of its
// own, because several fleets run at the same time.
var fleetCount atomic.Int64

// startFleet starts the given number of upstreams and the daemons, with the policy and score terms
// of v. Customer limits are derived from rate, in requests a second.
func startFleet(m *Mix, s *Scenario, v Variant, upstreams int, rate float64) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel, manifest: newManifest(m, s, v, rate)}
	id := int(fleetCount.Add(1) % 250)
	computed := engine.NewComputedBlocks()
	for i := range upstreams {
		if err := f.startEngine(ctx, s, id, i, computed); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.startDaemons(ctx, id, v); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) startEngine(ctx context.Context, s *Scenario, id, i int, computed *engine.ComputedBlocks) error {
	faultSet := faults.New()
	listener, err := faultSet.Listener(fmt.Sprintf("127.12.%d.1:0", id))
	if err != nil {
		return err
	}
	factor := 1.0
	if s.MixedSpeeds {
		factor = speedFactors[i%len(speedFactors)]
	}
	if s.SlowUpstream && i == 0 {
		factor = slowUpstreamFactor
	}
	name := fmt.Sprintf("engine-%d", i)
	cfg := engine.Config{
		Name: name, Slots: upstreamSlots, PrefillPerMS: prefillPerMS * factor,
		DecodeStep: decodeStep(factor), BatchGrowth: batchGrowth, ChunkTokens: max(int(chunkTokens*factor), 8),
		CacheTokens: cacheTokens, LoadLag: s.ReportDelay, EventLag: s.ReportDelay, Computed: computed,
	}
	if s.EventLoss > 0 {
		plan := faults.Plan{Seed: uint64(i), Faults: []faults.Fault{{Name: faults.Gap, Share: s.EventLoss}}}
		if err := faultSet.Apply(plan); err != nil {
			return errors.Wrap(err, "set faults")
		}
	}
	e := engine.New(cfg, faultSet)
	go e.Run(ctx)
	f.group.Go(func() error { return faultSet.ServeListener(ctx, listener, e.Handle) })
	f.engines = append(f.engines, e)
	f.faultSets = append(f.faultSets, faultSet)
	f.manifest.Upstreams = append(f.manifest.Upstreams, manifest.Upstream{
		Name: name, Service: serviceName, Address: listener.Addr().String(), Zone: zoneName(i % zoneCount), VMClass: "g",
		Reclaimable: true, Slots: upstreamSlots, CacheTokens: cacheTokens, PrefillPerMS: prefillPerMS,
	})
	return nil
}

// decodeStep returns the time of one decode step. Engines of MixedSpeeds differ in prefill only; the
// engine of SlowUpstream decodes more slowly too.
func decodeStep(factor float64) time.Duration {
	if factor <= slowUpstreamFactor {
		return time.Duration(float64(decodeInterval) / factor)
	}
	return decodeInterval
}

func zoneName(i int) string { return string(rune('a' + i)) }

func newManifest(m *Mix, s *Scenario, v Variant, rate float64) *manifest.Manifest {
	out := &manifest.Manifest{
		Services: []manifest.Service{{
			Name: serviceName, Kind: manifest.Model, Policy: v.Policy,
			Target: manifest.Target{FirstTokenMS: firstTokenMS, BetweenTokensMS: betweenTokensMS, TotalMS: totalMS},
		}},
		VMClasses: []manifest.VMClass{{Name: "g", OnDemandPerHour: 3, ReclaimablePerHour: upstreamPerHour, ReclaimsPerDay: 2}},
	}
	for i, name := range m.Customers {
		c := manifest.Customer{Name: name, Key: "key-of-" + name, Weight: 1, RequestsPerSecond: unreachedLimit, TokensPerSecond: unreachedLimit, Concurrency: unreachedLimit}
		if s.CustomerLimits {
			c.RequestsPerSecond = max(rate*m.customerShare(i)*2, 1)
			c.Concurrency = max(int(rate*m.customerShare(i)*6), 12)
		}
		out.Customers = append(out.Customers, c)
	}
	return out
}

// customerShare returns the fraction of all requests that a customer sends.
func (m *Mix) customerShare(customer int) float64 {
	sum := 0.0
	for _, k := range m.Kinds {
		if k.Customer == customer {
			sum += k.Share
		}
	}
	return sum
}

func (f *fleet) startDaemons(ctx context.Context, id int, v Variant) error {
	text, err := json.Marshal(f.manifest)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	table := platform.NewMemoryTable()
	var peers []string
	for i := range daemonCores {
		peers = append(peers, daemonIP(id, i)+":7002")
	}
	for i, cores := range daemonCores {
		ip := daemonIP(id, i)
		s := &settings.Settings{
			Name: fmt.Sprintf("entry-%d", i), Region: "r", Zone: zoneName(i % zoneCount), VMClass: "g", Cores: cores,
			CallerAddress: ip + ":7000", OperatorAddress: ip + ":7001", PeerAddress: peers[i], Seeds: peers,
		}
		d := daemon.New(s, hclog.NewNullLogger(), daemon.WithTable(table))
		d.SetRoutingTerms(v.Terms)
		f.group.Go(func() error { return d.Run(ctx) })
		f.daemons = append(f.daemons, d)
		f.callerAddresses = append(f.callerAddresses, s.CallerAddress)
	}
	if err := waitListening(f.callerAddresses); err != nil {
		return err
	}
	if _, err := f.daemons[0].Apply(ctx, "bench", text, operator.BaseInForce); err != nil {
		return err
	}
	return f.waitManifestInForce()
}

func daemonIP(id, i int) string { return fmt.Sprintf("127.12.%d.%d", id, 10+i) }

// waitManifestInForce waits until the manifest is in force in every daemon. Fails after startTimeout.
func (f *fleet) waitManifestInForce() error {
	end := time.Now().Add(startTimeout)
	for _, d := range f.daemons {
		for d.Manifest() == nil {
			if time.Now().After(end) {
				return errors.New("manifest is not in force in every daemon")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// waitListening waits until all addresses accept connections. Fails after startTimeout.
func waitListening(addresses []string) error {
	end := time.Now().Add(startTimeout)
	for _, a := range addresses {
		for {
			c, err := net.DialTimeout("tcp", a, time.Second)
			if err == nil {
				_ = c.Close()
				break
			}
			if time.Now().After(end) {
				return errors.Wrapf(err, "daemon does not listen at %s", a)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

const startTimeout = 5 * time.Second // of daemons, until they listen and have the manifest

// reclaimZone sends a reclaim notice to every engine of the first zone.
func (f *fleet) reclaimZone() {
	for i, faultSet := range f.faultSets {
		if i%zoneCount == 0 {
			faultSet.Leave(reclaimNotice, false)
		}
	}
}

// stop stops the engines and daemons and waits until the daemons and the engines' servers have ended.
func (f *fleet) stop() {
	f.cancel()
	_ = f.group.Wait()
}

// totals sums the token counters of the engines and the routing counters of the daemons.
func (f *fleet) totals() (recomputed, prefilled int64, routed routing.Stats) {
	for _, e := range f.engines {
		s := e.Stats()
		recomputed += s.RecomputedTokens
		prefilled += s.PrefilledTokens
	}
	for _, d := range f.daemons {
		s := d.RoutingStats()
		routed.Picks += s.Picks
		routed.Failed += s.Failed
		routed.PromptTokens += s.PromptTokens
		routed.ExpectedCached += s.ExpectedCached
		routed.Cached += s.Cached
	}
	return recomputed, prefilled, routed
}

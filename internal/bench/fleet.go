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
	zones         = 3
	slots         = 6
	prefillPerMS  = 8
	decode        = 12 * time.Millisecond
	batchGrowth   = 0.3
	chunkTokens   = 64
	cacheTokens   = 5000
	slowOneFactor = 0.1
	reclaimNotice = 5 * time.Second
	runnerPrice   = 1.0 // an hour
	serviceName   = "text"
	firstTokenMS  = 420
	betweenMS     = 29
	patienceMS    = 8000
	unlimited     = 1e6
)

var daemonCores = []int{1, 2, 1}

// speedFactors are the true speeds of the runners, in turn, in the scenario
// with differences that the manifest does not tell.
var speedFactors = []float64{0.5, 1, 1, 2}

// fleet is one set of engines and daemons.
type fleet struct {
	engines  []*engine.Engine
	sets     []*faults.Set
	daemons  []*daemon.Daemon
	callers  []string // addresses of the daemons
	manifest *manifest.Manifest
	cancel   context.CancelFunc
	group    errgroup.Group
}

// cells numbers the fleets of this process, by which their addresses differ.
var cells atomic.Int64

// startFleet runs runners engines and the daemons with the given policy.
func startFleet(m *Mix, s *Scenario, p Variant, runners int, rate float64) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel, manifest: newManifest(m, s, p, rate)}
	cell := int(cells.Add(1) % 250)
	seen := engine.NewComputedBlocks()
	for i := range runners {
		if err := f.startEngine(ctx, s, cell, i, seen); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.startDaemons(ctx, cell, p); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) startEngine(ctx context.Context, s *Scenario, cell, i int, seen *engine.ComputedBlocks) error {
	set := faults.New()
	l, err := set.Listener(fmt.Sprintf("127.12.%d.1:0", cell))
	if err != nil {
		return err
	}
	factor := 1.0
	if s.Speeds {
		factor = speedFactors[i%len(speedFactors)]
	}
	if s.SlowOne && i == 0 {
		factor = slowOneFactor
	}
	name := fmt.Sprintf("engine-%d", i)
	cfg := engine.Config{
		Name: name, Slots: slots, PrefillPerMS: prefillPerMS * factor,
		DecodeStep: decodeOf(factor), BatchGrowth: batchGrowth, ChunkTokens: max(int(chunkTokens*factor), 8),
		CacheTokens: cacheTokens, LoadLag: s.LoadLag, EventLag: s.LoadLag, Computed: seen,
	}
	if s.LostPart > 0 {
		plan := faults.Plan{Seed: uint64(i), Faults: []faults.Fault{{Name: faults.Gap, Share: s.LostPart}}}
		if err := set.Apply(plan); err != nil {
			return errors.Wrap(err, "set faults")
		}
	}
	e := engine.New(cfg, set)
	go e.Run(ctx)
	f.group.Go(func() error { return set.ServeListener(ctx, l, e.Handle) })
	f.engines = append(f.engines, e)
	f.sets = append(f.sets, set)
	f.manifest.Upstreams = append(f.manifest.Upstreams, manifest.Upstream{
		Name: name, Service: serviceName, Address: l.Addr().String(), Zone: zoneName(i % zones), VMClass: "g",
		Reclaimable: true, Slots: slots, CacheTokens: cacheTokens, PrefillPerMS: prefillPerMS,
	})
	return nil
}

// decodeOf returns the step of an engine whose speed differs by factor. Only a
// sick engine decodes more slowly.
func decodeOf(factor float64) time.Duration {
	if factor <= slowOneFactor {
		return time.Duration(float64(decode) / factor)
	}
	return decode
}

func zoneName(i int) string { return string(rune('a' + i)) }

func newManifest(m *Mix, s *Scenario, p Variant, rate float64) *manifest.Manifest {
	out := &manifest.Manifest{
		Services: []manifest.Service{{
			Name: serviceName, Kind: manifest.Model, Policy: p.Policy,
			Target: manifest.Target{FirstTokenMS: firstTokenMS, BetweenTokensMS: betweenMS, TotalMS: patienceMS},
		}},
		VMClasses: []manifest.VMClass{{Name: "g", OnDemandPerHour: 3, ReclaimablePerHour: runnerPrice, ReclaimsPerDay: 2}},
	}
	for i, name := range m.Customers {
		c := manifest.Customer{Name: name, Key: "key-of-" + name, Weight: 1, RequestsPerSecond: unlimited, TokensPerSecond: unlimited, Concurrency: unlimited}
		if s.Limits {
			c.RequestsPerSecond = max(rate*m.share(i)*2, 1)
			c.Concurrency = max(int(rate*m.share(i)*6), 12)
		}
		out.Customers = append(out.Customers, c)
	}
	return out
}

// share returns the part of the requests that a customer sends.
func (m *Mix) share(customer int) float64 {
	sum := 0.0
	for _, k := range m.Kinds {
		if k.Customer == customer {
			sum += k.Share
		}
	}
	return sum
}

func (f *fleet) startDaemons(ctx context.Context, cell int, p Variant) error {
	text, err := json.Marshal(f.manifest)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	table := platform.NewMemoryTable()
	var peers []string
	for i := range daemonCores {
		peers = append(peers, daemonIP(cell, i)+":7002")
	}
	for i, cores := range daemonCores {
		ip := daemonIP(cell, i)
		s := &settings.Settings{
			Name: fmt.Sprintf("entry-%d", i), Region: "r", Zone: zoneName(i % zones), VMClass: "g", Cores: cores,
			CallerAddress: ip + ":7000", OperatorAddress: ip + ":7001", PeerAddress: peers[i], Seeds: peers,
		}
		d := daemon.New(s, hclog.NewNullLogger(), daemon.WithTable(table))
		d.SetRoutingTerms(p.Terms)
		f.group.Go(func() error { return d.Run(ctx) })
		f.daemons = append(f.daemons, d)
		f.callers = append(f.callers, s.CallerAddress)
	}
	if err := waitListening(f.callers); err != nil {
		return err
	}
	if _, err := f.daemons[0].Apply(ctx, "bench", text, operator.BaseInForce); err != nil {
		return err
	}
	return f.waitManifest()
}

func daemonIP(cell, i int) string { return fmt.Sprintf("127.12.%d.%d", cell, 10+i) }

// waitManifest returns when the manifest is in force in every daemon.
func (f *fleet) waitManifest() error {
	end := time.Now().Add(startTimeout)
	for _, d := range f.daemons {
		for d.Manifest() == nil {
			if time.Now().After(end) {
				return errors.New("manifest not in force in every daemon")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// waitListening returns when all addresses accept connections.
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
				return errors.Wrapf(err, "daemon at %s", a)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

const startTimeout = 5 * time.Second

// reclaimZone gives notice to every engine of the first zone.
func (f *fleet) reclaimZone() {
	for i, set := range f.sets {
		if i%zones == 0 {
			set.Leave(reclaimNotice, false)
		}
	}
}

// stop ends all and waits for it.
func (f *fleet) stop() {
	f.cancel()
	_ = f.group.Wait()
}

// totals adds up the counters of the engines and routers.
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

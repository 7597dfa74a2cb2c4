package bench

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

const (
	defaultUpstreams = 12
	minUpstreams     = 3
	maxUpstreams     = 24
	costUpstreams    = 12 // the load of FindCheapest is costLoadFactor times what a fleet of this size sustains
	costLoadFactor   = 0.5
	costScenario     = "cost"
	warmupDivisor    = 4 // the first 1/warmupDivisor of a run is not measured
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// Variant is a routing policy, or the policy "expected" without some terms of its score.
type Variant struct {
	Name   string
	Policy manifest.Policy
	Terms  routing.Terms
}

// Options configures a Bench.
type Options struct {
	RunDuration time.Duration // of one run
	Seed        uint64
	Parallel    int       // number of variants that run at the same time
	Progress    io.Writer // receives one line for each finished run
	Out         io.Writer // receives the rows, as key=value pairs
}

// Bench runs the routing bench. Its methods must not be called concurrently.
type Bench struct {
	options      Options
	finishedRuns int
	started      time.Time
	mu           sync.Mutex
}

// New returns a Bench with the given options.
func New(o Options) *Bench {
	return &Bench{options: o, started: time.Now()}
}

// PolicyVariants returns one variant for each of Policies.
func PolicyVariants() []Variant {
	var list []Variant
	for _, p := range Policies {
		list = append(list, Variant{Name: string(p), Policy: p, Terms: routing.AllTerms})
	}
	return list
}

// AblationVariants returns the policy "expected" with all score terms, then without each of them.
func AblationVariants() []Variant {
	list := []Variant{{Name: "all-terms", Policy: manifest.ExpectedLatency, Terms: routing.AllTerms}}
	for _, term := range routing.TermNames() {
		list = append(list, Variant{Name: "without-" + term.Name, Policy: manifest.ExpectedLatency, Terms: routing.AllTerms &^ term.Term})
	}
	return list
}

// Compare measures the variants under one scenario, several at a time, and prints their rows.
func (b *Bench) Compare(m *Mix, s *Scenario, variants []Variant) ([]Row, error) {
	rows := make([]Row, len(variants))
	var g errgroup.Group
	g.SetLimit(b.options.Parallel)
	for i, v := range variants {
		g.Go(func() error {
			row, err := b.run(m, s, v, defaultUpstreams, m.UpstreamRate*defaultUpstreams*s.LoadFactor)
			rows[i] = row
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	for _, r := range rows {
		fmt.Fprintln(b.options.Out, r)
	}
	return rows, nil
}

// run measures one variant on a fleet of the given number of upstreams, with rate requests a second.
func (b *Bench) run(m *Mix, s *Scenario, v Variant, upstreams int, rate float64) (Row, error) {
	f, err := startFleet(m, s, v, upstreams, rate)
	if err != nil {
		return Row{}, err
	}
	defer f.stop()
	requests := GenerateRequests(m, s, rate, b.options.RunDuration, b.options.Seed)
	if s.ReclaimZone {
		timer := time.AfterFunc(b.options.RunDuration/3, f.reclaimZone)
		defer timer.Stop()
	}
	row := summarize(runLoad(requests, m, f.callerAddresses), b.options.RunDuration/warmupDivisor)
	row.Mix, row.Scenario, row.Variant, row.Upstreams = m.Name, s.Name, v.Name, upstreams
	row.RecomputedTokens, row.PrefilledTokens, row.Routing = f.totals()
	b.reportProgress(fmt.Sprintf("%s %s %s runners=%d", m.Name, s.Name, v.Name, upstreams))
	return row, nil
}

// FindCheapest searches for the smallest fleet with which the variant meets the latency target under
// a fixed load, by bisection over the number of upstreams. Row.CostAtTarget is 0 if no fleet of
// minUpstreams to maxUpstreams meets it.
func (b *Bench) FindCheapest(m *Mix, v Variant) (Row, error) {
	s := &Scenario{Name: costScenario}
	rate := m.UpstreamRate * costUpstreams * costLoadFactor
	low, high := minUpstreams-1, maxUpstreams+1
	var best Row
	for high-low > 1 {
		upstreams := (low + high) / 2
		row, err := b.run(m, s, v, upstreams, rate)
		if err != nil {
			return Row{}, err
		}
		if row.meetsTarget() {
			high, best = upstreams, row
			continue
		}
		low = upstreams
	}
	best.Mix, best.Scenario, best.Variant = m.Name, s.Name, v.Name
	if best.Upstreams > 0 {
		best.CostAtTarget = float64(best.Upstreams) * upstreamPerHour
	}
	return best, nil
}

// CompareCosts runs FindCheapest for each variant, several at a time, and prints their rows.
func (b *Bench) CompareCosts(m *Mix, variants []Variant) ([]Row, error) {
	rows := make([]Row, len(variants))
	var g errgroup.Group
	g.SetLimit(b.options.Parallel)
	for i, v := range variants {
		g.Go(func() error {
			row, err := b.FindCheapest(m, v)
			rows[i] = row
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	for _, r := range rows {
		fmt.Fprintln(b.options.Out, r)
	}
	return rows, nil
}

// reportProgress counts a finished run and prints it.
func (b *Bench) reportProgress(run string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finishedRuns++
	fmt.Fprintf(b.options.Progress, "progress: run %d, %.0f s, %s\n", b.finishedRuns, time.Since(b.started).Seconds(), run)
}

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
	costUpstreams    = 12 // whose sustained load the search of the cheapest fleet uses
	costLoadFactor   = 0.5
	costScenario     = "cost"
	warmupDivisor    = 4 // a run's first part of so many is not measured
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// Variant is a policy, or the policy expected without some of its terms.
type Variant struct {
	Name   string
	Policy manifest.Policy
	Terms  routing.Terms
}

// Options sets the length of the bench.
type Options struct {
	RunDuration time.Duration // of one run
	Seed        uint64
	Parallel    int // variants that run at the same time
	Progress    io.Writer
	Out         io.Writer // key=value rows
}

// Bench runs measurements. Its methods must be called one after another.
type Bench struct {
	options      Options
	finishedRuns int
	started      time.Time
	mu           sync.Mutex
}

// New returns a bench.
func New(o Options) *Bench {
	return &Bench{options: o, started: time.Now()}
}

// PolicyVariants returns the policies as variants.
func PolicyVariants() []Variant {
	var list []Variant
	for _, p := range Policies {
		list = append(list, Variant{Name: string(p), Policy: p, Terms: routing.AllTerms})
	}
	return list
}

// AblationVariants returns the policy expected, whole and without each term.
func AblationVariants() []Variant {
	list := []Variant{{Name: "all-terms", Policy: manifest.Expected, Terms: routing.AllTerms}}
	for _, t := range routing.TermNames() {
		list = append(list, Variant{Name: "without-" + t.Name, Policy: manifest.Expected, Terms: routing.AllTerms &^ t.Term})
	}
	return list
}

// Compare measures the variants side by side under one scenario.
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

// run measures one variant with the given fleet and rate.
func (b *Bench) run(m *Mix, s *Scenario, v Variant, runners int, rate float64) (Row, error) {
	f, err := startFleet(m, s, v, runners, rate)
	if err != nil {
		return Row{}, err
	}
	defer f.stop()
	asks := GenerateRequests(m, s, rate, b.options.RunDuration, b.options.Seed)
	if s.ReclaimZone {
		t := time.AfterFunc(b.options.RunDuration/3, f.reclaimZone)
		defer t.Stop()
	}
	row := summarize(runLoad(asks, m, f.callerAddresses), b.options.RunDuration/warmupDivisor)
	row.Mix, row.Scenario, row.Variant, row.Upstreams = m.Name, s.Name, v.Name, runners
	row.RecomputedTokens, row.PrefilledTokens, row.Routing = f.totals()
	b.reportProgress(fmt.Sprintf("%s %s %s runners=%d", m.Name, s.Name, v.Name, runners))
	return row, nil
}

// FindCheapest searches the cheapest fleet with which the variant meets the
// target, for a fixed load, by bisection over the number of runners.
func (b *Bench) FindCheapest(m *Mix, v Variant) (Row, error) {
	s := &Scenario{Name: costScenario}
	rate := m.UpstreamRate * costUpstreams * costLoadFactor
	low, high := minUpstreams-1, maxUpstreams+1
	var best Row
	for high-low > 1 {
		n := (low + high) / 2
		row, err := b.run(m, s, v, n, rate)
		if err != nil {
			return Row{}, err
		}
		if row.meetsTarget() {
			high, best = n, row
			continue
		}
		low = n
	}
	best.Mix, best.Scenario, best.Variant = m.Name, s.Name, v.Name
	if best.Upstreams > 0 {
		best.CostAtTarget = float64(best.Upstreams) * upstreamPerHour
	}
	return best, nil
}

// CompareCosts searches the cheapest fleet of each variant, side by side.
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

func (b *Bench) reportProgress(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finishedRuns++
	fmt.Fprintf(b.options.Progress, "progress: run %d, %.0f s, %s\n", b.finishedRuns, time.Since(b.started).Seconds(), what)
}

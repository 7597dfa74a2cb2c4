package main

import (
	"context"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/bench"
)

func benchRoutingCommand(app *kingpin.Application) command {
	c := app.Command("bench-routing", "Compare the routing policies on daemons and simulated upstreams in this process.")
	length := c.Flag("length", "Duration of one run.").Default("10s").Duration()
	seed := c.Flag("seed", "Seed of the random load.").Default("1").Uint64()
	parallel := c.Flag("parallel", "Number of variants that run concurrently.").Default("4").Int()
	mixes := c.Flag("mix", "Request mixes, separated by commas.").Default("andrade,neon").String()
	parts := c.Flag("part", "Parts to run, separated by commas: scenarios, cost, ablation.").Default("scenarios,cost,ablation").String()
	scenarios := c.Flag("scenario", "Scenarios to run, separated by commas; all by default.").String()
	plots := c.Flag("plots", "Directory for plots; without it none are written.").String()
	return command{clause: c, run: func(context.Context) error {
		o := bench.Options{RunDuration: *length, Seed: *seed, Parallel: *parallel, Progress: os.Stderr, Out: os.Stdout}
		return benchRouting(bench.New(o), split(*mixes), split(*parts), split(*scenarios), *plots)
	}}
}

// split splits a comma-separated list and drops empty elements.
func split(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

func contains(list []string, name string) bool {
	for _, x := range list {
		if x == name {
			return true
		}
	}
	return false
}

// ablationScenarios are the scenarios in which each term of the routing score is removed in turn.
var ablationScenarios = []string{"speeds", "overload", "stale"}

// benchRouting runs the selected parts for each mix. Without scenarios it runs all of them.
func benchRouting(b *bench.Bench, mixes, parts, scenarios []string, plots string) error {
	var rows []bench.Row
	for i := range bench.Mixes {
		m := &bench.Mixes[i]
		if !contains(mixes, m.Name) {
			continue
		}
		r, err := benchMix(b, m, parts, scenarios)
		if err != nil {
			return errors.Wrapf(err, "benchmark routing with mix %s", m.Name)
		}
		rows = append(rows, r...)
	}
	if plots == "" {
		return nil
	}
	return bench.Plot(rows, plots)
}

func benchMix(b *bench.Bench, m *bench.Mix, parts, scenarios []string) ([]bench.Row, error) {
	var rows []bench.Row
	for k := range bench.Scenarios {
		s := &bench.Scenarios[k]
		if len(scenarios) > 0 && !contains(scenarios, s.Name) {
			continue
		}
		if contains(parts, "scenarios") {
			r, err := b.Compare(m, s, bench.PolicyVariants())
			if err != nil {
				return nil, err
			}
			rows = append(rows, r...)
		}
		if contains(parts, "ablation") && contains(ablationScenarios, s.Name) {
			if _, err := b.Compare(m, s, bench.AblationVariants()); err != nil {
				return nil, err
			}
		}
	}
	if contains(parts, "cost") {
		r, err := b.CompareCosts(m, bench.PolicyVariants())
		if err != nil {
			return nil, err
		}
		rows = append(rows, r...)
	}
	return rows, nil
}

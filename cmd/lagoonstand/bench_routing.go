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
	c := app.Command("bench-routing", "Compare the routing policies on daemons and engines in this process.")
	length := c.Flag("length", "Length of one run.").Default("10s").Duration()
	seed := c.Flag("seed", "Seed of the load.").Default("1").Uint64()
	parallel := c.Flag("parallel", "Variants that run at the same time.").Default("4").Int()
	mixes := c.Flag("mix", "Mixes, by comma.").Default("andrade,neon").String()
	parts := c.Flag("part", "Parts, by comma: scenarios, cost, ablation.").Default("scenarios,cost,ablation").String()
	only := c.Flag("scenario", "Scenarios, by comma; all by default.").String()
	plots := c.Flag("plots", "Directory for plots; none by default.").String()
	return command{clause: c, run: func(context.Context) error {
		o := bench.Options{RunDuration: *length, Seed: *seed, Parallel: *parallel, Progress: os.Stderr, Out: os.Stdout}
		return benchRouting(bench.New(o), split(*mixes), split(*parts), split(*only), *plots)
	}}
}

func split(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' })
}

func contains(list []string, name string) bool {
	for _, x := range list {
		if x == name {
			return true
		}
	}
	return false
}

// ablationScenarios are those under which each term of the score is removed.
var ablationScenarios = []string{"speeds", "overload", "stale"}

func benchRouting(b *bench.Bench, mixes, parts, only []string, plots string) error {
	var rows []bench.Row
	for i := range bench.Mixes {
		m := &bench.Mixes[i]
		if !contains(mixes, m.Name) {
			continue
		}
		r, err := benchMix(b, m, parts, only)
		if err != nil {
			return errors.Wrapf(err, "mix %s", m.Name)
		}
		rows = append(rows, r...)
	}
	if plots == "" {
		return nil
	}
	return bench.Plot(rows, plots)
}

func benchMix(b *bench.Bench, m *bench.Mix, parts, only []string) ([]bench.Row, error) {
	var rows []bench.Row
	for k := range bench.Scenarios {
		s := &bench.Scenarios[k]
		if len(only) > 0 && !contains(only, s.Name) {
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

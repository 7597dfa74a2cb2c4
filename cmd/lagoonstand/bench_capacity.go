package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/bench"
)

// Sizes at which slopes are measured.
var (
	idleSizes     = []int{0, 2500, 5000, 7500, 10000}
	streamSizes   = []int{250, 500, 1000, 1500, 2000}
	requestRates  = []float64{1000, 2000, 3000, 4000, 5000}
	upstreamSizes = []int{20, 100, 500, 1000, 2500}
	customerSizes = []int{5, 20, 100, 500}
	callCounts    = []int{50, 100, 200, 400}
	daemonSizes   = []int{20, 60, 120, 240, 460}
)

func benchUpstreamCommand(app *kingpin.Application) command {
	c := app.Command("bench-upstream", "Serve an upstream that costs little, for bench-entry, until SIGTERM.")
	address := c.Flag("address", "Address to listen on.").Required().String()
	interval := c.Flag("interval", "Pause between tokens.").Default("0s").Duration()
	return command{clause: c, run: func(ctx context.Context) error {
		return (&bench.Upstream{Interval: *interval}).Serve(ctx, *address)
	}}
}

func benchEntryCommand(app *kingpin.Application) command {
	c := app.Command("bench-entry", "Measure a running daemon: latency and throughput against its upstream, and slopes.")
	daemon := c.Flag("daemon", "Caller address of the daemon.").Required().String()
	fast := c.Flag("fast", "Address of the model upstream without a pause between tokens.").Required().String()
	plain := c.Flag("plain", "Address of the plain upstream.").Required().String()
	pid := c.Flag("pid", "Process id of the daemon.").Required().Int()
	key := c.Flag("key", "Key of a customer.").Required().String()
	span := c.Flag("span", "Time of each measurement.").Default("3s").Duration()
	only := c.Flag("only", "Parts to run.").Default("idle", "ratios", "tokens", "requests", "streams").Enums("idle", "ratios", "tokens", "requests", "streams")
	return command{clause: c, run: func(ctx context.Context) error {
		e := &bench.EntryBench{
			Daemon:   bench.Target{Address: *daemon, Key: *key, Model: "fast"},
			Paced:    bench.Target{Address: *daemon, Key: *key, Model: "paced"},
			Fast:     bench.Target{Address: *fast, Key: *key, Model: "fast"},
			Plain:    bench.Target{Address: *plain, Key: *key},
			Process:  bench.Process{PID: *pid},
			Duration: *span,
			Out:      os.Stdout,
		}
		return runEntryParts(ctx, e, *only)
	}}
}

func runEntryParts(ctx context.Context, e *bench.EntryBench, parts []string) error {
	run := map[string]func() error{
		"idle":     func() error { return e.IdleSlope(ctx, idleSizes) },
		"ratios":   func() error { return e.MeasureOverhead(ctx) },
		"tokens":   func() error { return e.MeasureTokens(ctx) },
		"requests": func() error { return e.RequestSlope(ctx, requestRates) },
		"streams":  func() error { return e.TokenSlopes(ctx, streamSizes) },
	}
	for _, part := range parts {
		if err := run[part](); err != nil {
			return err
		}
		time.Sleep(time.Second) // until what the part left behind is closed
	}
	return nil
}

func benchDecisionsCommand(app *kingpin.Application) command {
	c := app.Command("bench-decisions", "Measure slopes of decisions that need no network.")
	return command{clause: c, run: func(ctx context.Context) error {
		return runDecisions(ctx, os.Stdout)
	}}
}

func runDecisions(ctx context.Context, out io.Writer) error {
	if err := bench.RoutingSlopes(out, upstreamSizes); err != nil {
		return err
	}
	if err := bench.LedgerSlopes(ctx, out, callCounts); err != nil {
		return err
	}
	bench.LimiterSlope(out, customerSizes)
	bench.PlannerSlope(out, upstreamSizes)
	bench.GossipSlopes(out, daemonSizes)
	return nil
}

package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/bench"
)

// Load levels and deployment sizes at which the benches measure. The slope of the cost over them is
// the cost of one more idle connection, stream, request and so on.
var (
	idleCounts     = []int{0, 2500, 5000, 7500, 10000} // idle connections
	streamCounts   = []int{250, 500, 1000, 1500, 2000}
	requestRates   = []float64{1000, 2000, 3000, 4000, 5000} // per second
	upstreamCounts = []int{20, 100, 500, 1000, 2500}
	customerCounts = []int{5, 20, 100, 500}
	callCounts     = []int{50, 100, 200, 400} // recorded calls
	daemonCounts   = []int{20, 60, 120, 240, 460}
)

func benchUpstreamCommand(app *kingpin.Application) command {
	c := app.Command("bench-upstream", "Serve a simulated upstream with little overhead, for bench-entry, until SIGTERM.")
	address := c.Flag("address", "Address to listen on.").Required().String()
	interval := c.Flag("interval", "Pause between tokens.").Default("0s").Duration()
	return command{clause: c, run: func(ctx context.Context) error {
		return (&bench.Upstream{Interval: *interval}).Serve(ctx, *address)
	}}
}

func benchEntryCommand(app *kingpin.Application) command {
	c := app.Command("bench-entry", "Measure a running daemon: latency and throughput compared with its upstream, and the cost per connection, request and stream.")
	daemon := c.Flag("daemon", "Caller address of the daemon.").Required().String()
	fast := c.Flag("fast", "Address of the model upstream that sends tokens without a pause.").Required().String()
	plain := c.Flag("plain", "Address of the plain upstream.").Required().String()
	pid := c.Flag("pid", "Process ID of the daemon.").Required().Int()
	key := c.Flag("key", "API key of a customer.").Required().String()
	span := c.Flag("span", "Duration of each measurement.").Default("3s").Duration()
	only := c.Flag("only", "Measurements to run; may be repeated.").Default("idle", "ratios", "tokens", "requests", "streams").Enums("idle", "ratios", "tokens", "requests", "streams")
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
		return runMeasurements(ctx, e, *only)
	}}
}

// runMeasurements runs the given measurements in order.
func runMeasurements(ctx context.Context, e *bench.EntryBench, names []string) error {
	run := map[string]func() error{
		"idle":     func() error { return e.IdleSlope(ctx, idleCounts) },
		"ratios":   func() error { return e.MeasureOverhead(ctx) },
		"tokens":   func() error { return e.MeasureTokens(ctx) },
		"requests": func() error { return e.RequestSlope(ctx, requestRates) },
		"streams":  func() error { return e.TokenSlopes(ctx, streamCounts) },
	}
	for _, name := range names {
		if err := run[name](); err != nil {
			return err
		}
		time.Sleep(time.Second) // lets the connections of this measurement close before the next one
	}
	return nil
}

func benchDecisionsCommand(app *kingpin.Application) command {
	c := app.Command("bench-decisions", "Measure how the cost of decisions that need no network grows with the size of the deployment.")
	return command{clause: c, run: func(ctx context.Context) error {
		return runDecisions(ctx, os.Stdout)
	}}
}

func runDecisions(ctx context.Context, out io.Writer) error {
	if err := bench.RoutingSlopes(out, upstreamCounts); err != nil {
		return err
	}
	if err := bench.LedgerSlopes(ctx, out, callCounts); err != nil {
		return err
	}
	bench.LimiterSlope(out, customerCounts)
	bench.PlannerSlope(out, upstreamCounts)
	bench.GossipSlopes(out, daemonCounts)
	return nil
}

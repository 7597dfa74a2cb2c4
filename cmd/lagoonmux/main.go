// Command lagoonmux is the daemon that stands between callers and upstreams.
package main

import (
	"context"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/daemon"
	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/version"
)

// procsPerCore leaves processors to Go's scheduler while event loops hold some
// of them in blocking system calls.
const procsPerCore = 2

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	app := kingpin.New("lagoonmux", "Serves callers from reclaimable VMs: routes requests to upstreams by the manifest in force.\n\n"+
		"SIGTERM stops it gracefully: it reports not ready, finishes the requests in flight and exits.\n\n"+
		"Exit codes: 0 stopped, 1 failed, 2 the settings violate a rule.")
	app.UsageWriter(os.Stdout)
	app.Version(version.Version)
	file := app.Flag("settings", "File with the settings of this VM, JSON with comments.").Short('s').Required().String()
	check := app.Flag("check", "Validate the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if *check {
		return
	}
	runtime.GOMAXPROCS(procsPerCore * s.Cores)
	log := obs.NewLogger(os.Stderr, "lagoonmux", s.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := daemon.New(s, log)
	expvar.Publish("control_bytes", expvar.Func(func() any {
		sent, received := d.Traffic()
		return sent + received
	}))
	expvar.Publish("lagoonmux", expvar.Func(func() any { return d.Report() }))
	expvar.Publish("lagoonmux.routing", expvar.Func(func() any { return d.RoutingStats() }))
	expvar.Publish("lagoonmux.limits", expvar.Func(func() any { return d.LimitStats() }))
	expvar.Publish("lagoonmux.ledger", expvar.Func(func() any { return d.LedgerStats() }))
	if err := d.Run(ctx); err != nil {
		log.Error("daemon failed", "error", err)
		os.Exit(exitFailure)
	}
}

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
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
	"github.com/lagoonmux/lagoonmux/internal/daemon"
	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/version"
	"github.com/lagoonmux/lagoonmux/platform"
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
	app := kingpin.New("lagoonmux", "Serves callers from reclaimable VMs: routes requests to upstreams by the configuration in force.\n\n"+
		"SIGTERM stops it gracefully: it reports not ready, finishes the requests in flight and exits.\n\n"+
		"Exit codes: 0 stopped, 1 failed, 2 the settings violate a rule.")
	app.UsageWriter(os.Stdout)
	app.Version(version.Version)
	serve := app.Command("serve", "Serve callers of completions and plain services by a manifest.").Default()
	file := serve.Flag("settings", "File with the settings of this VM, JSON with comments.").Short('s').Required().String()
	check := serve.Flag("check", "Validate the settings and exit.").Bool()
	onPlatform := app.Command("platform", "Serve on the users' platform; "+platform.FileVariable+" names the settings file.")
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case serve.FullCommand():
		runServe(*file, *check)
	case onPlatform.FullCommand():
		runPlatform()
	}
}

func runServe(file string, check bool) {
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if check {
		return
	}
	runtime.GOMAXPROCS(procsPerCore * s.Cores)
	log := obs.NewLogger(os.Stderr, "lagoonmux", s.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := daemon.New(s, log)
	publishVars(d)
	if err := d.Run(ctx); err != nil {
		log.Error("daemon failed", "error", err)
		os.Exit(exitFailure)
	}
}

func publishVars(d *daemon.Daemon) {
	expvar.Publish("control_bytes", expvar.Func(func() any {
		sent, received := d.Traffic()
		return sent + received
	}))
	expvar.Publish("lagoonmux", expvar.Func(func() any { return d.Report() }))
	expvar.Publish("lagoonmux.routing", expvar.Func(func() any { return d.RoutingStats() }))
	expvar.Publish("lagoonmux.limits", expvar.Func(func() any { return d.LimitStats() }))
	expvar.Publish("lagoonmux.ledger", expvar.Func(func() any { return d.LedgerStats() }))
}

// platformMaxProcs is Go's processors on the platform's VMs of one core: the event
// loop and calls of the system hold some while they wait.
const platformMaxProcs = 4

func runPlatform() {
	runtime.GOMAXPROCS(platformMaxProcs)
	sink := obs.NewSink(os.Stdout)
	log := obs.NewLogger(sink, "lagoonmux", "")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	err := runTrial(ctx, reload, log)
	if err != nil {
		log.Error("daemon failed", "error", err)
	}
	sink.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// runTrial runs the daemon, less what a trial has switched off.
func runTrial(ctx context.Context, reload <-chan os.Signal, log hclog.Logger) error {
	without, err := ablation.Load()
	if err != nil {
		return err
	}
	if len(without) > 0 {
		log.Warn("mechanisms are switched off for a trial", "without", fmt.Sprint(without))
	}
	return platform.Run(ctx, reload, log)
}

// exitCode tells violated settings from other failures.
func exitCode(err error) int {
	var se *platform.SettingsError
	if errors.As(err, &se) {
		return exitSettings
	}
	return exitFailure
}

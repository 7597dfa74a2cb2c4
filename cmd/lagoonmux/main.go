// Command lagoonmux is the daemon that routes callers' requests to upstreams.
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

// procsPerCore is GOMAXPROCS per core of the settings. Event loops occupy some of the
// scheduler's processors with blocking system calls.
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
	serveCmd := app.Command("serve", "Serve callers of completions and plain services by a manifest.").Default()
	file := serveCmd.Flag("settings", "File with the settings of this VM, JSON with comments.").Short('s').Required().String()
	check := serveCmd.Flag("check", "Validate the settings and exit.").Bool()
	platformCmd := app.Command("platform", "Serve on the users' platform; "+platform.SettingsFileEnv+" names the settings file.")
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case serveCmd.FullCommand():
		runServe(*file, *check)
	case platformCmd.FullCommand():
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

// publishVars publishes the daemon's statistics as expvars.
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

// platformMaxProcs is GOMAXPROCS on the platform's VMs, which have one core. The event
// loop and blocking system calls occupy some of the scheduler's processors.
const platformMaxProcs = 4

func runPlatform() {
	runtime.GOMAXPROCS(platformMaxProcs)
	sink := obs.NewSink(os.Stdout)
	log := obs.NewLogger(sink, "lagoonmux", "")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	err := runDaemon(ctx, reload, log)
	if err != nil {
		log.Error("daemon failed", "error", err)
	}
	sink.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// runDaemon runs the daemon on the platform without the mechanisms that
// LAGOONMUX_WITHOUT disables for an experiment, and logs these first.
func runDaemon(ctx context.Context, reload <-chan os.Signal, log hclog.Logger) error {
	disabled, err := ablation.Load()
	if err != nil {
		return err
	}
	if len(disabled) > 0 {
		log.Warn("mechanisms are switched off for a trial", "without", fmt.Sprint(disabled))
	}
	return platform.Run(ctx, reload, log)
}

// exitCode returns the exit code for an error of the daemon.
func exitCode(err error) int {
	var settingsErr *platform.SettingsError
	if errors.As(err, &settingsErr) {
		return exitSettings
	}
	return exitFailure
}

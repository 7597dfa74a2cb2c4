// Command lagoonstand runs what tests and benchmarks of lagoonmux need around the daemons:
// stand-ins, which simulate upstreams and the platform's services, and load generators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/version"
)

// command is a subcommand.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error // the context is canceled on SIGTERM and SIGINT
}

func main() {
	app := kingpin.New("lagoonstand", "Stand-ins that simulate model upstreams, plain services and the platform, and load generators.\n\n"+
		"Exit codes: 0 success, 1 failure, or a response under load was wrong.")
	app.UsageWriter(os.Stdout)
	app.Version(version.Version)
	commands := []command{
		serveCommand(app),
		awaitCommand(app),
		loadCommand(app),
		owedCommand(app),
		faultCommand(app),
		reclaimCommand(app),
		waitCommand(app),
		lossesCommand(app),
		benchUpstreamCommand(app),
		benchEntryCommand(app),
		benchDecisionsCommand(app),
		benchRoutingCommand(app),
	}
	selected := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, c := range commands {
		if c.clause.FullCommand() != selected {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, err)
			stop()
			os.Exit(1)
		}
	}
}

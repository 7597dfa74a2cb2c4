// Command lagoonstand runs the stand-ins of the outside systems and the load
// of callers for trials of lagoonmux.
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

// command is one subcommand: its kingpin clause and what runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

func main() {
	app := kingpin.New("lagoonstand", "Stand-ins for model engines, plain services and the platform, and a load of callers.\n\n"+
		"Exit codes: 0 done, 1 failed, or an answer under load was wrong.")
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

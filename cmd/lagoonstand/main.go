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

	"github.com/lagoonmux/lagoonmux/internal/standin"
	"github.com/lagoonmux/lagoonmux/internal/version"
)

func main() {
	app := kingpin.New("lagoonstand", "Stand-ins for model engines, plain services and the platform, and a load of callers.")
	app.Version(version.Version)
	serve := app.Command("serve", "Serve the stand-ins until SIGTERM.")
	manifestFile := serve.Flag("manifest", "Manifest whose upstreams are served.").Required().String()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var err error
	switch command {
	case serve.FullCommand():
		err = standin.Serve(ctx, *manifestFile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

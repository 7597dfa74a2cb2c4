package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/standin"
)

func serveCommand(app *kingpin.Application) command {
	c := app.Command("serve", "Serve the stand-ins until SIGTERM.")
	file := c.Flag("manifest", "Manifest whose upstreams are served.").Required().String()
	var p standin.Platform
	c.Flag("table", "Address of the table service; not served without.").StringVar(&p.Table)
	c.Flag("objects", "Address of the object store; not served without.").StringVar(&p.Objects)
	return command{clause: c, run: func(ctx context.Context) error {
		return standin.Serve(ctx, *file, p)
	}}
}

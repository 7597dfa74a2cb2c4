package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/standin"
)

func serveCommand(app *kingpin.Application) command {
	c := app.Command("serve", "Serve the stand-ins of a manifest's upstreams and of the platform until SIGTERM.")
	file := c.Flag("manifest", "Manifest whose upstreams are served.").Required().String()
	profile := c.Flag("profile", "Speeds of the upstreams, JSON with comments.").String()
	var platform standin.Platform
	c.Flag("table", "Address of the table service; not served without.").StringVar(&platform.TableAddress)
	c.Flag("objects", "Address of the object store; not served without.").StringVar(&platform.ObjectsAddress)
	c.Flag("cloud", "Address of the cloud API; not served without.").StringVar(&platform.CloudAddress)
	daemons := c.Flag("settings", "Settings of a daemon whose VM the cloud API lists; repeat for several.").Strings()
	c.Flag("control", "Address at which /NAME/... reaches every upstream, also while its own port is closed by a fault.").StringVar(&platform.ControlAddress)
	return command{clause: c, run: func(ctx context.Context) error {
		m, err := standin.ReadManifest(*file)
		if err != nil {
			return err
		}
		p, err := standin.ReadProfile(*profile)
		if err != nil {
			return err
		}
		for _, path := range *daemons {
			d, err := settings.Load(path)
			if err != nil {
				return err
			}
			platform.Daemons = append(platform.Daemons, d)
		}
		return standin.ServeManifest(ctx, m, p, platform)
	}}
}

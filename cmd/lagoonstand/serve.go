package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/standin"
)

func serveCommand(app *kingpin.Application) command {
	c := app.Command("serve", "Run the stand-ins that simulate a manifest's upstreams and the platform until SIGTERM.")
	file := c.Flag("manifest", "Manifest whose upstreams are simulated.").Required().String()
	profile := c.Flag("profile", "Performance profile of the upstreams, JSON with comments.").String()
	var platform standin.Platform
	c.Flag("table", "Address of the table service; without it the service is not simulated.").StringVar(&platform.TableAddress)
	c.Flag("objects", "Address of the object store; without it the store is not simulated.").StringVar(&platform.ObjectsAddress)
	c.Flag("cloud", "Address of the cloud API; without it the API is not simulated.").StringVar(&platform.CloudAddress)
	daemons := c.Flag("settings", "Settings file of a daemon whose VM the cloud API lists; may be repeated.").Strings()
	c.Flag("control", "Address at which /NAME/... reaches the upstream NAME, also while its own port is closed by a fault.").StringVar(&platform.ControlAddress)
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

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/standin"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
)

func faultCommand(app *kingpin.Application) command {
	c := app.Command("fault", "Replace the injected faults of running stand-ins. docs/STANDINS.md lists the faults.")
	plan := c.Arg("plan", `Faults as JSON, such as {"seed":1,"faults":[{"name":"slow","share":0.1,"delay_ms":500}]}; {} removes all faults.`).Required().String()
	address := c.Flag("address", "Address of one stand-in, instead of upstreams selected from a manifest.").String()
	file := c.Flag("manifest", "Manifest to select upstreams from.").String()
	control := c.Flag("control", "Control address of the stand-ins, which also reaches those whose own port is closed by a fault.").String()
	var s standin.Selection
	c.Flag("upstream", "Only the upstream with this name.").StringVar(&s.Upstream)
	c.Flag("service", "Only upstreams of this service.").StringVar(&s.Service)
	c.Flag("zone", "Only upstreams in this availability zone.").StringVar(&s.Zone)
	c.Flag("reclaimable", "Only reclaimable upstreams.").BoolVar(&s.Reclaimable)
	return command{clause: c, run: func(context.Context) error {
		var p faults.Plan
		if err := json.Unmarshal([]byte(*plan), &p); err != nil {
			return errors.Wrap(err, "decode fault plan")
		}
		if *address != "" {
			return standin.PostFaults(*address, p)
		}
		m, err := standin.ReadManifest(*file)
		if err != nil {
			return err
		}
		names, err := standin.SetFaults(m, s, *control, p)
		fmt.Println("faults set upstreams=" + strings.Join(names, ","))
		return err
	}}
}

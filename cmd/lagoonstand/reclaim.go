package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
	cloudapi "github.com/lagoonmux/lagoonmux/internal/standin/cloud"
	"github.com/lagoonmux/lagoonmux/internal/standin/httpjson"
)

func reclaimCommand(app *kingpin.Application) command {
	c := app.Command("reclaim", "Make the stand-in cloud announce that it reclaims VMs.")
	address := c.Flag("cloud", "Address of the stand-in cloud API.").Required().String()
	in := c.Flag("in", "Time from the notice to the termination of the VMs.").Default("10s").Duration()
	var r cloudapi.Reclaim
	c.Flag("zone", "Only upstreams in this availability zone.").StringVar(&r.Zone)
	c.Flag("share", "Fraction of the reclaimable upstreams to reclaim.").Default("1").Float64Var(&r.Share)
	c.Flag("vm", "ID of a VM, such as vm-entry-1, instead of a fraction of the upstreams; may be repeated.").StringsVar(&r.VMs)
	c.Flag("tell", "Notify the upstreams too, so that they refuse new requests.").Default("true").BoolVar(&r.Notify)
	return command{clause: c, run: func(context.Context) error {
		r.InMS = int64(*in / time.Millisecond)
		vms, err := reclaim(*address, &r)
		for _, vm := range vms {
			fmt.Printf("reclaim announced vm=%s zone=%s vm_class=%s in=%s\n", vm.ID, vm.Zone, vm.VMClass, *in)
		}
		return err
	}}
}

// reclaim posts r to the cloud API and returns the VMs that will be reclaimed.
func reclaim(address string, r *cloudapi.Reclaim) ([]cloud.VM, error) {
	var vms []cloud.VM
	return vms, httpjson.Post(address, cloudapi.ReclaimPath, probeTimeout, r, &vms)
}

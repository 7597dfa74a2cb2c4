package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
	cloudapi "github.com/lagoonmux/lagoonmux/internal/standin/cloud"
)

func reclaimCommand(app *kingpin.Application) command {
	c := app.Command("reclaim", "Let the stand-in cloud announce the reclaim of VMs.")
	address := c.Flag("cloud", "Address of the stand-in cloud API.").Required().String()
	in := c.Flag("in", "From the notice to the end of the VMs.").Default("10s").Duration()
	var r cloudapi.Reclaim
	c.Flag("zone", "Only upstreams in this availability zone.").StringVar(&r.Zone)
	c.Flag("share", "Share of the reclaimable upstreams.").Default("1").Float64Var(&r.Share)
	c.Flag("vm", "ID of one VM, such as vm-entry-1, instead of a share of upstreams; repeat for several.").StringsVar(&r.VMs)
	c.Flag("tell", "Tell the upstreams too, so that they refuse new work.").Default("true").BoolVar(&r.Tell)
	return command{clause: c, run: func(context.Context) error {
		r.InMS = int64(*in / time.Millisecond)
		vms, err := reclaim(*address, &r)
		for _, vm := range vms {
			fmt.Printf("reclaim announced vm=%s zone=%s vm_class=%s in=%s\n", vm.ID, vm.Zone, vm.VMClass, *in)
		}
		return err
	}}
}

func reclaim(address string, r *cloudapi.Reclaim) ([]cloud.VM, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + cloudapi.ReclaimPath)
	req.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(req, resp, probeTime); err != nil {
		return nil, errors.Wrapf(err, "reclaim at %s", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("reclaim at %s: status %d: %s", address, resp.StatusCode(), resp.Body())
	}
	var vms []cloud.VM
	return vms, errors.Wrapf(json.Unmarshal(resp.Body(), &vms), "reclaim at %s", address)
}

package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
	"github.com/lagoonmux/lagoonmux/internal/standin"
	"github.com/lagoonmux/lagoonmux/internal/standin/engine"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// serve runs the stand-ins for one model engine, e1, and one plain service, d1, with
// a cloud API and a control address.
func serve(t *testing.T) (*manifest.Manifest, standin.Platform) {
	t.Helper()
	m, err := manifest.Parse("m", fmt.Appendf(nil, `{
	"services": [
		{"name": "fortune", "kind": "model", "target": {"total_ms": 5000}},
		{"name": "orders", "kind": "plain", "target": {"total_ms": 2000}, "routes": [{"method": "POST", "path": "/orders"}]}],
	"upstreams": [
		{"name": "e1", "service": "fortune", "address": %q, "zone": "a", "vm_class": "g", "slots": 4, "reclaimable": true},
		{"name": "d1", "service": "orders", "address": %q, "zone": "b", "vm_class": "g", "slots": 4}],
	"customers": [{"name": "editors", "key": "editors-key", "weight": 1, "requests_per_second": 9, "tokens_per_second": 900, "concurrency": 9}],
	"vm_classes": [{"name": "g", "on_demand_per_hour": 2, "reclaimable_per_hour": 1, "prefill_per_ms": 5}],
	"fleet": {"max_upstreams": 4, "max_per_hour": 9, "max_reclaimable_share": 1, "templates": [{"service": "fortune", "slots": 2}]}}`,
		freeAddress(t), freeAddress(t)))
	assert.NilError(t, err)
	p := standin.Platform{CloudAddress: freeAddress(t), ControlAddress: freeAddress(t)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- standin.ServeManifest(ctx, m, &standin.Profile{}, p) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
	waitStatus(t, "http://"+p.CloudAddress+cloud.VMsPath, fasthttp.StatusOK)
	waitStatus(t, "http://"+p.ControlAddress+"/", fasthttp.StatusOK)
	return m, p
}

// waitStatus waits until a GET of url returns status; 0 means that the GET fails.
func waitStatus(t *testing.T, url string, status int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got, _, err := fasthttp.GetTimeout(nil, url, time.Second)
		if err != nil {
			got = 0
		}
		if got != status {
			return poll.Continue("status %d, error %v", got, err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// A fault can close the port of an upstream. Its audit paths and its fault plan must
// stay reachable by the control address.
func TestControlReachesUpstreamWithClosedPort(t *testing.T) {
	m, p := serve(t)
	portClosed := faults.Plan{Faults: []faults.Fault{{Name: faults.Down, ForMS: 600_000}}}
	names, err := standin.SetFaults(m, standin.Selection{Zone: "b"}, "", portClosed)
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"d1"})
	waitStatus(t, "http://"+m.Upstreams[1].Address+plain.LoadPath, 0)
	waitStatus(t, "http://"+p.ControlAddress+"/d1"+plain.RunsPath, fasthttp.StatusOK)
	_, err = standin.SetFaults(m, standin.Selection{Upstream: "d1"}, p.ControlAddress, faults.Plan{})
	assert.NilError(t, err)
	waitStatus(t, "http://"+m.Upstreams[1].Address+plain.LoadPath, fasthttp.StatusOK)
	_, err = standin.SetFaults(m, standin.Selection{Zone: "nowhere"}, "", portClosed)
	assert.ErrorContains(t, err, "no upstream matches")
}

// A VM started by the cloud API must come with a running upstream that the control
// address lists, and stopping the VM must close the upstream's port.
func TestCloudStartsAndStopsUpstreams(t *testing.T) {
	_, p := serve(t)
	client := cloud.New("http://" + p.CloudAddress)
	defer client.Close()
	ctx := context.Background()
	vm, err := client.Start(ctx, cloud.StartRequest{Token: "t", Name: "fleet-1", Service: "fortune", Zone: "a", VMClass: "g"})
	assert.NilError(t, err)
	waitStatus(t, "http://"+vm.Address+engine.PathLoad, fasthttp.StatusOK)
	_, body, err := fasthttp.Get(nil, "http://"+p.ControlAddress+"/")
	assert.NilError(t, err)
	kinds := make(map[string]manifest.Kind)
	assert.NilError(t, json.Unmarshal(body, &kinds))
	assert.DeepEqual(t, kinds, map[string]manifest.Kind{"e1": manifest.Model, "d1": manifest.Plain, "fleet-1": manifest.Model})
	assert.NilError(t, client.Stop(ctx, vm.ID))
	waitStatus(t, "http://"+vm.Address+engine.PathLoad, 0)
}

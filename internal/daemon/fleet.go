package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/fleet"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/members"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

const (
	fleetInterval = time.Second
	ordersPath    = "/orders"
)

// fleetUpstreams keeps the upstreams that the fleet runs beside those of the
// manifest, and the newest load of each upstream. Its methods may be called
// from any goroutine.
type fleetUpstreams struct {
	mu       sync.Mutex
	vms      []cloud.VM
	inFlight map[string]int // requests running and waiting
}

func (j *fleetUpstreams) setVMs(vms []cloud.VM) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.vms = vms
}

func (j *fleetUpstreams) observeLoad(l routing.LoadReport) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inFlight[l.Upstream] = l.Running + l.Waiting
}

func (j *fleetUpstreams) inFlightAt(upstream string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.inFlight[upstream]
}

// withManifest returns the upstreams of the manifest and those that joined.
func (j *fleetUpstreams) withManifest(a *manifest.Active) []*manifest.Upstream {
	j.mu.Lock()
	started := fleet.Joined(a, j.vms)
	j.mu.Unlock()
	out := make([]*manifest.Upstream, 0, len(a.Upstreams)+len(started))
	for i := range a.Upstreams {
		out = append(out, &a.Upstreams[i])
	}
	for i := range started {
		out = append(out, &started[i])
	}
	return out
}

// runFleet takes part in the fleet duty until ctx ends.
func (d *Daemon) runFleet(ctx context.Context) error {
	if d.settings.Platform.Cloud == "" {
		return nil
	}
	client := cloud.New(d.settings.Platform.Cloud)
	defer client.Close()
	duty := fleet.NewDuty(d.settings.Name, d.settings.Region, d.table)
	m := fleet.NewManager(duty, d.table, client, sendOrder, time.Now, d.log.Named("fleet"))
	ticker := time.NewTicker(fleetInterval)
	defer ticker.Stop()
	for lastErr := ""; ; {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			lastErr = d.stepFleet(ctx, now, m, lastErr)
		}
	}
}

// stepFleet runs one step, logs an error that differs from the last, and
// returns it.
func (d *Daemon) stepFleet(ctx context.Context, now time.Time, m *fleet.Manager, lastErr string) string {
	before := m.Duty.State()
	if d.draining.Load() {
		return lastErr
	}
	err := m.Step(ctx, now, fleet.State{Active: d.manifests.Load(), Runners: d.plannerUpstreams})
	if s := m.Duty.State(); s != before {
		d.log.Info("fleet duty", "state", s, "fence", m.Duty.Fence())
	}
	if err == nil {
		return ""
	}
	if err.Error() != lastErr {
		d.log.Warn("fleet step failed; what runs is kept", "error", err)
	}
	return err.Error()
}

// plannerUpstreams lists the upstreams of a service for the planner.
func (d *Daemon) plannerUpstreams(service string) []fleet.Runner {
	states := make(map[string]members.State)
	for _, r := range d.members.View().Upstreams {
		states[r.Name] = r.State
	}
	var out []fleet.Runner
	for _, u := range d.fleetUpstreams.withManifest(d.manifests.Load()) {
		if u.Service != service {
			continue
		}
		out = append(out, fleet.Runner{
			Name: u.Name, Zone: u.Zone, VMClass: u.VMClass, Reclaimable: u.Reclaimable, Slots: u.Slots,
			Busy: float64(d.fleetUpstreams.inFlightAt(u.Name)), Gone: states[u.Name] >= members.Leaving,
		})
	}
	return out
}

// sendOrder implements fleet.SendOrder.
func sendOrder(ctx context.Context, address string, o fleet.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + ordersPath)
	req.SetBodyRaw(body)
	req.SetConnectionClose()
	deadline, _ := ctx.Deadline()
	if err := fasthttp.DoDeadline(req, resp, deadline); err != nil {
		return errors.Wrapf(err, "order %s", address)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusConflict:
		return fleet.ErrFenced
	default:
		return errors.Errorf("order %s: status %d", address, resp.StatusCode())
	}
}

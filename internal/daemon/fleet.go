package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/fleet"
	"github.com/lagoonmux/lagoonmux/internal/httpcheck"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/members"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

const (
	fleetInterval = time.Second
	ordersPath    = "/orders"
)

// upstreamSet holds the list of VMs, from which it derives the upstreams that the fleet
// duty started, and the last reported load of each upstream. Its methods may be called
// from any goroutine.
type upstreamSet struct {
	mu       sync.Mutex
	vms      []cloud.VM
	inFlight map[string]int // running and waiting requests by upstream
}

func (s *upstreamSet) setVMs(vms []cloud.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}

func (s *upstreamSet) observeLoad(l routing.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[l.Upstream] = l.Running + l.Waiting
}

func (s *upstreamSet) inFlightAt(upstream string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight[upstream]
}

// all returns the upstreams declared in the manifest and those that the fleet duty
// started.
func (s *upstreamSet) all(a *manifest.Active) []*manifest.Upstream {
	s.mu.Lock()
	started := fleet.StartedUpstreams(a, s.vms)
	s.mu.Unlock()
	out := make([]*manifest.Upstream, 0, len(a.Upstreams)+len(started))
	for i := range a.Upstreams {
		out = append(out, &a.Upstreams[i])
	}
	for i := range started {
		out = append(out, &started[i])
	}
	return out
}

// runFleet competes for the fleet duty, and plans the fleet while this daemon holds
// it, until ctx ends.
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

// stepFleet runs one step of the fleet duty, unless the daemon drains, and returns the
// text of its error, or "". An error is logged only if its text differs from lastErr,
// the result of the previous step.
func (d *Daemon) stepFleet(ctx context.Context, now time.Time, m *fleet.Manager, lastErr string) string {
	before := m.Duty.State()
	if d.draining.Load() {
		return lastErr
	}
	err := m.Step(ctx, now, fleet.Snapshot{Active: d.manifests.Load(), Upstreams: d.plannerUpstreams})
	if s := m.Duty.State(); s != before {
		d.log.Info("fleet duty state changed", "state", s, "fence", m.Duty.Fence())
	}
	if err == nil {
		return ""
	}
	if err.Error() != lastErr {
		d.log.Warn("fleet step failed; running upstreams are unchanged", "error", err)
	}
	return err.Error()
}

// plannerUpstreams returns the upstreams of a service as input of the fleet planner.
func (d *Daemon) plannerUpstreams(service string) []fleet.Upstream {
	states := make(map[string]members.State)
	for _, r := range d.members.View().Upstreams {
		states[r.Name] = r.State
	}
	var out []fleet.Upstream
	for _, u := range d.upstreams.all(d.manifests.Load()) {
		if u.Service != service {
			continue
		}
		out = append(out, fleet.Upstream{
			Name: u.Name, Zone: u.Zone, VMClass: u.VMClass, Reclaimable: u.Reclaimable, Slots: u.Slots,
			InFlight: float64(d.upstreams.inFlightAt(u.Name)), Unavailable: states[u.Name] >= members.Leaving,
		})
	}
	return out
}

// orderClient sends orders to upstreams.
var orderClient = &fasthttp.Client{Dial: httpcheck.Dial(fasthttp.Dial, nil)}

// sendOrder implements fleet.SendOrder.
func sendOrder(ctx context.Context, address string, o fleet.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order as JSON")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + ordersPath)
	req.SetBodyRaw(body)
	req.SetConnectionClose()
	deadline, _ := ctx.Deadline()
	if err := orderClient.DoDeadline(req, resp, deadline); err != nil {
		return errors.Wrapf(err, "post order to %s", address)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusConflict:
		return fleet.ErrFenced
	default:
		return errors.Errorf("post order to %s: status %d", address, resp.StatusCode())
	}
}

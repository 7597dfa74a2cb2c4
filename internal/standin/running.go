package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	platformcloud "github.com/lagoonmux/lagoonmux/internal/platform/cloud"
	"github.com/lagoonmux/lagoonmux/internal/standin/cloud"
	"github.com/lagoonmux/lagoonmux/internal/standin/engine"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
)

const (
	cloudLag         = 5 * time.Second // of the list of VMs
	cloudWeightLoads = 2               // a second
	startedSlots     = 16              // of an upstream that the cloud starts
)

// running holds the upstreams that are served.
type running struct {
	ctx     context.Context
	g       *errgroup.Group
	active  *manifest.Active
	profile *Profile

	mu   sync.Mutex
	seen map[string]*engine.Seen // by service
	sets map[string]*faults.Set  // by upstream
}

// start serves one upstream.
func (r *running) start(u *manifest.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := faults.New()
	r.sets[u.Name] = set
	if r.active.Service(u.Service).Kind == manifest.Plain {
		s := plain.New(r.profile.plain(r.active.Manifest, u), set)
		r.g.Go(func() error { return set.Serve(r.ctx, u.Address, s.Handle) })
		return
	}
	if r.seen[u.Service] == nil {
		r.seen[u.Service] = engine.NewSeen()
	}
	e := engine.New(r.profile.engine(r.active.Manifest, u, r.seen[u.Service]), set)
	r.g.Go(func() error { return e.Serve(r.ctx, u.Address) })
}

// serveCloud serves the cloud API, whose VMs are the upstreams.
func (r *running) serveCloud(address string) {
	c := cloud.New(cloud.Config{
		Lag:           cloudLag,
		WeightsPerSec: cloudWeightLoads,
		Seed:          1,
		OnStart:       func(s platformcloud.Start) string { return r.startVM(address, s) },
		OnReclaim:     r.reclaim,
	}, r.active.Manifest, nil)
	r.g.Go(func() error { return faults.New().Serve(r.ctx, address, c.Handle) })
}

// startVM starts an upstream on a free port of the cloud's host and returns
// its address, which is empty if there is none.
func (r *running) startVM(cloudAddress string, s platformcloud.Start) string {
	host, _, err := net.SplitHostPort(cloudAddress)
	if err != nil || r.active.Service(s.Service) == nil {
		return ""
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return ""
	}
	defer l.Close()
	u := &manifest.Upstream{Name: s.Name, Service: s.Service, Address: l.Addr().String(), Zone: s.Zone, VMClass: s.VMClass, Slots: startedSlots}
	defer r.start(u)
	return u.Address
}

// reclaim ends a VM.
func (r *running) reclaim(vm platformcloud.VM, in time.Duration, tell bool) {
	r.mu.Lock()
	set := r.sets[vm.Name]
	r.mu.Unlock()
	switch {
	case set == nil:
	case tell:
		set.Leave(in, false)
	default:
		time.AfterFunc(in, set.Kill)
	}
}

// Package standin runs stand-ins for the outside systems of a deployment, for
// tests and demos: an HTTP server for each upstream of a manifest, and one for
// each service of the platform (table service, object store, cloud API).
package standin

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	cloudapi "github.com/lagoonmux/lagoonmux/internal/standin/cloud"
	"github.com/lagoonmux/lagoonmux/internal/standin/engine"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/objects"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
	"github.com/lagoonmux/lagoonmux/internal/standin/table"
)

const defaultWeightLoadsPerSecond = 1000

// Platform holds the listen addresses of the stand-ins for the platform's
// services. A service with an empty address is not served.
type Platform struct {
	TableAddress   string
	ObjectsAddress string
	CloudAddress   string
	ControlAddress string               // serves /NAME/... for every upstream, also while a fault closes its port
	Daemons        []*settings.Settings // daemons whose VMs the cloud API lists
}

// Serve reads the manifest at path and serves its upstreams with the default
// Profile, and the platform's services, until ctx ends.
func Serve(ctx context.Context, path string, platform Platform) error {
	m, err := ReadManifest(path)
	if err != nil {
		return err
	}
	return ServeManifest(ctx, m, &Profile{}, platform)
}

// ServeManifest serves the upstreams of m, timed according to p, and the
// platform's services, until ctx ends.
func ServeManifest(ctx context.Context, m *manifest.Manifest, p *Profile, platform Platform) error {
	g, gctx := errgroup.WithContext(ctx)
	d := &deployment{
		ctx: gctx, group: g, manifest: m, active: manifest.NewActive(0, m), profile: p,
		computed: make(map[string]*engine.ComputedBlocks), upstreams: make(map[string]*upstream),
	}
	d.servePlatform(platform)
	for i := range m.Upstreams {
		l, set, err := listen(m.Upstreams[i].Address)
		if err != nil {
			g.Go(func() error { return err })
			break
		}
		d.serveUpstream(&m.Upstreams[i], l, set)
	}
	return g.Wait()
}

// deployment holds the running stand-ins of one deployment. The cloud API can add
// upstreams at run time.
type deployment struct {
	ctx      context.Context
	group    *errgroup.Group
	manifest *manifest.Manifest
	active   *manifest.Active
	profile  *Profile

	mu        sync.Mutex
	computed  map[string]*engine.ComputedBlocks // by service
	upstreams map[string]*upstream              // by name
}

// upstream is the stand-in for one upstream.
type upstream struct {
	kind    manifest.Kind
	faults  *faults.Set
	handler fasthttp.RequestHandler // with faults; the control address calls it also while the port is closed
}

func listen(address string) (net.Listener, *faults.Set, error) {
	set := faults.New()
	l, err := set.Listener(address)
	return l, set, err
}

// serveUpstream serves u on l with the faults of set.
func (d *deployment) serveUpstream(u *manifest.Upstream, l net.Listener, set *faults.Set) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var handle fasthttp.RequestHandler
	kind := d.active.Service(u.Service).Kind
	if kind == manifest.Plain {
		handle = plain.New(d.profile.plainConfig(d.manifest, u), set).Handle
	} else {
		if d.computed[u.Service] == nil {
			d.computed[u.Service] = engine.NewComputedBlocks()
		}
		e := engine.New(d.profile.engineConfig(d.manifest, u, d.computed[u.Service]), set)
		handle = e.Handle
		go e.Run(d.ctx)
	}
	d.upstreams[u.Name] = &upstream{kind: kind, faults: set, handler: set.Wrap(handle)}
	d.group.Go(func() error { return set.ServeListener(d.ctx, l, handle) })
}

func (d *deployment) upstream(name string) *upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[name]
}

// servePlatform serves the platform's services and the control address.
func (d *deployment) servePlatform(p Platform) {
	d.serveAt(p.TableAddress, table.New().Handle)
	d.serveAt(p.ObjectsAddress, objects.New().Handle)
	d.serveAt(p.ControlAddress, d.serveControl)
	if p.CloudAddress != "" {
		d.serveAt(p.CloudAddress, d.newCloud(p).Handle)
	}
}

func (d *deployment) serveAt(address string, h fasthttp.RequestHandler) {
	if address != "" {
		d.group.Go(func() error { return faults.New().Serve(d.ctx, address, h) })
	}
}

// newCloud returns a cloud API that starts, reclaims and stops the stand-ins for
// upstreams together with their VMs.
func (d *deployment) newCloud(p Platform) *cloudapi.Server {
	host, _, _ := net.SplitHostPort(p.CloudAddress)
	vms := make([]cloud.VM, len(p.Daemons))
	for i, s := range p.Daemons {
		vms[i] = cloud.VM{ID: "vm-" + s.Name, Name: s.Name, Role: cloud.RoleDaemon, Address: s.PeerAddress, Zone: s.Zone, VMClass: s.VMClass}
	}
	weights := d.profile.WeightLoadsPerSecond
	if weights == 0 {
		weights = defaultWeightLoadsPerSecond
	}
	config := cloudapi.Config{
		ListLag:              milliseconds(float64(d.profile.ListLagMS)),
		WeightLoadsPerSecond: weights,
		OnReclaim:            d.announceReclaim,
		OnRemove:             d.killUpstream,
		OnStart:              func(s cloud.StartRequest) string { return d.startUpstream(host, s) },
	}
	return cloudapi.New(config, d.manifest, vms)
}

// announceReclaim makes the upstream on vm announce that it stops after delay, if
// notify is set.
func (d *deployment) announceReclaim(vm cloud.VM, delay time.Duration, notify bool) {
	if u := d.upstream(vm.Name); u != nil && notify {
		u.faults.Leave(delay, false)
	}
}

// killUpstream stops the upstream on a VM that has ended.
func (d *deployment) killUpstream(vm cloud.VM) {
	if u := d.upstream(vm.Name); u != nil {
		u.faults.Kill()
	}
}

// startUpstream starts an upstream on a new VM and returns its address. It returns an
// empty address if the service has no template or no port can be opened on host.
func (d *deployment) startUpstream(host string, s cloud.StartRequest) string {
	u := &manifest.Upstream{Name: s.Name, Service: s.Service, Zone: s.Zone, VMClass: s.VMClass, Reclaimable: s.Reclaimable}
	t := d.template(s.Service)
	if t == nil {
		return ""
	}
	u.Slots, u.CacheTokens, u.ChecksFence = t.Slots, t.CacheTokens, t.ChecksFence
	for _, c := range d.manifest.VMClasses {
		if c.Name == s.VMClass {
			u.PrefillPerMS = c.PrefillPerMS
		}
	}
	l, set, err := listen(net.JoinHostPort(host, "0"))
	if err != nil {
		return ""
	}
	u.Address = l.Addr().String()
	d.serveUpstream(u, l, set)
	return u.Address
}

func (d *deployment) template(service string) *manifest.Template {
	if d.manifest.Fleet == nil {
		return nil
	}
	for i := range d.manifest.Fleet.Templates {
		if t := &d.manifest.Fleet.Templates[i]; t.Service == service {
			return t
		}
	}
	return nil
}

// serveControl passes requests for /NAME/PATH to the upstream of that name as /PATH,
// also while a fault closes the upstream's own port.
func (d *deployment) serveControl(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/" {
		d.serveKinds(ctx)
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	u := d.upstream(name)
	if u == nil {
		ctx.Error("no such upstream", fasthttp.StatusNotFound)
		return
	}
	ctx.URI().SetPath("/" + rest)
	u.handler(ctx)
}

// serveKinds responds with a JSON object that maps the name of each upstream to its
// kind.
func (d *deployment) serveKinds(ctx *fasthttp.RequestCtx) {
	d.mu.Lock()
	kinds := make(map[string]manifest.Kind, len(d.upstreams))
	for name, u := range d.upstreams {
		kinds[name] = u.kind
	}
	d.mu.Unlock()
	data, err := json.Marshal(kinds)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}

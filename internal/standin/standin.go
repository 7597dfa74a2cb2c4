// Package standin serves the stand-ins for the outside systems of a
// deployment: one HTTP server for each upstream of a manifest, and one for each
// of the platform's services.
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

// Platform holds the addresses at which stand-ins of the platform's services
// are served. An empty address leaves the service out.
type Platform struct {
	TableAddress   string
	ObjectsAddress string
	CloudAddress   string
	ControlAddress string               // reaches every upstream by name, whatever its faults
	Daemons        []*settings.Settings // whose VMs the cloud lists
}

// Serve serves the upstreams of the manifest in the named file at default
// speeds, and the platform's services, until ctx ends.
func Serve(ctx context.Context, path string, platform Platform) error {
	m, err := ReadManifest(path)
	if err != nil {
		return err
	}
	return ServeManifest(ctx, m, &Profile{}, platform)
}

// ServeManifest serves the upstreams of m at the speeds of p, and the
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

// deployment is the stand-ins of one deployment. Upstreams join it while it
// runs.
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

// upstream is one stand-in for an upstream.
type upstream struct {
	kind    manifest.Kind
	faults  *faults.Set
	handler fasthttp.RequestHandler // also while the port is closed
}

func listen(address string) (net.Listener, *faults.Set, error) {
	set := faults.New()
	l, err := set.Listener(address)
	return l, set, err
}

// serveUpstream serves one upstream on l.
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

// servePlatform serves the platform's services.
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

// newCloud returns a cloud whose reclaims and starts reach the upstreams.
func (d *deployment) newCloud(p Platform) *cloudapi.Server {
	host, _, _ := net.SplitHostPort(p.CloudAddress)
	vms := make([]cloud.VM, len(p.Daemons))
	for i, s := range p.Daemons {
		vms[i] = cloud.VM{ID: "vm-" + s.Name, Name: s.Name, Role: cloud.RoleDaemon, Address: s.Peer, Zone: s.Zone, VMClass: s.VMClass}
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
		OnStart:              func(s cloud.Start) string { return d.startUpstream(host, s) },
	}
	return cloudapi.New(config, d.manifest, vms)
}

// announceReclaim announces to an upstream that its VM ends, if it shall be told.
func (d *deployment) announceReclaim(vm cloud.VM, delay time.Duration, notify bool) {
	if u := d.upstream(vm.Name); u != nil && notify {
		u.faults.Leave(delay, false)
	}
}

// killUpstream stops an upstream with its VM.
func (d *deployment) killUpstream(vm cloud.VM) {
	if u := d.upstream(vm.Name); u != nil {
		u.faults.Kill()
	}
}

// startUpstream starts an upstream on a new VM and returns its address, or nothing if
// the service has no template.
func (d *deployment) startUpstream(host string, s cloud.Start) string {
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

// serveControl serves what is below /NAME of each upstream, also while its own port
// is closed.
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

// serveKinds answers with the kinds of all upstreams by name.
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

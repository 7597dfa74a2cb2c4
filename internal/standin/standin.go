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

const defaultWeightsPerSecond = 1000

// Platform holds the addresses at which stand-ins of the platform's services
// are served. An empty address leaves the service out.
type Platform struct {
	Table   string
	Objects string
	Cloud   string
	Control string               // reaches every upstream by name, whatever its faults
	Daemons []*settings.Settings // whose VMs the cloud lists
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
		seen: make(map[string]*engine.Seen), upstreams: make(map[string]*upstream),
	}
	d.servePlatform(platform)
	for i := range m.Upstreams {
		l, set, err := listen(m.Upstreams[i].Address)
		if err != nil {
			g.Go(func() error { return err })
			break
		}
		d.start(&m.Upstreams[i], l, set)
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
	seen      map[string]*engine.Seen // by service
	upstreams map[string]*upstream    // by name
}

// upstream is one stand-in for an upstream.
type upstream struct {
	kind   manifest.Kind
	set    *faults.Set
	handle fasthttp.RequestHandler // also while the port is closed
}

func listen(address string) (net.Listener, *faults.Set, error) {
	set := faults.New()
	l, err := set.Listener(address)
	return l, set, err
}

// start serves one upstream on l.
func (d *deployment) start(u *manifest.Upstream, l net.Listener, set *faults.Set) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var handle fasthttp.RequestHandler
	kind := d.active.Service(u.Service).Kind
	if kind == manifest.Plain {
		handle = plain.New(d.profile.plain(d.manifest, u), set).Handle
	} else {
		if d.seen[u.Service] == nil {
			d.seen[u.Service] = engine.NewSeen()
		}
		e := engine.New(d.profile.engine(d.manifest, u, d.seen[u.Service]), set)
		handle = e.Handle
		go e.Run(d.ctx)
	}
	d.upstreams[u.Name] = &upstream{kind: kind, set: set, handle: set.Wrap(handle)}
	d.group.Go(func() error { return set.ServeListener(d.ctx, l, handle) })
}

func (d *deployment) upstream(name string) *upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[name]
}

// servePlatform serves the platform's services.
func (d *deployment) servePlatform(p Platform) {
	d.serve(p.Table, table.New().Handle)
	d.serve(p.Objects, objects.New().Handle)
	d.serve(p.Control, d.control)
	if p.Cloud != "" {
		d.serve(p.Cloud, d.newCloud(p).Handle)
	}
}

func (d *deployment) serve(address string, h fasthttp.RequestHandler) {
	if address != "" {
		d.group.Go(func() error { return faults.New().Serve(d.ctx, address, h) })
	}
}

// newCloud returns a cloud whose reclaims and starts reach the upstreams.
func (d *deployment) newCloud(p Platform) *cloudapi.Server {
	host, _, _ := net.SplitHostPort(p.Cloud)
	vms := make([]cloud.VM, len(p.Daemons))
	for i, s := range p.Daemons {
		vms[i] = cloud.VM{ID: "vm-" + s.Name, Name: s.Name, Role: cloud.RoleDaemon, Address: s.PeerAddress, Zone: s.Zone, VMClass: s.VMClass}
	}
	weights := d.profile.WeightsPerSecond
	if weights == 0 {
		weights = defaultWeightsPerSecond
	}
	config := cloudapi.Config{
		Lag:           milliseconds(float64(d.profile.ListLagMS)),
		WeightsPerSec: weights,
		OnReclaim:     d.reclaim,
		OnRemove:      d.remove,
		OnStart:       func(s cloud.StartRequest) string { return d.join(host, s) },
	}
	return cloudapi.New(config, d.manifest, vms)
}

// reclaim announces to an upstream that its VM ends, if it shall be told.
func (d *deployment) reclaim(vm cloud.VM, in time.Duration, tell bool) {
	if u := d.upstream(vm.Name); u != nil && tell {
		u.set.Leave(in, false)
	}
}

// remove stops an upstream with its VM.
func (d *deployment) remove(vm cloud.VM) {
	if u := d.upstream(vm.Name); u != nil {
		u.set.Kill()
	}
}

// join starts an upstream on a new VM and returns its address, or nothing if
// the service has no template.
func (d *deployment) join(host string, s cloud.StartRequest) string {
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
	d.start(u, l, set)
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

// control serves what is below /NAME of each upstream, also while its own port
// is closed.
func (d *deployment) control(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/" {
		d.list(ctx)
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	u := d.upstream(name)
	if u == nil {
		ctx.Error("no such upstream", fasthttp.StatusNotFound)
		return
	}
	ctx.URI().SetPath("/" + rest)
	u.handle(ctx)
}

// list answers with the kinds of all upstreams by name.
func (d *deployment) list(ctx *fasthttp.RequestCtx) {
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

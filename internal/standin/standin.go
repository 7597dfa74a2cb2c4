// Package standin serves the stand-ins for the outside systems of a
// deployment: one HTTP server for each upstream of a manifest, and one for each
// of the platform's services.
package standin

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/standin/engine"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/objects"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
	"github.com/lagoonmux/lagoonmux/internal/standin/table"
)

const faultTimeout = 2 * time.Second

// ReadManifest reads and validates the manifest in the named file.
func ReadManifest(path string) (*manifest.Manifest, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	return manifest.Parse(path, text)
}

// Platform holds the addresses at which stand-ins of the platform's services
// are served. An empty address leaves the service out.
type Platform struct {
	Table   string
	Objects string
	Cloud   string
	Control string // reaches every upstream by name, whatever its faults
}

// serve adds the services to g.
func (p Platform) serve(ctx context.Context, g *errgroup.Group) {
	if p.Table != "" {
		g.Go(func() error { return faults.New().Serve(ctx, p.Table, table.New().Handle) })
	}
	if p.Objects != "" {
		g.Go(func() error { return faults.New().Serve(ctx, p.Objects, objects.New().Handle) })
	}
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
	active := manifest.NewActive(0, m)
	seen := make(map[string]*engine.Seen) // by service
	control := make(control, len(m.Upstreams))
	g, gctx := errgroup.WithContext(ctx)
	platform.serve(gctx, g)
	for i := range m.Upstreams {
		u := &m.Upstreams[i]
		set := faults.New()
		if active.Service(u.Service).Kind == manifest.Plain {
			s := plain.New(p.plain(m, u), set)
			control[u.Name] = set.Wrap(s.Handle)
			g.Go(func() error { return set.Serve(gctx, u.Address, s.Handle) })
			continue
		}
		if seen[u.Service] == nil {
			seen[u.Service] = engine.NewSeen()
		}
		e := engine.New(p.engine(m, u, seen[u.Service]), set)
		control[u.Name] = set.Wrap(e.Handle)
		g.Go(func() error { return e.Serve(gctx, u.Address) })
	}
	if platform.Control != "" {
		g.Go(func() error { return faults.New().Serve(gctx, platform.Control, control.handle) })
	}
	return g.Wait()
}

// control serves what is below /NAME of each upstream, also while its own port
// is closed.
type control map[string]fasthttp.RequestHandler

func (c control) handle(ctx *fasthttp.RequestCtx) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	h := c[name]
	if h == nil {
		ctx.Error("no such upstream", fasthttp.StatusNotFound)
		return
	}
	ctx.URI().SetPath("/" + rest)
	h(ctx)
}

// Selection names upstreams of a manifest. Empty fields match all.
type Selection struct {
	Upstream string
	Service  string
	Zone     string

	Reclaimable bool // only reclaimable ones
}

func (s *Selection) matches(u *manifest.Upstream) bool {
	return (s.Upstream == "" || s.Upstream == u.Name) &&
		(s.Service == "" || s.Service == u.Service) &&
		(s.Zone == "" || s.Zone == u.Zone) &&
		(!s.Reclaimable || u.Reclaimable)
}

// SetFaults posts the plan to the selected stand-ins and returns the names of
// those that took it. With the address of a control port also those take it
// whose own port is closed.
func SetFaults(m *manifest.Manifest, s Selection, control string, plan faults.Plan) ([]string, error) {
	var names []string
	for i := range m.Upstreams {
		u := &m.Upstreams[i]
		if !s.matches(u) {
			continue
		}
		address := u.Address
		if control != "" {
			address = control + "/" + u.Name
		}
		if err := PostFaults(address, plan); err != nil {
			return names, err
		}
		names = append(names, u.Name)
	}
	if len(names) == 0 {
		return nil, errors.New("no upstream matches")
	}
	return names, nil
}

// PostFaults posts the plan to the stand-in at address, which may be followed
// by a path.
func PostFaults(address string, plan faults.Plan) error {
	body, err := json.Marshal(plan)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + faults.Path)
	req.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(req, resp, faultTimeout); err != nil {
		return errors.Wrapf(err, "set faults at %s", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("set faults at %s: status %d: %s", address, resp.StatusCode(), resp.Body())
	}
	return nil
}

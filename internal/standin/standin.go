// Package standin serves the stand-ins for the outside systems of a
// deployment: one HTTP server for each upstream of a manifest.
package standin

import (
	"context"
	"os"
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

const (
	defaultPrefillPerMS = 10
	defaultDecode       = 10 * time.Millisecond
)

// Platform holds the addresses at which stand-ins of the platform's services
// are served. An empty address leaves the service out.
type Platform struct {
	Table   string
	Objects string
}

// Serve serves the upstreams of the manifest in the named file, and the
// platform's services, until ctx ends.
func Serve(ctx context.Context, path string, p Platform) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read manifest")
	}
	m, err := manifest.Parse(path, text)
	if err != nil {
		return err
	}
	g, gctx := errgroup.WithContext(ctx)
	for i := range m.Upstreams {
		u := &m.Upstreams[i]
		g.Go(func() error { return faults.New().Serve(gctx, u.Address, handler(m, u)) })
	}
	servePlatform(gctx, g, p)
	return g.Wait()
}

func servePlatform(ctx context.Context, g *errgroup.Group, p Platform) {
	if p.Table != "" {
		g.Go(func() error { return faults.New().Serve(ctx, p.Table, table.New().Handle) })
	}
	if p.Objects != "" {
		g.Go(func() error { return faults.New().Serve(ctx, p.Objects, objects.New().Handle) })
	}
}

func handler(m *manifest.Manifest, u *manifest.Upstream) fasthttp.RequestHandler {
	if manifest.NewActive(0, m).Service(u.Service).Kind == manifest.Plain {
		return plain.NewCounter().Handle
	}
	return engine.New(engine.Timing{PrefillPerMS: defaultPrefillPerMS, Decode: defaultDecode}).Handle
}

// Package standin serves the stand-ins for the outside systems of a
// deployment: one HTTP server for each upstream of a manifest.
package standin

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/standin/engine"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/objects"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
	"github.com/lagoonmux/lagoonmux/internal/standin/table"
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
	seen := engine.NewSeen()
	g, gctx := errgroup.WithContext(ctx)
	for i := range m.Upstreams {
		u := &m.Upstreams[i]
		g.Go(func() error { return serveUpstream(gctx, m, u, seen) })
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

func serveUpstream(ctx context.Context, m *manifest.Manifest, u *manifest.Upstream, seen *engine.Seen) error {
	set := faults.New()
	if manifest.NewActive(0, m).Service(u.Service).Kind == manifest.Plain {
		return set.Serve(ctx, u.Address, plain.New(plain.Config{Name: u.Name, Slots: u.Slots}, set).Handle)
	}
	cfg := engine.Config{
		Name:         u.Name,
		Slots:        u.Slots,
		PrefillPerMS: float64(u.PrefillPerMS),
		CacheTokens:  u.CacheTokens,
		ChecksFence:  u.ChecksFence,
		Seen:         seen,
	}
	return engine.New(cfg, set).Serve(ctx, u.Address)
}

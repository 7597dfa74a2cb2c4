// Package daemon assembles one lagoonmux daemon from its parts and runs it
// until it is told to stop.
package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/dispatch"
	"github.com/lagoonmux/lagoonmux/internal/entry"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/serve"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const drainTimeout = 60 * time.Second

// Daemon is one daemon on one VM.
type Daemon struct {
	settings  *settings.Settings
	log       hclog.Logger
	manifests manifest.Current
	draining  atomic.Bool
	router    *routing.Router
	pool      *upstream.Pool
	admission *admission
	loads     *loads
	entry     *entry.Server
	operator  *operator.Server
	registry  *obs.Registry
}

// New assembles a daemon. Nothing runs before Run.
func New(s *settings.Settings, log hclog.Logger) *Daemon {
	d := &Daemon{settings: s, log: log, pool: upstream.NewPool(), router: routing.NewRouter()}
	d.admission = newAdmission(s, d.router, log.Named("admission"))
	d.loads = newLoads(d.pool, d.router, log.Named("loads"))
	backend := serve.New(d.admission, dispatch.New(d.pool, d.router))
	d.registry = obs.NewRegistry(log, time.Now())
	api := entry.NewAPI(&d.manifests, backend, d.registry, d.ready)
	d.entry = entry.NewServer(api, log.Named("entry"), entry.DefaultLimits())
	d.operator = operator.NewServer(d, s.TLS)
	return d
}

func (d *Daemon) ready() bool { return !d.draining.Load() }

// Run serves until ctx ends, then drains: it reports not ready, finishes the
// requests in flight and returns. It returns an error if a port cannot be
// listened on.
func (d *Daemon) Run(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	working, finished := context.WithCancel(context.Background()) // until the last request has ended
	g.Go(func() error { return d.admission.run(working) })
	g.Go(func() error { return d.loads.run(working, &d.manifests) })
	g.Go(func() error { return d.entry.Run(d.settings.Caller) })
	g.Go(func() error { return d.operator.Run(d.settings.Operator) })
	g.Go(func() error {
		<-gctx.Done()
		defer finished()
		return d.stop()
	})
	d.log.Info("daemon started", "name", d.settings.Name, "zone", d.settings.Zone, "caller", d.settings.Caller)
	err := g.Wait()
	d.log.Info("daemon stopped", "name", d.settings.Name)
	return err
}

func (d *Daemon) stop() error {
	d.draining.Store(true)
	d.log.Info("drain started", "name", d.settings.Name)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := d.entry.Stop(ctx)
	d.pool.Close()
	if oerr := d.operator.Stop(); err == nil {
		err = oerr
	}
	return err
}

// allLive lists every upstream of the manifest as live.
func allLive(a *manifest.Active) []routing.Member {
	members := make([]routing.Member, len(a.Upstreams))
	for i := range a.Upstreams {
		members[i] = routing.Member{Upstream: &a.Upstreams[i]}
	}
	return members
}

// Apply implements operator.Control.
func (d *Daemon) Apply(_ context.Context, file string, text []byte) (int64, error) {
	m, err := manifest.Parse(file, text)
	if err != nil {
		return 0, err
	}
	generation := int64(1)
	if a := d.manifests.Load(); a != nil {
		generation = a.Generation + 1
	}
	a := manifest.NewActive(generation, m)
	d.router.Update(a, allLive(a))
	d.manifests.Advance(a)
	d.log.Info("manifest in force", "generation", generation)
	return generation, nil
}

// Manifest implements operator.Control.
func (d *Daemon) Manifest() *manifest.Active { return d.manifests.Load() }

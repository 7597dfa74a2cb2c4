// Package daemon assembles one lagoonmux daemon from its parts and runs it
// until it is told to stop.
package daemon

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/dispatch"
	"github.com/lagoonmux/lagoonmux/internal/entry"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/members"
	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/peer"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
	"github.com/lagoonmux/lagoonmux/internal/platform/dynamo"
	"github.com/lagoonmux/lagoonmux/internal/platform/objects"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/serve"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const drainTimeout = 60 * time.Second

// Daemon is one daemon on one VM.
type Daemon struct {
	settings   *settings.Settings
	log        hclog.Logger
	manifests  manifest.Current
	draining   atomic.Bool
	router     *routing.Router
	pool       *upstream.Pool
	admission  *admission
	cache      *cacheWatch
	entry      *ingress.Server
	operator   *operator.Server
	registry   *obs.Registry
	table      platform.Table
	objects    platform.Objects
	writer     *batch.Writer
	dispatcher *dispatch.Dispatcher
	lots       *serve.Lots
	invalid    error // why the daemon cannot run

	tls        *tls.Config
	traffic    peer.Traffic
	peers      *peer.Client
	members    *members.Gossiper
	keeper     *manifest.Keeper
	watch      *members.Monitor
	reports    *loadClient
	leaving    *members.LeavingSignal
	joined     joinedUpstreams
	reclaim    chan struct{} // closed when the reclaim of this VM is announced
	stopOnce   sync.Once
	stopBy     atomic.Pointer[time.Time] // end of this VM
	receivers  map[string]ReceiveHandOver
	drained    []func(context.Context)
	refreshing sync.Mutex
	stateLock  sync.Mutex
	machine    *chart.Machine // guarded by stateLock
}

// Option changes how New assembles a daemon.
type Option func(*Daemon)

// WithTable makes the daemon keep what lasts in t instead of the table service
// that the settings name.
func WithTable(t platform.Table) Option { return func(d *Daemon) { d.table = t } }

// WithObjects makes the daemon keep objects in o instead of the object store
// that the settings name.
func WithObjects(o platform.Objects) Option { return func(d *Daemon) { d.objects = o } }

// New assembles a daemon. Nothing runs before Run.
func New(s *settings.Settings, log hclog.Logger, options ...Option) *Daemon {
	d := &Daemon{
		settings:  s,
		log:       log,
		pool:      upstream.NewPool(),
		router:    routing.NewRouter(),
		joined:    joinedUpstreams{busy: make(map[string]int)},
		reclaim:   make(chan struct{}),
		receivers: make(map[string]ReceiveHandOver),
		machine:   chart.MustLoad("daemon").Start(),
	}
	for _, o := range options {
		o(d)
	}
	if d.table == nil {
		p := &s.Platform
		d.table = dynamo.New(dynamo.Options{Endpoint: p.Table, AccessKey: p.AccessKey, SecretKey: p.SecretKey})
	}
	if d.objects == nil {
		d.objects = objects.New(s.Platform.Objects)
	}
	if d.invalid = d.newMembers(); d.invalid != nil {
		return d
	}
	d.newKeeper()
	d.newWatch()
	d.admission = newAdmission(s, d.router, log.Named("admission"))
	d.cache = newCacheWatch(d.pool, d.router, log.Named("cache"))
	d.ShareLimits(d.members)
	dispatcher := dispatch.New(d.pool, d.router)
	dispatcher.SetOnLeaving(d.NoticeRefusal)
	dispatcher.SetLeavingNotices(d.leaving)
	backend := d.newBackend(dispatcher)
	d.registry = obs.NewRegistry(log, time.Now())
	api := entry.NewAPI(&d.manifests, backend, d.registry, d.ready)
	api.SetRequestStore(backend)
	d.entry = ingress.NewServer(api, log.Named("entry"), ingress.DefaultLimits())
	d.operator = operator.NewServer(d, s.TLS)
	return d
}

func (d *Daemon) ready() bool { return !d.draining.Load() && d.manifests.Load() != nil }

// Run serves until ctx ends, then drains: it reports not ready, finishes the
// requests in flight and returns. It returns an error if a port cannot be
// listened on.
func (d *Daemon) Run(ctx context.Context) error {
	if d.invalid != nil {
		return d.invalid
	}
	// Peers, membership and the manifest outlive the drain.
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.runMembers(controlCtx) })
	g.Go(func() error { return d.keeper.Run(controlCtx) })
	g.Go(func() error { return d.admission.run(controlCtx) })
	g.Go(func() error { return d.lots.Run(controlCtx) })
	g.Go(func() error { return d.cache.run(controlCtx, &d.manifests) })
	g.Go(func() error { return d.entry.Run(d.settings.Caller) })
	g.Go(func() error { return d.operator.Run(d.settings.Operator) })
	g.Go(func() error {
		select {
		case <-gctx.Done():
		case <-d.reclaim:
		}
		defer stopControl()
		return d.stop()
	})
	d.log.Info("daemon started", "name", d.settings.Name, "zone", d.settings.Zone, "caller", d.settings.Caller)
	err := g.Wait()
	d.peers.Close()
	d.writer.Close()
	d.reports.close()
	d.log.Info("daemon stopped", "name", d.settings.Name)
	return err
}

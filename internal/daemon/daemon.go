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
	settings    *settings.Settings
	log         hclog.Logger
	manifests   manifest.Current
	draining    atomic.Bool
	router      *routing.Router
	pool        *upstream.Pool
	admission   *admission
	cachePoller *cachePoller
	entry       *ingress.Server
	operator    *operator.Server
	registry    *obs.Registry
	table       platform.Table
	objects     platform.Objects
	writer      *batch.Writer
	dispatcher  *dispatch.Dispatcher
	lots        *serve.Lots
	initErr     error // why the daemon cannot run

	tls              *tls.Config
	traffic          peer.Traffic
	peers            *peer.Client
	members          *members.Task
	syncer           *manifest.Syncer
	monitor          *members.Watch
	loadClient       *loadClient
	leaving          *members.LeavingSignal
	fleetUpstreams   fleetUpstreams
	reclaimNotice    chan struct{} // closed when the reclaim of this VM is announced
	reclaimOnce      sync.Once
	vmDeadline       atomic.Pointer[time.Time] // end of this VM
	handOverHandlers map[string]HandOverHandler
	drainedHooks     []func(context.Context)
	refreshLock      sync.Mutex
	stateLock        sync.Mutex
	machine          *chart.Machine // guarded by stateLock
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
		settings:         s,
		log:              log,
		pool:             upstream.NewPool(),
		router:           routing.NewRouter(),
		fleetUpstreams:   fleetUpstreams{inFlight: make(map[string]int)},
		reclaimNotice:    make(chan struct{}),
		handOverHandlers: make(map[string]HandOverHandler),
		machine:          chart.MustLoad("daemon").Start(),
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
	if d.initErr = d.newMembers(); d.initErr != nil {
		return d
	}
	d.newSyncer()
	d.newMonitor()
	d.admission = newAdmission(s, d.router, log.Named("admission"))
	d.cachePoller = newCachePoller(d.pool, d.router, log.Named("cache"))
	d.ShareLimits(d.members)
	dispatcher := dispatch.New(d.pool, d.router)
	dispatcher.OnLeaving(d.NotifyLeaving)
	dispatcher.MoveOn(d.leaving)
	backend := d.newBackend(dispatcher)
	d.registry = obs.NewRegistry(log, time.Now())
	api := entry.NewAPI(&d.manifests, backend, d.registry, d.ready)
	api.KeepRequests(backend)
	d.entry = ingress.NewServer(api, log.Named("entry"), ingress.DefaultLimits())
	d.operator = operator.NewServer(d, s.TLS)
	return d
}

func (d *Daemon) ready() bool { return !d.draining.Load() && d.manifests.Load() != nil }

// Run serves until ctx ends, then drains: it reports not ready, finishes the
// requests in flight and returns. It returns an error if a port cannot be
// listened on.
func (d *Daemon) Run(ctx context.Context) error {
	if d.initErr != nil {
		return d.initErr
	}
	// Peers, membership and the manifest outlive the drain.
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.runMembers(controlCtx) })
	g.Go(func() error { return d.syncer.Run(controlCtx) })
	g.Go(func() error { return d.admission.run(controlCtx) })
	g.Go(func() error { return d.lots.Run(controlCtx) })
	g.Go(func() error { return d.cachePoller.run(controlCtx, &d.manifests) })
	g.Go(func() error { return d.entry.Run(d.settings.CallerAddress) })
	g.Go(func() error { return d.operator.Run(d.settings.OperatorAddress) })
	g.Go(func() error {
		select {
		case <-gctx.Done():
		case <-d.reclaimNotice:
		}
		defer stopControl()
		return d.stop()
	})
	d.log.Info("daemon started", "name", d.settings.Name, "zone", d.settings.Zone, "caller", d.settings.CallerAddress)
	err := g.Wait()
	d.peers.Close()
	d.writer.Close()
	d.loadClient.close()
	d.log.Info("daemon stopped", "name", d.settings.Name)
	return err
}

// Package daemon assembles a lagoonmux daemon from its components and runs it until
// it is stopped or its VM is about to be reclaimed.
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

// drainTimeout limits how long a stopping daemon waits for requests in flight.
const drainTimeout = 60 * time.Second

// Daemon is the daemon of one VM.
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
	initErr     error // error of New, returned by Run

	tls              *tls.Config
	traffic          peer.Traffic
	peers            *peer.Client
	members          *members.Gossiper
	syncer           *manifest.Syncer
	monitor          *members.Monitor
	loadClient       *loadClient
	leaving          *members.LeavingSignal
	upstreams        upstreamSet
	reclaimNotice    chan struct{} // closed when the reclaim of this VM is announced
	reclaimOnce      sync.Once
	vmDeadline       atomic.Pointer[time.Time] // when this VM ends; nil unless its reclaim was announced
	handOverHandlers map[string]HandOverHandler
	drainedHooks     []func(context.Context)
	routerLock       sync.Mutex // serializes updateRouter
	stateLock        sync.Mutex
	stateMachine     *chart.Machine // guarded by stateLock
}

// Option configures a daemon in New.
type Option func(*Daemon)

// WithTable makes the daemon use t for its persistent state, instead of the table
// service named in the settings.
func WithTable(t platform.Table) Option { return func(d *Daemon) { d.table = t } }

// WithObjects makes the daemon store objects in o, instead of the object store
// named in the settings.
func WithObjects(o platform.Objects) Option { return func(d *Daemon) { d.objects = o } }

// New assembles a daemon; Run starts it.
func New(s *settings.Settings, log hclog.Logger, options ...Option) *Daemon {
	d := &Daemon{
		settings:         s,
		log:              log,
		pool:             upstream.NewPool(),
		router:           routing.NewRouter(),
		upstreams:        upstreamSet{inFlight: make(map[string]int)},
		reclaimNotice:    make(chan struct{}),
		handOverHandlers: make(map[string]HandOverHandler),
		stateMachine:     chart.MustLoad("daemon").Start(),
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
	dispatcher.SetLog(log.Named("dispatch"))
	dispatcher.SetOnLeaving(d.NotifyLeaving)
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

// Run serves until ctx ends or the reclaim of this VM is announced, then drains: it
// reports not ready, finishes the requests in flight, hands over accepted work and
// returns. It returns an error if New failed, a port cannot be opened or the drain
// fails.
func (d *Daemon) Run(ctx context.Context) error {
	if d.initErr != nil {
		return d.initErr
	}
	// The tasks for peers, membership, manifest, admission, lots and cache events
	// run until the drain is complete.
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

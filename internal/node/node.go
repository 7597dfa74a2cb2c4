// Package node assembles the daemon that runs on an external platform: it connects
// the daemon's components and starts and stops them. The platform's protocols and formats
// are hidden behind the interfaces and functions in Platform.
package node

import (
	"cmp"
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/admission"
	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/duty"
	"github.com/lagoonmux/lagoonmux/internal/egress"
	"github.com/lagoonmux/lagoonmux/internal/hedge"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/proxy"
	"github.com/lagoonmux/lagoonmux/internal/quota"
	"github.com/lagoonmux/lagoonmux/internal/rollout"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
	"github.com/lagoonmux/lagoonmux/internal/usage"
	"github.com/lagoonmux/lagoonmux/internal/views"
	"github.com/lagoonmux/lagoonmux/internal/wallclock"
)

// Settings are the settings of one daemon.
type Settings struct {
	Name           string
	Zone           string
	Zones          []string      // all availability zones of the deployment
	Size           uint32        // relative size of the VM; hubs are selected by it
	CallerAddress  string        // listen address for callers
	ReadyAddress   string        // listen address for the load balancer's readiness checks
	MeshAddress    string        // listen address for other daemons
	Seeds          []string      // addresses at which other daemons may be found
	MetricsAddress string        // listen address for metrics; empty for none
	MaxDescriptors int           // limit of file descriptors; 0 if not known
	MemoryLimit    int64         // bytes that the process may use; 0 if not known
	Grace          time.Duration // from the stop signal until the process is killed
	RetryRatio     float64       // see proxy.RetryLimit
	RetryExtra     float64
	RetryWindow    time.Duration
	Hedging        hedge.Limits
	Tolerance      quota.Tolerance // of customers' limits
	MaxConfigAge   time.Duration   // age of the configuration beyond which all requests are rejected; 0 for no limit
	LeaseDuration  time.Duration   // of the fleet duty
	UsageWindow    time.Duration   // length of a window in which usage is counted
	Rollouts       rollout.Bounds  // the zero value turns roll-outs off

	ReportsUsage    bool // may report usage to the cloud
	OrdersUpstreams bool // may order upstreams from the cloud
}

// Store is the platform's store.
type Store interface {
	views.Source
	duty.Store
	// Put writes a row unconditionally.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove deletes a row.
	Remove(ctx context.Context, table, key string) error
}

// Platform provides access to the platform's services and formats.
type Platform struct {
	Store Store
	Cloud duty.Cloud // nil if there is none
	Clock *wallclock.Clock
	Codec proxy.Codec

	ConfigTable   string
	ConfigRow     string
	UpstreamTable string
	// DecodeConfig and DecodeUpstream decode rows. If DecodeConfig fails, the previous
	// configuration stays in force; if DecodeUpstream fails, the row adds no upstream.
	DecodeConfig   func(data []byte) (*catalog.Config, error)
	DecodeUpstream func(id string, data []byte, version int64) (*roster.Upstream, error)
	ReadyPath      string // of readiness checks
	// EncodeCheck returns a request that asks an upstream of a service whether it works. A working
	// one responds without running anything.
	EncodeCheck func(s *catalog.Service, u *roster.Upstream) []byte

	// DecodeRollout decodes a row of ConfigTable as the order of a roll-out. It returns nil for
	// other rows.
	DecodeRollout func(key string, data []byte, version int64) (*rollout.Order, error)
	// EncodeRolloutStatus returns the row that tells operators how far an order has come.
	EncodeRolloutStatus func(s rollout.Status) ([]byte, error)
	RolloutStatusTable  string
	RolloutStatusKey    func(service string) string
}

const (
	// daemonTable is the store's table of daemons and their addresses.
	daemonTable = "daemons"
	// maxFreshAge is the age of the last successful read of the store up to which the
	// local copies of its tables count as current.
	maxFreshAge = 2500 * time.Millisecond
	// housekeepingInterval is the time between updates of the number of reachable daemons.
	housekeepingInterval = 200 * time.Millisecond
	// balancerDelay is the time until the load balancer stops opening connections to a
	// daemon that is not ready: two readiness checks, 1 s apart, and a margin.
	balancerDelay = 2500 * time.Millisecond
	// reservedDescriptors file descriptors are reserved for connections to upstreams, the
	// store and other daemons.
	reservedDescriptors = 1500
	// defaultMaxConns is the limit of caller connections if the settings name no limit of
	// file descriptors.
	defaultMaxConns = 2000
	// maxUnreadBytes is the number of response bytes that a caller may leave unread before
	// reading from its upstream pauses.
	maxUnreadBytes = 64 << 10
	// bufferDivisor: large bodies and responses may use 1/bufferDivisor of the memory limit. Responses to
	// slow readers, idle connections and garbage need the rest.
	bufferDivisor = 8
	// bodyDivisor: the largest body takes 1/bodyDivisor of that memory if the configuration names no
	// limit.
	bodyDivisor = 4
	// defaultMemoryLimit is used if the settings name no memory limit.
	defaultMemoryLimit = 256 << 20 // bytes
)

// Node is one daemon. Create it with New.
type Node struct {
	Settings
	Platform
	log          hclog.Logger
	incarnation  int64
	placer       *place.Placer
	limiter      *limiter
	quota        *quota.Limiter
	throttle     *upstreamThrottle
	quarantine   *segmentQuarantine
	silence      *silenceMonitor
	evidence     *evidenceStore
	retryBudget  *proxy.RetryBudget
	workMeter    *proxy.WorkMeter
	shares       *admission.Shares
	pool         *egress.Pool
	usage        *usage.Counter
	proxy        *proxy.Proxy
	server       *ingress.Server
	mesh         *mesh.Mesh
	duty         *duty.Duty
	configView   *views.View
	upstreamView *views.View
	daemonView   *views.View
	segmentView  *views.View // of quarantineTable
	rolloutView  *views.View // of rolloutTable; nil if roll-outs are off
	rollouts     *rollouts
	roster       *rosterBuilder
	metrics      *metrics
	grace        atomic.Int64 // time.Duration of the grace period; see Settings.Grace
	stopping     atomic.Bool
	finalized    atomic.Int64 // newest usage window that is final, as far as other daemons have told
	rowWritten   atomic.Bool  // this daemon's own row is in the store
	oddDaemons   oddRows
	configRows   chan views.Row // the newest configuration row that is not in force yet; holds one
}

// New assembles a daemon; Run starts it.
func New(s Settings, p Platform, log hclog.Logger) *Node {
	n := &Node{
		Settings:    s,
		Platform:    p,
		log:         log,
		incarnation: time.Now().UnixNano(),
		placer:      place.New(s.Zone),
		quota:       quota.New(s.Tolerance),
		retryBudget: proxy.NewRetryBudget(proxy.RetryLimit{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}),
		workMeter:   proxy.NewWorkMeter(),
		shares:      admission.NewShares(),
		pool:        egress.NewPool(),
		usage:       usage.New(s.UsageWindow),
		metrics:     newMetrics(),
		configRows:  make(chan views.Row, 1),
		oddDaemons:  make(oddRows),
	}
	if s.Hedging.Enabled() {
		n.metrics.hedges = &hedgeMetrics{}
	}
	n.limiter = &limiter{n}
	n.throttle = newUpstreamThrottle(n)
	n.quarantine = newSegmentQuarantine(n)
	n.silence = newSilenceMonitor(n)
	n.evidence = &evidenceStore{node: n}
	n.retryBudget.AskHub = n.limiter.askHubRetry
	n.rollouts = newRollouts(n)
	n.grace.Store(int64(s.Grace))
	n.roster = newRosterBuilder(n)
	n.proxy = proxy.New(proxy.Config{
		Codec:         p.Codec,
		Placer:        n.placer,
		Quota:         n.limiter,
		Throttle:      n.throttle,
		Quarantine:    n.quarantine,
		Silence:       n.silence.watch,
		Cohorts:       n.rollouts.cohorts(),
		Pool:          n.pool,
		Budget:        n.retryBudget,
		Work:          n.workMeter,
		Shares:        n.shares,
		Hedges:        hedge.NewController(s.Hedging),
		Observer:      n,
		Log:           log.Named("proxy"),
		ConfigFresh:   n.configFresh,
		ConfigExpired: n.configExpired,
		DaemonCount:   func() int { all, _ := n.mesh.CountSenders(); return all },
	})
	n.server = ingress.NewServer(n.proxy, log.Named("ingress"), n.callerLimits(catalog.HTTPLimits{}))
	n.proxy.Memory = n.server.Memory()
	n.newViews()
	n.newMesh()
	if p.Cloud != nil && (s.ReportsUsage || s.OrdersUpstreams) || n.rollouts.enabled() {
		n.newDuty()
	}
	return n
}

func (n *Node) newMesh() {
	tables := map[string]*views.View{n.ConfigTable: n.configView, n.UpstreamTable: n.upstreamView, daemonTable: n.daemonView, quarantineTable: n.segmentView}
	if n.rolloutView != nil {
		tables[rolloutTable] = n.rolloutView
	}
	n.mesh = mesh.New(mesh.Config{
		Self:        &meshpb.Daemon{Name: n.Name, Born: n.incarnation, Address: n.MeshAddress, Zone: n.Zone, Size: n.Size},
		Seeds:       n.Seeds,
		Views:       tables,
		Log:         n.log.Named("mesh"),
		Fill:        n.fillState,
		OnState:     n.onState,
		LoadVersion: n.placer.LoadVersion,
		StoreUp:     func() (time.Duration, time.Duration) { return n.StoreUp(), n.upstreamView.ReadAge() },
		Answer:      n.limiter.answer,
		Leaving:     n.stopping.Load,
	})
}

// configFresh reports whether the configuration is known to be current: this daemon or
// another reachable one has read the store recently.
func (n *Node) configFresh() bool {
	return n.configView.ReadAge() < maxFreshAge || n.mesh.PeersReadStore()
}

// configExpired reports whether the configuration is too old to admit requests by it.
func (n *Node) configExpired() bool {
	return n.MaxConfigAge > 0 && min(n.configView.ReadAge(), n.mesh.PeersReadAge()) > n.MaxConfigAge
}

// onConfigRows takes over the orders of roll-outs and passes the configuration on to
// followConfig. Decoding it may take long, for which the caller, who reads other tables too, does
// not wait.
func (n *Node) onConfigRows(rows map[string]views.Row) {
	n.rollouts.onOrderRows(rows)
	row, ok := rows[n.ConfigRow]
	if !ok {
		return
	}
	select {
	case <-n.configRows:
	default:
	}
	n.configRows <- row
}

// followConfig puts configurations into force until ctx ends.
func (n *Node) followConfig(ctx context.Context) {
	decoded := int64(0) // version of the row
	for {
		select {
		case <-ctx.Done():
			return
		case row := <-n.configRows:
			if row.Version != decoded {
				decoded = row.Version
				n.applyConfig(row)
			}
		}
	}
}

// applyConfig decodes the configuration row and, if its version is newer, puts it into
// force.
func (n *Node) applyConfig(row views.Row) {
	c, err := n.DecodeConfig(row.Value)
	if err != nil {
		n.log.Error("cannot decode the configuration, the previous one stays in force", "row_version", row.Version, "error", err)
		return
	}
	previous := n.proxy.Catalog()
	if previous != nil && c.Version <= previous.Version {
		return
	}
	limits := make(map[string]quota.Limit, len(c.Customers))
	for _, customer := range c.Customers {
		limits[customer.Name] = quota.Limit{Rate: customer.Rate, Burst: customer.Burst}
	}
	n.quota.SetLimits(limits, boottime.Now())
	n.setShareWeights(c.Customers)
	n.server.SetLimits(n.callerLimits(c.Limits))
	n.proxy.SetCatalog(c)
	n.roster.rebuild()
	n.log.Info("configuration in force", "version", c.Version, "row_version", row.Version, "services", len(c.Services), "customers", len(c.Customers))
}

// callerLimits returns the limits of the caller port for the limits in a
// configuration.
func (n *Node) callerLimits(c catalog.HTTPLimits) ingress.Limits {
	l := ingress.DefaultLimits()
	l.Connections = max(n.MaxDescriptors-reservedDescriptors, n.MaxDescriptors/2)
	if n.MaxDescriptors <= 0 {
		l.Connections = defaultMaxConns
	}
	l.UnreadBytes = maxUnreadBytes
	l.BufferedBodyBytes = cmp.Or(n.MemoryLimit, defaultMemoryLimit) / bufferDivisor
	l.DrainGrace = balancerDelay
	if c.HeaderBytes > 0 {
		l.HeaderBytes = c.HeaderBytes
	}
	l.BodyBytes = int(l.BufferedBodyBytes / bodyDivisor)
	if c.BodyBytes > 0 {
		l.BodyBytes = min(c.BodyBytes, int(l.BufferedBodyBytes))
	}
	if c.HeaderTimeout > 0 {
		l.HeaderTimeout = c.HeaderTimeout
	}
	if c.IdleTimeout > 0 {
		l.IdleTimeout = c.IdleTimeout
	}
	return l
}

// Ready reports whether the load balancer should send callers to this daemon.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.proxy.Catalog() != nil && n.roster.anyUsable() && n.segmentsKnown() && n.evidence.isKnownOrAway()
}

// Run serves until ctx ends, then drains and returns. It returns an error if it cannot
// listen on a port or if the drain fails.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("daemon started", "name", n.Name, "zone", n.Zone, "caller", n.CallerAddress, "pid", os.Getpid())
	servicesCtx, stopServices := context.WithCancel(context.Background())
	defer stopServices()
	dutyCtx, stopDuty := context.WithCancel(servicesCtx)
	defer stopDuty()
	g, gctx := errgroup.WithContext(ctx)
	for _, v := range []*views.View{n.configView, n.upstreamView, n.daemonView} {
		go v.Run(servicesCtx) // not awaited: a read may outlast the drain and holds no resources
	}
	go n.runSegmentView(servicesCtx)
	g.Go(func() error { n.evidence.run(servicesCtx); return nil })
	if n.rollouts.enabled() {
		go n.rolloutView.Run(servicesCtx)
		go n.rollouts.runHolder(servicesCtx)
	}
	go n.followConfig(servicesCtx)
	g.Go(func() error { return n.mesh.Run(servicesCtx) })
	g.Go(func() error { return n.server.Run(n.CallerAddress) })
	g.Go(func() error { return n.serveStatus(servicesCtx) })
	g.Go(func() error { n.runHousekeeping(servicesCtx); return nil })
	g.Go(func() error { n.runQuarantine(servicesCtx); return nil })
	dutyEnded := make(chan struct{})
	g.Go(func() error {
		defer close(dutyEnded)
		if n.duty != nil {
			n.duty.Run(dutyCtx)
		}
		return nil
	})
	g.Go(func() error {
		<-gctx.Done()
		defer stopServices()
		stopDuty()
		err := n.stop()
		<-dutyEnded
		return err
	})
	err := g.Wait()
	n.pool.Close()
	n.log.Info("daemon stopped", "name", n.Name, "error", err)
	return err
}

// runHousekeeping runs periodic tasks until ctx ends: it updates the counts of daemons,
// drops what unreachable ones reported, and about once a second closes idle upstream
// connections and writes this daemon's row if it is missing.
func (n *Node) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.updateCounts()
		n.rollouts.tick()
		for _, name := range n.mesh.Unreachable() {
			n.quota.DropDemand(name)
			n.placer.DropLoads(name)
		}
		if tick%5 == 0 {
			n.pool.Sweep()
			n.throttle.prune()
			n.writeOwnRow(ctx)
			n.quarantine.writeRows(ctx)
		}
	}
}

// updateCounts passes the current number of daemons on to the components that divide
// limits or load among daemons.
func (n *Node) updateCounts() {
	all, reachable, group := n.mesh.AdmissionCounts()
	role := n.mesh.Role()
	n.quota.SetDaemons(all, reachable, group, n.mesh.Interval(), boottime.Now())
	n.placer.SetDaemons(all, role != mesh.Direct)
	n.shares.SetViaHubs(role != mesh.Direct)
	n.retryBudget.SetShare(n.mesh.SenderShare())
}

// Reload applies the seeds and the grace period of new settings. All other settings
// stay as they were at the start.
func (n *Node) Reload(s Settings) {
	n.mesh.SetSeeds(s.Seeds)
	n.grace.Store(int64(s.Grace))
	n.log.Info("settings reloaded", "seeds", s.Seeds, "grace", s.Grace)
}

// HoldsDuty reports whether this daemon holds the fleet duty.
func (n *Node) HoldsDuty() bool { return n.duty != nil && n.duty.Token() != 0 }

// Upstreams returns the number of known upstreams that accept requests.
func (n *Node) Upstreams() int {
	sum := 0
	for _, count := range n.roster.countUsable() {
		sum += count
	}
	return sum
}

// Listening is closed once the caller port is open.
func (n *Node) Listening() <-chan struct{} { return n.server.Listening() }

// ExchangesFullState reports whether this daemon exchanges its full state with other daemons, as
// hubs and daemons of a deployment without hubs do, rather than through a hub.
func (n *Node) ExchangesFullState() bool { return n.mesh.Role() != mesh.Member }

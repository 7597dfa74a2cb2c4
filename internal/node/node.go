// Package node assembles the daemon that runs on a platform of others: its
// parts, what they tell each other, its start and its stop. What the platform
// speaks reaches it through the interfaces in Platform.
package node

import (
	"cmp"
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/duty"
	"github.com/lagoonmux/lagoonmux/internal/egress"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/proxy"
	"github.com/lagoonmux/lagoonmux/internal/quota"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
	"github.com/lagoonmux/lagoonmux/internal/truetime"
	"github.com/lagoonmux/lagoonmux/internal/usage"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// Settings are the settings of one daemon.
type Settings struct {
	Name        string
	Zone        string
	Zones       []string
	Size        uint32 // of the VM, to compare with others
	Caller      string // address for callers
	Readiness   string // address at which the balancer asks whether to send callers
	Daemons     string // address for other daemons
	Seeds       []string
	Metrics     string // address of the metrics; empty for none
	Descriptors int
	Memory      int64         // bytes that the process may take; 0 if not known
	Grace       time.Duration // from the signal to stop until the process is killed
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	Tolerance   quota.Tolerance // of the limits of customers
	ClosedAfter time.Duration   // refuse everything when the configuration is older; 0 for never
	Lease       time.Duration
	UsageWindow time.Duration

	ReportsUsage    bool
	OrdersUpstreams bool
}

// Store is the platform's store.
type Store interface {
	views.Source
	duty.Store
	Put(ctx context.Context, table, key string, value []byte) error
	Remove(ctx context.Context, table, key string) error
}

// Platform is what the daemon runs on.
type Platform struct {
	Store Store
	Cloud duty.Cloud // nil where there is none
	Clock *truetime.Clock
	Codec proxy.Codec

	ConfigTable   string
	ConfigRow     string
	UpstreamTable string
	// DecodeConfig and DecodeUpstream translate rows; an error leaves what was
	// known before in force, or names no upstream.
	DecodeConfig   func(data []byte) (*catalog.Config, error)
	DecodeUpstream func(id string, data []byte, version int64) (*roster.Upstream, error)
	ReadyPath      string
}

const (
	// daemonTable holds the addresses of the daemons.
	daemonTable = "daemons"
	// freshFor is how recently the store or a daemon that reads it must have been
	// heard for the configuration to count as the newest.
	freshFor = 2500 * time.Millisecond
	// housekeeping is the time between looks at who is in touch.
	housekeeping = 200 * time.Millisecond
	// balancerSees is the time until the balancer sends no new connections: two
	// questions a second apart, and a margin.
	balancerSees = 2500 * time.Millisecond
	// descriptorsSpare are kept for upstreams, the store and other daemons.
	descriptorsSpare = 1500
	defaultMaxConns  = 2000
	outboundBytes    = 64 << 10 // that a caller has not read
	// bufferedPart of the process's memory is for large bodies and answers; what
	// callers are slow to read, kept connections and garbage need the rest.
	bufferedPart = 8
	// defaultBodyPart of that is the largest body where the configuration names none.
	defaultBodyPart = 4
	// defaultMemory is assumed where the settings name none.
	defaultMemory = 256 << 20 // bytes
)

// Node is one daemon.
type Node struct {
	Settings
	Platform
	log      hclog.Logger
	born     int64
	placer   *place.Placer
	limits   *limiter
	quota    *quota.Keeper
	budget   *proxy.Budget
	work     *proxy.Work
	pool     *egress.Pool
	usage    *usage.Counter
	proxy    *proxy.Proxy
	server   *ingress.Server
	mesh     *mesh.Mesh
	duty     *duty.Duty
	config   *views.View
	entries  *views.View
	daemons  *views.View
	fleet    *fleet
	metrics  *metrics
	grace    atomic.Int64 // time.Duration of a drain
	stopping atomic.Bool
	listed   atomic.Bool // this daemon's own row stands in the store
}

// New assembles a daemon.
func New(s Settings, p Platform, log hclog.Logger) *Node {
	n := &Node{
		Settings: s,
		Platform: p,
		log:      log,
		born:     time.Now().UnixNano(),
		placer:   place.New(s.Zone),
		quota:    quota.New(s.Tolerance),
		budget:   proxy.NewBudget(proxy.BudgetLimit{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}),
		work:     proxy.NewWork(),
		pool:     egress.NewPool(),
		usage:    usage.New(s.UsageWindow),
		metrics:  newMetrics(),
	}
	n.limits = &limiter{n}
	n.budget.Beyond = n.limits.beyond
	n.grace.Store(int64(s.Grace))
	n.fleet = newFleet(n)
	n.proxy = proxy.New(proxy.Config{
		Codec:    p.Codec,
		Placer:   n.placer,
		Quota:    n.limits,
		Pool:     n.pool,
		Budget:   n.budget,
		Work:     n.work,
		Observer: n,
		Log:      log.Named("proxy"),
		Fresh:    n.fresh,
		Closed:   n.closed,
		Daemons:  func() int { all, _ := n.mesh.Count(); return all },
	})
	n.server = ingress.NewServer(n.proxy, log.Named("ingress"), n.callerLimits(catalog.Limits{}))
	n.proxy.Room = n.server.Memory()
	n.newViews()
	n.newMesh()
	if p.Cloud != nil && (s.ReportsUsage || s.OrdersUpstreams) {
		n.newDuty()
	}
	return n
}

func (n *Node) newMesh() {
	n.mesh = mesh.New(mesh.Config{
		Self:    &meshpb.Daemon{Name: n.Name, Born: n.born, Address: n.Daemons, Zone: n.Zone, Size: n.Size},
		Seeds:   n.Seeds,
		Views:   map[string]*views.View{n.ConfigTable: n.config, n.UpstreamTable: n.entries, daemonTable: n.daemons},
		Log:     n.log.Named("mesh"),
		Fill:    n.tell,
		Heard:   n.heard,
		Held:    n.placer.LoadVersion,
		StoreUp: func() (time.Duration, time.Duration) { return n.StoreUp(), n.entries.ReadAge() },
		Answer:  n.limits.answer,
	})
}

// fresh tells whether the configuration is known to be the newest.
func (n *Node) fresh() bool {
	return n.config.ReadAge() < freshFor || n.mesh.OthersRead()
}

// closed tells whether the configuration is too old to let customers in by it.
func (n *Node) closed() bool {
	return n.ClosedAfter > 0 && min(n.config.ReadAge(), n.mesh.OthersReadAge()) > n.ClosedAfter
}

// onConfig puts a new configuration into force.
func (n *Node) onConfig(rows map[string]views.Row) {
	row, ok := rows[n.ConfigRow]
	if !ok {
		return
	}
	c, err := n.DecodeConfig(row.Value)
	if err != nil {
		n.log.Error("configuration not understood, the old one stays in force", "row_version", row.Version, "error", err)
		return
	}
	old := n.proxy.Catalog()
	if old != nil && c.Version <= old.Version {
		return
	}
	limits := make(map[string]quota.Limit, len(c.Customers))
	for _, k := range c.Customers {
		limits[k.Name] = quota.Limit{Rate: k.Rate, Burst: k.Burst}
	}
	n.quota.SetLimits(limits, boottime.Now())
	n.server.SetLimits(n.callerLimits(c.Limits))
	n.proxy.SetCatalog(c)
	n.fleet.rebuild()
	n.log.Info("configuration in force", "version", c.Version, "row_version", row.Version, "services", len(c.Services), "customers", len(c.Customers))
}

// callerLimits returns the limits of the caller port under a configuration.
func (n *Node) callerLimits(c catalog.Limits) ingress.Limits {
	l := ingress.DefaultLimits()
	l.Connections = max(n.Descriptors-descriptorsSpare, n.Descriptors/2)
	if n.Descriptors <= 0 {
		l.Connections = defaultMaxConns
	}
	l.UnreadBytes = outboundBytes
	l.BufferedBodyBytes = cmp.Or(n.Memory, defaultMemory) / bufferedPart
	l.DrainGrace = balancerSees
	if c.HeaderBytes > 0 {
		l.HeaderBytes = c.HeaderBytes
	}
	l.BodyBytes = int(l.BufferedBodyBytes / defaultBodyPart)
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

// Ready tells whether the balancer should send callers.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.proxy.Catalog() != nil && n.fleet.usable()
}

// Run serves until ctx ends, then drains and returns. It returns an error if a
// port cannot be listened on.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("daemon started", "name", n.Name, "zone", n.Zone, "caller", n.Caller, "pid", os.Getpid())
	control, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	dutyCtx, stopDuty := context.WithCancel(control)
	defer stopDuty()
	g, gctx := errgroup.WithContext(ctx)
	for _, v := range []*views.View{n.config, n.entries, n.daemons} {
		go v.Run(control) // a read may outlast the drain, and holds nothing
	}
	g.Go(func() error { return n.mesh.Run(control) })
	g.Go(func() error { return n.server.Run(n.Caller) })
	g.Go(func() error { return n.serveStatus(control) })
	g.Go(func() error { n.keepHouse(control); return nil })
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
		defer stopControl()
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

// keepHouse does what is due from time to time.
func (n *Node) keepHouse(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.count()
		for _, name := range n.mesh.Silent() {
			n.quota.Forget(name)
			n.placer.DropLoads(name)
		}
		if turn%5 == 0 {
			n.pool.Sweep()
			n.enlist(ctx)
		}
	}
}

// count tells the parts how many daemons there are.
func (n *Node) count() {
	all, touched, group := n.mesh.Numbers()
	role := n.mesh.Role()
	n.quota.SetDaemons(all, touched, group, n.mesh.Interval(), boottime.Now())
	n.placer.SetDaemons(all, role != mesh.Direct)
	part := float64(group) / float64(all)
	if _, reached := n.mesh.Count(); role == mesh.Member && reached > 1 {
		part = 0 // its hub has it
	}
	n.budget.SetPart(part)
}

// Reload takes in new settings. Addresses stay those of the start; seeds and
// the time for a drain change.
func (n *Node) Reload(s Settings) {
	n.mesh.AddSeeds(s.Seeds)
	n.grace.Store(int64(s.Grace))
	n.log.Info("settings reloaded", "seeds", s.Seeds, "grace", s.Grace)
}

// Upstreams returns how many upstreams take requests, as far as known.
func (n *Node) Upstreams() int {
	sum := 0
	for _, count := range n.fleet.have() {
		sum += count
	}
	return sum
}

// Booted is closed once the caller port is open.
func (n *Node) Booted() <-chan struct{} { return n.server.Listening() }

// Gathers tells whether this daemon tells others of a group, as hubs and few daemons
// do, rather than being a member of one.
func (n *Node) Gathers() bool { return n.mesh.Role() != mesh.Member }

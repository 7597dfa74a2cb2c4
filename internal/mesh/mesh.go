// Package mesh lets the daemons of a deployment tell each other what they know
// and do: their load, what they admitted, and the versions of their tables.
//
// Every daemon calls every other a few times a second. What a daemon tells is
// its whole state, so that a lost call is made good by the next.
package mesh

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/netopt"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// baseInterval is the time between two calls to a daemon. What daemons admit
	// between them is not yet known to the others; see package quota.
	baseInterval = 250 * time.Millisecond
	// baseDaemons is the number up to which every daemon is called that often. With
	// more the time grows, so that a daemon makes as many calls as before: at 100
	// daemons a sweep had 14 MB/s of calls for each.
	baseDaemons = 12
	// knownEvery is the time between two exchanges with a daemon that carry the
	// addresses of all others.
	knownEvery = 5 * time.Second
	// callTimeout bounds a call; a machine at a fifth of its speed answers in it.
	callTimeout = 400 * time.Millisecond
	// dialTimeout bounds a connect: ten round trips between zones and more.
	dialTimeout = 200 * time.Millisecond
	// silence ends a connection whose bytes are not acknowledged.
	silence = time.Second
	// slowAfter failures in a row a daemon is called every slowInterval only.
	slowAfter    = 20
	slowInterval = time.Second
	// maxAge is how much longer than the quickest a state may have taken. Older ones
	// waited at a daemon that stood still, and tell of the past.
	maxAge = time.Second
	// minTouch is how long a daemon counts as reached at least after it was last
	// heard, touchCalls how many calls: some may be lost.
	minTouch   = time.Second
	touchCalls = 4
	// Memory is how long a daemon that is not heard counts as one that may still
	// admit requests. Cuts of up to 10 s were seen in the users' days.
	Memory = 15 * time.Second
)

// Config tells how a Mesh works. The functions are called from many goroutines.
type Config struct {
	Self  *meshpb.Daemon
	Seeds []string // addresses that may be daemons
	Views map[string]*views.View
	Log   hclog.Logger
	// Fill completes the state told to the daemon with the given name; it is empty
	// as long as the name is not known.
	Fill func(s *meshpb.State, to string)
	// Heard takes in the state of another daemon.
	Heard func(s *meshpb.State)
	// StoreUp returns for how long the store has answered this daemon, 0 while it
	// does not.
	StoreUp func() time.Duration
}

// Peer is another daemon.
type Peer struct {
	Daemon  *meshpb.Daemon
	State   *meshpb.State // last heard; nil before
	heard   time.Duration // boot time; 0 for never
	learned time.Duration // boot time
	offset  time.Duration // least difference seen between arrival and sending, by both boot clocks
	upSeen  time.Duration // boot time at which it last told of a store that answered for a second
}

// Mesh calls the other daemons and answers their calls.
type Mesh struct {
	meshpb.DRPCMeshUnimplementedServer
	Config

	mu    sync.Mutex
	peers map[string]*Peer         // by name
	known map[string]time.Duration // boot time at which a daemon was told of all others
	links map[string]bool          // addresses that are called
	wake  chan struct{}            // a link was added
}

// New returns a mesh of this daemon.
func New(c Config) *Mesh {
	return &Mesh{Config: c, peers: make(map[string]*Peer), known: make(map[string]time.Duration), links: make(map[string]bool), wake: make(chan struct{}, 1)}
}

// Run answers calls at the address of this daemon and calls the others until
// ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	l, err := netopt.Listen(ctx, m.Self.Address, silence)
	if err != nil {
		return errors.Wrapf(err, "listen for daemons at %s", m.Self.Address)
	}
	mux := drpcmux.New()
	if err := meshpb.DRPCRegisterMesh(mux, m); err != nil {
		return errors.Wrap(err, "register mesh service")
	}
	go m.call(ctx)
	err = drpcserver.New(mux).Serve(ctx, l)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve daemons at %s", m.Self.Address)
}

// call starts a task for every address that becomes known.
func (m *Mesh) call(ctx context.Context) {
	started := make(map[string]bool)
	m.AddSeeds(m.Seeds)
	for {
		for _, address := range m.addresses() {
			if !started[address] {
				started[address] = true
				l := &link{mesh: m, address: address}
				go l.run(ctx)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
	}
}

func (m *Mesh) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for a := range m.links {
		list = append(list, a)
	}
	return list
}

// addLink makes an address one that is called. The caller does not hold mu.
func (m *Mesh) addLink(address string) {
	if address == "" || address == m.Self.Address {
		return
	}
	m.mu.Lock()
	known := m.links[address]
	m.links[address] = true
	m.mu.Unlock()
	if known {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// AddSeeds adds addresses that may be daemons.
func (m *Mesh) AddSeeds(addresses []string) {
	for _, a := range addresses {
		m.addLink(a)
	}
}

// Learn names daemons that others have told of, or that stand in the store.
func (m *Mesh) Learn(daemons []*meshpb.Daemon) {
	now := boottime.Now()
	for _, d := range daemons {
		if d.Name == "" || d.Name == m.Self.Name {
			continue
		}
		m.mu.Lock()
		p := m.peers[d.Name]
		if p == nil {
			m.peers[d.Name] = &Peer{Daemon: d, learned: now}
		} else if p.Daemon.Born < d.Born {
			p.Daemon, p.learned, p.offset = d, now, 0
		}
		m.mu.Unlock()
		m.addLink(d.Address)
	}
}

// take notes what another daemon told.
func (m *Mesh) take(s *meshpb.State) {
	if s.Self == nil || s.Self.Name == m.Self.Name {
		return
	}
	m.Learn([]*meshpb.Daemon{s.Self})
	m.Learn(s.Known)
	now := boottime.Now()
	m.mu.Lock()
	p := m.peers[s.Self.Name]
	if p.Daemon.Born > s.Self.Born {
		m.mu.Unlock()
		return // an earlier incarnation
	}
	if p.stale(s, now) {
		m.mu.Unlock()
		return
	}
	touch := m.touch()
	fresh := p.heard == 0 || now-p.heard > touch
	p.State, p.heard = s, now
	if s.StoreUpMs > int64(minTouch/time.Millisecond) {
		p.upSeen = now
	}
	m.mu.Unlock()
	if fresh {
		m.Log.Info("daemon reached", "peer", s.Self.Name, "address", s.Self.Address, "zone", s.Self.Zone)
	}
	m.Heard(s)
}

// stale tells whether a state was on its way for too long.
func (p *Peer) stale(s *meshpb.State, now time.Duration) bool {
	offset := now - time.Duration(s.SentMs)*time.Millisecond
	if p.offset == 0 || offset < p.offset {
		p.offset = offset
	}
	return offset-p.offset > maxAge
}

// state returns what this daemon tells to the one with the given name.
func (m *Mesh) state(to string) *meshpb.State {
	s := &meshpb.State{Self: m.Self, SentMs: boottime.Now().Milliseconds(), StoreUpMs: m.StoreUp().Milliseconds()}
	for name, v := range m.Views {
		s.Tables = append(s.Tables, &meshpb.Table{Name: name, Changed: v.Known()})
	}
	now := boottime.Now()
	m.mu.Lock()
	if last, told := m.known[to]; !told || to == "" || now-last >= knownEvery {
		m.known[to] = now
		for _, p := range m.peers {
			if now-max(p.heard, p.learned) < Memory {
				s.Known = append(s.Known, p.Daemon)
			}
		}
	}
	m.mu.Unlock()
	m.Fill(s, to)
	return s
}

// interval returns the time between two calls to a daemon. The caller holds mu.
func (m *Mesh) interval() time.Duration {
	return max(baseInterval, baseInterval*time.Duration(len(m.peers)+1)/baseDaemons)
}

// touch returns how long a daemon counts as reached. The caller holds mu.
func (m *Mesh) touch() time.Duration { return max(minTouch, touchCalls*m.interval()) }

// Interval returns the time between two calls to a daemon.
func (m *Mesh) Interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interval()
}

// Exchange implements meshpb.DRPCMeshServer.
func (m *Mesh) Exchange(_ context.Context, req *meshpb.State) (*meshpb.State, error) {
	m.take(req)
	to := ""
	if req.Self != nil {
		to = req.Self.Name
	}
	return m.state(to), nil
}

// Rows implements meshpb.DRPCMeshServer.
func (m *Mesh) Rows(_ context.Context, req *meshpb.TableRequest) (*meshpb.TableRows, error) {
	v := m.Views[req.Name]
	if v == nil {
		return nil, errors.Errorf("table %q is not kept", req.Name)
	}
	rows, changed := v.Snapshot()
	out := &meshpb.TableRows{Changed: changed}
	for _, r := range rows {
		out.Rows = append(out.Rows, &meshpb.Row{Key: r.Key, Value: r.Value, Version: r.Version})
	}
	return out, nil
}

// Count returns how many daemons there are with this one, and how many of them
// are in touch.
func (m *Mesh) Count() (all, touched int) {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	all, touched = 1, 1
	touch := m.touch()
	for _, p := range m.peers {
		if p.State != nil && p.State.Leaving && now-p.heard > touch {
			continue // stopped as planned
		}
		if now-max(p.heard, p.learned) > Memory {
			continue
		}
		all++
		if p.heard > 0 && now-p.heard <= touch {
			touched++
		}
	}
	return all, touched
}

// States returns the last state of every daemon in touch.
func (m *Mesh) States() []*meshpb.State {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*meshpb.State
	touch := m.touch()
	for _, p := range m.peers {
		if p.State != nil && now-p.heard <= touch {
			list = append(list, p.State)
		}
	}
	return list
}

// Silent returns the names of the daemons that are out of touch.
func (m *Mesh) Silent() []string {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	touch := m.touch()
	for name, p := range m.peers {
		if now-max(p.heard, p.learned) > touch {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// OthersRead tells whether a daemon has told within the last moments that the
// store answers it and has done so for a while.
func (m *Mesh) OthersRead() bool {
	m.mu.Lock()
	touch := m.touch()
	m.mu.Unlock()
	return m.OthersReadAge() <= touch
}

// OthersReadAge returns how long ago a daemon last told so, a day if none did.
func (m *Mesh) OthersReadAge() time.Duration {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	age := 24 * time.Hour
	for _, p := range m.peers {
		if p.upSeen > 0 {
			age = min(age, now-p.upSeen)
		}
	}
	return age
}

// dial connects to a daemon.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return netopt.Dial(ctx, address, dialTimeout, silence)
}

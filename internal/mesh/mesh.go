// Package mesh lets the daemons of a deployment tell each other what they know
// and do: what is under way, what they admitted, and the versions of their tables.
//
// Few daemons tell all of it to every other. Many do so by hubs: in each
// availability zone the fittest of the living gather what their members tell, tell
// each other the sums, and give every member the sums of all. What a daemon sends
// and holds then depends on its group, and not on how many daemons there are. All
// daemons compute the same hubs from who is alive; whoever is called as a hub acts
// as one.
package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/netopt"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// directInterval is the time between two calls to a daemon where all tell each
	// other. What daemons admit between them is not yet known to the others; see
	// package quota.
	directInterval = 250 * time.Millisecond
	// hubInterval is the same to and between hubs: knowledge takes up to three calls
	// to reach everybody, half of that as a rule.
	hubInterval = 500 * time.Millisecond
	// callTimeout bounds a call; a machine at a fifth of its speed answers in it.
	callTimeout = 400 * time.Millisecond
	// dialTimeout bounds a connect: ten round trips between zones and more.
	dialTimeout = 200 * time.Millisecond
	// silence ends a connection whose bytes are not acknowledged.
	silence = time.Second
	// maxMessage bounds a message: a table of thousands of rows.
	maxMessage = 4 << 20
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
	// forgetAfter a daemon that is not heard and not listed in the store is forgotten.
	forgetAfter = time.Minute
	// steadyUp is how long the store must have answered a daemon for its word on it.
	steadyUp = time.Second
	// never is an age that nothing reaches.
	never = 24 * time.Hour
)

// Audience tells for whom a state is filled.
type Audience int

// Audiences.
const (
	Peers   Audience = iota // daemons that tell each other all, and hubs among themselves
	ItsHub                  // a member tells its hub
	Members                 // a hub tells a member
)

// Config tells how a Mesh works. The functions are called from many goroutines.
type Config struct {
	Self  *meshpb.Daemon
	Seeds []string // addresses that may be daemons
	Views map[string]*views.View
	Log   hclog.Logger
	// Fill completes a state told to a daemon that last told heard, which is nil
	// before; since is the version of this daemon's loads that it holds.
	Fill func(s *meshpb.State, to Audience, heard *meshpb.State, since uint64)
	// Heard takes in the state of another daemon.
	Heard func(s *meshpb.State)
	// Held returns the version of a daemon's loads that this one holds, and of which
	// incarnation.
	Held func(name string) (version uint64, born int64)
	// StoreUp returns for how long the store has answered this daemon, 0 while it
	// does not, and how long ago it last did.
	StoreUp func() (up, age time.Duration)
	// Answer answers a question to this daemon as a hub.
	Answer func(q *meshpb.Question) *meshpb.Answer
}

// Peer is another daemon.
type Peer struct {
	Daemon   *meshpb.Daemon
	id       uint64
	State    *meshpb.State // last heard; nil before
	listed   bool          // in the store
	heard    time.Duration // boot time; 0 for never
	learned  time.Duration // boot time
	memberAt time.Duration // when it last told as a member of this daemon's group; 0 for never
	hubAt    time.Duration // when it last told as a peer; 0 for never
	offset   time.Duration // least difference seen between arrival and sending, by both boot clocks
	failed   int           // calls in a row
	downTill time.Duration // boot time until which it is no hub; 0 for one that is up
}

// counts are daemons that may admit requests, and those of them in touch.
type counts struct{ all, touched int }

// Mesh calls other daemons and answers their calls.
type Mesh struct {
	meshpb.DRPCMeshUnimplementedServer
	Config

	mu     sync.Mutex
	self   uint64 // hash of this daemon's name
	role   Role
	hub    string           // of a member; empty while it has none
	peers  map[string]*Peer // by name
	ids    map[uint64]time.Duration
	told   counts        // by the hub of a member
	toldAt time.Duration // boot time
	readAt time.Duration // boot time at which the store last answered another daemon; 0 for never
	asks   map[string]*asker
	wake   chan struct{} // another daemon is known
}

// New returns a mesh of this daemon.
func New(c Config) *Mesh {
	return &Mesh{Config: c, self: id(c.Self.Name), peers: make(map[string]*Peer), ids: make(map[uint64]time.Duration), asks: make(map[string]*asker),
		wake: make(chan struct{}, 1)}
}

// Run answers calls at the address of this daemon and calls others until ctx
// ends.
func (m *Mesh) Run(ctx context.Context) error {
	l, err := netopt.Listen(ctx, m.Self.Address, silence)
	if err != nil {
		return errors.Wrapf(err, "listen for daemons at %s", m.Self.Address)
	}
	mux := drpcmux.New()
	if err := meshpb.DRPCRegisterMesh(mux, m); err != nil {
		return errors.Wrap(err, "register mesh service")
	}
	go m.supervise(ctx)
	err = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: bounds()}).Serve(ctx, l)
	m.hangUp()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve daemons at %s", m.Self.Address)
}

// bounds keeps messages from growing without end.
func bounds() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// AddSeeds adds addresses that may be daemons.
func (m *Mesh) AddSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Seeds = append([]string(nil), addresses...)
}

// List names all daemons that stand in the store.
func (m *Mesh) List(daemons []*meshpb.Daemon) {
	m.learn(daemons, boottime.Now())
	listed := make(map[string]bool, len(daemons))
	for _, d := range daemons {
		listed[d.Name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		p.listed = listed[name]
	}
}

// learn names daemons that others have told of.
func (m *Mesh) learn(daemons []*meshpb.Daemon, now time.Duration) {
	news := false
	m.mu.Lock()
	for _, d := range daemons {
		if d.Name == "" || d.Name == m.Self.Name || d.Address == "" {
			continue
		}
		p := m.peers[d.Name]
		switch {
		case p == nil:
			p = &Peer{Daemon: d, id: id(d.Name), learned: now}
			m.peers[d.Name] = p
		case p.Daemon.Born < d.Born:
			p.Daemon, p.learned, p.offset, p.failed, p.downTill = d, now, 0, 0, 0
		default:
			continue
		}
		m.ids[p.id] = max(m.ids[p.id], now-m.touch()-time.Millisecond) // known, and not in touch yet
		news = true
	}
	m.mu.Unlock()
	if !news {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take notes what another daemon told.
func (m *Mesh) take(s *meshpb.State, now time.Duration) {
	if s.Self == nil || s.Self.Name == m.Self.Name {
		return
	}
	m.learn([]*meshpb.Daemon{s.Self}, now)
	m.learn(s.Known, now)
	m.mu.Lock()
	p := m.peers[s.Self.Name]
	if p == nil || p.Daemon.Born > s.Self.Born {
		m.mu.Unlock()
		return // an earlier incarnation
	}
	late, stale := p.late(s, now)
	if stale {
		m.mu.Unlock()
		return
	}
	fresh := p.heard == 0 || now-p.heard > m.touch()
	p.State, p.heard, p.failed, p.downTill = s, now, 0, 0
	switch {
	case s.Member:
		p.memberAt = now
	case s.Gathers:
		p.memberAt, p.hubAt = 0, now
	}
	m.takeNumbers(s, late, now)
	m.mu.Unlock()
	if fresh {
		m.Log.Info("daemon reached", "peer", s.Self.Name, "address", s.Self.Address, "zone", s.Self.Zone, "member", s.Member)
	}
	m.Heard(s)
}

// takeNumbers takes in what a state tells of the daemons and of the store. The
// caller holds mu.
func (m *Mesh) takeNumbers(s *meshpb.State, late, now time.Duration) {
	m.ids[id(s.Self.Name)] = now
	for _, other := range s.Group {
		m.ids[other] = now
	}
	if s.All > 0 && m.role == Member {
		m.told, m.toldAt = counts{int(s.All), int(s.Touched)}, now
	}
	if s.StoreUpMs > steadyUp.Milliseconds() {
		m.readAt = max(m.readAt, now-late-time.Duration(s.ReadAgeMs)*time.Millisecond)
	}
}

// late returns how much longer than the quickest a state was on its way, and
// whether that is too long.
func (p *Peer) late(s *meshpb.State, now time.Duration) (time.Duration, bool) {
	offset := now - time.Duration(s.SentMs)*time.Millisecond
	if p.offset == 0 || offset < p.offset {
		p.offset = offset
	}
	return offset - p.offset, offset-p.offset > maxAge
}

// state returns what this daemon tells to the one with the given name, which is
// empty as long as it is not known.
func (m *Mesh) state(to string, audience Audience, wantsKnown bool, now time.Duration) *meshpb.State {
	s := &meshpb.State{Self: m.Self, Member: audience == ItsHub, SentMs: now.Milliseconds()}
	for name, v := range m.Views {
		s.Tables = append(s.Tables, &meshpb.Table{Name: name, Changed: v.Known()})
	}
	up, age := m.StoreUp()
	s.Seen, s.SeenBorn = m.Held(to)
	m.mu.Lock()
	var heard *meshpb.State
	if p := m.peers[to]; p != nil {
		heard = p.State
	}
	if wantsKnown {
		s.Known = m.known(now)
	}
	if others := now - m.readAt; m.readAt > 0 && (up == 0 || others < age) && others < hubInterval+directInterval {
		up, age = max(up, 2*steadyUp), others // passed on
	}
	if s.Gathers = m.role != Member; s.Gathers {
		s.Group = m.group(now)
	}
	if audience == Members {
		c := m.count(now)
		s.All, s.Touched = uint32(c.all), uint32(c.touched)
	}
	m.mu.Unlock()
	s.StoreUpMs, s.ReadAgeMs = up.Milliseconds(), age.Milliseconds()
	since := uint64(0)
	if heard != nil && heard.SeenBorn == m.Self.Born {
		since = heard.Seen
	}
	m.Fill(s, audience, heard, since)
	return s
}

// known returns the daemons that others are told of. The caller holds mu.
func (m *Mesh) known(now time.Duration) []*meshpb.Daemon {
	var list []*meshpb.Daemon
	for _, p := range m.peers {
		if p.listed || now-max(p.heard, p.learned) < Memory {
			list = append(list, p.Daemon)
		}
	}
	return list
}

// Exchange implements meshpb.DRPCMeshServer.
func (m *Mesh) Exchange(_ context.Context, req *meshpb.State) (s *meshpb.State, err error) {
	err = errors.New("exchange panicked") // unless it returns
	defer invariant.Recover(m.Log, "answer a daemon")
	s = m.answer(req, boottime.Now())
	return s, nil
}

func (m *Mesh) answer(req *meshpb.State, now time.Duration) *meshpb.State {
	m.take(req, now)
	to, audience := "", Peers
	if req.Self != nil {
		to = req.Self.Name
	}
	if req.Member {
		audience = Members
	}
	return m.state(to, audience, req.WantsKnown, now)
}

// Rows implements meshpb.DRPCMeshServer.
func (m *Mesh) Rows(_ context.Context, req *meshpb.TableRequest) (*meshpb.TableRows, error) {
	v := m.Views[req.Name]
	if v == nil {
		return nil, errors.Errorf("table %q is not kept", req.Name)
	}
	rows, changed, whole := v.Since(req.Since)
	out := &meshpb.TableRows{Changed: changed, Whole: whole}
	for _, r := range rows {
		out.Rows = append(out.Rows, &meshpb.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return out, nil
}

// Ask implements meshpb.DRPCMeshServer.
func (m *Mesh) Ask(_ context.Context, q *meshpb.Question) (a *meshpb.Answer, err error) {
	err = errors.New("question panicked") // unless it returns
	defer invariant.Recover(m.Log, "answer a member")
	a = m.Answer(q)
	return a, nil
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

// MemberStates returns the last state of every member of this daemon's group.
func (m *Mesh) MemberStates() []*meshpb.State {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*meshpb.State
	for _, p := range m.peers {
		if m.isMember(p, now) {
			list = append(list, p.State)
		}
	}
	return list
}

// Silent returns the names of the daemons that have told something and are out of
// touch.
func (m *Mesh) Silent() []string {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	touch := m.touch()
	for name, p := range m.peers {
		if p.heard > 0 && now-p.heard > touch {
			list = append(list, name)
		}
	}
	return list
}

// OthersRead tells whether the store has answered another daemon within the last
// moments, and has done so for a while.
func (m *Mesh) OthersRead() bool {
	m.mu.Lock()
	touch := m.touch()
	m.mu.Unlock()
	return m.OthersReadAge() <= touch
}

// OthersReadAge returns how long ago that was, a day if it never did.
func (m *Mesh) OthersReadAge() time.Duration {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt == 0 {
		return never
	}
	return now - m.readAt
}

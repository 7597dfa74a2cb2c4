// Package mesh exchanges state between the daemons of a deployment: requests in
// flight, admitted requests and the versions of their copies of the store's tables.
//
// In a small deployment every daemon exchanges its full state with every other. In
// a larger one, hubs in each availability zone aggregate the states of their
// members, exchange the sums with the other hubs and return the sums of all groups
// to every member. The traffic and memory of a daemon then depend on the size of
// its group (a hub and its members), not on the number of daemons. Every daemon
// computes the hubs from the daemons that it considers up, by the same rule; a
// daemon that members call as their hub acts as one, even if it did not select
// itself.
package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// directInterval is the time between two calls to the same daemon in a deployment
	// without hubs. What a daemon has admitted since its last call is unknown to the
	// others; see package quota.
	directInterval = 250 * time.Millisecond
	// hubInterval is the same for calls to hubs and between hubs. A change takes up to
	// three calls to reach every daemon, usually half of that.
	hubInterval = 500 * time.Millisecond
	// callTimeout bounds a call. A VM slowed down to a fifth of its speed still answers
	// within it.
	callTimeout = 400 * time.Millisecond
	// dialTimeout bounds a connect. It covers more than ten round trips between zones.
	dialTimeout = 200 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection is
	// closed.
	ackTimeout = time.Second
	// maxMessageBytes has room for all rows of a table, which a daemon of an older build sends
	// in one message.
	maxMessageBytes = 4 << 20
	// maxDelay is how much longer a State may take to arrive than the fastest one from
	// the same daemon. Slower ones were queued in the sockets of a daemon that was
	// suspended; they are outdated and dropped.
	maxDelay = time.Second
	// A daemon counts as reachable for minReachTimeout or reachIntervals call
	// intervals after its last State, whichever is longer: some calls may be lost.
	minReachTimeout = time.Second
	reachIntervals  = 4
	// PresumeAlive is how long an unreachable daemon counts as one that may still admit
	// requests. Network partitions of up to 10 s occurred in the users' test runs.
	PresumeAlive = 15 * time.Second
	// presumeSending is how long an unreachable daemon counts as one that may still send
	// requests to upstreams, whose limits the daemons divide. A cut between daemons may
	// last longer than PresumeAlive; both sides would then use a whole limit.
	presumeSending = time.Minute
	// removeAfter is how long a daemon that is not listed in the store is kept in the
	// list of peers after its last State.
	removeAfter = time.Minute
	// minStoreUp is how long the store must have answered another daemon before that
	// daemon's reads count as evidence that the store is up.
	minStoreUp = time.Second
	// delegationAge is the age of the last read by another daemon up to which a member does
	// not read the store itself. A hub's read takes up to a second, and one or two exchanges
	// pass until its members know of it.
	delegationAge = 2 * time.Second
	// neverAge is the age reported for an event that has not happened; it exceeds every
	// limit on ages.
	neverAge = 24 * time.Hour
)

// Recipient is the kind of daemon that a State is sent to.
type Recipient int

// Recipients.
const (
	ToNonMember Recipient = iota // any other daemon: in a deployment without hubs, or another hub
	ToHub                        // the sender's hub
	ToMember                     // a member of the sender's group
)

// Config configures a Mesh. Its functions may be called from any goroutine.
type Config struct {
	Self  *meshpb.Daemon
	Seeds []string               // addresses at which daemons may be found
	Views map[string]*views.View // by table
	Log   hclog.Logger
	// Fill completes the State sent to a daemon. heard is the last State received from
	// that daemon, nil if there is none; since is the version of this daemon's loads that
	// the other daemon holds.
	Fill func(s *meshpb.State, to Recipient, heard *meshpb.State, since uint64)
	// OnState is called with each State received from another daemon.
	OnState func(s *meshpb.State)
	// LoadVersion returns the version of the named daemon's loads that this daemon holds,
	// and the incarnation that sent them.
	LoadVersion func(name string) (version uint64, incarnation int64)
	// StoreUp returns how long the store has answered this daemon without a failure,
	// 0 while it does not, and the time since its last answer.
	StoreUp func() (up, age time.Duration)
	// Answer answers a question that a member asks this daemon as its hub, or that a daemon
	// asks it as an arbiter.
	Answer func(ctx context.Context, q *meshpb.Question) *meshpb.Answer
	// Leaving reports whether this daemon is stopping; nil for never.
	Leaving func() bool
	// Dial and Listen open connections to daemons and accept theirs; nil for TCP.
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Listen func(ctx context.Context, address string) (net.Listener, error)
}

// Peer is another daemon. Times are boot times.
type Peer struct {
	Daemon    *meshpb.Daemon
	id        uint64        // hash of the daemon's name
	State     *meshpb.State // last received; nil if none
	listed    bool          // registered in the store
	heardAt   time.Duration // time of the last State; 0 if none
	learnedAt time.Duration // time at which this incarnation became known
	memberAt  time.Duration // time of its last State as a member of this daemon's group; 0 if none
	hubAt     time.Duration // time of its last State as a hub or in a deployment without hubs; 0 if none
	minOffset time.Duration // least difference between arrival (this boot clock) and sending (its boot clock)
	failures  int           // failed calls to it in a row
	downUntil time.Duration // time until which it is not selected as a hub; 0 if it is up
}

// daemonCounts holds the number of daemons that may admit requests and how many of
// them are reachable, this daemon included.
type daemonCounts struct{ all, reachable int }

// Mesh exchanges States with other daemons and answers their calls.
type Mesh struct {
	meshpb.DRPCMeshUnimplementedServer
	Config

	mu          sync.Mutex
	selfID      uint64 // hash of this daemon's name
	role        Role
	hub         string                   // name of a member's hub; empty while it has none
	peers       map[string]*Peer         // by name
	lastHeard   map[uint64]time.Duration // boot time at which each daemon was last heard, directly or through its hub, by hash of its name
	hubCounts   daemonCounts             // last received from the hub, if this daemon is a member
	hubCountsAt time.Duration            // boot time
	peersReadAt time.Duration            // boot time at which the store last answered another daemon; 0 for never
	askers      map[string]*asker        // by address
	replan      chan struct{}            // signals that the set of daemons to call may have changed
	lags        map[string]*tableLag     // by table
	partials    map[string]*partialRead  // tables that are being read in pieces, by name
	pieces      pieceServer
}

// New returns a Mesh that has not started; see Run.
func New(c Config) *Mesh {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Listen == nil {
		c.Listen = listenTCP
	}
	return &Mesh{Config: c, selfID: nameHash(c.Self.Name), peers: make(map[string]*Peer), lastHeard: make(map[uint64]time.Duration), askers: make(map[string]*asker),
		replan: make(chan struct{}, 1), lags: make(map[string]*tableLag), partials: make(map[string]*partialRead)}
}

// Run listens at this daemon's address, answers calls and calls other daemons until
// ctx ends. It returns an error if it cannot listen or serve.
func (m *Mesh) Run(ctx context.Context) error {
	l, err := m.Listen(ctx, m.Self.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for daemons on %s", m.Self.Address)
	}
	mux := drpcmux.New()
	if err := meshpb.DRPCRegisterMesh(mux, m); err != nil {
		return errors.Wrap(err, "register mesh service")
	}
	go m.manageLinks(ctx)
	err = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcOptions()}).Serve(ctx, l)
	m.closeAskers()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve daemons on %s", m.Self.Address)
}

// drpcOptions limits the size of received messages.
func drpcOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// SetSeeds replaces the addresses at which daemons may be found.
func (m *Mesh) SetSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Seeds = append([]string(nil), addresses...)
}

// SetListed adds the daemons registered in the store and marks exactly these as
// listed.
func (m *Mesh) SetListed(daemons []*meshpb.Daemon) {
	m.addDaemons(daemons, boottime.Now())
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

// addDaemons adds daemons that are not known yet and replaces earlier incarnations of
// known ones.
func (m *Mesh) addDaemons(daemons []*meshpb.Daemon, now time.Duration) {
	changed := false
	m.mu.Lock()
	for _, d := range daemons {
		if d.Name == "" || d.Name == m.Self.Name || d.Address == "" {
			continue
		}
		p := m.peers[d.Name]
		switch {
		case p == nil:
			p = &Peer{Daemon: d, id: nameHash(d.Name), learnedAt: now}
			m.peers[d.Name] = p
		case p.Daemon.Born < d.Born:
			p.Daemon, p.learnedAt, p.minOffset, p.failures, p.downUntil = d, now, 0, 0, 0
		default:
			continue
		}
		m.lastHeard[p.id] = max(m.lastHeard[p.id], now-m.reachTimeout()-time.Millisecond) // known, but not reachable yet
		changed = true
	}
	m.mu.Unlock()
	if changed {
		m.planSoon()
	}
}

// planSoon makes manageLinks update the set of daemons to call without delay.
func (m *Mesh) planSoon() {
	select {
	case m.replan <- struct{}{}:
	default:
	}
}

// receive processes a State received from another daemon. It drops States of earlier
// incarnations and those that were delayed by more than maxDelay.
func (m *Mesh) receive(s *meshpb.State, now time.Duration) {
	if s.Self == nil || s.Self.Name == m.Self.Name {
		return
	}
	m.addDaemons([]*meshpb.Daemon{s.Self}, now)
	m.addDaemons(s.Known, now)
	m.mu.Lock()
	p := m.peers[s.Self.Name]
	if p == nil || p.Daemon.Born > s.Self.Born {
		m.mu.Unlock()
		return // an earlier incarnation
	}
	delay, stale := p.transitDelay(s, now)
	if stale {
		m.mu.Unlock()
		return
	}
	reached := p.heardAt == 0 || now-p.heardAt > m.reachTimeout()
	p.State, p.heardAt, p.failures, p.downUntil = s, now, 0, 0
	switch {
	case s.Member:
		p.memberAt = now
	case s.Gathers:
		p.memberAt, p.hubAt = 0, now
	}
	m.recordCounts(s, delay, now)
	m.mu.Unlock()
	if reached {
		m.Log.Info("daemon reached", "peer", s.Self.Name, "address", s.Self.Address, "zone", s.Self.Zone, "member", s.Member)
	}
	m.recordTables(s, now)
	m.OnState(s)
}

// recordCounts records what a State reports about the sender's group, the number of
// daemons and the last read of the store. delay is the State's transit delay. The caller
// holds mu.
func (m *Mesh) recordCounts(s *meshpb.State, delay, now time.Duration) {
	m.lastHeard[nameHash(s.Self.Name)] = now
	for _, hash := range s.Group {
		m.lastHeard[hash] = now
	}
	if s.All > 0 && m.role == Member {
		m.hubCounts, m.hubCountsAt = daemonCounts{int(s.All), int(s.Touched)}, now
	}
	if s.StoreUpMs > minStoreUp.Milliseconds() {
		m.peersReadAt = max(m.peersReadAt, now-delay-time.Duration(s.ReadAgeMs)*time.Millisecond)
	}
}

// transitDelay returns how much longer a State took to arrive than the fastest one from
// the same daemon, and whether that is more than maxDelay.
func (p *Peer) transitDelay(s *meshpb.State, now time.Duration) (time.Duration, bool) {
	offset := now - time.Duration(s.SentMs)*time.Millisecond
	if p.minOffset == 0 || offset < p.minOffset {
		p.minOffset = offset
	}
	return offset - p.minOffset, offset-p.minOffset > maxDelay
}

// newState returns the State to send to the named daemon. to is empty while the daemon's
// name is not known.
func (m *Mesh) newState(to string, recipient Recipient, wantsKnown bool, now time.Duration) *meshpb.State {
	s := &meshpb.State{Self: m.Self, Member: recipient == ToHub, SentMs: now.Milliseconds()}
	for name, v := range m.Views {
		era, number := views.SplitVersion(v.Version())
		s.Tables = append(s.Tables, &meshpb.Table{Name: name, Changed: number, Era: era})
	}
	up, age := m.StoreUp()
	s.Seen, s.SeenBorn = m.LoadVersion(to)
	m.mu.Lock()
	var heard *meshpb.State
	if p := m.peers[to]; p != nil {
		heard = p.State
	}
	if wantsKnown {
		s.Known = m.knownDaemons(now)
	}
	if peersAge := now - m.peersReadAt; m.peersReadAt > 0 && (up == 0 || peersAge < age) && peersAge < hubInterval+directInterval {
		up, age = max(up, 2*minStoreUp), peersAge // pass on another daemon's read
	}
	if s.Gathers = m.role != Member; s.Gathers {
		s.Group = m.groupIDs(now)
	}
	if recipient == ToMember {
		c := m.countDaemons(now)
		s.All, s.Touched = uint32(c.all), uint32(c.reachable)
	}
	m.mu.Unlock()
	s.StoreUpMs, s.ReadAgeMs = up.Milliseconds(), age.Milliseconds()
	since := uint64(0)
	if heard != nil && heard.SeenBorn == m.Self.Born {
		since = heard.Seen
	}
	m.Fill(s, recipient, heard, since)
	return s
}

// knownDaemons returns the daemons whose addresses are passed on to others: those
// listed in the store, and those heard or learned of recently. The caller holds mu.
func (m *Mesh) knownDaemons(now time.Duration) []*meshpb.Daemon {
	var list []*meshpb.Daemon
	for _, p := range m.peers {
		if p.listed || now-max(p.heardAt, p.learnedAt) < PresumeAlive {
			list = append(list, p.Daemon)
		}
	}
	return list
}

// Exchange implements meshpb.DRPCMeshServer.
func (m *Mesh) Exchange(_ context.Context, req *meshpb.State) (s *meshpb.State, err error) {
	err = errors.New("handling an exchange panicked") // returned only after a recovered panic
	defer invariant.Recover(m.Log, "answer a daemon")
	s = m.handle(req, boottime.Now())
	return s, nil
}

// handle processes the State in a call and returns the State to respond with.
func (m *Mesh) handle(req *meshpb.State, now time.Duration) *meshpb.State {
	m.receive(req, now)
	to, recipient := "", ToNonMember
	if req.Self != nil {
		to = req.Self.Name
	}
	if req.Member {
		recipient = ToMember
	}
	return m.newState(to, recipient, req.WantsKnown, now)
}

// Rows implements meshpb.DRPCMeshServer.
func (m *Mesh) Rows(ctx context.Context, req *meshpb.TableRequest) (*meshpb.TableRows, error) {
	v := m.Views[req.Name]
	if v == nil {
		return nil, errors.Errorf("unknown table %q", req.Name)
	}
	reader, _ := drpcctx.Transport(ctx)
	if piece := m.pieces.next(req, reader, boottime.Now()); piece != nil {
		return &meshpb.TableRows{Piece: piece}, nil
	}
	out := encodeRows(v.Since(views.MakeVersion(req.Era, req.Since)))
	if req.MaxBytes == 0 || proto.Size(out) <= int(req.MaxBytes) {
		return out, nil
	}
	piece, err := m.pieces.add(out, req, reader, boottime.Now())
	return &meshpb.TableRows{Piece: piece}, err
}

// encodeRows encodes what views.View.Since returns.
func encodeRows(rows []views.Row, newest int64, snapshot bool) *meshpb.TableRows {
	era, number := views.SplitVersion(newest)
	out := &meshpb.TableRows{Changed: number, Era: era, Whole: snapshot}
	for _, r := range rows {
		era, number := views.SplitVersion(r.Version)
		out.Rows = append(out.Rows, &meshpb.Row{Key: r.Key, Value: r.Value, Version: number, Era: era, Removed: r.Removed})
	}
	return out
}

// Ask implements meshpb.DRPCMeshServer.
func (m *Mesh) Ask(ctx context.Context, q *meshpb.Question) (a *meshpb.Answer, err error) {
	err = errors.New("answering a question panicked") // returned only after a recovered panic
	defer invariant.Recover(m.Log, "answer a question")
	a = m.Answer(ctx, q)
	return a, nil
}

// States returns the last State of every reachable daemon.
func (m *Mesh) States() []*meshpb.State {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*meshpb.State
	timeout := m.reachTimeout()
	for _, p := range m.peers {
		if p.State != nil && now-p.heardAt <= timeout {
			list = append(list, p.State)
		}
	}
	return list
}

// MemberStates returns the last State of every member of this daemon's group.
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

// Unreachable returns the names of the daemons that have sent a State and are not
// reachable any more.
func (m *Mesh) Unreachable() []string {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	timeout := m.reachTimeout()
	for name, p := range m.peers {
		if p.heardAt > 0 && now-p.heardAt > timeout {
			list = append(list, name)
		}
	}
	return list
}

// PeersReadStore reports whether the store has answered another daemon within the
// reach timeout and had answered that daemon for at least minStoreUp.
func (m *Mesh) PeersReadStore() bool {
	m.mu.Lock()
	timeout := m.reachTimeout()
	m.mu.Unlock()
	return m.PeersReadAge() <= timeout
}

// PeersReadAge returns the time since the store last answered another daemon that it had
// answered for at least minStoreUp, 24 h if it never did.
func (m *Mesh) PeersReadAge() time.Duration {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peersReadAt == 0 {
		return neverAge
	}
	return now - m.peersReadAt
}

// Delegated reports whether this daemon need not read a table of the store because a hub does
// so for it and passes it on.
func (m *Mesh) Delegated(table string) bool {
	return m.Role() == Member && m.PeersReadAge() < delegationAge && !m.bypassesHub(table)
}

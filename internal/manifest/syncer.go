package manifest

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/platform"
)

const (
	pollInterval           = 2 * time.Second // of the table, by a daemon of a small deployment
	daemonsPerPollInterval = 20              // daemons beyond which polls become rarer
	fetchTimeout           = 2 * time.Second
	mailboxSize            = 64
)

// Packed is a manifest as daemons pass it on.
type Packed struct {
	Generation int64 // 0 is none
	AtMS       int64 // unix time of acceptance
	Body       []byte
}

// Fetch asks the daemon at a peer address for its manifest in force.
type Fetch func(ctx context.Context, address string) (Packed, error)

// Syncer is the task that keeps the newest accepted manifest in force at one
// daemon. It learns of it from peers' heartbeats and from the table, whichever
// is first, and never goes back.
type Syncer struct {
	name          string
	store         *Store
	current       *Current
	fetch         Fetch
	onInForce     func(a *Active, lag time.Duration)
	log           hclog.Logger
	inbox         chan update
	packed        atomic.Pointer[Packed]
	missingReason atomic.Pointer[string] // why no manifest is in force
	daemonCount   func() int
}

// update says that a generation exists, and where.
type update struct {
	generation int64
	address    string // of a daemon that has it
	packed     *Packed
	done       chan struct{} // closed once handled; may be nil
}

// SyncerConfig holds what a Keeper works with.
type SyncerConfig struct {
	Name    string // of this daemon
	Store   *Store
	Current *Current
	Fetch   Fetch
	// OnInForce is called with each manifest just after it came into force, on
	// the keeper's goroutine.
	OnInForce   func(a *Active, lag time.Duration)
	DaemonCount func() int // number of daemons, for the rate of polls
	Log         hclog.Logger
}

// NewSyncer returns a keeper. Nothing runs before Run.
func NewSyncer(c SyncerConfig) *Syncer {
	return &Syncer{
		name:        c.Name,
		store:       c.Store,
		current:     c.Current,
		fetch:       c.Fetch,
		onInForce:   c.OnInForce,
		daemonCount: c.DaemonCount,
		log:         c.Log,
		inbox:       make(chan update, mailboxSize),
	}
}

// Packed returns the manifest in force for a peer. Any goroutine may call it.
func (s *Syncer) Packed() Packed {
	if p := s.packed.Load(); p != nil {
		return *p
	}
	return Packed{}
}

// MissingReason tells why no manifest is in force, or is empty. Any goroutine may
// call it.
func (s *Syncer) MissingReason() string {
	if s.current.Load() != nil {
		return ""
	}
	if reason := s.missingReason.Load(); reason != nil {
		return *reason
	}
	return "no manifest yet"
}

// NotifyGeneration says that the daemon at address has a generation in force. Any
// goroutine may call it; it does not block.
func (s *Syncer) NotifyGeneration(generation int64, address string) {
	if generation <= s.current.Generation() {
		return
	}
	select {
	case s.inbox <- update{generation: generation, address: address}:
	default: // the next heartbeat says it again
	}
}

// Apply accepts m as the successor of generation base and returns its
// generation once it is in force here. Errors are those of Store.Commit. Any
// goroutine may call it.
func (s *Syncer) Apply(ctx context.Context, base int64, m *Manifest) (int64, error) {
	a := CommitInfo{Token: uuid.NewString(), By: s.name, AtMS: time.Now().UnixMilli()}
	a, err := s.store.Commit(ctx, base, m, a)
	if err != nil {
		return 0, err
	}
	body, err := Pack(m)
	if err != nil {
		return 0, err
	}
	u := update{generation: a.Generation, packed: &Packed{Generation: a.Generation, AtMS: a.AtMS, Body: body}, done: make(chan struct{})}
	select {
	case s.inbox <- u:
	case <-ctx.Done():
		return a.Generation, nil // accepted; the table's poll brings it into force
	}
	select {
	case <-u.done:
	case <-ctx.Done():
	}
	return a.Generation, nil
}

// Run keeps the manifest current until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			s.poll(ctx)
			timer.Reset(s.pollDelay())
		case u := <-s.inbox:
			s.handle(ctx, u)
		}
	}
}

// pollDelay keeps the reads of all daemons together flat as daemons are added.
func (s *Syncer) pollDelay() time.Duration {
	return pollInterval * time.Duration(max(1, s.daemonCount()/daemonsPerPollInterval))
}

func (s *Syncer) handle(ctx context.Context, u update) {
	if u.done != nil {
		defer close(u.done)
	}
	if u.generation <= s.current.Generation() {
		return
	}
	if u.packed != nil {
		s.activate(*u.packed, "apply")
		return
	}
	fctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	p, err := s.fetch(fctx, u.address)
	if err != nil {
		s.log.Warn("manifest not fetched", "peer", u.address, "error", err)
		return
	}
	s.activate(p, u.address)
}

// poll asks the table for the newest generation.
func (s *Syncer) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	newest, err := s.store.Newest(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		s.setMissingReason("the table holds no manifest")
		return
	}
	if err != nil {
		s.setMissingReason("table: " + err.Error() + "; no peer has a manifest")
		return
	}
	if newest.Generation <= s.current.Generation() {
		return
	}
	body, err := s.store.Body(ctx, newest.Generation)
	if err != nil {
		s.setMissingReason(err.Error())
		return
	}
	s.activate(Packed{Generation: newest.Generation, AtMS: newest.AtMS, Body: body}, "table")
}

// setMissingReason keeps and logs why no manifest is in force.
func (s *Syncer) setMissingReason(reason string) {
	if old := s.missingReason.Swap(&reason); s.current.Load() == nil && (old == nil || *old != reason) {
		s.log.Warn("not ready: no manifest in force", "cause", reason)
	}
}

// activate puts p in force unless it is not newer.
func (s *Syncer) activate(p Packed, from string) {
	if p.Generation <= s.current.Generation() {
		return
	}
	m, err := Unpack(p.Body)
	if err != nil {
		s.log.Error("manifest not understood", "generation", p.Generation, "from", from, "error", err)
		return
	}
	a := NewActive(p.Generation, m)
	lag := time.Since(time.UnixMilli(p.AtMS))
	s.packed.Store(&p)
	s.current.Advance(a)
	s.onInForce(a, lag)
	s.log.Info("manifest in force", "generation", p.Generation, "from", from, "lag_ms", lag.Milliseconds())
}

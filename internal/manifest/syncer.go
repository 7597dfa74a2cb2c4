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
	pollInterval           = 2 * time.Second // between polls of the table, with fewer than 2*daemonsPerPollInterval daemons
	daemonsPerPollInterval = 20              // the time between polls grows by pollInterval per this number of daemons
	fetchTimeout           = 2 * time.Second
	mailboxSize            = 64
)

// Packed is a manifest in the form in which daemons send it to each other.
type Packed struct {
	Generation int64  // 0 means no manifest
	AtMS       int64  // unix time of acceptance
	Body       []byte // encoded by Pack
}

// Fetch requests the manifest in force from the daemon at a peer address.
type Fetch func(ctx context.Context, address string) (Packed, error)

// Syncer is the task that puts the newest accepted manifest in force at one
// daemon. It learns of new generations from messages of peers and by polling the
// table, whichever comes first, and never returns to a lower generation.
type Syncer struct {
	name          string
	store         *Store
	current       *Current
	fetch         Fetch
	onInForce     func(a *Active, lag time.Duration)
	log           hclog.Logger
	mailbox       chan update
	packed        atomic.Pointer[Packed]
	missingReason atomic.Pointer[string] // why no manifest is in force
	daemonCount   func() int
}

// update is a message to the task: a generation was accepted.
type update struct {
	generation int64
	address    string // of a daemon that has it in force; used if packed is nil
	packed     *Packed
	done       chan struct{} // closed once handled; may be nil
}

// SyncerConfig holds the dependencies of a Syncer.
type SyncerConfig struct {
	Name    string // of this daemon
	Store   *Store
	Current *Current
	Fetch   Fetch
	// OnInForce is called on the goroutine of Run after a manifest was put in
	// force. lag is the time since it was accepted.
	OnInForce   func(a *Active, lag time.Duration)
	DaemonCount func() int // number of daemons in the deployment; scales the poll interval
	Log         hclog.Logger
}

// NewSyncer returns a Syncer; Run starts it.
func NewSyncer(c SyncerConfig) *Syncer {
	return &Syncer{
		name:        c.Name,
		store:       c.Store,
		current:     c.Current,
		fetch:       c.Fetch,
		onInForce:   c.OnInForce,
		daemonCount: c.DaemonCount,
		log:         c.Log,
		mailbox:     make(chan update, mailboxSize),
	}
}

// Packed returns the manifest in force, to be sent to a peer. Any goroutine may
// call it.
func (s *Syncer) Packed() Packed {
	if p := s.packed.Load(); p != nil {
		return *p
	}
	return Packed{}
}

// MissingReason returns why no manifest is in force, or "" if one is. Any
// goroutine may call it.
func (s *Syncer) MissingReason() string {
	if s.current.Load() != nil {
		return ""
	}
	if reason := s.missingReason.Load(); reason != nil {
		return *reason
	}
	return "no manifest yet"
}

// NotifyGeneration reports that the daemon at address has a generation in force.
// Any goroutine may call it; it does not block.
func (s *Syncer) NotifyGeneration(generation int64, address string) {
	if generation <= s.current.Generation() {
		return
	}
	select {
	case s.mailbox <- update{generation: generation, address: address}:
	default: // mailbox full; the next message of a peer contains the generation again
	}
}

// Apply commits m as the successor of generation base and returns its
// generation, once it is in force at this daemon or ctx ends. Errors are those of
// Store.Commit and Pack. Any goroutine may call it.
func (s *Syncer) Apply(ctx context.Context, base int64, m *Manifest) (int64, error) {
	info := CommitInfo{Token: uuid.NewString(), By: s.name, AtMS: time.Now().UnixMilli()}
	info, err := s.store.Commit(ctx, base, m, info)
	if err != nil {
		return 0, err
	}
	body, err := Pack(m)
	if err != nil {
		return 0, err
	}
	u := update{generation: info.Generation, packed: &Packed{Generation: info.Generation, AtMS: info.AtMS, Body: body}, done: make(chan struct{})}
	select {
	case s.mailbox <- u:
	case <-ctx.Done():
		return info.Generation, nil // committed; the next poll of the table puts it in force
	}
	select {
	case <-u.done:
	case <-ctx.Done():
	}
	return info.Generation, nil
}

// Run handles messages and polls the table until ctx ends.
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
		case u := <-s.mailbox:
			s.handle(ctx, u)
		}
	}
}

// pollDelay returns the time between polls. It grows with the number of daemons,
// so that the reads of all daemons together stay about constant.
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
		s.log.Warn("fetch of manifest from peer failed", "peer", u.address, "error", err)
		return
	}
	s.activate(p, u.address)
}

// poll reads the newest generation from the table and activates it if it is
// higher than the one in force.
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

// setMissingReason stores why no manifest is in force and logs it if it changed.
func (s *Syncer) setMissingReason(reason string) {
	if old := s.missingReason.Swap(&reason); s.current.Load() == nil && (old == nil || *old != reason) {
		s.log.Warn("not ready: no manifest in force", "cause", reason)
	}
}

// activate puts p in force if its generation is higher than the current one.
func (s *Syncer) activate(p Packed, from string) {
	if p.Generation <= s.current.Generation() {
		return
	}
	m, err := Unpack(p.Body)
	if err != nil {
		s.log.Error("received manifest is invalid", "generation", p.Generation, "from", from, "error", err)
		return
	}
	a := NewActive(p.Generation, m)
	lag := time.Since(time.UnixMilli(p.AtMS))
	s.packed.Store(&p)
	s.current.Advance(a)
	s.onInForce(a, lag)
	s.log.Info("manifest in force", "generation", p.Generation, "from", from, "lag_ms", lag.Milliseconds())
}

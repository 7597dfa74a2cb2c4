package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/peer"
	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
)

const (
	mailboxSize = 256
	urgentDelay = 20 * time.Millisecond // collects urgent changes that arrive together into one message
	maxProbes   = 16                    // exchanges in flight at the same time
)

var errStopped = errors.New("membership gossip has stopped")

// View is a snapshot of the membership. It must not be changed.
type View struct {
	Self      Record
	Daemons   []*Record // sorted by name, this daemon included
	Upstreams []*Record // of this region, sorted by name
}

// Gossiper owns a Group and runs its exchanges with peers. Run's goroutine is the
// only one that uses the Group; it receives events through a mailbox. The
// exported methods may be called from any goroutine.
type Gossiper struct {
	group   *Group
	client  *peer.Client
	log     hclog.Logger
	mailbox chan message
	view    atomic.Pointer[View]
	probes  chan struct{} // semaphore: one element for each probe in flight
	wg      sync.WaitGroup
	stopped chan struct{} // closed at the end of Run

	mu              sync.Mutex
	subscribers     map[string][]func(from string, value []byte)
	viewFuncs       []func(*View)
	generationFuncs []func(generation int64, address string)
}

// message is an event in the Gossiper's mailbox.
type message interface {
	handle(ctx context.Context, gs *Gossiper, now time.Time)
}

// NewGossiper returns a Gossiper for the group. It exchanges nothing before Run.
func NewGossiper(group *Group, client *peer.Client, log hclog.Logger) *Gossiper {
	gs := &Gossiper{
		group:       group,
		client:      client,
		log:         log,
		mailbox:     make(chan message, mailboxSize),
		probes:      make(chan struct{}, maxProbes),
		stopped:     make(chan struct{}),
		subscribers: make(map[string][]func(string, []byte)),
	}
	gs.publishView()
	return gs
}

// View returns the newest view.
func (gs *Gossiper) View() *View { return gs.view.Load() }

// OnView calls f on Run's goroutine with each new view. f must not block.
func (gs *Gossiper) OnView(f func(*View)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.viewFuncs = append(gs.viewFuncs, f)
}

// OnGeneration calls f on Run's goroutine with the manifest generation in each
// request or response of a peer, and with the peer's address. f must not block.
func (gs *Gossiper) OnGeneration(f func(generation int64, address string)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.generationFuncs = append(gs.generationFuncs, f)
}

// Subscribe calls f on Run's goroutine with each new value that another daemon
// published under the topic. f must not block or retain value.
func (gs *Gossiper) Subscribe(topic string, f func(from string, value []byte)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.subscribers[topic] = append(gs.subscribers[topic], f)
}

// Publish sends value under topic to all daemons. It replaces an older value of
// this daemon that has not been sent yet.
func (gs *Gossiper) Publish(topic string, value []byte) {
	gs.post(publish{topic: topic, value: value})
}

// Set sends a record of an upstream or of a topic to the other daemons.
func (gs *Gossiper) Set(r Record) { gs.post(setRecord{record: r}) }

// SetSelf changes this daemon's own record with f and sends it to the others.
func (gs *Gossiper) SetSelf(f func(*Record)) { gs.post(setSelf{change: f}) }

// SetSeeds sets addresses to contact while they belong to no known daemon.
func (gs *Gossiper) SetSeeds(addresses []string) { gs.post(setSeeds{addresses: addresses}) }

// Exchange handles an exchange request of a peer. It fails if ctx ends or the
// Gossiper has stopped.
func (gs *Gossiper) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	response := make(chan Message, 1)
	select {
	case gs.mailbox <- requestReceived{req: fromRequest(req), response: response}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-gs.stopped:
		return nil, errStopped
	}
	select {
	case m := <-response:
		return toResponse(m), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-gs.stopped:
		return nil, errStopped
	}
}

// Confirm reports whether the daemon at address responds, over a new connection
// if needed. An empty address means this daemon.
func (gs *Gossiper) Confirm(ctx context.Context, address string) bool {
	if address == "" {
		return true // the caller only checks that this daemon responds
	}
	reached, err := gs.client.Confirm(ctx, address, gs.group.config.ProbeTimeout/2, "")
	return err == nil && reached
}

// NotifyLeaving marks an upstream as leaving: its reclaim or stop was announced,
// or it refused work because it is leaving. deadlineMS is when it stops, in unix
// ms, or 0 if unknown. from names the reporter.
func (gs *Gossiper) NotifyLeaving(upstream string, deadlineMS int64, from string) {
	v := gs.View()
	for _, r := range v.Upstreams {
		if r.Name == upstream && r.State == Leaving && (r.DeadlineMS != 0 || deadlineMS == 0) {
			return
		}
	}
	gs.post(upstreamObserved{event: UpstreamEvent{Name: upstream, Region: v.Self.Region, Event: EventNotice, DeadlineMS: deadlineMS, Source: from}, requireState: anyState})
}

// randomPeers returns up to n random live daemons of this region other than this
// one.
func (gs *Gossiper) randomPeers(n int) []*Record {
	var out []*Record
	v := gs.View()
	for _, d := range v.Daemons {
		if d.Name != v.Self.Name && d.Region == v.Self.Region && d.State == Live {
			out = append(out, d)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// post adds m to the mailbox. It drops m after Run has returned.
func (gs *Gossiper) post(m message) {
	select {
	case gs.mailbox <- m:
	case <-gs.stopped:
	}
}

// Run handles events and exchanges records with peers until ctx ends.
func (gs *Gossiper) Run(ctx context.Context) error {
	ticker := time.NewTicker(gs.group.config.RoundInterval)
	defer ticker.Stop()
	urgent := time.NewTimer(0)
	defer urgent.Stop()
	defer gs.wg.Wait()
	defer close(gs.stopped)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := time.Now()
			gs.start(ctx, now, gs.group.Tick(now))
		case <-urgent.C:
			gs.start(ctx, time.Now(), gs.group.UrgentTargets())
		case m := <-gs.mailbox:
			m.handle(ctx, gs, time.Now())
		}
		gs.deliverChanges()
		if gs.group.TakeUrgent() {
			urgent.Reset(urgentDelay)
		}
	}
}

// start starts an exchange with each target.
func (gs *Gossiper) start(ctx context.Context, now time.Time, targets []Target) {
	for _, target := range targets {
		select {
		case gs.probes <- struct{}{}:
		default:
			return // all probes are in flight; their timeouts free some for the next round
		}
		req := toRequest(gs.group.NewRequest(now, target))
		gs.wg.Add(1)
		go func() {
			defer gs.wg.Done()
			defer func() { <-gs.probes }()
			gs.probe(ctx, now, target, req)
		}()
	}
}

// probe runs one exchange and posts its result.
func (gs *Gossiper) probe(ctx context.Context, started time.Time, target Target, req *peerpb.ExchangeRequest) {
	resp, err := gs.client.Exchange(ctx, target.Address, gs.group.config.ProbeTimeout, req)
	var m message
	if err != nil {
		m = exchangeFailed{target: target, started: started}
	} else {
		m = responseReceived{target: target, resp: fromResponse(resp)}
	}
	gs.postUnlessDone(ctx, m)
}

// confirm asks the confirmers whether they can reach the target and posts
// peerUnreachable if none can.
func (gs *Gossiper) confirm(ctx context.Context, target Target, started time.Time, confirmers []Target) {
	results := make(chan bool, len(confirmers))
	for _, a := range confirmers {
		go func() {
			reached, err := gs.client.Confirm(ctx, a.Address, gs.group.config.ProbeTimeout, target.Address)
			results <- err == nil && reached
		}()
	}
	for range confirmers {
		if <-results {
			return
		}
	}
	gs.postUnlessDone(ctx, peerUnreachable{target: target, started: started})
}

// postUnlessDone posts from a goroutine that Run waits for. It gives up when ctx
// ends, because Run no longer reads the mailbox then.
func (gs *Gossiper) postUnlessDone(ctx context.Context, m message) {
	select {
	case gs.mailbox <- m:
	case <-ctx.Done():
	}
}

// deliverChanges passes changed topics to their subscribers, logs other changes
// and, if a member changed, publishes a new view.
func (gs *Gossiper) deliverChanges() {
	changes, changed := gs.group.TakeChanges()
	for _, r := range changes {
		if r.Kind == Topic {
			gs.deliverTopic(r)
			continue
		}
		gs.log.Info("member changed", "kind", int(r.Kind), "name", r.Name, "state", r.State, "incarnation", r.Incarnation)
	}
	if changed {
		gs.publishView()
	}
}

func (gs *Gossiper) deliverTopic(r *Record) {
	topic, from := splitTopic(r.Name)
	gs.mu.Lock()
	subscribers := gs.subscribers[topic]
	gs.mu.Unlock()
	for _, f := range subscribers {
		f(from, r.Value)
	}
}

func (gs *Gossiper) publishView() {
	v := &View{Self: *gs.group.Self(), Daemons: gs.group.Records(Daemon), Upstreams: gs.group.Records(Upstream)}
	gs.view.Store(v)
	gs.mu.Lock()
	subscribers := gs.viewFuncs
	gs.mu.Unlock()
	for _, f := range subscribers {
		f(v)
	}
}

func (gs *Gossiper) notifyGeneration(generation int64, address string) {
	gs.mu.Lock()
	subscribers := gs.generationFuncs
	gs.mu.Unlock()
	for _, f := range subscribers {
		f(generation, address)
	}
}

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
	urgentDelay = 20 * time.Millisecond // collects news of one wave into one message
	maxProbes   = 16
)

var errStopped = errors.New("membership has ended")

// View is the membership at one moment. It is immutable.
type View struct {
	Self      Record
	Daemons   []*Record // by name, this daemon included
	Upstreams []*Record // by name; only those of this region
}

// Gossiper owns a Group and runs its exchanges. Its exported methods may be called
// from any goroutine.
type Gossiper struct {
	group   *Group
	client  *peer.Client
	log     hclog.Logger
	mailbox chan message
	view    atomic.Pointer[View]
	probes  chan struct{} // one element for each probe that may start
	wg      sync.WaitGroup
	stopped chan struct{} // closed at the end of Run

	mu              sync.Mutex
	subscribers     map[string][]func(from string, value []byte)
	viewFuncs       []func(*View)
	generationFuncs []func(generation int64, address string)
}

// message is one event of the task's mailbox.
type message interface {
	handle(ctx context.Context, gs *Gossiper, now time.Time)
}

// NewGossiper returns a task for the group. Nothing runs before Run.
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

// OnView calls f on the task's goroutine with each new view. f must not block.
func (gs *Gossiper) OnView(f func(*View)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.viewFuncs = append(gs.viewFuncs, f)
}

// OnGeneration calls f on the task's goroutine with the manifest generation of
// each peer that answers, and the peer's address. f must not block.
func (gs *Gossiper) OnGeneration(f func(generation int64, address string)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.generationFuncs = append(gs.generationFuncs, f)
}

// Subscribe calls f on the task's goroutine with each new value that another
// daemon published under the topic. f must not block nor keep value.
func (gs *Gossiper) Subscribe(topic string, f func(from string, value []byte)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.subscribers[topic] = append(gs.subscribers[topic], f)
}

// Publish spreads value under topic to all daemons. A newer value of this
// daemon replaces an older one that has not been sent yet.
func (gs *Gossiper) Publish(topic string, value []byte) {
	gs.post(publish{topic: topic, value: value})
}

// Set spreads a record about an upstream or a regional topic.
func (gs *Gossiper) Set(r Record) { gs.post(setRecord{record: r}) }

// SetSelf changes this daemon's own record and spreads it.
func (gs *Gossiper) SetSelf(f func(*Record)) { gs.post(setSelf{change: f}) }

// SetSeeds names addresses of daemons that are tried until they are known.
func (gs *Gossiper) SetSeeds(addresses []string) { gs.post(setSeeds{addresses: addresses}) }

// Exchange answers a peer's exchange.
func (gs *Gossiper) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	reply := make(chan Message, 1)
	select {
	case gs.mailbox <- requestReceived{req: fromRequest(req), reply: reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-gs.stopped:
		return nil, errStopped
	}
	select {
	case m := <-reply:
		return toResponse(m), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-gs.stopped:
		return nil, errStopped
	}
}

// Confirm tells whether the daemon at address answers, over a new connection
// if need be. An empty address is this daemon.
func (gs *Gossiper) Confirm(ctx context.Context, address string) bool {
	if address == "" {
		return true // asks whether this daemon itself answers
	}
	reached, err := gs.client.Confirm(ctx, address, gs.group.config.ProbeTimeout/2, "")
	return err == nil && reached
}

// NotifyLeaving says that an upstream's reclaim or stop was announced, or that it
// refused work because it leaves. A deadline of 0 is unknown.
func (gs *Gossiper) NotifyLeaving(upstream string, deadlineMS int64, from string) {
	v := gs.View()
	for _, r := range v.Upstreams {
		if r.Name == upstream && r.State == Leaving && (r.DeadlineMS != 0 || deadlineMS == 0) {
			return
		}
	}
	gs.post(upstreamObserved{event: UpstreamEvent{Name: upstream, Region: v.Self.Region, Event: EventNotice, DeadlineMS: deadlineMS, Source: from}, requireState: anyState})
}

// randomPeers returns up to n random other live daemons of the region.
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

// post gives m to the task; after the task's end it is dropped.
func (gs *Gossiper) post(m message) {
	select {
	case gs.mailbox <- m:
	case <-gs.stopped:
	}
}

// Run exchanges records until ctx ends.
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

// start begins an exchange with each target.
func (gs *Gossiper) start(ctx context.Context, now time.Time, targets []Target) {
	for _, target := range targets {
		select {
		case gs.probes <- struct{}{}:
		default:
			return // all probes hang; their timeouts free the next round's
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

// probe runs one exchange and posts its end.
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

// confirm asks others whether they reach the target and posts its silence if
// none does.
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

// postUnlessDone posts from a goroutine that the task waits for.
func (gs *Gossiper) postUnlessDone(ctx context.Context, m message) {
	select {
	case gs.mailbox <- m:
	case <-ctx.Done():
	}
}

// deliverChanges hands fresh records to the subscribers and publishes a new view.
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

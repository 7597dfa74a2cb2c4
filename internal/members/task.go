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
	mailboxSize  = 256
	urgentWait   = 20 * time.Millisecond // collects news of one wave into one message
	probesAtOnce = 16
)

var errEnded = errors.New("membership has ended")

// View is the membership at one moment. It is immutable.
type View struct {
	Self      Record
	Daemons   []*Record // by name, this daemon included
	Upstreams []*Record // by name; only those of this region
}

// Task owns a Group and runs its exchanges. Its exported methods may be called
// from any goroutine.
type Task struct {
	group  *Group
	client *peer.Client
	log    hclog.Logger
	inbox  chan message
	view   atomic.Pointer[View]
	probes chan struct{} // one element for each probe that may start
	wg     sync.WaitGroup
	ended  chan struct{} // closed at the end of Run

	mu     sync.Mutex
	topics map[string][]func(from string, value []byte)
	views  []func(*View)
	gens   []func(generation int64, address string)
}

// message is one event of the task's mailbox.
type message interface {
	handle(ctx context.Context, t *Task, now time.Time)
}

// NewTask returns a task for the group. Nothing runs before Run.
func NewTask(group *Group, client *peer.Client, log hclog.Logger) *Task {
	t := &Task{
		group:  group,
		client: client,
		log:    log,
		inbox:  make(chan message, mailboxSize),
		probes: make(chan struct{}, probesAtOnce),
		ended:  make(chan struct{}),
		topics: make(map[string][]func(string, []byte)),
	}
	t.publishView()
	return t
}

// View returns the newest view.
func (t *Task) View() *View { return t.view.Load() }

// OnView calls f on the task's goroutine with each new view. f must not block.
func (t *Task) OnView(f func(*View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.views = append(t.views, f)
}

// OnGeneration calls f on the task's goroutine with the manifest generation of
// each peer that answers, and the peer's address. f must not block.
func (t *Task) OnGeneration(f func(generation int64, address string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gens = append(t.gens, f)
}

// Subscribe calls f on the task's goroutine with each new value that another
// daemon published under the topic. f must not block nor keep value.
func (t *Task) Subscribe(topic string, f func(from string, value []byte)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.topics[topic] = append(t.topics[topic], f)
}

// Publish spreads value under topic to all daemons. A newer value of this
// daemon replaces an older one that has not been sent yet.
func (t *Task) Publish(topic string, value []byte) {
	t.post(publish{topic: topic, value: value})
}

// Set spreads a record about an upstream or a regional topic.
func (t *Task) Set(r Record) { t.post(setRecord{record: r}) }

// SetSelf changes this daemon's own record and spreads it.
func (t *Task) SetSelf(f func(*Record)) { t.post(setSelf{change: f}) }

// Seed names addresses of daemons that are tried until they are known.
func (t *Task) Seed(addresses []string) { t.post(setSeeds{addresses: addresses}) }

// Exchange answers a peer's exchange.
func (t *Task) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	reply := make(chan Message, 1)
	select {
	case t.inbox <- received{req: fromRequest(req), reply: reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.ended:
		return nil, errEnded
	}
	select {
	case m := <-reply:
		return toResponse(m), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.ended:
		return nil, errEnded
	}
}

// Confirm tells whether the daemon at address answers, over a new connection
// if need be. An empty address is this daemon.
func (t *Task) Confirm(ctx context.Context, address string) bool {
	if address == "" {
		return true // asks whether this daemon itself answers
	}
	reached, err := t.client.Confirm(ctx, address, t.group.config.ProbeTimeout/2, "")
	return err == nil && reached
}

// Notice says that an upstream's reclaim or stop was announced, or that it
// refused work because it leaves. A deadline of 0 is unknown.
func (t *Task) Notice(upstream string, deadlineMS int64, from string) {
	v := t.View()
	for _, r := range v.Upstreams {
		if r.Name == upstream && r.State == Leaving && (r.DeadlineMS != 0 || deadlineMS == 0) {
			return
		}
	}
	t.post(observe{event: UpstreamEvent{Name: upstream, Region: v.Self.Region, Event: Noticed, DeadlineMS: deadlineMS, From: from}, only: anyState})
}

// others returns up to n random other live daemons of the region.
func (t *Task) others(n int) []*Record {
	var out []*Record
	v := t.View()
	for _, d := range v.Daemons {
		if d.Name != v.Self.Name && d.Region == v.Self.Region && d.State == Live {
			out = append(out, d)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// post gives m to the task; after the task's end it is dropped.
func (t *Task) post(m message) {
	select {
	case t.inbox <- m:
	case <-t.ended:
	}
}

// Run exchanges records until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	ticker := time.NewTicker(t.group.config.Round)
	defer ticker.Stop()
	urgent := time.NewTimer(0)
	defer urgent.Stop()
	defer t.wg.Wait()
	defer close(t.ended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := time.Now()
			t.start(ctx, now, t.group.Tick(now))
		case <-urgent.C:
			t.start(ctx, time.Now(), t.group.Urgent())
		case m := <-t.inbox:
			m.handle(ctx, t, time.Now())
		}
		t.deliver()
		if t.group.TakeUrgent() {
			urgent.Reset(urgentWait)
		}
	}
}

// start begins an exchange with each target.
func (t *Task) start(ctx context.Context, now time.Time, targets []Target) {
	for _, target := range targets {
		select {
		case t.probes <- struct{}{}:
		default:
			return // all probes hang; their timeouts free the next round's
		}
		req := toRequest(t.group.Request(now, target))
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			defer func() { <-t.probes }()
			t.probe(ctx, now, target, req)
		}()
	}
}

// probe runs one exchange and posts its end.
func (t *Task) probe(ctx context.Context, started time.Time, target Target, req *peerpb.ExchangeRequest) {
	resp, err := t.client.Exchange(ctx, target.Address, t.group.config.ProbeTimeout, req)
	var m message
	if err != nil {
		m = failed{target: target, started: started}
	} else {
		m = answered{target: target, resp: fromResponse(resp)}
	}
	t.postFrom(ctx, m)
}

// confirm asks others whether they reach the target and posts its silence if
// none does.
func (t *Task) confirm(ctx context.Context, target Target, started time.Time, ask []Target) {
	results := make(chan bool, len(ask))
	for _, a := range ask {
		go func() {
			reached, err := t.client.Confirm(ctx, a.Address, t.group.config.ProbeTimeout, target.Address)
			results <- err == nil && reached
		}()
	}
	for range ask {
		if <-results {
			return
		}
	}
	t.postFrom(ctx, silent{target: target, started: started})
}

// postFrom posts from a goroutine that the task waits for.
func (t *Task) postFrom(ctx context.Context, m message) {
	select {
	case t.inbox <- m:
	case <-ctx.Done():
	}
}

// deliver hands fresh records to the subscribers and publishes a new view.
func (t *Task) deliver() {
	fresh, changed := t.group.TakeFresh()
	for _, r := range fresh {
		if r.Kind == Topic {
			t.deliverTopic(r)
			continue
		}
		t.log.Info("member changed", "kind", int(r.Kind), "name", r.Name, "state", r.State, "incarnation", r.Incarnation)
	}
	if changed {
		t.publishView()
	}
}

func (t *Task) deliverTopic(r *Record) {
	topic, from := splitTopic(r.Name)
	t.mu.Lock()
	subscribers := t.topics[topic]
	t.mu.Unlock()
	for _, f := range subscribers {
		f(from, r.Value)
	}
}

func (t *Task) publishView() {
	v := &View{Self: *t.group.Self(), Daemons: t.group.Records(Daemon), Upstreams: t.group.Records(Upstream)}
	t.view.Store(v)
	t.mu.Lock()
	subscribers := t.views
	t.mu.Unlock()
	for _, f := range subscribers {
		f(v)
	}
}

func (t *Task) heardGeneration(generation int64, address string) {
	t.mu.Lock()
	subscribers := t.gens
	t.mu.Unlock()
	for _, f := range subscribers {
		f(generation, address)
	}
}

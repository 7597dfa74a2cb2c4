package members

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/peer"
	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

// Times of the watch over upstreams.
const (
	watchTick        = 100 * time.Millisecond
	watchEvery       = 500 * time.Millisecond // between two reports of one upstream
	silentEvery      = 250 * time.Millisecond // while it is silent
	reportTimeout    = 400 * time.Millisecond
	loadSpreadEvery  = watchEvery            // least time between two spread reports of one upstream
	loadSpreadShare  = 25 * time.Millisecond // that and more for each upstream of the region
	watchPauseGap    = time.Second           // between two ticks, above which this daemon was paused
	upstreamExpiry   = 1500 * time.Millisecond
	loadTopic        = "load"
	reportsAtOnce    = 64
	watchMailboxSize = 1024
)

// UpstreamRef names an upstream to watch.
type UpstreamRef struct {
	Name    string
	Address string
	Zone    string
}

// Report asks the upstream at address for its load, over a new connection if
// fresh is set.
type Report func(ctx context.Context, address string, fresh bool) (routing.LoadReport, error)

// Watch is the task that watches this daemon's share of the region's upstreams
// and spreads their states and loads. Its exported methods may be called from
// any goroutine.
type Watch struct {
	task   *Task
	client *peer.Client
	report Report
	onLoad func(routing.LoadReport)
	log    hclog.Logger
	inbox  chan watchMessage
	names  atomic.Pointer[[]string] // of mine
	ended  chan struct{}            // closed at the end of Run

	// The rest belongs to the task's goroutine.
	refs     []UpstreamRef
	mine     map[string]*watched
	lastTick time.Time
	wokeAt   time.Time
	busy     int
}

// watched is one upstream of this daemon's share.
type watched struct {
	ref      UpstreamRef
	next     time.Time // of the next report
	busy     bool
	silentAt time.Time // since when it is silent
	spreadAt time.Time // of the last spread load
}

// watchMessage is one event of the watch's mailbox.
type watchMessage interface{ handle(w *Watch, now time.Time) }

type setRefs struct{ refs []UpstreamRef }

type reassign struct{}

type reported struct {
	name    string
	started time.Time
	load    routing.LoadReport
	silent  bool
}

// NewWatch returns a watch that tells states to task and loads to onLoad, which
// must not block.
func NewWatch(task *Task, client *peer.Client, report Report, onLoad func(routing.LoadReport), log hclog.Logger) *Watch {
	w := &Watch{
		task:   task,
		client: client,
		report: report,
		onLoad: onLoad,
		log:    log,
		inbox:  make(chan watchMessage, watchMailboxSize),
		mine:   make(map[string]*watched),
		ended:  make(chan struct{}),
	}
	task.Subscribe(loadTopic, w.heardLoad)
	return w
}

// SetUpstreams names the upstreams of the manifest in force.
func (w *Watch) SetUpstreams(refs []UpstreamRef) {
	select {
	case w.inbox <- setRefs{refs: refs}:
	case <-w.ended:
	}
}

// Reassign draws this daemon's share anew after the membership changed. It does
// not block.
func (w *Watch) Reassign() {
	select {
	case w.inbox <- reassign{}:
	default: // the next tick of a full mailbox follows soon
	}
}

// Mine returns the names of the upstreams that this daemon watches.
func (w *Watch) Mine() []string {
	if names := w.names.Load(); names != nil {
		return *names
	}
	return nil
}

// Run watches until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	defer close(w.ended)
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-w.inbox:
			m.handle(w, time.Now())
		case <-ticker.C:
			w.tick(ctx, time.Now())
		}
	}
}

func (w *Watch) tick(ctx context.Context, now time.Time) {
	if gap := now.Sub(w.lastTick); gap > watchPauseGap {
		w.wokeAt = now
		for _, u := range w.mine {
			u.silentAt = time.Time{}
		}
	}
	w.lastTick = now
	for _, u := range w.mine {
		if u.busy || now.Before(u.next) || w.busy >= reportsAtOnce {
			continue
		}
		u.busy = true
		w.busy++
		go w.ask(ctx, u.ref, now)
	}
}

// ask gets one report, over a new connection if the kept one is silent, and has
// other daemons try before it calls the upstream silent.
func (w *Watch) ask(ctx context.Context, ref UpstreamRef, started time.Time) {
	load, err := w.reportWithin(ctx, ref.Address, false)
	if err != nil {
		load, err = w.reportWithin(ctx, ref.Address, true)
	}
	silent := err != nil && !w.confirmed(ctx, ref.Address)
	m := reported{name: ref.Name, started: started, load: load, silent: silent}
	if err != nil && !silent {
		m.load.At = time.Time{} // another daemon reaches it; nothing is known of its load
	}
	select {
	case w.inbox <- m:
	case <-ctx.Done():
	}
}

func (w *Watch) reportWithin(ctx context.Context, address string, fresh bool) (routing.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return w.report(ctx, address, fresh)
}

// Reaches tells whether the upstream at address answers over a new connection.
func (w *Watch) Reaches(ctx context.Context, address string) bool {
	_, err := w.reportWithin(ctx, address, true)
	return err == nil
}

// confirmed tells whether another daemon reaches the upstream at address.
func (w *Watch) confirmed(ctx context.Context, address string) bool {
	ask := w.task.others(2)
	results := make(chan bool, len(ask))
	for _, d := range ask {
		go func() {
			ok, err := w.client.ConfirmUpstream(ctx, d.Address, 2*reportTimeout, address)
			results <- err == nil && ok
		}()
	}
	for range ask {
		if <-results {
			return true
		}
	}
	return false
}

func (m setRefs) handle(w *Watch, now time.Time) {
	w.refs = m.refs
	keep := make(map[string]bool, len(m.refs))
	for _, r := range m.refs {
		keep[r.Name] = true
	}
	w.task.post(forget{keep: keep})
	reassign{}.handle(w, now)
}

func (reassign) handle(w *Watch, _ time.Time) {
	v := w.task.View()
	daemons, zones := region(v)
	mine := make(map[string]*watched)
	for _, r := range w.refs {
		if reg, known := zones[r.Zone]; known && reg != v.Self.Region || watcherOf(r.Name, daemons) != v.Self.Name {
			continue
		}
		u := w.mine[r.Name]
		if u == nil || u.ref != r {
			u = &watched{ref: r}
		}
		mine[r.Name] = u
	}
	w.mine = mine
	names := slices.Sorted(maps.Keys(mine))
	w.names.Store(&names)
}

// region returns the daemons of v's region that may watch, and the region of
// each zone in which daemons run.
func region(v *View) ([]*Record, map[string]string) {
	var daemons []*Record
	zones := make(map[string]string)
	for _, d := range v.Daemons {
		zones[d.Zone] = d.Region
		if d.Region == v.Self.Region && (d.State <= Suspect || d.Name == v.Self.Name) {
			daemons = append(daemons, d)
		}
	}
	zones[v.Self.Zone] = v.Self.Region
	return daemons, zones
}

func (m reported) handle(w *Watch, now time.Time) {
	w.busy--
	u := w.mine[m.name]
	if u == nil {
		return
	}
	u.busy = false
	u.next = m.started.Add(watchEvery)
	if m.silent {
		w.silent(u, m.started, now)
		return
	}
	u.silentAt = time.Time{}
	if m.load.At.IsZero() {
		return
	}
	w.observe(u, Answered, m.load.Epoch, 0)
	if m.load.Leaving {
		w.observe(u, Noticed, m.load.Epoch, now.UnixMilli()+m.load.LeavingInMS)
	}
	m.load.Upstream = m.name
	w.onLoad(m.load)
	w.spread(u, &m.load, now)
}

// silent counts silence that this daemon did not sleep through.
func (w *Watch) silent(u *watched, started, now time.Time) {
	u.next = now.Add(silentEvery)
	if !started.After(w.wokeAt) || now.Sub(started) > 4*reportTimeout+watchPauseGap {
		return
	}
	if u.silentAt.IsZero() {
		u.silentAt = now
	}
	if now.Sub(u.silentAt) < upstreamExpiry {
		w.observe(u, Silent, 0, 0)
		return
	}
	w.task.post(observe{event: w.event(u, Expired, 0, 0), only: Suspect})
}

func (w *Watch) observe(u *watched, e chart.Event, epoch, deadlineMS int64) {
	w.task.post(observe{event: w.event(u, e, epoch, deadlineMS), only: anyState})
}

func (w *Watch) event(u *watched, e chart.Event, epoch, deadlineMS int64) UpstreamEvent {
	return UpstreamEvent{Name: u.ref.Name, Region: w.task.View().Self.Region, Zone: u.ref.Zone, Event: e, Epoch: epoch, DeadlineMS: deadlineMS, From: u.ref.Address}
}

// spread tells the region's daemons the load: at once while few upstreams
// share the bytes, and more rarely the more there are.
func (w *Watch) spread(u *watched, l *routing.LoadReport, now time.Time) {
	every := max(loadSpreadEvery, loadSpreadShare*time.Duration(len(w.refs)))
	if now.Sub(u.spreadAt) < every {
		return
	}
	u.spreadAt = now
	value, err := proto.Marshal(&peerpb.Load{
		AtMs: l.At.UnixMilli(), Epoch: l.Epoch, Running: int32(l.Running), Waiting: int32(l.Waiting),
		WaitingTokens: int32(l.WaitingTokens), KvUsed: int32(l.KVUsed), KvCapacity: int32(l.KVCapacity),
	})
	if err != nil {
		w.log.Error("load not encoded", "upstream", u.ref.Name, "error", err)
		return
	}
	w.task.Set(Record{
		Key:         Key{Topic, joinTopic(loadTopic, u.ref.Name)},
		Incarnation: l.Epoch, Version: uint64(l.At.UnixMilli()),
		Region: w.task.View().Self.Region, Value: value,
	})
}

// heardLoad takes in a load that another daemon spread, on the membership
// task's goroutine.
func (w *Watch) heardLoad(upstream string, value []byte) {
	var l peerpb.Load
	if err := proto.Unmarshal(value, &l); err != nil {
		w.log.Warn("load not understood", "upstream", upstream, "error", err)
		return
	}
	w.onLoad(routing.LoadReport{
		Upstream: upstream, At: time.UnixMilli(l.AtMs), Epoch: l.Epoch, Running: int(l.Running), Waiting: int(l.Waiting),
		WaitingTokens: int(l.WaitingTokens), KVUsed: int(l.KvUsed), KVCapacity: int(l.KvCapacity),
	})
}

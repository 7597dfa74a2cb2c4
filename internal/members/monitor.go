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

// Intervals and limits of the upstream monitor.
const (
	monitorTick             = 100 * time.Millisecond
	pollInterval            = 500 * time.Millisecond // between polls of one upstream
	unreachablePollInterval = 250 * time.Millisecond // between polls of an unreachable upstream
	pollTimeout             = 400 * time.Millisecond
	loadPublishInterval     = pollInterval            // minimum time between published loads of one upstream
	loadPublishPerUpstream  = 25 * time.Millisecond   // multiplied by the number of upstreams; used if longer than loadPublishInterval
	monitorPauseThreshold   = time.Second             // a longer gap between ticks means that this daemon was paused
	upstreamDeadAfter       = 1500 * time.Millisecond // time without a successful poll after which an upstream is dead
	loadTopic               = "load"
	maxPolls                = 64 // in flight at the same time
	monitorMailboxSize      = 1024
)

// UpstreamRef is an upstream to monitor.
type UpstreamRef struct {
	Name    string
	Address string
	Zone    string
}

// FetchLoad requests the load of the upstream at address, over a new connection
// if newConn is set.
type FetchLoad func(ctx context.Context, address string, newConn bool) (routing.LoadReport, error)

// Monitor polls the region's upstreams that are assigned to this daemon and
// publishes their states and loads. Its exported methods may be called from any
// goroutine.
type Monitor struct {
	gossiper      *Gossiper
	client        *peer.Client
	fetchLoad     FetchLoad
	onLoad        func(routing.LoadReport)
	log           hclog.Logger
	mailbox       chan monitorMessage
	assignedNames atomic.Pointer[[]string] // names of assigned, sorted
	stopped       chan struct{}            // closed at the end of Run

	// The fields below are used only by Run's goroutine.
	refs      []UpstreamRef
	assigned  map[string]*monitoredUpstream
	lastTick  time.Time
	resumedAt time.Time
	inFlight  int
}

// monitoredUpstream is an upstream that is assigned to this daemon.
type monitoredUpstream struct {
	ref              UpstreamRef
	nextPoll         time.Time // time of the next poll
	inFlight         bool
	unreachableSince time.Time // zero while it is reachable
	publishedAt      time.Time // time of the last published load
}

// monitorMessage is an event in the Monitor's mailbox.
type monitorMessage interface {
	handle(mon *Monitor, now time.Time)
}

type setRefs struct{ refs []UpstreamRef }

type reassign struct{}

type pollResult struct {
	name        string
	started     time.Time
	load        routing.LoadReport
	unreachable bool
}

// NewMonitor returns a Monitor that sends states and loads to the other daemons
// through gossiper. It calls onLoad, which must not block, with the loads that it
// fetches and those that other daemons publish.
func NewMonitor(gossiper *Gossiper, client *peer.Client, fetchLoad FetchLoad, onLoad func(routing.LoadReport), log hclog.Logger) *Monitor {
	mon := &Monitor{
		gossiper:  gossiper,
		client:    client,
		fetchLoad: fetchLoad,
		onLoad:    onLoad,
		log:       log,
		mailbox:   make(chan monitorMessage, monitorMailboxSize),
		assigned:  make(map[string]*monitoredUpstream),
		stopped:   make(chan struct{}),
	}
	gossiper.Subscribe(loadTopic, mon.receiveLoad)
	return mon
}

// SetUpstreams sets the upstreams of the manifest in force, of all regions.
func (mon *Monitor) SetUpstreams(refs []UpstreamRef) {
	select {
	case mon.mailbox <- setRefs{refs: refs}:
	case <-mon.stopped:
	}
}

// Reassign recomputes the upstreams assigned to this daemon after the membership
// changed. It does not block.
func (mon *Monitor) Reassign() {
	select {
	case mon.mailbox <- reassign{}:
	default: // mailbox full; the request is dropped
	}
}

// Assigned returns the names of the upstreams that this daemon monitors.
func (mon *Monitor) Assigned() []string {
	if names := mon.assignedNames.Load(); names != nil {
		return *names
	}
	return nil
}

// Run polls the assigned upstreams until ctx ends.
func (mon *Monitor) Run(ctx context.Context) error {
	defer close(mon.stopped)
	ticker := time.NewTicker(monitorTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-mon.mailbox:
			m.handle(mon, time.Now())
		case <-ticker.C:
			mon.tick(ctx, time.Now())
		}
	}
}

func (mon *Monitor) tick(ctx context.Context, now time.Time) {
	if gap := now.Sub(mon.lastTick); gap > monitorPauseThreshold {
		mon.resumedAt = now
		for _, u := range mon.assigned {
			u.unreachableSince = time.Time{}
		}
	}
	mon.lastTick = now
	for _, u := range mon.assigned {
		if u.inFlight || now.Before(u.nextPoll) || mon.inFlight >= maxPolls {
			continue
		}
		u.inFlight = true
		mon.inFlight++
		go mon.poll(ctx, u.ref, now)
	}
}

// poll fetches the load of one upstream and posts the result. If the kept-alive
// connection fails it tries a new one, and if that fails too it asks other
// daemons before it reports the upstream unreachable.
func (mon *Monitor) poll(ctx context.Context, ref UpstreamRef, started time.Time) {
	load, err := mon.fetchWithTimeout(ctx, ref.Address, false)
	if err != nil {
		load, err = mon.fetchWithTimeout(ctx, ref.Address, true)
	}
	unreachable := err != nil && !mon.confirmedByPeer(ctx, ref.Address)
	m := pollResult{name: ref.Name, started: started, load: load, unreachable: unreachable}
	if err != nil && !unreachable {
		m.load.At = time.Time{} // reachable from another daemon, but its load is unknown
	}
	select {
	case mon.mailbox <- m:
	case <-ctx.Done():
	}
}

func (mon *Monitor) fetchWithTimeout(ctx context.Context, address string, newConn bool) (routing.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return mon.fetchLoad(ctx, address, newConn)
}

// Reaches reports whether the upstream at address responds over a new connection.
func (mon *Monitor) Reaches(ctx context.Context, address string) bool {
	_, err := mon.fetchWithTimeout(ctx, address, true)
	return err == nil
}

// confirmedByPeer reports whether another daemon reaches the upstream at address.
func (mon *Monitor) confirmedByPeer(ctx context.Context, address string) bool {
	peers := mon.gossiper.randomPeers(2)
	results := make(chan bool, len(peers))
	for _, d := range peers {
		go func() {
			ok, err := mon.client.ConfirmUpstream(ctx, d.Address, 2*pollTimeout, address)
			results <- err == nil && ok
		}()
	}
	for range peers {
		if <-results {
			return true
		}
	}
	return false
}

func (m setRefs) handle(mon *Monitor, now time.Time) {
	mon.refs = m.refs
	keep := make(map[string]bool, len(m.refs))
	for _, r := range m.refs {
		keep[r.Name] = true
	}
	mon.gossiper.post(retainUpstreams{keep: keep})
	reassign{}.handle(mon, now)
}

func (reassign) handle(mon *Monitor, _ time.Time) {
	v := mon.gossiper.View()
	daemons, zones := regionMonitors(v)
	assigned := make(map[string]*monitoredUpstream)
	for _, r := range mon.refs {
		if reg, known := zones[r.Zone]; known && reg != v.Self.Region || monitorOf(r.Name, daemons) != v.Self.Name {
			continue
		}
		u := mon.assigned[r.Name]
		if u == nil || u.ref != r {
			u = &monitoredUpstream{ref: r}
		}
		assigned[r.Name] = u
	}
	mon.assigned = assigned
	names := slices.Sorted(maps.Keys(assigned))
	mon.assignedNames.Store(&names)
}

// regionMonitors returns the daemons of this region that may monitor upstreams,
// and a map from each zone with daemons to its region.
func regionMonitors(v *View) ([]*Record, map[string]string) {
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

func (m pollResult) handle(mon *Monitor, now time.Time) {
	mon.inFlight--
	u := mon.assigned[m.name]
	if u == nil {
		return
	}
	u.inFlight = false
	u.nextPoll = m.started.Add(pollInterval)
	if m.unreachable {
		mon.handleUnreachable(u, m.started, now)
		return
	}
	u.unreachableSince = time.Time{}
	if m.load.At.IsZero() {
		return
	}
	mon.postEvent(u, EventAnswered, m.load.Incarnation, 0)
	if m.load.Leaving {
		mon.postEvent(u, EventNotice, m.load.Incarnation, now.UnixMilli()+m.load.LeavingInMS)
	}
	m.load.Upstream = m.name
	mon.onLoad(m.load)
	mon.publishLoad(u, &m.load, now)
}

// handleUnreachable records a failed poll and marks the upstream suspect, or dead
// after upstreamDeadAfter. Polls during which this daemon was paused are ignored.
func (mon *Monitor) handleUnreachable(u *monitoredUpstream, started, now time.Time) {
	u.nextPoll = now.Add(unreachablePollInterval)
	if !started.After(mon.resumedAt) || now.Sub(started) > 4*pollTimeout+monitorPauseThreshold {
		return
	}
	if u.unreachableSince.IsZero() {
		u.unreachableSince = now
	}
	if now.Sub(u.unreachableSince) < upstreamDeadAfter {
		mon.postEvent(u, EventSilent, 0, 0)
		return
	}
	mon.gossiper.post(upstreamObserved{event: mon.newEvent(u, EventExpired, 0, 0), requireState: Suspect})
}

func (mon *Monitor) postEvent(u *monitoredUpstream, e chart.Event, incarnation, deadlineMS int64) {
	mon.gossiper.post(upstreamObserved{event: mon.newEvent(u, e, incarnation, deadlineMS), requireState: anyState})
}

func (mon *Monitor) newEvent(u *monitoredUpstream, e chart.Event, incarnation, deadlineMS int64) UpstreamEvent {
	return UpstreamEvent{Name: u.ref.Name, Region: mon.gossiper.View().Self.Region, Zone: u.ref.Zone, Event: e, Incarnation: incarnation, DeadlineMS: deadlineMS, Source: u.ref.Address}
}

// publishLoad sends the load to the daemons of the region. The minimum interval
// grows with the number of upstreams, so that the total traffic stays bounded.
func (mon *Monitor) publishLoad(u *monitoredUpstream, l *routing.LoadReport, now time.Time) {
	interval := max(loadPublishInterval, loadPublishPerUpstream*time.Duration(len(mon.refs)))
	if now.Sub(u.publishedAt) < interval {
		return
	}
	u.publishedAt = now
	value, err := proto.Marshal(&peerpb.Load{
		AtMs: l.At.UnixMilli(), Epoch: l.Incarnation, Running: int32(l.Running), Waiting: int32(l.Waiting),
		WaitingTokens: int32(l.WaitingTokens), KvUsed: int32(l.KVUsed), KvCapacity: int32(l.KVCapacity),
	})
	if err != nil {
		mon.log.Error("encoding the load of an upstream failed", "upstream", u.ref.Name, "error", err)
		return
	}
	mon.gossiper.Set(Record{
		Key:         Key{Topic, joinTopic(loadTopic, u.ref.Name)},
		Incarnation: l.Incarnation, Version: uint64(l.At.UnixMilli()),
		Region: mon.gossiper.View().Self.Region, Value: value,
	})
}

// receiveLoad passes on a load that another daemon published. It runs on the
// Gossiper's goroutine.
func (mon *Monitor) receiveLoad(upstream string, value []byte) {
	var l peerpb.Load
	if err := proto.Unmarshal(value, &l); err != nil {
		mon.log.Warn("decoding the published load of an upstream failed", "upstream", upstream, "error", err)
		return
	}
	mon.onLoad(routing.LoadReport{
		Upstream: upstream, At: time.UnixMilli(l.AtMs), Incarnation: l.Epoch, Running: int(l.Running), Waiting: int(l.Waiting),
		WaitingTokens: int(l.WaitingTokens), KVUsed: int(l.KvUsed), KVCapacity: int(l.KvCapacity),
	})
}

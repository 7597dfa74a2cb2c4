package members

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/chart"
)

// Events of the upstream state chart.
const (
	EventAnswered  chart.Event = "answered"  // the upstream reported its load
	EventRestarted chart.Event = "restarted" // it reported its load with a higher incarnation
	EventSilent    chart.Event = "silent"    // unreachable from the monitoring daemon, over a new connection too, and from the peers it asked
	EventExpired   chart.Event = "expired"   // unreachable for upstreamDeadAfter
	EventNotice    chart.Event = "notice"    // the reclaim or stop of its VM was announced
)

var upstreamChart = chart.MustLoad("upstream")

// chartStates maps the states of the upstream chart to member states.
var chartStates = map[chart.State]State{"live": Live, "suspect": Suspect, "leaving": Leaving, "dead": Dead}

// UpstreamEvent is an observation of an upstream by this daemon.
type UpstreamEvent struct {
	Name        string
	Region      string
	Zone        string
	Event       chart.Event
	Incarnation int64  // increases when the upstream restarts; 0 if unknown
	DeadlineMS  int64  // of a notice, unix ms; 0 if unknown
	Source      string // upstream address or name of the reporter, for logs and errors
}

// nextUpstreamRecord returns the record that replaces old after event e. old may
// be nil. It returns nil if e changes nothing, and an error if the chart has no
// transition for e.
func nextUpstreamRecord(old *Record, e UpstreamEvent) (*Record, error) {
	state := upstreamChart.Initial()
	next := Record{Key: Key{Upstream, e.Name}, Region: e.Region, Zone: e.Zone}
	if old != nil {
		state, next = chart.State(old.State.String()), *old
	}
	event := e.Event
	if event == EventAnswered && old != nil && e.Incarnation > old.Incarnation && old.Incarnation != 0 {
		event = EventRestarted
	}
	nextState, err := upstreamChart.Next(state, event, "watch upstream "+e.Name, e.Source)
	if err != nil {
		return nil, err
	}
	next.State = chartStates[nextState]
	next.Incarnation = max(next.Incarnation, e.Incarnation)
	if event == EventRestarted {
		next.DeadlineMS = 0
	}
	if next.DeadlineMS == 0 {
		next.DeadlineMS = e.DeadlineMS
	}
	if old != nil && next.State == old.State && next.Incarnation == old.Incarnation && next.DeadlineMS == old.DeadlineMS {
		return nil, nil
	}
	next.Version++
	return &next, nil
}

// ApplyEvent applies an event of an upstream and reports whether it changed the
// upstream's record.
func (g *Group) ApplyEvent(now time.Time, e UpstreamEvent) (bool, error) {
	next, err := nextUpstreamRecord(g.Get(Key{Upstream, e.Name}), e)
	if err != nil || next == nil {
		return false, err
	}
	g.merge(now, *next)
	return true, nil
}

// retainUpstreams drops the records of upstreams that are not in keep.
func (g *Group) retainUpstreams(keep map[string]bool) {
	for k, e := range g.entries {
		if k.Kind == Upstream && !keep[k.Name] {
			g.updateTotals(e.rec, -1)
			delete(g.entries, k)
		}
	}
}

// monitorOf returns the name of the daemon that monitors the upstream, by
// rendezvous hashing: the daemon whose name hashes highest together with the
// upstream's. All daemons agree on it without messages, and few upstreams change
// their monitor when a daemon joins or leaves.
func monitorOf(upstream string, daemons []*Record) string {
	var monitor string
	var highest uint64
	for _, d := range daemons {
		if h := xxhash.Sum64String(d.Name + "/" + upstream); monitor == "" || h > highest {
			monitor, highest = d.Name, h
		}
	}
	return monitor
}

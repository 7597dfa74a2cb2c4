package members

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/chart"
)

// Events of the chart of an upstream.
const (
	EventAnswered  chart.Event = "answered"  // it reported its load
	EventRestarted chart.Event = "restarted" // with another epoch
	EventSilent    chart.Event = "silent"    // to the watcher, over a new connection, and to those it asked
	EventExpired   chart.Event = "expired"   // silent for the suspicion time
	EventNotice    chart.Event = "notice"    // its reclaim or stop was announced
)

var upstreamChart = chart.MustLoad("upstream")

// chartStates names the chart's states of an upstream for each State.
var chartStates = map[chart.State]State{"live": Live, "suspect": Suspect, "leaving": Leaving, "dead": Dead}

// UpstreamEvent is something that a daemon learnt of an upstream.
type UpstreamEvent struct {
	Name       string
	Region     string
	Zone       string
	Event      chart.Event
	Epoch      int64  // 0 is unknown
	DeadlineMS int64  // of a notice, unix time; 0 is unknown
	Source     string // whence it was learnt
}

// nextUpstreamRecord returns the record that follows old, which may be nil, on e. It
// returns nil if nothing changes, and an error if the chart does not allow the
// event.
func nextUpstreamRecord(old *Record, e UpstreamEvent) (*Record, error) {
	state := upstreamChart.Initial()
	next := Record{Key: Key{Upstream, e.Name}, Region: e.Region, Zone: e.Zone}
	if old != nil {
		state, next = chart.State(old.State.String()), *old
	}
	event := e.Event
	if event == EventAnswered && old != nil && e.Epoch > old.Incarnation && old.Incarnation != 0 {
		event = EventRestarted
	}
	nextState, err := upstreamChart.Next(state, event, "watch upstream "+e.Name, e.Source)
	if err != nil {
		return nil, err
	}
	next.State = chartStates[nextState]
	next.Incarnation = max(next.Incarnation, e.Epoch)
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

// ApplyEvent takes in an event of an upstream and tells whether it changed
// anything.
func (g *Group) ApplyEvent(now time.Time, e UpstreamEvent) (bool, error) {
	next, err := nextUpstreamRecord(g.Get(Key{Upstream, e.Name}), e)
	if err != nil || next == nil {
		return false, err
	}
	g.merge(now, *next)
	return true, nil
}

// retainUpstreams drops the records of upstreams that keep does not hold.
func (g *Group) retainUpstreams(keep map[string]bool) {
	for k, e := range g.entries {
		if k.Kind == Upstream && !keep[k.Name] {
			g.updateTotals(e.rec, -1)
			delete(g.entries, k)
		}
	}
}

// monitorOf returns which of the daemons watches the upstream: the one with the
// highest hash of both names, so that all daemons agree without a message and
// few upstreams move when a daemon comes or goes.
func monitorOf(upstream string, daemons []*Record) string {
	var watcher string
	var highest uint64
	for _, d := range daemons {
		if h := xxhash.Sum64String(d.Name + "/" + upstream); watcher == "" || h > highest {
			watcher, highest = d.Name, h
		}
	}
	return watcher
}

package node

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/throttle"
)

// upstreamThrottle connects package throttle with the mesh, the logs and the metrics. It
// implements proxy.Throttle and throttle.Peers.
type upstreamThrottle struct {
	node *Node
	gate *throttle.Gate

	granted, refused, undecided atomic.Int64 // answers to this daemon's own questions

	mu        sync.Mutex
	responses map[string]int64 // responses that named a rate, by upstream ID
}

func newUpstreamThrottle(n *Node) *upstreamThrottle {
	t := &upstreamThrottle{node: n, responses: make(map[string]int64)}
	t.gate = &throttle.Gate{Limits: throttle.NewLimits(), Buckets: throttle.NewBuckets(), Peers: t, Clock: boottime.Now}
	return t
}

// RateNamed implements proxy.Throttle.
func (t *upstreamThrottle) RateNamed(u *roster.Upstream, rate float64) {
	t.mu.Lock()
	if len(t.responses) >= maxSeries {
		clear(t.responses) // most entries are of upstreams that are gone
	}
	t.responses[u.ID]++
	t.mu.Unlock()
	if t.gate.Limits.Named(u.Key(), rate, boottime.Now()) {
		t.logLimit(u.Key(), rate, t.node.Name)
	}
}

// NoRateNamed implements proxy.Throttle.
func (t *upstreamThrottle) NoRateNamed(u *roster.Upstream, sentAt time.Duration) {
	if t.gate.Limits.NotNamed(u.Key(), sentAt, boottime.Now()) {
		t.logLimit(u.Key(), 0, t.node.Name)
	}
}

// Acquire implements proxy.Throttle.
func (t *upstreamThrottle) Acquire(ctx context.Context, u *roster.Upstream) (wait time.Duration, err error) {
	d, limited, err := t.gate.Acquire(ctx, u.Key())
	switch {
	case !limited:
	case err != nil:
		t.undecided.Add(1)
	case d.Admit:
		t.granted.Add(1)
	default:
		t.refused.Add(1)
	}
	return d.Wait, err
}

// merge adds the limits that another daemon has sent.
func (t *upstreamThrottle) merge(list []*meshpb.Limit, from string) {
	if len(list) == 0 {
		return
	}
	statements := make([]throttle.Statement, len(list))
	for i, l := range list {
		statements[i] = throttle.Statement{Hash: l.Upstream, Rate: l.Rate, Age: time.Duration(l.AgeMs) * time.Millisecond}
	}
	for _, l := range t.gate.Limits.Merge(statements, t.node.roster.roster(), boottime.Now()) {
		t.logLimit(l.Upstream, l.Rate, from)
	}
}

// logLimit logs that an upstream's limit changed. toldBy is the daemon that received the
// response or passed the statement on.
func (t *upstreamThrottle) logLimit(k roster.Key, rate float64, toldBy string) {
	t.node.log.Info("upstream limit", "upstream", k.ID, "born", k.Incarnation, "rate", rate, "told_by", toldBy)
}

// prune drops what is known about upstreams that are gone.
func (t *upstreamThrottle) prune() {
	now := boottime.Now()
	t.gate.Limits.Update(t.node.roster.roster(), now)
	t.gate.Buckets.Prune(now)
}

// rates returns the rates of the upstreams of a service that name one.
func (t *upstreamThrottle) rates(service string) []float64 {
	var list []float64
	for _, u := range t.node.roster.roster().Usable(service) {
		if rate, limited := t.gate.Limits.Rate(throttle.Hash(u.Key())); limited {
			list = append(list, rate)
		}
	}
	return list
}

// Arbiter implements throttle.Peers.
func (t *upstreamThrottle) Arbiter(upstream uint64) (address string, self bool) {
	return t.node.mesh.Arbiter(upstream)
}

// Counts implements throttle.Peers.
func (t *upstreamThrottle) Counts() (all, reachable int) { return t.node.mesh.CountSenders() }

// Ask implements throttle.Peers.
func (t *upstreamThrottle) Ask(ctx context.Context, address string, q throttle.Question) (throttle.Decision, error) {
	a, err := t.node.mesh.AskDaemon(ctx, address, &meshpb.Question{Upstream: q.Upstream, Rate: q.Rate, Relayed: q.Relayed})
	if err != nil {
		return throttle.Decision{}, err
	}
	if a.Upstream != q.Upstream {
		return throttle.Decision{}, errors.Errorf("daemon at %s does not answer questions about upstreams", address)
	}
	return throttle.Decision{Admit: a.Ok, Wait: time.Duration(a.WaitMs) * time.Millisecond}, nil
}

// answer answers another daemon's question about an upstream's rate.
func (t *upstreamThrottle) answer(ctx context.Context, q *meshpb.Question) *meshpb.Answer {
	d := t.gate.Answer(ctx, throttle.Question{Upstream: q.Upstream, Rate: q.Rate, Relayed: q.Relayed})
	return &meshpb.Answer{Ok: d.Admit, WaitMs: d.Wait.Milliseconds(), Upstream: q.Upstream}
}

// writeMetrics writes the limits in force and the counters.
func (t *upstreamThrottle) writeMetrics(w io.Writer) {
	for _, l := range t.gate.Limits.All() {
		if l.Upstream.ID != "" {
			_, _ = fmt.Fprintf(w, "lagoonmux_upstream_limit{upstream=%q} %g\n", l.Upstream.ID, l.Rate)
		}
	}
	_, _ = fmt.Fprintf(w, "lagoonmux_permits_granted_total %d\nlagoonmux_permits_refused_total %d\nlagoonmux_permits_undecided_total %d\n",
		t.granted.Load(), t.refused.Load(), t.undecided.Load())
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, n := range t.responses {
		_, _ = fmt.Fprintf(w, "lagoonmux_limited_responses_total{upstream=%q} %d\n", id, n)
	}
}

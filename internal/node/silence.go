package node

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/netopt"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/silence"
	"github.com/lagoonmux/lagoonmux/internal/throttle"
)

const (
	// checkTimeout bounds a check whether an upstream responds. Its callers wait for the check
	// if other upstreams fell silent under their request.
	checkTimeout = 300 * time.Millisecond
	// askDelay is the time after which another daemon is asked about an upstream that has not
	// responded to a check yet.
	askDelay = 50 * time.Millisecond
	// maxChecks bounds the checks at the same time.
	maxChecks = 32
	// checkAge is how long the outcome of a check is used for other daemons' questions.
	checkAge = 2 * time.Second
)

// response is the outcome of a check.
type response int

const (
	responds response = iota
	refuses           // nothing listens at its address: it has ended
	silent
)

// outcome is that of a check for another daemon.
type outcome struct {
	silence meshpb.Silence
	at      time.Duration // boot time
}

// silenceMonitor checks upstreams that send nothing, and records those as ended that do not respond
// to other daemons either.
type silenceMonitor struct {
	node    *Node
	watch   *silence.Watch
	probes  singleflight.Group // by upstream
	running atomic.Int64       // checks

	mu       sync.Mutex
	outcomes map[uint64]outcome // of checks for other daemons, by hash of the upstream

	checks, reported, withdrawn, avoided atomic.Int64
}

func newSilenceMonitor(n *Node) *silenceMonitor {
	return &silenceMonitor{node: n, watch: silence.New(), outcomes: make(map[uint64]outcome)}
}

// lookup returns the entry of an upstream, nil if there is none.
func (m *silenceMonitor) lookup(id string) *roster.Upstream { return m.node.roster.roster().Get(id) }

// tick starts the checks that are due, and withdraws evidence that was wrong.
func (m *silenceMonitor) tick(ctx context.Context) {
	a := m.watch.Tick(m.lookup, boottime.Now())
	for _, u := range a.Withdraw {
		m.withdrawn.Add(1)
		m.node.log.Warn("silent upstream sends again", "upstream", u.ID, "born", u.Incarnation)
		m.node.quarantine.withdraw(throttle.Hash(u.Key()))
	}
	for _, u := range a.Check {
		if m.running.Add(1) > maxChecks {
			m.running.Add(-1)
			continue // it is due again soon
		}
		go func() {
			defer m.running.Add(-1)
			defer invariant.Recover(m.node.log, "check an upstream that is silent")
			m.check(ctx, u)
		}()
	}
}

// check finds out whether an upstream has ended, and records that.
func (m *silenceMonitor) check(ctx context.Context, u *roster.Upstream) {
	var p peerReport
	probed := make(chan response, 1)
	go func() { probed <- m.probe(ctx, u) }()
	var r response
	select {
	case r = <-probed:
	case <-time.After(askDelay):
		p = m.ask(ctx, u)
		r = <-probed
	}
	lost := m.lostEntry(u)
	switch {
	case r == refuses:
		m.report(u, p.receivedAt, lost)
	case r == silent && (p.silence == meshpb.Silence_SILENT || lost):
		m.report(u, p.receivedAt, true)
	}
}

// lostEntry reports whether the store answers and has no entry of the upstream. It removes those of
// upstreams that it has not heard of for some seconds.
func (m *silenceMonitor) lostEntry(u *roster.Upstream) bool {
	known := m.lookup(u.ID)
	return (known == nil || known.Key() != u.Key()) && m.node.StoreUp() > 0
}

// report records the end of an upstream under the requests that wait for it. onlySilent is set if
// it may send something again.
func (m *silenceMonitor) report(u *roster.Upstream, receivedAt time.Duration, onlySilent bool) {
	if entry := m.lookup(u.ID); entry != nil && entry.Leaving {
		return
	}
	list := m.watch.Take(u.Key(), receivedAt, boottime.Now())
	if len(list) > 0 {
		m.reported.Add(1)
	}
	for _, w := range list {
		w.End.Upstream = throttle.Hash(u.Key())
		w.End.Silent = onlySilent || w.End.Doubtful
		if w.Left {
			m.node.log.Info("silent upstream is no evidence", "upstream", u.ID, "id", w.ID, "reason", "it has left")
			continue
		}
		m.node.quarantine.recordSilence(u, w)
	}
}

// probe asks an upstream whether it works, over a new connection. Any byte is a response.
func (m *silenceMonitor) probe(ctx context.Context, u *roster.Upstream) response {
	result, _, _ := m.probes.Do(u.ID+strconv.FormatInt(u.Incarnation, 10), func() (any, error) {
		m.checks.Add(1)
		r := m.sendCheck(context.WithoutCancel(ctx), u)
		if r == responds {
			m.watch.Responded(u, boottime.Now())
		}
		return r, nil
	})
	r, _ := result.(response)
	return r
}

// sendCheck sends a check and waits for the first byte of the response.
func (m *silenceMonitor) sendCheck(ctx context.Context, u *roster.Upstream) response {
	c, err := netopt.Dial(ctx, u.Address, checkTimeout, checkTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return refuses
	case err != nil:
		return silent
	}
	defer func() { _ = c.Close() }()
	catalog := m.node.proxy.Catalog()
	if catalog == nil || catalog.Services[u.Service] == nil {
		return responds // it accepts connections, and nothing else is known about its service
	}
	_ = c.SetDeadline(time.Now().Add(checkTimeout))
	if _, err = c.Write(m.node.EncodeCheck(catalog.Services[u.Service], u)); err != nil {
		return responds // it closed the connection
	}
	var b [1]byte
	if _, err = c.Read(b[:]); isTimeout(err) {
		return silent
	}
	return responds
}

// isTimeout reports whether err is a timeout, also one of the kernel.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// peerReport is what another daemon knows about an upstream.
type peerReport struct {
	silence    meshpb.Silence
	receivedAt time.Duration // boot time; 0 if unknown
}

// witnessPause is the time until a question is repeated that the other daemon could not answer at
// once: it checks the upstream then.
const witnessPause = checkTimeout + 50*time.Millisecond

// ask asks another daemon whether an upstream responds to it.
func (m *silenceMonitor) ask(ctx context.Context, u *roster.Upstream) (p peerReport) {
	hash := throttle.Hash(u.Key())
	address := m.node.mesh.Witness(hash, int(m.checks.Load()))
	if address == "" {
		return p
	}
	for range 2 {
		a, err := m.node.mesh.AskDaemon(ctx, address, &meshpb.Question{Silent: hash})
		if err != nil {
			m.node.log.Info("no answer about a silent upstream", "upstream", u.ID, "daemon", address, "error", err)
			return p
		}
		p.silence = a.Silence
		if a.ReceivedAgeMs > 0 {
			p.receivedAt = boottime.Now() - time.Duration(a.ReceivedAgeMs)*time.Millisecond
		}
		if p.silence != meshpb.Silence_UNKNOWN {
			return p
		}
		time.Sleep(witnessPause)
	}
	return p
}

// answer answers another daemon's question whether an upstream responds. Without a recent response
// or check it starts a check, and the outcome is the answer to the next question.
func (m *silenceMonitor) answer(q *meshpb.Question) *meshpb.Answer {
	u := m.byHash(q.Silent)
	if u == nil {
		return &meshpb.Answer{}
	}
	now := boottime.Now()
	a := &meshpb.Answer{}
	if at := m.watch.LastReceived(u.Key()); at > 0 {
		a.ReceivedAgeMs = uint32(max(now-at, time.Millisecond).Milliseconds())
		if now-at < silence.Fresh {
			a.Silence = meshpb.Silence_RESPONDS
			return a
		}
	}
	m.mu.Lock()
	maps.DeleteFunc(m.outcomes, func(_ uint64, o outcome) bool { return now-o.at > checkAge })
	o, ok := m.outcomes[q.Silent]
	m.mu.Unlock()
	if ok {
		a.Silence = o.silence
		return a
	}
	if m.running.Add(1) > maxChecks {
		m.running.Add(-1)
		return a
	}
	go func() {
		defer m.running.Add(-1)
		defer invariant.Recover(m.node.log, "check an upstream for another daemon")
		o := outcome{silence: meshpb.Silence_SILENT}
		if m.probe(context.Background(), u) == responds {
			o.silence = meshpb.Silence_RESPONDS
		}
		o.at = boottime.Now()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.outcomes[q.Silent] = o
	}()
	return a
}

// byHash returns the upstream with a hash, nil if it has no entry.
func (m *silenceMonitor) byHash(hash uint64) *roster.Upstream {
	for _, u := range m.node.roster.roster().All() {
		if throttle.Hash(u.Key()) == hash {
			return u
		}
	}
	return nil
}

// respondsNow reports whether an upstream has just sent something, or responds to a check.
func (m *silenceMonitor) respondsNow(ctx context.Context, u *roster.Upstream) bool {
	if boottime.Now()-m.watch.LastReceived(u.Key()) < silence.Fresh || m.probe(ctx, u) == responds {
		return true
	}
	m.avoided.Add(1)
	return false
}

// writeMetrics writes the counts of checks and what followed.
func (m *silenceMonitor) writeMetrics(w io.Writer) {
	_, _ = fmt.Fprintf(w, "lagoonmux_upstream_checks_total %d\nlagoonmux_upstreams_silent_total %d\nlagoonmux_upstreams_silent_returned_total %d\n"+
		"lagoonmux_silent_upstreams_avoided_total %d\nlagoonmux_requests_waiting_for_upstreams %d\n",
		m.checks.Load(), m.reported.Load(), m.withdrawn.Load(), m.avoided.Load(), m.watch.Stats())
}

package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/ctl"
	"github.com/lagoonmux/lagoonmux/internal/daemon"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/settings"
)

const patience = 20 * time.Second

// outage is a table that can be taken away.
type outage struct {
	*platform.Memory
	down atomic.Bool
}

// Get implements platform.Table.
func (o *outage) Get(ctx context.Context, key string) (platform.Row, error) {
	if o.down.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return o.Memory.Get(ctx, key)
}

// group is a set of daemons with one table.
type group struct {
	t       *testing.T
	table   *outage
	cloud   string // URL of the cloud API; empty for none
	daemons []*member
}

type member struct {
	*daemon.Daemon
	settings *settings.Settings
	stop     func()
}

func (g *group) start(name string) *member {
	s := &settings.Settings{Name: name, Region: "r", Zone: "a", Caller: freeAddress(g.t), Operator: freeAddress(g.t), Peer: freeAddress(g.t)}
	s.Platform.Cloud = g.cloud
	for _, m := range g.daemons {
		s.Peers = append(s.Peers, m.settings.Peer)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	m := &member{Daemon: daemon.New(s, hclog.NewNullLogger(), daemon.WithTable(g.table)), settings: s}
	go func() { done <- m.Run(ctx) }()
	stopped := false
	m.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			assert.Check(g.t, <-done)
		}
	}
	g.t.Cleanup(m.stop)
	g.daemons = append(g.daemons, m)
	awaitListener(g.t, s.Operator)
	return m
}

// awaitListener polls until something listens at address.
func awaitListener(t *testing.T, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = c.Close()
		return poll.Success()
	}, poll.WithTimeout(patience))
}

func newGroup(t *testing.T, n int) *group {
	g := &group{t: t, table: &outage{Memory: platform.NewMemory()}}
	for i := range n {
		g.start(fmt.Sprintf("d%d", i))
	}
	return g
}

// await polls until ok holds at every daemon.
func (g *group) await(what string, ok func(operator.Status) bool) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for _, m := range g.daemons {
			if s := m.Status(); !ok(s) {
				return poll.Continue("%s: %+v", what, s)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
}

func (g *group) awaitGeneration(n int64) {
	g.t.Helper()
	g.await(fmt.Sprintf("generation %d", n), func(s operator.Status) bool { return s.Generation == n })
}

func writeManifest(t *testing.T) string {
	t.Helper()
	return writeText(t, fmt.Sprintf(`{
	"services": [{"name": "fortune", "kind": "model", "target": {"total_ms": 5000}}],
	"upstreams": [{"name": "e1", "service": "fortune", "address": %q, "zone": "a", "vm_class": "g", "slots": 4}],
	"customers": [{"name": "editors", "key": %q, "weight": 1, "requests_per_second": 9, "tokens_per_second": 900, "concurrency": 9}],
	"vm_classes": [{"name": "g", "on_demand_per_hour": 2, "reclaimable_per_hour": 1}]}`, freeAddress(t), key))
}

// writeText writes a manifest to a file and returns its path.
func writeText(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "manifest.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestManifestReachesAllDaemonsAndRacingAppliesHaveOneWinner(t *testing.T) {
	g := newGroup(t, 4)
	path := writeManifest(t)
	g.await("all daemons known", func(s operator.Status) bool { return len(s.Daemons) == 4 })
	assert.NilError(t, apply(g.daemons[0], path))
	g.awaitGeneration(1)

	errs := make(chan error, 2)
	for _, m := range g.daemons[:2] {
		go func() { errs <- ctl.New(m.settings.Operator, io.Discard).Apply(path, 1) }()
	}
	first, second := <-errs, <-errs
	if first != nil {
		first, second = second, first
	}
	assert.NilError(t, first)
	assert.ErrorContains(t, second, "generation 2 was accepted by d")
	assert.Equal(t, ctl.ExitCode(second), ctl.ExitConflict)
	g.awaitGeneration(2)
	g.await("status names the generation of each daemon", func(s operator.Status) bool {
		for _, d := range s.Daemons {
			if d.Generation != 2 {
				return false
			}
		}
		return true
	})
}

func TestDaemonThatStartsWithTheTableDownAsksPeers(t *testing.T) {
	g := newGroup(t, 2)
	assert.NilError(t, apply(g.daemons[0], writeManifest(t)))
	g.awaitGeneration(1)
	g.table.down.Store(true)
	g.start("late")
	g.awaitGeneration(1)
}

func TestDaemonWithoutTableAndPeersSaysSoAndIsNotReady(t *testing.T) {
	g := newGroup(t, 0)
	g.table.down.Store(true)
	m := g.start("alone")
	g.await("trouble", func(s operator.Status) bool {
		return !s.Ready && s.ManifestError == "table: platform unavailable; no peer has a manifest"
	})
	assert.Equal(t, ctl.ExitCode(apply(m, writeManifest(t))), ctl.ExitUnreachable)
}

func TestStoppedDaemonLeavesInOrder(t *testing.T) {
	g := newGroup(t, 3)
	g.await("all daemons known", func(s operator.Status) bool { return len(s.Daemons) == 3 })
	g.daemons[2].stop()
	g.daemons = g.daemons[:2]
	g.await("left", func(s operator.Status) bool { return s.Daemons[2].State == "left" })
}

// apply applies a manifest at m.
func apply(m *member, path string) error {
	return ctl.New(m.settings.Operator, io.Discard).Apply(path, operator.BaseInForce)
}

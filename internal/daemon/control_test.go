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

// pollTimeout limits how long a test waits for a condition.
const pollTimeout = 20 * time.Second

// failingTable is a table whose reads fail while down is set.
type failingTable struct {
	*platform.MemoryTable
	down atomic.Bool
}

// Get implements platform.Table.
func (o *failingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if o.down.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return o.MemoryTable.Get(ctx, key)
}

// cluster is a set of daemons that share a table.
type cluster struct {
	t       *testing.T
	table   *failingTable
	cloud   string // URL of the cloud API; empty for none
	daemons []*testDaemon
}

type testDaemon struct {
	*daemon.Daemon
	settings *settings.Settings
	stop     func()
}

func (c *cluster) start(name string) *testDaemon {
	s := &settings.Settings{Name: name, Region: "r", Zone: "a", CallerAddress: freeAddress(c.t), OperatorAddress: freeAddress(c.t), PeerAddress: freeAddress(c.t)}
	s.Platform.Cloud = c.cloud
	for _, m := range c.daemons {
		s.Seeds = append(s.Seeds, m.settings.PeerAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	m := &testDaemon{Daemon: daemon.New(s, hclog.NewNullLogger(), daemon.WithTable(c.table)), settings: s}
	go func() { done <- m.Run(ctx) }()
	stopped := false
	m.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			assert.Check(c.t, <-done)
		}
	}
	c.t.Cleanup(m.stop)
	c.daemons = append(c.daemons, m)
	awaitListener(c.t, s.OperatorAddress)
	return m
}

// awaitListener polls until address accepts connections.
func awaitListener(t *testing.T, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = c.Close()
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

func startCluster(t *testing.T, n int) *cluster {
	g := &cluster{t: t, table: &failingTable{MemoryTable: platform.NewMemoryTable()}}
	for i := range n {
		g.start(fmt.Sprintf("d%d", i))
	}
	return g
}

// await polls until ok returns true for the status of every daemon. condition names
// it in the failure message.
func (c *cluster) await(condition string, ok func(operator.Status) bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, m := range c.daemons {
			if s := m.Status(); !ok(s) {
				return poll.Continue("%s: %+v", condition, s)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

func (c *cluster) awaitGeneration(n int64) {
	c.t.Helper()
	c.await(fmt.Sprintf("generation %d", n), func(s operator.Status) bool { return s.Generation == n })
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

// TestConcurrentAppliesHaveOneWinner applies a manifest at one daemon and waits until all
// daemons have it in force, then applies two at once at two daemons. The error of the
// loser must name the accepted generation.
func TestConcurrentAppliesHaveOneWinner(t *testing.T) {
	g := startCluster(t, 4)
	path := writeManifest(t)
	g.await("4 daemons listed", func(s operator.Status) bool { return len(s.Daemons) == 4 })
	assert.NilError(t, apply(g.daemons[0], path))
	g.awaitGeneration(1)

	errs := make(chan error, 2)
	for _, m := range g.daemons[:2] {
		go func() { errs <- ctl.New(m.settings.OperatorAddress, io.Discard).Apply(path, 1) }()
	}
	first, second := <-errs, <-errs
	if first != nil {
		first, second = second, first
	}
	assert.NilError(t, first)
	assert.ErrorContains(t, second, "generation 2 was accepted by d")
	assert.Equal(t, ctl.ExitCode(second), ctl.ExitConflict)
	g.awaitGeneration(2)
	g.await("each daemon listed with generation 2", func(s operator.Status) bool {
		for _, d := range s.Daemons {
			if d.Generation != 2 {
				return false
			}
		}
		return true
	})
}

func TestManifestFromPeersWhileTableIsDown(t *testing.T) {
	g := startCluster(t, 2)
	assert.NilError(t, apply(g.daemons[0], writeManifest(t)))
	g.awaitGeneration(1)
	g.table.down.Store(true)
	g.start("late")
	g.awaitGeneration(1)
}

func TestNotReadyWithoutTableAndPeers(t *testing.T) {
	g := startCluster(t, 0)
	g.table.down.Store(true)
	m := g.start("alone")
	g.await("not ready with a manifest error", func(s operator.Status) bool {
		return !s.Ready && s.ManifestError == "table: platform unavailable; no peer has a manifest"
	})
	assert.Equal(t, ctl.ExitCode(apply(m, writeManifest(t))), ctl.ExitUnreachable)
}

func TestStoppedDaemonIsReportedAsLeft(t *testing.T) {
	g := startCluster(t, 3)
	g.await("3 daemons listed", func(s operator.Status) bool { return len(s.Daemons) == 3 })
	g.daemons[2].stop()
	g.daemons = g.daemons[:2]
	g.await("stopped daemon left", func(s operator.Status) bool { return s.Daemons[2].State == "left" })
}

// apply applies the manifest in the file at path at daemon m.
func apply(m *testDaemon, path string) error {
	return ctl.New(m.settings.OperatorAddress, io.Discard).Apply(path, operator.BaseInForce)
}

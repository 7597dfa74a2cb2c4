package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

// loadServer is an upstream that only serves load reports.
type loadServer struct {
	address      string
	unresponsive atomic.Bool
	leaving      atomic.Bool
	epoch        atomic.Int64
	server       *http.Server
}

func newLoadServer(t *testing.T) *loadServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &loadServer{address: l.Addr().String()}
	r.epoch.Store(1)
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	t.Cleanup(func() { _ = r.server.Close() })
	return r
}

// ServeHTTP implements http.Handler.
func (r *loadServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if r.unresponsive.Load() {
		<-req.Context().Done()
		return
	}
	l := routing.LoadReport{At: time.Now(), Incarnation: r.epoch.Load(), Leaving: r.leaving.Load(), LeavingInMS: 5000}
	_ = json.NewEncoder(w).Encode(l)
}

// startClusterWithUpstreams starts daemons with a manifest that declares upstreams u0,
// u1 and so on.
func startClusterWithUpstreams(t *testing.T, daemons, upstreamCount int) (*cluster, []*loadServer) {
	t.Helper()
	g := startCluster(t, daemons)
	var upstreams []*loadServer
	var declared []string
	for i := range upstreamCount {
		r := newLoadServer(t)
		upstreams = append(upstreams, r)
		declared = append(declared, fmt.Sprintf(`{"name": "u%d", "service": "fortune", "address": %q, "zone": "a", "vm_class": "g", "slots": 4}`, i, r.address))
	}
	path := filepath.Join(t.TempDir(), "manifest.json")
	text := fmt.Sprintf(`{
	"services": [{"name": "fortune", "kind": "model", "target": {"total_ms": 5000}}],
	"upstreams": [%s],
	"customers": [{"name": "editors", "key": %q, "weight": 1, "requests_per_second": 9, "tokens_per_second": 900, "concurrency": 9}],
	"vm_classes": [{"name": "g", "on_demand_per_hour": 2, "reclaimable_per_hour": 1}]}`, strings.Join(declared, ","), key)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	g.await("all daemons listed", func(s operator.Status) bool { return len(s.Daemons) == daemons })
	assert.NilError(t, apply(g.daemons[0], path))
	g.awaitUpstream("u0", "live")
	return g, upstreams
}

// awaitUpstream polls until every daemon lists the upstream with the state.
func (c *cluster) awaitUpstream(name, state string) {
	c.t.Helper()
	c.await(name+" "+state, func(s operator.Status) bool { return stateOf(s, name) == state })
}

func stateOf(s operator.Status, upstream string) string {
	for _, u := range s.Upstreams {
		if u.Name == upstream {
			return u.State
		}
	}
	return ""
}

// TestLeavingUpstreamSeenByAllDaemons checks both sources of the state leaving, the load
// report of an upstream and a request that an upstream refused, and that a restarted
// upstream is live again.
func TestLeavingUpstreamSeenByAllDaemons(t *testing.T) {
	g, upstreams := startClusterWithUpstreams(t, 3, 4)
	upstreams[0].leaving.Store(true)
	g.awaitUpstream("u0", "leaving")
	select {
	case <-g.daemons[1].LeavingSignal().Leaving("u0"):
	case <-time.After(pollTimeout):
		t.Fatal("leaving signal for u0 was not raised")
	}
	upstreams[0].leaving.Store(false)
	upstreams[0].epoch.Add(1)
	g.awaitUpstream("u0", "live")

	g.awaitUpstream("u1", "live")
	g.daemons[2].NotifyLeaving("u1")
	g.awaitUpstream("u1", "leaving")
}

func TestUnresponsiveUpstreamIsSuspectedThenDeadThenLive(t *testing.T) {
	g, upstreams := startClusterWithUpstreams(t, 3, 2)
	upstreams[0].unresponsive.Store(true)
	g.awaitUpstream("u0", "suspect")
	g.awaitUpstream("u0", "dead")
	upstreams[0].unresponsive.Store(false)
	g.awaitUpstream("u0", "live")
}

// TestUpstreamsOfStoppedDaemonAreReassigned checks that the remaining daemons monitor
// all upstreams: each one that stops must be reported as dead.
func TestUpstreamsOfStoppedDaemonAreReassigned(t *testing.T) {
	g, upstreams := startClusterWithUpstreams(t, 3, 6)
	g.daemons[0].stop()
	g.daemons = g.daemons[1:]
	for i, r := range upstreams {
		assert.NilError(t, r.server.Shutdown(context.Background()))
		g.awaitUpstream(fmt.Sprintf("u%d", i), "dead")
	}
}

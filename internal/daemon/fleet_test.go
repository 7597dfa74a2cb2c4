package daemon_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/standin"
)

// TestFleetStartsUpstreamsUpToFloor checks that the fleet duty starts the upstream that
// a service lacks to its floor, that the upstream is ordered to load the model, and that
// every daemon then lists it as live.
func TestFleetStartsUpstreamsUpToFloor(t *testing.T) {
	text := fmt.Sprintf(`{
	"services": [{"name": "fortune", "kind": "model", "floor": 2, "target": {"total_ms": 5000}}],
	"upstreams": [{"name": "e1", "service": "fortune", "address": %q, "zone": "a", "vm_class": "g", "slots": 4}],
	"customers": [{"name": "editors", "key": %q, "weight": 1, "requests_per_second": 9, "tokens_per_second": 900, "concurrency": 9}],
	"vm_classes": [{"name": "g", "on_demand_per_hour": 2, "reclaimable_per_hour": 1}],
	"fleet": {"max_upstreams": 4, "max_per_hour": 9, "max_reclaimable_share": 0.5, "weight_loads_per_second": 1,
		"templates": [{"service": "fortune", "slots": 4, "version": "v1"}]}}`, freeAddress(t), key)
	m, err := manifest.Parse("m", []byte(text))
	assert.NilError(t, err)
	cloud := freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- standin.ServeManifest(ctx, m, &standin.Profile{}, standin.Platform{CloudAddress: cloud})
	}()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})

	g := startCluster(t, 0)
	g.cloud = "http://" + cloud
	for i := range 2 {
		g.start(fmt.Sprintf("d%d", i))
	}
	path := writeText(t, text)
	assert.NilError(t, apply(g.daemons[0], path))
	g.await("one started upstream live", func(s operator.Status) bool {
		n := 0
		for _, u := range s.Upstreams {
			if strings.HasPrefix(u.Name, "fleet-fortune-") && u.State == "live" {
				n++
			}
		}
		return n == 1 && len(s.Upstreams) == 2
	})
}

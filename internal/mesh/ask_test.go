package mesh

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
)

// TestLateAnswersAreAwaited lets hubs answer questions after 250 ms, as on a busy VM or link.
// A second question must get its answer; one to a hub that is gone must fail at once.
func TestLateAnswersAreAwaited(t *testing.T) {
	runBulkFleet(t, 15, 1, 10, func(f *bulkFleet) {
		for _, d := range f.daemons {
			d.Answer = func(context.Context, *meshpb.Question) *meshpb.Answer {
				time.Sleep(250 * time.Millisecond)
				return &meshpb.Answer{Ok: true}
			}
		}
		q := &meshpb.Question{Customer: "c", Cost: 1}
		for _, d := range f.daemons {
			if d.Role() != Member {
				_, err := d.AskHubAgain(f.ctx, q)
				assert.ErrorIs(t, err, ErrNoHub)
				continue
			}
			_, err := d.AskHub(f.ctx, q)
			assert.Assert(t, err != nil)
			began := time.Now()
			a, err := d.AskHubAgain(f.ctx, q)
			assert.NilError(t, err)
			assert.Assert(t, a.Ok && time.Since(began) < patientAskTimeout)
		}
		killed := make(map[string]bool)
		for _, h := range f.hubs() {
			h.kill()
			killed[h.Self.Name] = true
		}
		time.Sleep(300 * time.Millisecond)
		for _, d := range f.daemons {
			if d.Role() != Member || d.ended() {
				continue
			}
			d.Mesh.mu.Lock()
			gone := d.hub == "" || killed[d.hub]
			d.Mesh.mu.Unlock()
			began := time.Now()
			_, err := d.AskHubAgain(f.ctx, q)
			assert.Assert(t, (err != nil) == gone, "hub gone: %v, error: %v", gone, err)
			assert.Assert(t, !gone || time.Since(began) < patientAskTimeout/4, "%v", time.Since(began))
		}
	})
}

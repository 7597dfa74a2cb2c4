package manifest_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// lossyTable is a table that loses the response of every other commit:
// alternately without and with the commit taking effect.
type lossyTable struct {
	*platform.MemoryTable
	mu    sync.Mutex
	calls int
}

// Commit implements platform.Table.
func (f *lossyTable) Commit(ctx context.Context, token string, writes []platform.Write) error {
	f.mu.Lock()
	f.calls++
	n := f.calls
	f.mu.Unlock()
	if n%4 == 1 {
		return platform.ErrOutcomeUnknown
	}
	err := f.MemoryTable.Commit(ctx, token, writes)
	if n%4 == 3 {
		return platform.ErrOutcomeUnknown
	}
	return err
}

func minimalManifest(t *testing.T) *manifest.Manifest {
	t.Helper()
	m, err := manifest.Parse("m", []byte(`{
	"services": [{"name": "s", "kind": "model", "target": {"total_ms": 1}}],
	"upstreams": [{"name": "u", "service": "s", "address": "127.0.0.1:1", "zone": "a", "vm_class": "g", "slots": 1}],
	"customers": [{"name": "c", "key": "12345678", "weight": 1, "requests_per_second": 1, "tokens_per_second": 1, "concurrency": 1}],
	"vm_classes": [{"name": "g", "on_demand_per_hour": 2, "reclaimable_per_hour": 1}]}`))
	assert.NilError(t, err)
	return m
}

// TestConcurrentCommitsHaveOneWinner commits concurrently to each generation. The
// table loses responses, so a retried commit can conflict with its own first
// attempt and must not be reported as lost to another one.
func TestConcurrentCommitsHaveOneWinner(t *testing.T) {
	m, s := minimalManifest(t), manifest.NewStore(&lossyTable{MemoryTable: platform.NewMemoryTable()})
	const racers, rounds = 8, 5
	for base := range int64(rounds) {
		won := make(chan string, racers)
		var wg sync.WaitGroup
		for i := range racers {
			wg.Go(func() {
				by := fmt.Sprintf("d%d", i)
				a, err := s.Commit(t.Context(), base, m, manifest.CommitInfo{Token: fmt.Sprintf("%d-%d", base, i), By: by})
				var conflict *manifest.ConflictError
				if errors.As(err, &conflict) {
					assert.Check(t, conflict.Winner.Generation == base+1, "%v", err)
					return
				}
				assert.Check(t, err)
				assert.Check(t, a.Generation == base+1)
				won <- by
			})
		}
		wg.Wait()
		assert.Equal(t, len(won), 1, "base %d", base)
		newest, err := s.Newest(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, newest.By, <-won)
	}
}

func TestUnpackValidates(t *testing.T) {
	body, err := manifest.Pack(minimalManifest(t))
	assert.NilError(t, err)
	m, err := manifest.Unpack(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, minimalManifest(t))
	body[len(body)/2] ^= 1
	_, err = manifest.Unpack(body)
	assert.Assert(t, err != nil)
}

func TestCommitOutcomeUnknownWithoutResponse(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	s := manifest.NewStore(unresponsiveTable{platform.NewMemoryTable()})
	_, err := s.Commit(ctx, 0, minimalManifest(t), manifest.CommitInfo{Token: "t"})
	assert.ErrorIs(t, err, platform.ErrOutcomeUnknown)
}

// unresponsiveTable loses the response of every commit and applies none.
type unresponsiveTable struct{ *platform.MemoryTable }

// Commit implements platform.Table.
func (unresponsiveTable) Commit(context.Context, string, []platform.Write) error {
	return platform.ErrOutcomeUnknown
}

package dynamo_test

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/table"
)

// step is one call of a history: a read, or a commit at an expected version.
type step struct {
	key     string
	commit  bool
	version int64 // expected by a commit
}

// outcome is what a step returned.
type outcome struct {
	version int64 // read
	err     error
}

// rowModel is a row as the table promises it: versions rise by one with each
// commit whose condition held; an unknown commit may have done so or not.
var rowModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			byKey[o.Input.(step).key] = append(byKey[o.Input.(step).key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(int64), input.(step), output.(outcome)
		holds := version == in.version
		switch {
		case !in.commit && out.err == nil && out.version != version:
			return nil
		case !in.commit || errors.Is(out.err, platform.ErrUnavailable):
			return []any{version}
		case errors.Is(out.err, platform.ErrConflict) && holds, out.err == nil && !holds:
			return nil
		case out.err == nil:
			return []any{version + 1}
		case errors.Is(out.err, platform.ErrUnknown) && holds:
			return []any{version, version + 1}
		default:
			return []any{version}
		}
	},
}

// TestHistoryIsLinearizable has many clients write and read a few rows of a
// table that drops requests, refuses them and loses answers.
func TestHistoryIsLinearizable(t *testing.T) {
	set := faults.New()
	assert.NilError(t, set.Apply(faults.Plan{Seed: 5, Faults: []faults.Fault{
		{Name: faults.Lost, Share: 0.15}, {Name: faults.Down, Share: 0.1, Path: "/"}, {Name: faults.Refuse, Share: 0.1},
	}}))
	c := client(t, set.Wrap(table.New().Handle))
	const clients, steps, rows = 6, 40, 3
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var tasks sync.WaitGroup
	for id := range clients {
		tasks.Go(func() {
			rng := rand.New(rand.NewPCG(5, uint64(id)))
			known := make(map[string]int64)
			for n := range steps {
				in := step{key: "p/" + strconv.Itoa(rng.IntN(rows)), commit: rng.IntN(2) == 0}
				in.version = known[in.key]
				op := porcupine.Operation{ClientId: id, Input: in, Call: time.Since(began).Nanoseconds()}
				out := act(c, in, strconv.Itoa(id)+"-"+strconv.Itoa(n))
				op.Output, op.Return = out, time.Since(began).Nanoseconds()
				if errors.Is(out.err, platform.ErrUnknown) {
					op.Return = math.MaxInt64 // may take effect at any later time
				}
				if out.err == nil {
					known[in.key] = out.version
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	model := rowModel.ToModel()
	assert.Equal(t, porcupine.CheckOperationsTimeout(model, history, 20*time.Second), porcupine.Ok)
}

func act(c platform.Table, in step, token string) outcome {
	ctx := context.Background()
	if in.commit {
		err := c.Commit(ctx, token, []platform.Write{{Key: in.key, Version: in.version, Value: []byte(token)}})
		return outcome{version: in.version + 1, err: err}
	}
	row, err := c.Get(ctx, in.key)
	if errors.Is(err, platform.ErrNotFound) {
		return outcome{}
	}
	return outcome{version: row.Version, err: err}
}

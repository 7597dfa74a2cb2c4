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

// operation is the input of one call in a history: a read, or a commit that
// expects a version.
type operation struct {
	key     string
	commit  bool
	version int64 // that a commit expects; unused by reads
}

// result is the output of one call in a history.
type result struct {
	version int64 // that was read or written; 0 if the row does not exist
	err     error
}

// rowModel is the sequential specification of one row. Each commit whose condition
// holds adds 1 to the version. A commit with an unknown outcome may or may not have
// done so.
var rowModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			byKey[o.Input.(operation).key] = append(byKey[o.Input.(operation).key], o)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(int64), input.(operation), output.(result)
		conditionHolds := version == in.version
		switch {
		case !in.commit && out.err == nil && out.version != version:
			return nil
		case !in.commit || errors.Is(out.err, platform.ErrUnavailable):
			return []any{version}
		case errors.Is(out.err, platform.ErrConflict) && conditionHolds, out.err == nil && !conditionHolds:
			return nil
		case out.err == nil:
			return []any{version + 1}
		case errors.Is(out.err, platform.ErrOutcomeUnknown) && conditionHolds:
			return []any{version, version + 1}
		default:
			return []any{version}
		}
	},
}

// TestHistoryIsLinearizable lets several clients write and read a few rows of a
// table that loses responses, is down at times and refuses requests. It fails if a
// commit is reported with a wrong outcome, for example as unavailable although it
// took effect.
func TestHistoryIsLinearizable(t *testing.T) {
	set := faults.New()
	assert.NilError(t, set.Apply(faults.Plan{Seed: 5, Faults: []faults.Fault{
		{Name: faults.Lost, Share: 0.15}, {Name: faults.Down, Share: 0.1, Path: "/"}, {Name: faults.Refuse, Share: 0.1},
	}}))
	c := client(t, set.Wrap(table.New().Handle))
	const clients, opsPerClient, rows = 6, 40, 3
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var tasks sync.WaitGroup
	for id := range clients {
		tasks.Go(func() {
			rng := rand.New(rand.NewPCG(5, uint64(id)))
			versions := make(map[string]int64)
			for n := range opsPerClient {
				in := operation{key: "p/" + strconv.Itoa(rng.IntN(rows)), commit: rng.IntN(2) == 0}
				in.version = versions[in.key]
				op := porcupine.Operation{ClientId: id, Input: in, Call: time.Since(start).Nanoseconds()}
				out := execute(c, in, strconv.Itoa(id)+"-"+strconv.Itoa(n))
				op.Output, op.Return = out, time.Since(start).Nanoseconds()
				if errors.Is(out.err, platform.ErrOutcomeUnknown) {
					op.Return = math.MaxInt64 // the commit may take effect at any later time
				}
				if out.err == nil {
					versions[in.key] = out.version
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

// execute runs one operation; token identifies its commit.
func execute(c platform.Table, in operation, token string) result {
	ctx := context.Background()
	if in.commit {
		err := c.Commit(ctx, token, []platform.Write{{Key: in.key, Version: in.version, Value: []byte(token)}})
		return result{version: in.version + 1, err: err}
	}
	row, err := c.Get(ctx, in.key)
	if errors.Is(err, platform.ErrNotFound) {
		return result{}
	}
	return result{version: row.Version, err: err}
}

package duty

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/views"
)

// restore puts a row as it was before into the store, in a later era.
func (env *testEnv) restore(value []byte, era int64) {
	env.store.value, env.store.version = value, views.MakeVersion(era, 3)
}

// TestReportsAndTokensAcrossRestore restores the lease row to a time before windows were
// reported and the duty changed hands. The cloud must get no token twice and no second
// report with other counts, whether or not a daemon is left that knows what was reported.
func TestReportsAndTokensAcrossRestore(t *testing.T) {
	for name, survivors := range map[string]bool{"a daemon knows": true, "no daemon knows": false} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.store.version = views.MakeVersion(1, 0)
			a, b := env.duty("a"), env.duty("b")
			env.step(a)
			assert.Assert(t, a.holding())
			saved := env.store.value
			a.Usage.Add("c", a.Clock.Now())
			env.skipWindows(3)
			env.step(a)
			for range 4 {
				env.step(a)
			}
			assert.Assert(t, len(env.cloud.usage) > 0 && a.Finalized() > 0, "nothing was reported")
			a.release()
			env.step(b)
			assert.Equal(t, b.row.Token, int64(2))

			env.restore(saved, 2)
			env.skipWindows(1)
			c := env.duty("c")
			c.FinalizedElsewhere = func() int64 {
				if survivors {
					return a.Finalized()
				}
				return 0
			}
			for range 4 {
				env.step(c)
			}
			assert.Assert(t, c.holding())
			assert.Assert(t, c.row.Token > b.row.Token, "token %d", c.row.Token)
			assert.Assert(t, c.Finalized() >= a.Finalized())
			var row leaseRow
			assert.NilError(t, json.Unmarshal(env.store.value, &row))
			assert.Equal(t, row.Era, int64(2))
			assert.Equal(t, row.Token, c.row.Token)
		})
	}
}

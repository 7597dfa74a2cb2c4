package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/capacity"
)

// faultyStore fails some calls at random: reads and writes without effect, writes
// that are applied although they return an error, and writes that are delayed and
// then applied if the version still matches.
type faultyStore struct {
	fakeStore
	rnd     *rand.Rand
	delayed []func()
}

func (s *faultyStore) Read(ctx context.Context, table, key string) ([]byte, int64, error) {
	if s.rnd.IntN(6) == 0 {
		return nil, 0, errResponseLost
	}
	return s.fakeStore.Read(ctx, table, key)
}

func (s *faultyStore) Write(ctx context.Context, table, key string, value []byte, version int64) (int64, error) {
	switch s.rnd.IntN(8) {
	case 0:
		return 0, errResponseLost
	case 1:
		_, _ = s.fakeStore.Write(ctx, table, key, value, version)
		return 0, errResponseLost
	case 2:
		s.delayed = append(s.delayed, func() { _, _ = s.fakeStore.Write(ctx, table, key, value, version) })
		return 0, errResponseLost
	}
	return s.fakeStore.Write(ctx, table, key, value, version)
}

// faultyCloud drops calls at random, or returns an error and delays them.
type faultyCloud struct {
	*fakeCloud
	rnd     *rand.Rand
	delayed []func()
}

func (c *faultyCloud) Report(ctx context.Context, f Fence, r UsageReport) error {
	return c.inject(func() error { return c.fakeCloud.Report(ctx, f, r) })
}

func (c *faultyCloud) Order(ctx context.Context, f Fence, p capacity.Pool, count int) error {
	return c.inject(func() error { return c.fakeCloud.Order(ctx, f, p, count) })
}

func (c *faultyCloud) inject(do func() error) error {
	switch c.rnd.IntN(6) {
	case 0:
		return errResponseLost
	case 1:
		c.delayed = append(c.delayed, func() { _ = do() })
		return errResponseLost
	}
	return do()
}

// runSome runs some of the delayed calls in random order.
func runSome(rnd *rand.Rand, calls *[]func()) {
	for n := len(*calls); n > 0 && rnd.IntN(2) == 0; n = len(*calls) {
		i := rnd.IntN(n)
		do := (*calls)[i]
		*calls = append((*calls)[:i], (*calls)[i+1:]...)
		do()
	}
}

// TestRandomFaults combines pauses, restarts, lost and delayed writes and calls, and
// counts that differ between daemons, at random with fixed seeds. fakeCloud checks that
// no window is reported with two different counts and that no token has two holders. At
// the end at most maxPendingReports windows may be missing among the reported ones.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		env := newTestEnv(t)
		store := &faultyStore{rnd: rnd}
		cloud := &faultyCloud{fakeCloud: env.cloud, rnd: rnd}
		starts := 0
		start := func(i int) *Duty {
			starts++
			d := env.duty(fmt.Sprint("d", i))
			d.Incarnation = int64(starts)
			d.Store, d.Cloud = store, cloud
			return d
		}
		duties := []*Duty{start(0), start(1), start(2)}
		for range 400 {
			i := rnd.IntN(len(duties))
			d := duties[i]
			d.Usage.Add("x", d.Clock.Now())
			switch rnd.IntN(12) {
			case 0:
				env.storeAhead += time.Duration(rnd.IntN(4000)) * time.Millisecond
			case 1:
				d.expiresAt = boottime.Now() - time.Millisecond // as after a pause beyond the end of the lease
			case 2:
				duties[i] = start(i)
			case 3:
				d.release()
			case 4:
				runSome(rnd, &store.delayed)
			case 5:
				runSome(rnd, &cloud.delayed)
			case 6:
				env.storeAhead += 5 * time.Second
			case 7:
				other := duties[rnd.IntN(len(duties))]
				if other != d {
					d.Usage.Merge(other.Name, other.Incarnation, other.Usage.Local(other.Clock.Now(), 3))
				}
			default:
				d.renewAt = 0
				env.step(d)
			}
		}
		checkFewGaps(t, seed, env.cloud.usage)
	}
}

// checkFewGaps checks that at most maxPendingReports windows are missing between the
// first and the last reported window.
func checkFewGaps(t *testing.T, seed uint64, reported map[int64]map[string]int64) {
	if len(reported) == 0 {
		return
	}
	first, last := int64(1<<62), int64(0)
	for n := range reported {
		first, last = min(first, n), max(last, n)
	}
	missing := 0
	for n := first; n <= last; n++ {
		if _, ok := reported[n]; !ok {
			missing++
		}
	}
	assert.Assert(t, missing <= maxPendingReports, "seed %d: %d windows missing between %d and %d", seed, missing, first, last)
}

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

// faultyStore answers, loses answers before or after their effect, and does some
// writes later if their condition still holds then.
type faultyStore struct {
	fakeStore
	rnd     *rand.Rand
	delayed []func()
}

func (s *faultyStore) Read(ctx context.Context, table, key string) ([]byte, int64, error) {
	if s.rnd.IntN(6) == 0 {
		return nil, 0, errLost
	}
	return s.fakeStore.Read(ctx, table, key)
}

func (s *faultyStore) Write(ctx context.Context, table, key string, value []byte, version int64) (int64, error) {
	switch s.rnd.IntN(8) {
	case 0:
		return 0, errLost
	case 1:
		_, _ = s.fakeStore.Write(ctx, table, key, value, version)
		return 0, errLost
	case 2:
		s.delayed = append(s.delayed, func() { _, _ = s.fakeStore.Write(ctx, table, key, value, version) })
		return 0, errLost
	}
	return s.fakeStore.Write(ctx, table, key, value, version)
}

// faultyCloud loses calls or carries them out later.
type faultyCloud struct {
	*fakeCloud
	rnd     *rand.Rand
	delayed []func()
}

func (c *faultyCloud) Report(ctx context.Context, f Fence, r Report) error {
	return c.inject(func() error { return c.fakeCloud.Report(ctx, f, r) })
}

func (c *faultyCloud) Order(ctx context.Context, f Fence, p capacity.Place, count int) error {
	return c.inject(func() error { return c.fakeCloud.Order(ctx, f, p, count) })
}

func (c *faultyCloud) inject(do func() error) error {
	switch c.rnd.IntN(6) {
	case 0:
		return errLost
	case 1:
		c.delayed = append(c.delayed, func() { _ = do() })
		return errLost
	}
	return do()
}

// runSome does a part of what waits, in any order.
func runSome(rnd *rand.Rand, calls *[]func()) {
	for n := len(*calls); n > 0 && rnd.IntN(2) == 0; n = len(*calls) {
		i := rnd.IntN(n)
		do := (*calls)[i]
		*calls = append((*calls)[:i], (*calls)[i+1:]...)
		do()
	}
}

// TestRandomFaults draws pauses, restarts, lost and late writes and calls, and counts
// that differ between daemons. The cloud checks that no window has two counts and
// no token two holders; in the end every window that a daemon held was reported.
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
				d.expiresAt = boottime.Now() - time.Millisecond // paused until its lease lapsed
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

// checkFewGaps checks that reports follow each other without a gap, but for
// the last ones.
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
	assert.Assert(t, missing <= maxPendingReports, "seed %d: %d windows between %d and %d", seed, missing, first, last)
}

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

// drawnStore answers, loses answers before or after their effect, and does some
// writes later if their condition still holds then.
type drawnStore struct {
	fakeStore
	rnd  *rand.Rand
	late []func()
}

func (s *drawnStore) Read(ctx context.Context, table, key string) ([]byte, int64, error) {
	if s.rnd.IntN(6) == 0 {
		return nil, 0, errLost
	}
	return s.fakeStore.Read(ctx, table, key)
}

func (s *drawnStore) Write(ctx context.Context, table, key string, value []byte, version int64) (int64, error) {
	switch s.rnd.IntN(8) {
	case 0:
		return 0, errLost
	case 1:
		_, _ = s.fakeStore.Write(ctx, table, key, value, version)
		return 0, errLost
	case 2:
		s.late = append(s.late, func() { _, _ = s.fakeStore.Write(ctx, table, key, value, version) })
		return 0, errLost
	}
	return s.fakeStore.Write(ctx, table, key, value, version)
}

// drawnCloud loses calls or carries them out later.
type drawnCloud struct {
	*fakeCloud
	rnd  *rand.Rand
	late []func()
}

func (c *drawnCloud) Report(ctx context.Context, f Fence, r Report) error {
	return c.call(func() error { return c.fakeCloud.Report(ctx, f, r) })
}

func (c *drawnCloud) Order(ctx context.Context, f Fence, p capacity.Pool, count int) error {
	return c.call(func() error { return c.fakeCloud.Order(ctx, f, p, count) })
}

func (c *drawnCloud) call(do func() error) error {
	switch c.rnd.IntN(6) {
	case 0:
		return errLost
	case 1:
		c.late = append(c.late, func() { _ = do() })
		return errLost
	}
	return do()
}

// some does a part of what waits, in any order.
func some(rnd *rand.Rand, late *[]func()) {
	for n := len(*late); n > 0 && rnd.IntN(2) == 0; n = len(*late) {
		i := rnd.IntN(n)
		do := (*late)[i]
		*late = append((*late)[:i], (*late)[i+1:]...)
		do()
	}
}

// TestDrawnDuty draws pauses, restarts, lost and late writes and calls, and counts
// that differ between daemons. The cloud checks that no window has two counts and
// no token two holders; in the end every window that a daemon held was reported.
func TestDrawnDuty(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		w := newWorld(t)
		store := &drawnStore{rnd: rnd}
		cloud := &drawnCloud{fakeCloud: w.cloud, rnd: rnd}
		lives := 0
		start := func(i int) *Duty {
			lives++
			d := w.duty(fmt.Sprint("d", i))
			d.Born = int64(lives)
			d.Store, d.Cloud = store, cloud
			return d
		}
		duties := []*Duty{start(0), start(1), start(2)}
		for range 400 {
			i := rnd.IntN(len(duties))
			d := duties[i]
			d.Usage.Began("x", d.Clock.Now())
			switch rnd.IntN(12) {
			case 0:
				w.ahead += time.Duration(rnd.IntN(4000)) * time.Millisecond
			case 1:
				d.heldBy = boottime.Now() - time.Millisecond // paused until its lease lapsed
			case 2:
				duties[i] = start(i)
			case 3:
				d.release()
			case 4:
				some(rnd, &store.late)
			case 5:
				some(rnd, &cloud.late)
			case 6:
				w.ahead += 5 * time.Second
			case 7:
				other := duties[rnd.IntN(len(duties))]
				if other != d {
					d.Usage.Learn(other.Name, other.Born, other.Usage.Local(other.Clock.Now(), 3))
				}
			default:
				d.renewAt = 0
				w.step(d)
			}
		}
		checkNothingSkipped(t, seed, w.cloud.usage)
	}
}

// checkNothingSkipped checks that reports follow each other without a gap, but for
// the last ones.
func checkNothingSkipped(t *testing.T, seed uint64, reported map[int64]map[string]int64) {
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
	assert.Assert(t, missing <= maxPending, "seed %d: %d windows between %d and %d", seed, missing, first, last)
}

package membudget

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReservationsShareTheBudget(t *testing.T) {
	budget := New(1 << 20)
	a, b := Reservation{Budget: budget}, Reservation{Budget: budget}
	ctx := context.Background()
	assert.NilError(t, a.Grow(ctx, 700<<10))
	assert.NilError(t, a.Grow(ctx, 600<<10), "a smaller size is covered already")
	assert.NilError(t, b.Grow(ctx, exemptBytes), "exempt sizes need no reservation")
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, b.Grow(short, 500<<10), context.DeadlineExceeded)
	done := make(chan error)
	go func() { done <- b.Grow(ctx, 500<<10) }()
	a.Release()
	assert.NilError(t, <-done)
	assert.Assert(t, !budget.TryAcquire(600<<10))
	b.Release()
	b.Release()
	assert.Assert(t, budget.TryAcquire(1<<20))
	budget.Release(1 << 20)
}

func TestReservationBeyondTheBudgetFails(t *testing.T) {
	r := Reservation{Budget: New(1 << 20)}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.Assert(t, r.Grow(ctx, 2<<20) != nil)
}

// TestGrowingReservationsDoNotBlockOthers guards against responses without end that hold all
// memory while each waits for more: smaller ones must get theirs.
func TestGrowingReservationsDoNotBlockOthers(t *testing.T) {
	const size = 8 << 20
	budget := New(size)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var endless, sound sync.WaitGroup
	for range 32 {
		endless.Go(func() {
			for ctx.Err() == nil {
				r := Reservation{Budget: budget}
				var err error
				for n := 128 << 10; err == nil; n += 128 << 10 {
					err = r.Grow(ctx, n)
				}
				r.Release()
			}
		})
	}
	for range 4 {
		sound.Go(func() {
			for range 50 {
				r := Reservation{Budget: budget}
				for n := 100 << 10; n <= 300<<10; n += 100 << 10 {
					assert.Check(t, r.Grow(ctx, n))
				}
				r.Release()
			}
		})
	}
	sound.Wait()
	cancel()
	endless.Wait()
	assert.Assert(t, budget.TryAcquire(size), "all memory was returned")
}

// TestWaitingResponsesDoNotBlockRequests checks that memory which is free goes to a request
// although a larger response waits.
func TestWaitingResponsesDoNotBlockRequests(t *testing.T) {
	budget := New(1 << 20)
	a, b := Reservation{Budget: budget}, Reservation{Budget: budget}
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(t, a.Grow(ctx, 600<<10))
	done := make(chan error)
	go func() { done <- b.Grow(ctx, 700<<10) }()
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, budget.TryAcquire(200<<10))
	budget.Release(200 << 10)
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	a.Release()
	assert.Assert(t, budget.TryAcquire(1<<20))
}

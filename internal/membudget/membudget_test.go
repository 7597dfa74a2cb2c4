package membudget

import (
	"context"
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

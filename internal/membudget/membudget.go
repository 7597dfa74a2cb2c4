// Package membudget bounds the bytes that a daemon holds of bodies and answers, all
// of them together, by the memory that its process is allowed.
package membudget

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// Budget is an amount of memory that is shared by all requests. Its methods may be
// called from any goroutine.
type Budget struct {
	size int64
	sem  *semaphore.Weighted
}

// New returns a room of so many bytes.
func New(size int64) *Budget { return &Budget{size, semaphore.NewWeighted(size)} }

// TryAcquire takes bytes if there is room for them now.
func (b *Budget) TryAcquire(n int64) bool { return b.sem.TryAcquire(n) }

// Release returns bytes that were taken.
func (b *Budget) Release(n int64) {
	if n > 0 {
		b.sem.Release(n)
	}
}

// exemptBytes is what anything may hold without asking: most answers are smaller, and
// need not wait while a few large ones fill the room.
const exemptBytes = 64 << 10

// Reservation is what one request has taken of a room. It belongs to one goroutine.
type Reservation struct {
	Budget *Budget
	held   int64
}

// Grow takes what is missing to hold n bytes. It waits for room until ctx ends,
// and fails where the whole room is not enough.
func (r *Reservation) Grow(ctx context.Context, n int) error {
	need := int64(n) - r.held
	if n <= exemptBytes || need <= 0 {
		return nil
	}
	if err := r.Budget.sem.Acquire(ctx, need); err != nil {
		return err
	}
	r.held += need
	return nil
}

// Release gives everything back.
func (r *Reservation) Release() {
	r.Budget.Release(r.held)
	r.held = 0
}

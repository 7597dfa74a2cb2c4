// Package membudget bounds the memory of all request bodies and responses that a daemon
// buffers at the same time. The bound depends on the memory limit of the process.
package membudget

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// Budget is an amount of memory, in bytes, that all requests share. Its methods are safe
// for concurrent use.
type Budget struct {
	size int64
	sem  *semaphore.Weighted
}

// New returns a Budget of size bytes.
func New(size int64) *Budget { return &Budget{size, semaphore.NewWeighted(size)} }

// TryAcquire reserves n bytes and reports true if they are available now.
func (b *Budget) TryAcquire(n int64) bool { return b.sem.TryAcquire(n) }

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int64) {
	if n > 0 {
		b.sem.Release(n)
	}
}

// exemptBytes is the size up to which a response needs no reservation. Most responses are
// smaller and need not wait while a few large ones use up the budget.
const exemptBytes = 64 << 10

// Reservation is the part of a Budget that one request holds. It must be used by one
// goroutine only.
type Reservation struct {
	Budget    *Budget
	heldBytes int64
}

// Grow extends the reservation to n bytes, unless n is at most exemptBytes. It waits until
// the bytes are available, and returns the error of ctx if ctx ends first. If n exceeds the
// whole budget, it always waits for the end of ctx.
func (r *Reservation) Grow(ctx context.Context, n int) error {
	need := int64(n) - r.heldBytes
	if n <= exemptBytes || need <= 0 {
		return nil
	}
	if err := r.Budget.sem.Acquire(ctx, need); err != nil {
		return err
	}
	r.heldBytes += need
	return nil
}

// Release returns all bytes of the reservation to the budget.
func (r *Reservation) Release() {
	r.Budget.Release(r.heldBytes)
	r.heldBytes = 0
}

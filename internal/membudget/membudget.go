// Package membudget bounds the memory of all request bodies and responses that a daemon
// buffers at the same time. The bound depends on the memory limit of the process.
package membudget

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// Errors of Grow.
var (
	ErrTooLarge = errors.New("larger than the memory of all requests")
	ErrEvicted  = errors.New("memory is exhausted, and this response holds the most of those that wait for more")
)

// Responses that wait for more memory keep what they hold. If that is more than
// evictNumerator/evictDenominator of the budget, hardly any response can complete, and the
// largest one fails.
const (
	evictNumerator   = 3
	evictDenominator = 4
)

// Budget is an amount of memory, in bytes, that all requests share. Its methods are safe
// for concurrent use.
type Budget struct {
	mu      sync.Mutex
	size    int64
	free    int64
	waiters []*waiter // by total, the smallest first
	waiting int64     // bytes that the waiters hold
}

// waiter is a Reservation that waits for more memory.
type waiter struct {
	held, need int64
	granted    chan error // buffered
}

func (w *waiter) total() int64 { return w.held + w.need }

// New returns a Budget of size bytes.
func New(size int64) *Budget { return &Budget{size: size, free: size} }

// TryAcquire reserves n bytes and reports true if they are available now.
func (b *Budget) TryAcquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.free {
		return false
	}
	b.free -= n
	return true
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += max(n, 0)
	b.grant()
}

// acquire adds need bytes to the held ones. It waits until they are available, smaller
// reservations first.
func (b *Budget) acquire(ctx context.Context, held, need int64) error {
	b.mu.Lock()
	if held+need > b.size {
		b.mu.Unlock()
		return ErrTooLarge
	}
	if need <= b.free {
		b.free -= need
		b.mu.Unlock()
		return nil
	}
	w := &waiter{held: held, need: need, granted: make(chan error, 1)}
	i, _ := slices.BinarySearchFunc(b.waiters, w.total(), func(o *waiter, total int64) int { return int(o.total() - total) })
	b.waiters = slices.Insert(b.waiters, i, w)
	b.waiting += held
	b.evict()
	b.mu.Unlock()
	select {
	case err := <-w.granted:
		return err
	case <-ctx.Done():
		return b.cancel(ctx, w)
	}
}

// cancel removes a waiter whose context has ended.
func (b *Budget) cancel(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case err := <-w.granted:
		return err
	default:
	}
	b.remove(slices.Index(b.waiters, w))
	return ctx.Err()
}

// remove removes a waiter. The caller holds mu.
func (b *Budget) remove(i int) {
	b.waiting -= b.waiters[i].held
	b.waiters = slices.Delete(b.waiters, i, i+1)
}

// grant gives free memory to the waiters for which it suffices. The caller holds mu.
func (b *Budget) grant() {
	for i := 0; i < len(b.waiters); {
		w := b.waiters[i]
		if w.need > b.free {
			i++
			continue
		}
		b.free -= w.need
		b.remove(i)
		w.granted <- nil
	}
}

// evict lets the largest waiters fail while the waiters hold too much. Each releases its memory
// then. The caller holds mu.
func (b *Budget) evict() {
	for b.waiting > b.size/evictDenominator*evictNumerator {
		last := len(b.waiters) - 1
		w := b.waiters[last]
		b.remove(last)
		w.granted <- ErrEvicted
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
// the bytes are available, and returns the error of ctx if ctx ends first, ErrTooLarge if n
// exceeds the whole budget, and ErrEvicted if the reservation must be released because the
// responses that wait hold nearly all memory.
func (r *Reservation) Grow(ctx context.Context, n int) error {
	need := int64(n) - r.heldBytes
	if n <= exemptBytes || need <= 0 {
		return nil
	}
	if err := r.Budget.acquire(ctx, r.heldBytes, need); err != nil {
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

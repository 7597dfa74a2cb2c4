package batch

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Class is a part of the daemon that writes to the table.
type Class int

// Users of the table, each with a share of the write budget that no other user
// can take.
const (
	Calls   Class = iota // records of calls that may not be repeated
	Lots                 // accepted lots: acceptance, progress, hand-over, end
	Control              // leases and garbage collection
	numClasses
)

// shares of the write budget. They add up to 1.
var shares = [numClasses]float64{Calls: 0.5, Lots: 0.25, Control: 0.25}

const burstSeconds = 2

// budget limits the rows that each user writes a second.
type budget struct {
	total    float64 // rows a second of all daemons together
	limiters [numClasses]*rate.Limiter
	refused  [numClasses]atomic.Int64
}

func newBudget(rowsPerSecond float64, daemons int) *budget {
	b := &budget{total: rowsPerSecond}
	for u := range b.limiters {
		b.limiters[u] = rate.NewLimiter(b.rateLimit(Class(u), daemons))
	}
	return b
}

// setDaemons sets this daemon's part of the budget.
func (b *budget) setDaemons(daemons int) {
	for u, l := range b.limiters {
		limit, burst := b.rateLimit(Class(u), daemons)
		l.SetLimit(limit)
		l.SetBurst(burst)
	}
}

// rateLimit returns the rows a second, and at once, of a user on one daemon.
func (b *budget) rateLimit(u Class, daemons int) (rate.Limit, int) {
	rows := b.total * shares[u] / float64(max(daemons, 1))
	return rate.Limit(rows), max(int(rows*burstSeconds), 1)
}

package batch

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// User is a part of the daemon that writes to the table.
type User int

// Users of the table, each with a share of the write budget that no other user
// can take.
const (
	Calls   User = iota // records of calls that may not be repeated
	Lots                // accepted lots: acceptance, progress, hand-over, end
	Control             // leases and garbage collection
	users
)

// shares of the write budget. They add up to 1.
var shares = [users]float64{Calls: 0.5, Lots: 0.25, Control: 0.25}

const burstSeconds = 2

// budget limits the rows that each user writes a second.
type budget struct {
	total    float64 // rows a second of all daemons together
	limiters [users]*rate.Limiter
	refused  [users]atomic.Int64
}

func newBudget(rowsPerSecond float64, daemons int) *budget {
	b := &budget{total: rowsPerSecond}
	for u := range b.limiters {
		b.limiters[u] = rate.NewLimiter(b.part(User(u), daemons))
	}
	return b
}

// divide sets this daemon's part of the budget.
func (b *budget) divide(daemons int) {
	for u, l := range b.limiters {
		limit, burst := b.part(User(u), daemons)
		l.SetLimit(limit)
		l.SetBurst(burst)
	}
}

// part returns the rows a second, and at once, of a user on one daemon.
func (b *budget) part(u User, daemons int) (rate.Limit, int) {
	rows := b.total * shares[u] / float64(max(daemons, 1))
	return rate.Limit(rows), max(int(rows*burstSeconds), 1)
}

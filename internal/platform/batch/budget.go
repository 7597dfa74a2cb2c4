package batch

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Class is a class of writes to the table.
type Class int

// Classes of writes. Each has its own share of the write budget, which the others
// cannot use.
const (
	Calls   Class = iota // records of non-repeatable calls, which run at most once
	Lots                 // accepted lots: acceptance, progress, hand-over, end
	Control              // leases and garbage collection
	numClasses
)

// classShares are the fractions of the write budget, by class. They add up to 1.
var classShares = [numClasses]float64{Calls: 0.5, Lots: 0.25, Control: 0.25}

// burstSeconds is the size of a token bucket in seconds of its rate.
const burstSeconds = 2

// budget limits the rows per second that this daemon writes, by class.
type budget struct {
	rowsPerSecond float64 // rows per second of all daemons together
	limiters      [numClasses]*rate.Limiter
	rejected      [numClasses]atomic.Int64 // commits rejected because the budget was spent or the queue was full
}

func newBudget(rowsPerSecond float64, daemons int) *budget {
	b := &budget{rowsPerSecond: rowsPerSecond}
	for class := range b.limiters {
		b.limiters[class] = rate.NewLimiter(b.rateLimit(Class(class), daemons))
	}
	return b
}

// setDaemons updates the limits for a number of daemons that share the budget.
func (b *budget) setDaemons(daemons int) {
	for class, l := range b.limiters {
		limit, burst := b.rateLimit(Class(class), daemons)
		l.SetLimit(limit)
		l.SetBurst(burst)
	}
}

// rateLimit returns the rows per second and the burst of a class on one daemon.
func (b *budget) rateLimit(class Class, daemons int) (rate.Limit, int) {
	rows := b.rowsPerSecond * classShares[class] / float64(max(daemons, 1))
	return rate.Limit(rows), max(int(rows*burstSeconds), 1)
}

package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxDeferred bounds the refused requests of a customer whose return is awaited.
	maxDeferred = 2048
	// earlyTolerance is how much earlier than told a caller may return.
	earlyTolerance = 20 * time.Millisecond
	// sweepInterval is the shortest time between two passes over all entries.
	sweepInterval = 100 * time.Millisecond
	// minRankFraction of the refill is what a rank is assumed to get, however much the more
	// urgent ones ask for.
	minRankFraction = 0.25
)

// backlog holds the cost of the refused requests that are expected to return.
type backlog struct {
	cost [maxRanks]float64
	at   time.Duration // boot time of the last update
}

// wait adds a refused request and returns when the refill will have covered it and the
// earlier ones of its and of more urgent ranks. rate is the refill that this daemon may use,
// urgent the demand of more urgent ranks.
func (b *backlog) wait(rank int, cost, rate, urgent float64, now time.Duration) time.Duration {
	rate = math.Max(rate, 1)
	b.drain(rate*(now-b.at).Seconds(), now)
	b.cost[rank] = math.Min(b.cost[rank]+cost, rate*maxRetryAfter.Seconds())
	sum := 0.0
	for _, c := range b.cost[:rank+1] {
		sum += c
	}
	seconds := sum / math.Max(rate-urgent, minRankFraction*rate)
	if most := maxRetryAfter.Seconds(); seconds > most {
		seconds = most * (1 + rand.Float64()) / 2 // spread, as the times beyond are not told apart
	}
	return time.Duration(seconds * float64(time.Second))
}

// drain removes the cost that the refill has covered, of the most urgent ranks first.
func (b *backlog) drain(covered float64, now time.Duration) {
	b.at = now
	for i := range b.cost {
		part := math.Min(b.cost[i], covered)
		b.cost[i] -= part
		covered -= part
	}
}

// deferred holds, by the content of refused requests, when their callers may return.
type deferred struct {
	due     map[uint64]time.Duration
	sweptAt time.Duration // boot time at which entries that are due were last dropped
}

// early reports whether a request returns before the time that its caller was told, and how
// long that still takes.
func (d *deferred) early(content uint64, now time.Duration) (time.Duration, bool) {
	due, ok := d.due[content]
	if !ok {
		return 0, false
	}
	if now >= due-earlyTolerance {
		delete(d.due, content)
		return 0, false
	}
	return due - now, true
}

// add records a refused request. Without room for it, an early return is not noticed.
func (d *deferred) add(content uint64, due, now time.Duration) {
	if content == 0 {
		return
	}
	if len(d.due) >= maxDeferred && now-d.sweptAt >= sweepInterval {
		d.sweptAt = now
		maps.DeleteFunc(d.due, func(_ uint64, at time.Duration) bool { return at <= now })
	}
	if len(d.due) < maxDeferred {
		d.due[content] = due
	}
}

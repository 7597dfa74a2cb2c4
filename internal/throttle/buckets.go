package throttle

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime times the rate of an upstream, and at least 1, is the number of permits
	// that an arbiter may issue at once after a time without any.
	burstTime = 250 * time.Millisecond
	// minWait and maxWait bound the wait that is returned with a refused permit.
	minWait = 50 * time.Millisecond
	maxWait = 2 * time.Second
	// bucketIdle is the time without a question after which a bucket is dropped.
	bucketIdle = time.Minute
)

// Decision is the answer to the question whether a request may be sent to an upstream.
type Decision struct {
	Admit bool
	Wait  time.Duration // until the daemon should ask again, if not admitted
}

// Buckets issues permits as the arbiter of upstreams. Its methods are safe for concurrent
// use.
type Buckets struct {
	mu   sync.Mutex
	list map[uint64]*bucket // by hash of the upstream
}

type bucket struct {
	tokens *rate.Limiter
	usedAt time.Duration // time of the last question
	nextAt time.Duration // time at which the daemon that was refused last is to ask again
}

// NewBuckets returns an arbiter that has issued no permits.
func NewBuckets() *Buckets { return &Buckets{list: make(map[uint64]*bucket)} }

// Take issues a permit or refuses it. perSecond is the rate that the upstream names, of
// which the reachable ones of all daemons may use their fraction. A new bucket is empty:
// another daemon may have been the arbiter until now.
func (b *Buckets) Take(upstream uint64, perSecond float64, reachable, all int, now time.Duration) Decision {
	all = max(all, 1)
	perSecond = clampRate(perSecond) * float64(min(max(reachable, 1), all)) / float64(all)
	t := time.Unix(0, int64(now))
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.list[upstream]
	if e == nil {
		e = &bucket{tokens: rate.NewLimiter(rate.Limit(perSecond), 1)}
		e.tokens.AllowN(t, 1)
		b.list[upstream] = e
	}
	e.usedAt = now
	e.tokens.SetLimitAt(t, rate.Limit(perSecond))
	e.tokens.SetBurstAt(t, max(int(perSecond*burstTime.Seconds()), 1))
	if e.tokens.AllowN(t, 1) {
		return Decision{Admit: true}
	}
	return Decision{Wait: e.nextTurn((1-e.tokens.TokensAt(t))/perSecond, 1/perSecond, now)}
}

// nextTurn returns the wait of a refused daemon. The next permit is available after some
// seconds, further ones follow at an interval in seconds. Refused daemons come back one
// by one: if they all came for the next permit, all but one would miss those after it.
func (e *bucket) nextTurn(next, interval float64, now time.Duration) time.Duration {
	e.nextAt = max(now+seconds(next), e.nextAt+seconds(interval))
	e.nextAt = min(max(e.nextAt, now+minWait), now+maxWait)
	return e.nextAt - now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Prune drops the buckets of upstreams that nobody has asked about for some time.
func (b *Buckets) Prune(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for hash, e := range b.list {
		if now-e.usedAt > bucketIdle {
			delete(b.list, hash)
		}
	}
}

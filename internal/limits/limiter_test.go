package limits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lagoonmux/lagoonmux/internal/manifest"

	_ "github.com/lagoonmux/lagoonmux/internal/fixedseed" // property tests
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// testLimiter is the limiter of a single daemon with one service. It records the
// decisions.
type testLimiter struct {
	*Limiter
	now      time.Time
	running  []*Request // in the order of admission
	rejected []Decision
	admitted []*Request // in the order of admission, ended ones included
}

func newTestLimiter(slots, customers int, rate float64) *testLimiter {
	l := &testLimiter{now: epoch}
	l.Limiter = NewLimiter(Member{Name: "d", Cores: 2}, 1, l.onDecision)
	m := &manifest.Manifest{Services: []manifest.Service{{Name: "text"}}}
	for i := range customers {
		m.Customers = append(m.Customers, manifest.Customer{
			Name: fmt.Sprintf("c%d", i), Weight: 1, RequestsPerSecond: rate, TokensPerSecond: 1e6, Concurrency: 1000,
		})
	}
	l.SetManifest(l.now, m)
	l.SetCapacity(l.now, Capacity{Service: "text", Slots: slots})
	return l
}

func (l *testLimiter) onDecision(d Decision) {
	if d.Admitted {
		l.running = append(l.running, d.Request)
		l.admitted = append(l.admitted, d.Request)
		return
	}
	l.rejected = append(l.rejected, d)
}

func (l *testLimiter) submit(customer string, class manifest.Class, timeout time.Duration) *Request {
	r := &Request{Customer: customer, Service: "text", Class: class, Tokens: 100, Deadline: l.now.Add(timeout)}
	l.Submit(l.now, r)
	return r
}

func (l *testLimiter) finishFirst() {
	r := l.running[0]
	l.running = l.running[1:]
	l.Done(l.now, r, 100, true)
}

func TestFloodingCustomerDoesNotDelayOthers(t *testing.T) {
	const serviceTime = 50 * time.Millisecond
	worst := func(flood int) (longest time.Duration) {
		l := newTestLimiter(4, 3, 50)
		arrived := make(map[*Request]time.Time)
		seen := 0
		for ms := range 5000 {
			l.now = l.now.Add(time.Millisecond)
			for range flood {
				l.submit("c0", manifest.Normal, 2*time.Second)
			}
			if ms%40 == 0 {
				r := l.submit("c1", manifest.Normal, 2*time.Second)
				arrived[r] = l.now
			}
			for len(l.running) > 0 && l.clock.elapsed-l.running[0].admittedAt >= serviceTime {
				l.finishFirst()
			}
			l.Tick(l.now)
			for ; seen < len(l.admitted); seen++ {
				if at, ok := arrived[l.admitted[seen]]; ok {
					longest = max(longest, l.now.Sub(at))
				}
			}
		}
		return longest
	}
	alone, flooded := worst(0), worst(1)
	t.Logf("longest wait of the other customer: alone %v, with a flood at twenty times the limit %v", alone, flooded)
	assert.Assert(t, flooded <= alone+serviceTime, "waited longer than the requests that were already running")
}

func TestUrgentFirstWithoutStarvingLots(t *testing.T) {
	l := newTestLimiter(1, 1, 1e6)
	for range 3 {
		l.submit("c0", manifest.Lot, time.Hour)
	}
	urgent := l.submit("c0", manifest.Urgent, time.Hour)
	l.now = l.now.Add(time.Millisecond)
	l.finishFirst()
	assert.Equal(t, l.admitted[1], urgent)
	lots := 0
	for range 100 {
		l.submit("c0", manifest.Urgent, time.Hour)
		l.now = l.now.Add(time.Millisecond)
		l.finishFirst()
	}
	for _, r := range l.admitted {
		if r.Class == manifest.Lot {
			lots++
		}
	}
	assert.Equal(t, lots, 3)
}

func TestRejectsAtOnceWithRetryAfter(t *testing.T) {
	l := newTestLimiter(1, 1, 10)
	for range 10 { // as many as the burst allows
		l.submit("c0", manifest.Normal, time.Hour)
	}
	before := len(l.rejected)
	l.submit("c0", manifest.Normal, 100*time.Millisecond)
	assert.Equal(t, len(l.rejected), before+1)
	retry := l.rejected[before].RetryAfter
	assert.Assert(t, retry > 0)

	l.SetCapacity(l.now, Capacity{Service: "text"})
	l.submit("c0", manifest.Normal, time.Hour)
	assert.Equal(t, l.rejected[before+1].Reason, NoCapacity)
}

func TestRejectsQueuedRequestAfterLatestStart(t *testing.T) {
	l := newTestLimiter(1, 1, 1000)
	l.submit("c0", manifest.Normal, time.Minute)
	l.submit("c0", manifest.Normal, time.Second)
	assert.Equal(t, len(l.rejected), 0)
	l.now = l.now.Add(1100 * time.Millisecond)
	l.Tick(l.now)
	assert.Equal(t, len(l.rejected), 1)
}

func TestRetryAfterSuffices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLimiter(100, 1, 10)
		for range rapid.IntRange(15, 60).Draw(t, "arrivals") {
			l.submit("c0", manifest.Normal, 300*time.Millisecond)
		}
		assert.Assert(t, len(l.rejected) > 0)
		retry := l.rejected[len(l.rejected)-1].RetryAfter
		l.now = l.now.Add(retry)
		l.Tick(l.now)
		rejected := len(l.rejected)
		l.submit("c0", manifest.Normal, 300*time.Millisecond)
		assert.Equal(t, len(l.rejected), rejected, "rejected again after %v", retry)
	})
}

func TestClockSteps(t *testing.T) {
	l := newTestLimiter(1000, 1, 10)
	admitted := func() int {
		n := len(l.admitted)
		for range 100 {
			l.submit("c0", manifest.Normal, time.Millisecond)
		}
		return len(l.admitted) - n
	}
	assert.Equal(t, admitted(), 10)
	l.now = l.now.Add(-time.Hour)
	assert.Equal(t, admitted(), 0)
	l.now = l.now.Add(time.Second)
	assert.Equal(t, admitted(), 10, "bucket should refill after a backward clock step")
	l.now = l.now.Add(24 * time.Hour)
	assert.Equal(t, admitted(), 10, "a forward clock step should admit no more than the burst")
}

// TestLimiterInvariants checks after random sequences of events that no limit is
// exceeded, that no slot is idle while a queued request may use it, and that each
// request is decided once.
func TestLimiterInvariants(t *testing.T) {
	classes := []manifest.Class{manifest.Urgent, manifest.Normal, manifest.Lot}
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLimiter(5, 3, 20)
		start, admittedBy, arrived := l.now, map[string]int{}, 0
		var queued []*Request
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				name := fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "customer"))
				timeout := time.Duration(rapid.IntRange(1, 5000).Draw(t, "timeout")) * time.Millisecond
				queued = append(queued, l.submit(name, rapid.SampledFrom(classes).Draw(t, "class"), timeout))
				arrived++
			},
			"done": func(t *rapid.T) {
				if len(l.running) > 0 {
					l.finishFirst()
				}
			},
			"cancel": func(t *rapid.T) {
				if len(queued) == 0 {
					return
				}
				r := queued[rapid.IntRange(0, len(queued)-1).Draw(t, "item")]
				if r.state == stateQueued {
					l.Cancel(l.now, r)
					arrived--
				}
			},
			"time": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				l.Tick(l.now)
			},
			"": func(t *rapid.T) {
				s := l.services["text"]
				assert.Assert(t, s.running <= 5 && s.running == len(l.running))
				waiting := 0
				for _, c := range l.customers {
					waiting += c.queued
				}
				assert.Equal(t, arrived, len(l.admitted)+len(l.rejected)+waiting, "requests lost or decided twice")
				clear(admittedBy)
				for _, r := range l.admitted {
					admittedBy[r.Customer]++
				}
				for name, n := range admittedBy {
					bound := 20*l.now.Sub(start).Seconds() + 21
					assert.Assert(t, float64(n) <= bound, "%s: %d requests admitted in %v", name, n, l.now.Sub(start))
				}
				assert.Assert(t, s.next(l.clock.elapsed) == nil, "a queued request may start but was not started")
			},
		})
	})
}

func BenchmarkDecision(b *testing.B) {
	l := newTestLimiter(1<<20, 5, 1e9)
	l.Limiter.decide = func(Decision) {}
	r := &Request{Customer: "c1", Service: "text", Class: manifest.Normal, Tokens: 1, Deadline: epoch.Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		l.now = l.now.Add(100 * time.Microsecond)
		r.state = stateNew
		r.Deadline = l.now.Add(time.Second)
		l.Submit(l.now, r)
		l.Done(l.now, r, 1, true)
	}
}

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

// bed is a limiter of one daemon with a service of a few slots.
type bed struct {
	*Limiter
	now     time.Time
	running []*Item
	refused []Decision
	order   []*Item // admitted
}

func newBed(slots, customers int, rate float64) *bed {
	b := &bed{now: epoch}
	b.Limiter = NewLimiter(Member{Name: "d", Cores: 2}, 1, b.decided)
	m := &manifest.Manifest{Services: []manifest.Service{{Name: "text"}}}
	for i := range customers {
		m.Customers = append(m.Customers, manifest.Customer{
			Name: fmt.Sprintf("c%d", i), Weight: 1, RequestsPerSecond: rate, TokensPerSecond: 1e6, Concurrency: 1000,
		})
	}
	b.Update(b.now, m)
	b.SetCapacity(b.now, Capacity{Service: "text", Slots: slots})
	return b
}

func (b *bed) decided(d Decision) {
	if d.Admitted {
		b.running = append(b.running, d.Item)
		b.order = append(b.order, d.Item)
		return
	}
	b.refused = append(b.refused, d)
}

func (b *bed) arrive(customer string, class manifest.Class, patience time.Duration) *Item {
	it := &Item{Customer: customer, Service: "text", Class: class, Tokens: 100, Deadline: b.now.Add(patience)}
	b.Arrive(b.now, it)
	return it
}

func (b *bed) finishFirst() {
	it := b.running[0]
	b.running = b.running[1:]
	b.Done(b.now, it, 100, true)
}

func TestFloodingCustomerDoesNotDelayOthers(t *testing.T) {
	const serviceTime = 50 * time.Millisecond
	worst := func(flood int) (most time.Duration) {
		b := newBed(4, 3, 50)
		arrived := make(map[*Item]time.Time)
		seen := 0
		for ms := range 5000 {
			b.now = b.now.Add(time.Millisecond)
			for range flood {
				b.arrive("c0", manifest.Normal, 2*time.Second)
			}
			if ms%40 == 0 {
				it := b.arrive("c1", manifest.Normal, 2*time.Second)
				arrived[it] = b.now
			}
			for len(b.running) > 0 && b.clock.elapsed-b.running[0].admitted >= serviceTime {
				b.finishFirst()
			}
			b.Tick(b.now)
			for ; seen < len(b.order); seen++ {
				if at, ok := arrived[b.order[seen]]; ok {
					most = max(most, b.now.Sub(at))
				}
			}
		}
		return most
	}
	alone, flooded := worst(0), worst(1)
	t.Logf("longest wait of the other customer: alone %v, flooded at twenty times the limit %v", alone, flooded)
	assert.Assert(t, flooded <= alone+serviceTime, "more than the rest of the requests that ran already")
}

func TestUrgentGoesFirstAndLotsDoNotStarve(t *testing.T) {
	b := newBed(1, 1, 1e6)
	for range 3 {
		b.arrive("c0", manifest.Lot, time.Hour)
	}
	urgent := b.arrive("c0", manifest.Urgent, time.Hour)
	b.now = b.now.Add(time.Millisecond)
	b.finishFirst()
	assert.Equal(t, b.order[1], urgent)
	lots := 0
	for range 100 {
		b.arrive("c0", manifest.Urgent, time.Hour)
		b.now = b.now.Add(time.Millisecond)
		b.finishFirst()
	}
	for _, it := range b.order {
		if it.Class == manifest.Lot {
			lots++
		}
	}
	assert.Equal(t, lots, 3)
}

func TestRefusalIsImmediateAndSaysWhen(t *testing.T) {
	b := newBed(1, 1, 10)
	for range 10 { // the burst
		b.arrive("c0", manifest.Normal, time.Hour)
	}
	before := len(b.refused)
	b.arrive("c0", manifest.Normal, 100*time.Millisecond)
	assert.Equal(t, len(b.refused), before+1)
	retry := b.refused[before].RetryAfter
	assert.Assert(t, retry > 0)

	b.SetCapacity(b.now, Capacity{Service: "text"})
	b.arrive("c0", manifest.Normal, time.Hour)
	assert.Equal(t, b.refused[before+1].Reason, NoCapacity)
}

func TestQueuedItemIsRefusedWhenItsTimeIsUp(t *testing.T) {
	b := newBed(1, 1, 1000)
	b.arrive("c0", manifest.Normal, time.Minute)
	b.arrive("c0", manifest.Normal, time.Second)
	assert.Equal(t, len(b.refused), 0)
	b.now = b.now.Add(1100 * time.Millisecond)
	b.Tick(b.now)
	assert.Equal(t, len(b.refused), 1)
}

func TestRetryAfterIsEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBed(100, 1, 10)
		for range rapid.IntRange(15, 60).Draw(t, "arrivals") {
			b.arrive("c0", manifest.Normal, 300*time.Millisecond)
		}
		assert.Assert(t, len(b.refused) > 0)
		retry := b.refused[len(b.refused)-1].RetryAfter
		b.now = b.now.Add(retry)
		b.Tick(b.now)
		refused := len(b.refused)
		b.arrive("c0", manifest.Normal, 300*time.Millisecond)
		assert.Equal(t, len(b.refused), refused, "refused again after %v", retry)
	})
}

func TestSetClockBackAndForth(t *testing.T) {
	b := newBed(1000, 1, 10)
	admitted := func() int {
		n := len(b.order)
		for range 100 {
			b.arrive("c0", manifest.Normal, time.Millisecond)
		}
		return len(b.order) - n
	}
	assert.Equal(t, admitted(), 10)
	b.now = b.now.Add(-time.Hour)
	assert.Equal(t, admitted(), 0)
	b.now = b.now.Add(time.Second)
	assert.Equal(t, admitted(), 10, "refills after the clock was set back")
	b.now = b.now.Add(24 * time.Hour)
	assert.Equal(t, admitted(), 10, "no more than the burst after a jump")
}

// TestLimiterInvariants checks, after any sequence of events, that no limit is
// exceeded, that no slot is idle while an item may use it, and that every item
// is decided once.
func TestLimiterInvariants(t *testing.T) {
	classes := []manifest.Class{manifest.Urgent, manifest.Normal, manifest.Lot}
	rapid.Check(t, func(t *rapid.T) {
		b := newBed(5, 3, 20)
		began, admittedBy, arrived := b.now, map[string]int{}, 0
		var queued []*Item
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				name := fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "customer"))
				patience := time.Duration(rapid.IntRange(1, 5000).Draw(t, "patience")) * time.Millisecond
				queued = append(queued, b.arrive(name, rapid.SampledFrom(classes).Draw(t, "class"), patience))
				arrived++
			},
			"done": func(t *rapid.T) {
				if len(b.running) > 0 {
					b.finishFirst()
				}
			},
			"cancel": func(t *rapid.T) {
				if len(queued) == 0 {
					return
				}
				it := queued[rapid.IntRange(0, len(queued)-1).Draw(t, "item")]
				if it.state == itemQueued {
					b.Cancel(b.now, it)
					arrived--
				}
			},
			"time": func(t *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				b.Tick(b.now)
			},
			"": func(t *rapid.T) {
				s := b.services["text"]
				assert.Assert(t, s.running <= 5 && s.running == len(b.running))
				waiting := 0
				for _, c := range b.customers {
					waiting += c.queued
				}
				assert.Equal(t, arrived, len(b.order)+len(b.refused)+waiting, "items lost or decided twice")
				clear(admittedBy)
				for _, it := range b.order {
					admittedBy[it.Customer]++
				}
				for name, n := range admittedBy {
					most := 20*b.now.Sub(began).Seconds() + 21
					assert.Assert(t, float64(n) <= most, "%s started %d in %v", name, n, b.now.Sub(began))
				}
				assert.Assert(t, s.next(b.clock.elapsed) == nil, "an item waits though it may start")
			},
		})
	})
}

func BenchmarkDecision(b *testing.B) {
	l := newBed(1<<20, 5, 1e9)
	l.Limiter.decide = func(Decision) {}
	it := &Item{Customer: "c1", Service: "text", Class: manifest.Normal, Tokens: 1, Deadline: epoch.Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		l.now = l.now.Add(100 * time.Microsecond)
		it.state = itemNew
		it.Deadline = l.now.Add(time.Second)
		l.Arrive(l.now, it)
		l.Done(l.now, it, 1, true)
	}
}

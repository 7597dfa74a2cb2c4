package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// flood runs daemons of unequal size for ten seconds while a customer sends twenty
// times its limit, mostly to one of them, and returns how many requests were
// admitted. rate is the customer's limit in requests per second, deliveryRate the
// probability that a report arrives.
func flood(t *testing.T, rate, deliveryRate float64) int {
	t.Helper()
	started := 0
	members := []Member{{"d0", 1}, {"d1", 2}, {"d2", 5}}
	m := &manifest.Manifest{
		Services:  []manifest.Service{{Name: "text"}},
		Customers: []manifest.Customer{{Name: "a", Weight: 1, RequestsPerSecond: rate, TokensPerSecond: 1e9, Concurrency: 1e6}},
	}
	rng := rand.New(rand.NewPCG(1, 2))
	now := epoch
	var daemons []*Limiter
	for i, self := range members {
		d := NewLimiter(self, uint64(i)*100, func(d Decision) {
			if d.Admitted {
				started++
			}
		})
		d.SetManifest(now, m)
		d.SetMembers(now, members)
		daemons = append(daemons, d)
	}
	for ms := range 10000 {
		now = now.Add(time.Millisecond)
		if ms%1000 == 999 {
			for _, from := range daemons {
				data, err := from.Report(now)
				assert.NilError(t, err)
				for _, to := range daemons {
					if rng.Float64() < deliveryRate {
						assert.NilError(t, to.MergeReport(now, data))
					}
				}
			}
		}
		for range int(rate / 50) {
			i := 0
			if rng.IntN(20) == 0 {
				i = rng.IntN(3)
			}
			daemons[i].Submit(now, &Request{Customer: "a", Service: "text", Class: manifest.Normal, Deadline: now.Add(time.Millisecond)})
		}
	}
	return started
}

func TestDaemonsStayWithinSharedLimit(t *testing.T) {
	const rate, seconds, bursts = 100.0, 10, 3
	for _, deliveryRate := range []float64{1, 0.7, 0.3, 0} {
		t.Run(fmt.Sprintf("arrives=%v", deliveryRate), func(t *testing.T) {
			n := flood(t, rate, deliveryRate)
			t.Logf("started %d of at most %v", n, rate*(seconds+bursts))
			assert.Assert(t, float64(n) <= rate*(seconds+bursts))
		})
	}
	shared, isolated := flood(t, rate, 1), flood(t, rate, 0)
	assert.Assert(t, float64(shared) > 0.8*rate*seconds, "with all reports the busy daemon should use the limit, admitted %d", shared)
	assert.Assert(t, isolated < shared, "without reports each daemon should stay within its base share")
}

func BenchmarkReport(b *testing.B) {
	for _, n := range []int{6, 60, 460} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			l := newTestLimiter(100, 5, 100)
			var members []Member
			for i := range n {
				members = append(members, Member{Name: fmt.Sprintf("entry-%d", i), Cores: 4})
			}
			l.SetMembers(epoch, members)
			bytes := 0
			for b.Loop() {
				l.now = l.now.Add(l.ReportInterval())
				for c := range 5 {
					l.submit(fmt.Sprintf("c%d", c), manifest.Normal, time.Second)
				}
				data, err := l.Report(l.now)
				assert.NilError(b, err)
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "B/report")
			b.ReportMetric(float64(bytes*n)/l.ReportInterval().Seconds(), "B/s-received")
		})
	}
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	customer         = "c"
	exchangeInterval = 250 * time.Millisecond
)

// fleet simulates daemons that exchange their Spends on a virtual clock.
type fleet struct {
	rnd          *rand.Rand
	limiters     []*Limiter
	incarnations []int64
	isolated     []bool // cannot exchange state with any other daemon
	suspended    []bool // process is stopped
	now          time.Duration
	admissions   []admission
	limit        Limit
}

type admission struct {
	at   time.Duration
	cost float64
}

func newFleet(n int, limit Limit, seed uint64) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), limit: limit, now: time.Hour}
	for i := range n {
		f.limiters = append(f.limiters, nil)
		f.incarnations = append(f.incarnations, 0)
		f.isolated = append(f.isolated, false)
		f.suspended = append(f.suspended, false)
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	f.limiters[i] = New(tolerance)
	f.incarnations[i]++
	f.limiters[i].SetLimits(map[string]Limit{customer: f.limit}, f.now)
	f.updateCounts()
}

func (f *fleet) updateCounts() {
	reachable := 0
	for i, isolated := range f.isolated {
		if !isolated && !f.suspended[i] {
			reachable++
		}
	}
	for i, lim := range f.limiters {
		if f.suspended[i] {
			continue
		}
		if f.isolated[i] {
			lim.SetDaemons(len(f.limiters), 1, 1, exchangeInterval, f.now)
		} else {
			lim.SetDaemons(len(f.limiters), reachable, 1, exchangeInterval, f.now)
		}
	}
}

func (f *fleet) exchange() {
	for i, lim := range f.limiters {
		for j, other := range f.limiters {
			if i != j && !f.isolated[i] && !f.isolated[j] && !f.suspended[i] && !f.suspended[j] {
				other.Merge(fmt.Sprint(i), f.incarnations[i], lim.LocalSpends(f.now), f.now)
			}
		}
	}
}

// run sends each daemon requests of the given cost that add up to its demand, in cost
// per second.
func (f *fleet) run(duration time.Duration, demand []float64, cost float64) (requested, admitted float64) {
	const step = 10 * time.Millisecond
	for end := f.now + duration; f.now < end; f.now += step {
		if f.now%exchangeInterval == 0 {
			f.exchange()
		}
		if f.now%(200*time.Millisecond) == 0 {
			f.updateCounts() // as a daemon does periodically
		}
		for i, lim := range f.limiters {
			if f.suspended[i] {
				continue
			}
			for remaining := demand[i] * step.Seconds(); remaining > 0; remaining -= cost {
				if remaining < cost && f.rnd.Float64() > remaining/cost {
					break
				}
				requested += cost
				if lim.Take(customer, cost, f.now).Admit {
					admitted += cost
					f.admissions = append(f.admissions, admission{f.now, cost})
				}
			}
		}
	}
	return requested, admitted
}

// maxInWindow returns the largest cost that was admitted in any window of this length.
func (f *fleet) maxInWindow(window time.Duration) float64 {
	largest, sum, from := 0.0, 0.0, 0
	for _, a := range f.admissions {
		sum += a.cost
		for a.at-f.admissions[from].at > window {
			sum -= f.admissions[from].cost
			from++
		}
		largest = max(largest, sum)
	}
	return largest
}

func evenDemand(n int, total float64) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = total / float64(n)
	}
	return list
}

// tolerance holds the values of the users' documentation.
var tolerance = Tolerance{Relative: 0.1, Absolute: 72000, Window: 8 * time.Second}

// maxAdmitted returns the cost that the platform accepts in a window under a limit.
func maxAdmitted(l Limit) float64 {
	allowed := l.Rate*tolerance.Window.Seconds() + l.Burst
	return allowed*(1+tolerance.Relative) + tolerance.Absolute
}

// TestNormalDemandAfterIsolationOrSuspension isolates or suspends one daemon for a while.
// The others use only their own fraction of the limit meanwhile, so no request may be
// refused afterwards because of what they admitted.
func TestNormalDemandAfterIsolationOrSuspension(t *testing.T) {
	for name, faults := range map[string]func(*fleet) []bool{
		"isolated":  func(f *fleet) []bool { return f.isolated },
		"suspended": func(f *fleet) []bool { return f.suspended },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(6, Limit{Rate: 480000, Burst: 480000}, 1)
			normal := evenDemand(6, 480000/1.8)
			f.run(10*time.Second, normal, 9000)
			faults(f)[2] = true
			f.run(7*time.Second, normal, 9000)
			faults(f)[2] = false
			requested, admitted := f.run(8*time.Second, normal, 9000)
			assert.Assert(t, admitted >= 0.99*requested, "admitted %v of %v requested", admitted, requested)
		})
	}
}

// TestUnevenReconnectAfterRestart lets all callers reconnect at once after a restart, most
// of them to two of the new daemons. Requests within the limit must be admitted.
func TestUnevenReconnectAfterRestart(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	f := newFleet(6, limit, 3)
	f.run(500*time.Millisecond, evenDemand(6, 1), 1)
	demand := []float64{340000, 200000, 90000, 60000, 40000, 20000}
	requested, admitted := f.run(time.Second, demand, 5000)
	assert.Assert(t, admitted >= 0.95*requested, "admitted %v of %v requested", admitted, requested)
}

// TestAllRestartUnderOverload restarts all daemons while a customer sends many times its
// limit before and after. The new daemons admit requests at once although they do not know
// what was admitted before, and every window stays within the tolerance.
func TestAllRestartUnderOverload(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	f := newFleet(6, limit, 3)
	f.run(10*time.Second, evenDemand(6, 1), 1)
	f.run(9*time.Second, evenDemand(6, 2e6), 9000)
	for i := range f.limiters {
		f.restart(i)
	}
	_, admitted := f.run(300*time.Millisecond, evenDemand(6, 2e6), 9000)
	assert.Assert(t, admitted >= 100000, "admitted %v right after the restart", admitted)
	f.run(9*time.Second, evenDemand(6, 2e6), 9000)
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "admitted %v in a window", f.maxInWindow(8*time.Second))
}

func TestNormalDemandIsAdmitted(t *testing.T) {
	f := newFleet(6, Limit{Rate: 480000, Burst: 480000}, 1)
	f.run(10*time.Second, evenDemand(6, 1), 1)
	requested, admitted := f.run(30*time.Second, evenDemand(6, 480000/1.8), 9000)
	assert.Assert(t, admitted >= 0.999*requested, "admitted %v of %v requested", admitted, requested)
}

func TestUnevenDemandIsAdmitted(t *testing.T) {
	f := newFleet(6, Limit{Rate: 480000, Burst: 480000}, 1)
	f.run(10*time.Second, evenDemand(6, 1), 1)
	requested, admitted := f.run(30*time.Second, []float64{200000, 50000, 10000, 5000, 1000, 700}, 9000)
	assert.Assert(t, admitted >= 0.98*requested, "admitted %v of %v requested", admitted, requested)
}

func TestOverloadIsLimitedAndLimitIsUsed(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	for seed := range uint64(5) {
		f := newFleet(6, limit, seed)
		f.run(10*time.Second, evenDemand(6, 1), 1)
		_, admitted := f.run(20*time.Second, evenDemand(6, 2e6), 9000)
		assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "admitted %v in a window", f.maxInWindow(8*time.Second))
		assert.Assert(t, admitted >= 0.9*limit.Rate*20, "admitted %v", admitted)
	}
}

func TestSmallLimitIsUsedButNotExceeded(t *testing.T) {
	limit := Limit{Rate: 18000, Burst: 18000}
	f := newFleet(6, limit, 1)
	_, admitted := f.run(40*time.Second, evenDemand(6, 200000), 9000)
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "admitted %v in a window", f.maxInWindow(8*time.Second))
	assert.Assert(t, admitted >= 0.5*limit.Rate*40, "admitted %v", admitted)
}

// TestLargeRequestsAreAdmittedAsOftenAsSmall sends far more than the limit in requests
// whose costs differ by a factor of ten.
func TestLargeRequestsAreAdmittedAsOftenAsSmall(t *testing.T) {
	limit := Limit{Rate: 150000, Burst: 150000}
	f := newFleet(6, limit, 1)
	f.run(10*time.Second, evenDemand(6, 1), 1)
	f.run(5*time.Second, evenDemand(6, 600000), 9000)
	requested, admitted := [2]int{}, [2]int{}
	for range 2000 {
		f.run(10*time.Millisecond, evenDemand(6, 0), 1)
		for i, cost := range []float64{2000, 20000} {
			for _, lim := range f.limiters {
				if f.rnd.Float64() > 0.3 {
					continue
				}
				requested[i]++
				if lim.Take(customer, cost, f.now).Admit {
					admitted[i]++
					f.admissions = append(f.admissions, admission{f.now, cost})
				}
			}
		}
	}
	small, large := float64(admitted[0])/float64(requested[0]), float64(admitted[1])/float64(requested[1])
	assert.Assert(t, large > 0.7*small, "fraction admitted: small %.2f, large %.2f", small, large)
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "admitted %v in a window", f.maxInWindow(8*time.Second))
}

// TestRandomFaults isolates, restarts and suspends random daemons under random demand and
// checks every window against the platform's tolerance. A failure prints its seed.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		f := newFleet(6, Limit{Rate: 300000, Burst: 300000}, seed)
		f.injectRandomFaults(t, seed, func() {
			f.run(time.Duration(1+f.rnd.IntN(30))*100*time.Millisecond, evenDemand(6, f.rnd.Float64()*2e6), 4000+f.rnd.Float64()*9000)
		})
	}
}

// TestRandomFaultsWithSmallRequests is TestRandomFaults with small requests added that cost
// a tenth of the demand in large ones, about the largest fraction that can count as small
// (smallRequestRatio).
func TestRandomFaultsWithSmallRequests(t *testing.T) {
	const step = 10 * time.Millisecond
	for seed := range uint64(60) {
		f := newFleet(6, Limit{Rate: 300000, Burst: 300000}, seed)
		f.injectRandomFaults(t, seed, func() {
			demand, cost := f.rnd.Float64()*4e6, 4000+f.rnd.Float64()*9000
			for range 1 + f.rnd.IntN(150) {
				f.run(step, evenDemand(6, demand), cost)
				f.run(step, evenDemand(6, demand/10), cost/50)
			}
		})
	}
}

// injectRandomFaults isolates, restarts and suspends random daemons, calls load after each
// fault, and checks that no window exceeds what the platform accepts.
func (f *fleet) injectRandomFaults(t *testing.T, seed uint64, load func()) {
	f.run(10*time.Second, evenDemand(6, 1), 1)
	for range 12 {
		i := f.rnd.IntN(6)
		switch f.rnd.IntN(3) {
		case 0:
			f.isolated[i] = !f.isolated[i]
		case 1:
			f.restart(i)
		}
		f.updateCounts()
		if f.rnd.IntN(4) == 0 {
			f.suspended[i] = !f.suspended[i]
		}
		load()
	}
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(f.limit), "seed %d: admitted %v in a window", seed, f.maxInWindow(8*time.Second))
}

// TestResumedDaemonStaysWithinItsShare resumes a daemon that was suspended while the
// others used up the bucket. Its copy of the bucket is stale, so it may admit no more than
// its own share until it receives a report.
func TestResumedDaemonStaysWithinItsShare(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	f := newFleet(6, limit, 1)
	f.run(10*time.Second, evenDemand(6, 1), 1)
	f.run(time.Second, evenDemand(6, 2e6), 9000)
	f.suspended[2] = true
	f.run(7*time.Second, evenDemand(6, 2e6), 9000)
	resumed, admitted := f.limiters[2], 0.0
	for range 100 {
		if resumed.Take(customer, 9000, f.now).Admit {
			admitted += 9000
		}
	}
	assert.Assert(t, admitted <= limit.Burst/6+9000, "admitted %v", admitted)
	lowest := limit.Burst
	for _, lim := range f.limiters {
		lowest = min(lowest, lim.Level(customer))
	}
	f.suspended[2] = false
	f.exchange()
	assert.Assert(t, resumed.Level(customer) <= lowest, "level %v, lowest of the other daemons %v", resumed.Level(customer), lowest)
}

func TestRefund(t *testing.T) {
	lim := New(Tolerance{})
	now := time.Hour
	lim.SetLimits(map[string]Limit{customer: {Rate: 100, Burst: 50}}, now)
	now += 400 * time.Millisecond
	assert.Assert(t, lim.Take(customer, 40, now).Admit)
	d := lim.Take(customer, 40, now)
	assert.Assert(t, !d.Admit && d.Wait >= minRetryAfter && d.Wait <= maxRetryAfter)
	lim.Refund(customer, 40)
	assert.Assert(t, lim.Take(customer, 40, now).Admit)
	assert.Equal(t, lim.LocalSpends(now)[0].Spent, 40.0)
}

// TestSmallRequestsAreNotStarvedByLarge sends four times the limit, nearly all of it in
// large requests and a hundredth of the cost in small ones. The small ones are admitted,
// and the large ones still use the limit.
func TestSmallRequestsAreNotStarvedByLarge(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	f := newFleet(6, limit, 5)
	f.run(2*time.Second, evenDemand(6, 480000/1.8), 9000)
	var requested, admitted, large float64
	const step = 10 * time.Millisecond
	for range int(10 * time.Second / (2 * step)) { // alternating, so each kind runs half of the time at twice its demand
		_, l := f.run(step, evenDemand(6, 2*2e6), 9000)
		a, s := f.run(step, evenDemand(6, 2*2e4), 200)
		requested, admitted, large = requested+a, admitted+s, large+l
	}
	assert.Assert(t, admitted >= 0.95*requested, "admitted %v of %v requested in small requests", admitted, requested)
	assert.Assert(t, large >= 0.9*10*limit.Rate, "admitted %v in large requests", large)
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "admitted %v in a window", f.maxInWindow(8*time.Second))
}

// TestIsolatedDaemonsStayWithinTheLimit isolates one, three or all daemons while a customer
// sends four times its limit, for limits with small and large bursts.
func TestIsolatedDaemonsStayWithinTheLimit(t *testing.T) {
	for _, burst := range []float64{100000, 480000, 4800000} {
		limit := Limit{Rate: 480000, Burst: burst}
		for _, isolated := range [][]int{{0, 1, 2, 3, 4, 5}, {0, 1, 2}, {0}} {
			f := newFleet(6, limit, 7)
			f.run(time.Minute, evenDemand(6, 1), 1)
			for _, i := range isolated {
				f.isolated[i] = true
			}
			f.run(10*time.Second, evenDemand(6, 2e6), 9000)
			for _, i := range isolated {
				f.isolated[i] = false
			}
			f.run(10*time.Second, evenDemand(6, 2e6), 9000)
			largest := f.maxInWindow(8 * time.Second)
			t.Logf("burst %v, %d isolated: admitted %.0f of at most %.0f", burst, len(isolated), largest, maxAdmitted(limit))
			assert.Check(t, largest <= maxAdmitted(limit))
		}
	}
}

// TestReturningCustomerHasNoNewBurst guards against a customer that spends its burst again each
// time the configuration drops it and brings it back.
func TestReturningCustomerHasNoNewBurst(t *testing.T) {
	f := newFleet(2, Limit{Rate: 10, Burst: 1000}, 1)
	f.now += time.Minute // until the buckets are full
	spent := 0
	for range 5 {
		for i, lim := range f.limiters {
			for lim.Take(customer, 100, f.now).Admit && spent < 100_000 {
				spent += 100
			}
			other := f.limiters[1-i]
			other.Merge(fmt.Sprint(i), f.incarnations[i], lim.LocalSpends(f.now), f.now)
		}
		for _, config := range []map[string]Limit{{}, {customer: f.limit}} {
			f.now += time.Second
			for _, lim := range f.limiters {
				lim.SetLimits(config, f.now)
			}
		}
	}
	t.Logf("spent %d in 10 s", spent)
	assert.Assert(t, spent <= 1000+10*10+2*100, "%d, allowed are the limit and one request at each daemon beyond it", spent)
	for _, lim := range f.limiters {
		lim.SetLimits(nil, f.now)
		lim.SetLimits(nil, f.now+absentRetention+time.Second)
		assert.Equal(t, len(lim.buckets), 0, "it does not return")
	}
}

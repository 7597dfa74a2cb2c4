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

// fleet plays daemons that exchange what they have taken.
type fleet struct {
	rnd          *rand.Rand
	limiters     []*Limiter
	incarnations []int64
	isolated     []bool // out of touch with the others
	suspended    []bool // does nothing at all
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

// run lets each daemon be asked for perSecond, in requests of the given cost.
func (f *fleet) run(duration time.Duration, demand []float64, cost float64) (requested, admitted float64) {
	const step = 10 * time.Millisecond
	for end := f.now + duration; f.now < end; f.now += step {
		if f.now%exchangeInterval == 0 {
			f.exchange()
		}
		if f.now%(200*time.Millisecond) == 0 {
			f.updateCounts() // as a daemon does from time to time
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
				if lim.Take(customer, cost, f.now).OK {
					admitted += cost
					f.admissions = append(f.admissions, admission{f.now, cost})
				}
			}
		}
	}
	return requested, admitted
}

// maxInWindow returns the largest sum in any window.
func (f *fleet) maxInWindow(window time.Duration) float64 {
	largest, sum, from := 0.0, 0.0, 0
	for _, t := range f.admissions {
		sum += t.cost
		for t.at-f.admissions[from].at > window {
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

// tolerance is what the users' pages name.
var tolerance = Tolerance{Relative: 0.1, Absolute: 72000, Window: 8 * time.Second}

// maxAdmitted is what the platform tolerates in a window.
func maxAdmitted(l Limit) float64 {
	allowed := l.Rate*tolerance.Window.Seconds() + l.Burst
	return allowed*(1+tolerance.Relative) + tolerance.Absolute
}

// TestNormalDemandAfterIsolationOrSuspension replays a daemon that was out of touch or
// stood still: what the others took meanwhile was theirs to take, and nobody may
// be refused for it afterwards.
func TestNormalDemandAfterIsolationOrSuspension(t *testing.T) {
	for name, faults := range map[string]func(*fleet) []bool{
		"cut":    func(f *fleet) []bool { return f.isolated },
		"freeze": func(f *fleet) []bool { return f.suspended },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(6, Limit{Rate: 480000, Burst: 480000}, 1)
			normal := evenDemand(6, 480000/1.8)
			f.run(10*time.Second, normal, 9000)
			faults(f)[2] = true
			f.run(7*time.Second, normal, 9000)
			faults(f)[2] = false
			requested, admitted := f.run(8*time.Second, normal, 9000)
			assert.Assert(t, admitted >= 0.99*requested, "%v of %v", admitted, requested)
		})
	}
}

// TestUnevenReconnectAfterRestart replays callers that come back together, most of
// them to two of the new daemons: nobody within the limit is refused.
func TestUnevenReconnectAfterRestart(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	f := newFleet(6, limit, 3)
	f.run(500*time.Millisecond, evenDemand(6, 1), 1)
	demand := []float64{340000, 200000, 90000, 60000, 40000, 20000}
	requested, admitted := f.run(time.Second, demand, 5000)
	assert.Assert(t, admitted >= 0.95*requested, "%v of %v", admitted, requested)
}

// TestAllRestartUnderOverload kills all daemons while a customer asks for many
// times its limit, and again soon after: the new ones admit at once, and all
// windows stay within the tolerance.
func TestAllRestartUnderOverload(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	f := newFleet(6, limit, 3)
	f.run(10*time.Second, evenDemand(6, 1), 1)
	f.run(9*time.Second, evenDemand(6, 2e6), 9000)
	for i := range f.limiters {
		f.restart(i)
	}
	_, admitted := f.run(300*time.Millisecond, evenDemand(6, 2e6), 9000)
	assert.Assert(t, admitted >= 100000, "%v at once", admitted)
	f.run(9*time.Second, evenDemand(6, 2e6), 9000)
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "%v", f.maxInWindow(8*time.Second))
}

func TestNormalDemandIsAdmitted(t *testing.T) {
	f := newFleet(6, Limit{Rate: 480000, Burst: 480000}, 1)
	f.run(10*time.Second, evenDemand(6, 1), 1)
	requested, admitted := f.run(30*time.Second, evenDemand(6, 480000/1.8), 9000)
	assert.Assert(t, admitted >= 0.999*requested, "%v of %v", admitted, requested)
}

func TestUnevenDemandIsAdmitted(t *testing.T) {
	f := newFleet(6, Limit{Rate: 480000, Burst: 480000}, 1)
	f.run(10*time.Second, evenDemand(6, 1), 1)
	requested, admitted := f.run(30*time.Second, []float64{200000, 50000, 10000, 5000, 1000, 700}, 9000)
	assert.Assert(t, admitted >= 0.98*requested, "%v of %v", admitted, requested)
}

func TestOverloadIsLimitedAndLimitIsUsed(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	for seed := range uint64(5) {
		f := newFleet(6, limit, seed)
		f.run(10*time.Second, evenDemand(6, 1), 1)
		_, admitted := f.run(20*time.Second, evenDemand(6, 2e6), 9000)
		assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "%v", f.maxInWindow(8*time.Second))
		assert.Assert(t, admitted >= 0.9*limit.Rate*20, "%v", admitted)
	}
}

func TestSmallLimitIsUsedButNotExceeded(t *testing.T) {
	limit := Limit{Rate: 18000, Burst: 18000}
	f := newFleet(6, limit, 1)
	_, admitted := f.run(40*time.Second, evenDemand(6, 200000), 9000)
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "%v", f.maxInWindow(8*time.Second))
	assert.Assert(t, admitted >= 0.5*limit.Rate*40, "%v", admitted)
}

// TestLargeRequestsAreAdmittedAsOftenAsSmall replays a customer far beyond its
// limit whose requests differ tenfold in size.
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
				if lim.Take(customer, cost, f.now).OK {
					admitted[i]++
					f.admissions = append(f.admissions, admission{f.now, cost})
				}
			}
		}
	}
	small, large := float64(admitted[0])/float64(requested[0]), float64(admitted[1])/float64(requested[1])
	assert.Assert(t, large > 0.7*small, "small %.2f, large %.2f", small, large)
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "%v", f.maxInWindow(8*time.Second))
}

// TestRandomFaults draws cuts, restarts, changes of the limit and bursts, and
// checks the platform's tolerance in every window. Seeds are printed.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		f := newFleet(6, Limit{Rate: 300000, Burst: 300000}, seed)
		f.injectRandomFaults(t, seed, func() {
			f.run(time.Duration(1+f.rnd.IntN(30))*100*time.Millisecond, evenDemand(6, f.rnd.Float64()*2e6), 4000+f.rnd.Float64()*9000)
		})
	}
}

// TestRandomFaultsWithSmallRequests is the same with a tenth of the demand in small
// requests, which is the most that counts as small.
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

// injectRandomFaults lets daemons be cut off, restarted and frozen while play asks them,
// and checks that no window exceeds what the platform tolerates.
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
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(f.limit), "seed %d: %v", seed, f.maxInWindow(8*time.Second))
}

// TestResumedDaemonStaysWithinItsShare wakes a daemon that stood still while the
// others took all there was: until it hears of them it may take its share only.
func TestResumedDaemonStaysWithinItsShare(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	f := newFleet(6, limit, 1)
	f.run(10*time.Second, evenDemand(6, 1), 1)
	f.run(time.Second, evenDemand(6, 2e6), 9000)
	f.suspended[2] = true
	f.run(7*time.Second, evenDemand(6, 2e6), 9000)
	resumed, admitted := f.limiters[2], 0.0
	for range 100 {
		if resumed.Take(customer, 9000, f.now).OK {
			admitted += 9000
		}
	}
	assert.Assert(t, admitted <= limit.Burst/6+9000, "%v", admitted)
	lowest := limit.Burst
	for _, lim := range f.limiters {
		lowest = min(lowest, lim.Level(customer))
	}
	f.suspended[2] = false
	f.exchange()
	assert.Assert(t, resumed.Level(customer) <= lowest, "%v, others had %v", resumed.Level(customer), lowest)
}

func TestRefund(t *testing.T) {
	lim := New(Tolerance{})
	now := time.Hour
	lim.SetLimits(map[string]Limit{customer: {Rate: 100, Burst: 50}}, now)
	now += 400 * time.Millisecond
	assert.Assert(t, lim.Take(customer, 40, now).OK)
	d := lim.Take(customer, 40, now)
	assert.Assert(t, !d.OK && d.Wait >= minRetry && d.Wait <= maxRetry)
	lim.Refund(customer, 40)
	assert.Assert(t, lim.Take(customer, 40, now).OK)
	assert.Equal(t, lim.LocalSpends(now)[0].Spent, 40.0)
}

// TestSmallRequestsAreNotStarvedByLarge replays a customer that asks for four times
// its limit, nearly all of it in large requests: its small ones, a hundredth of
// the cost, need not wait behind them, and the large ones still get the limit.
func TestSmallRequestsAreNotStarvedByLarge(t *testing.T) {
	limit := Limit{Rate: 480000, Burst: 480000}
	f := newFleet(6, limit, 5)
	f.run(2*time.Second, evenDemand(6, 480000/1.8), 9000)
	var requested, admitted, large float64
	const step = 10 * time.Millisecond
	for range int(10 * time.Second / (2 * step)) { // in turn, so half of the time each
		_, l := f.run(step, evenDemand(6, 2*2e6), 9000)
		a, s := f.run(step, evenDemand(6, 2*2e4), 200)
		requested, admitted, large = requested+a, admitted+s, large+l
	}
	assert.Assert(t, admitted >= 0.95*requested, "small: %v of %v", admitted, requested)
	assert.Assert(t, large >= 0.9*10*limit.Rate, "large: %v", large)
	assert.Assert(t, f.maxInWindow(8*time.Second) <= maxAdmitted(limit), "%v", f.maxInWindow(8*time.Second))
}

// TestIsolatedDaemonsStayWithinTheLimit lets every daemon lose touch with every other while a
// customer asks for four times its limit, at limits with small and large bursts.
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
			t.Logf("burst %v, %d cut: %.0f of %.0f", burst, len(isolated), largest, maxAdmitted(limit))
			assert.Check(t, largest <= maxAdmitted(limit))
		}
	}
}

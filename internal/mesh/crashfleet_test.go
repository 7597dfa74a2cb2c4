package mesh

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/quarantine"
)

const (
	rarePeriod   = 10 * time.Second // between the requests with one rare segment
	longAnswer   = 20 * time.Second // from its first event to its end
	upstreamBoot = 3 * time.Second
	answerDelay  = 200 * time.Millisecond // from sending a request to its first event
	markInterval = 2 * time.Second        // between reports that an answer goes on
)

// Segments of sound requests.
const (
	commonSegment  = 1
	companionA     = 2 // companionA and companionB are in all crashing requests
	companionB     = 3
	popularSegment = 100  // the first of many
	rareSegment    = 1000 // the first of many
	secondSegment  = crashSegment + 1
)

// upstreamFleet simulates the upstreams of a deployment, with the requests that are open at
// each, beside its daemons.
type upstreamFleet struct {
	*crashCluster
	upstreams  []*fleetUpstream
	rare       int           // segments that are asked for once in rarePeriod, with long answers
	point      time.Duration // after the first event of a crashing answer; below 0 before its head
	chase      bool          // crashing requests go where most rare ones are open
	companions bool          // crashing requests have two segments that sound ones have too
	second     bool          // every other crashing request has another crashing segment
	restarts   bool          // a third of the daemons, and a hub, restart after the fourth end
	restarted  bool
	ends2      []time.Duration // under the second segment
	sends2     []time.Duration
	wrong      []uint64 // sound subjects that were quarantined
	nextEnd    uint64
}

type fleetUpstream struct {
	hash uint64
	upAt time.Duration
	open []*fleetAnswer
}

// fleetAnswer is a request that is open at an upstream.
type fleetAnswer struct {
	nd       *testNode
	table    *quarantine.Table
	subjects []quarantine.Subject
	sentAt   time.Duration
	length   time.Duration // of the answer, from its first event
	markedAt time.Duration
	bad      bool
	second   bool // it has the second crashing segment
	rare     bool
	attempts int
}

func (a *fleetAnswer) firstAt() time.Duration { return a.sentAt + answerDelay }

// progress returns how far an answer has come that has an event every 50 ms.
func (a *fleetAnswer) progress(now time.Duration) quarantine.Progress {
	t := max(now-a.firstAt(), 0)
	return quarantine.Progress{Time: t, Events: int(t / (50 * time.Millisecond))}
}

func newUpstreamFleet(t *testing.T, n, upstreams int, soundRate float64, seed uint64) *upstreamFleet {
	f := &upstreamFleet{crashCluster: newCrashCluster(t, n, min(n, 3), 0, soundRate, seed), rare: 20}
	f.onStep = f.step
	for range upstreams {
		f.nextEnd++
		f.upstreams = append(f.upstreams, &fleetUpstream{hash: f.nextEnd})
	}
	return f
}

func fleetSubjects(segments ...uint64) []quarantine.Subject {
	var list []quarantine.Subject
	for _, id := range segments {
		list = append(list, quarantine.Subject{Service: crashService, ID: id})
	}
	return list
}

func (f *upstreamFleet) step() {
	for i, nd := range f.nodes {
		if !nd.up || nd.suspended {
			continue
		}
		for _, c := range f.tables[nd].Tick(5*nd.interval(), f.now) {
			if c.Kind == quarantine.Quarantined && c.ID != crashSegment && c.ID != secondSegment && c.Companions == 0 {
				f.wrong = append(f.wrong, c.ID)
			}
		}
		if list, _ := f.tables[nd].Quarantined(f.now); i == 0 && len(list) > 0 {
			f.stored, f.storedAt = list, f.now
		}
	}
	for _, u := range f.upstreams {
		f.progress(u)
	}
	if f.restarts && !f.restarted && len(f.ends) == crashCount-1 {
		f.restarted = true
		for _, h := range f.hubs()[:min(len(f.hubs()), 1)] {
			f.restart(h)
		}
		for i, nd := range f.nodes {
			if i%3 == 1 {
				f.restart(nd)
			}
		}
	}
	f.sendAll()
}

// sendAll sends the requests of one step at random daemons.
func (f *upstreamFleet) sendAll() {
	short := func() time.Duration { return time.Duration(300+f.rng.IntN(1200)) * time.Millisecond }
	for range f.draw(f.soundRate) {
		f.request(fleetSubjects(commonSegment, popularSegment+uint64(f.rng.IntN(40))), short(), false, false)
	}
	for range f.draw(f.badRate) {
		segments := []uint64{commonSegment, popularSegment + uint64(f.rng.IntN(40)), crashSegment}
		if f.companions {
			segments = []uint64{commonSegment, companionA, companionB, crashSegment}
		}
		if f.second && f.rng.IntN(2) == 0 {
			segments[len(segments)-1] = secondSegment
		}
		f.request(fleetSubjects(segments...), longAnswer, true, false)
	}
	for i := range f.rare {
		if due := time.Duration(i) * rarePeriod / time.Duration(f.rare); (f.now-due)%rarePeriod < step {
			f.request(fleetSubjects(commonSegment, rareSegment+uint64(i)), longAnswer, false, true)
		}
	}
	if f.companions && f.now%rarePeriod < step {
		f.request(fleetSubjects(commonSegment, companionA), longAnswer, false, true)
		f.request(fleetSubjects(companionB), longAnswer, false, true)
	}
}

// draw returns a number of requests for one step.
func (f *upstreamFleet) draw(rate float64) (n int) {
	for left := rate * step.Seconds(); left > 0; left-- {
		if f.rng.Float64() < left {
			n++
		}
	}
	return n
}

// request sends a new request at a random daemon.
func (f *upstreamFleet) request(subjects []quarantine.Subject, length time.Duration, bad, rare bool) {
	second := bad && subjects[len(subjects)-1].ID == secondSegment
	nd := f.nodes[f.rng.IntN(len(f.nodes))]
	if !nd.up || nd.suspended {
		return
	}
	f.nextContent++
	subjects = append(subjects, quarantine.Subject{Service: crashService, ID: f.nextContent, Request: true})
	if !bad {
		f.sound++
	}
	f.place(&fleetAnswer{nd: nd, table: f.tables[nd], subjects: subjects, length: length, bad: bad, second: second, rare: rare})
}

// place sends a request to an upstream unless its daemon refuses it.
func (f *upstreamFleet) place(a *fleetAnswer) {
	if v := a.table.Check(a.subjects, anySoftware, f.now); v != nil && (a.attempts > 0 || !v.TrialDue || !f.startTrial(a.nd, v.Subject)) {
		if !a.bad {
			f.refused++
		}
		return
	}
	var up []*fleetUpstream
	for _, u := range f.upstreams {
		if u.upAt <= f.now {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return
	}
	u := up[f.rng.IntN(len(up))]
	if a.bad && f.chase {
		rare := func(u *fleetUpstream) (n int) {
			for _, o := range u.open {
				if o.rare {
					n++
				}
			}
			return n
		}
		u = slices.MaxFunc(up, func(x, y *fleetUpstream) int { return rare(x) - rare(y) })
	}
	a.attempts++
	a.sentAt, a.markedAt = f.now, f.now+answerDelay
	u.open = append(u.open, a)
	switch {
	case a.second:
		f.sends2 = append(f.sends2, f.now)
	case a.bad:
		f.sends = append(f.sends, f.now)
	}
}

// progress lets the answers of an upstream go on, and ends it where one is due to.
func (f *upstreamFleet) progress(u *fleetUpstream) {
	var open []*fleetAnswer
	for _, a := range u.open {
		known := f.tables[a.nd] == a.table && a.nd.up && !a.nd.suspended
		switch crashAt := a.firstAt() + f.point; {
		case a.bad && f.now >= crashAt:
			if a.second {
				f.ends2 = append(f.ends2, f.now)
			} else {
				f.ends = append(f.ends, f.now)
			}
			f.end(u)
			return
		case !known:
		case f.now >= a.firstAt()+a.length:
			a.table.Completed(a.subjects, f.now)
		default:
			if f.now-a.markedAt >= markInterval {
				a.markedAt = f.now
				a.table.Progressed(a.subjects, a.progress(f.now), f.now)
			}
			open = append(open, a)
		}
	}
	u.open = open
}

// end ends an upstream under all requests that are open there. They are sent again once.
func (f *upstreamFleet) end(u *fleetUpstream) {
	end := quarantine.End{Upstream: u.hash, At: f.now}
	open := u.open
	f.nextEnd++
	u.hash, u.upAt, u.open = f.nextEnd, f.now+upstreamBoot, nil
	for _, a := range open {
		if f.tables[a.nd] != a.table || !a.nd.up || a.nd.suspended {
			continue
		}
		end.SentAt, end.Stage, end.Progress = a.sentAt, quarantine.BeforeHead, a.progress(f.now)
		if f.now > a.firstAt() {
			end.Stage = quarantine.AfterEvent
		}
		repeated, _, _ := a.table.Ended(a.subjects, end, f.now)
		if !repeated && a.attempts < 2 {
			a.length = max(a.length-end.Progress.Time, step)
			f.place(a)
		}
	}
}

// assertSound checks the rule, and that nothing sound was blamed or refused.
func (f *upstreamFleet) assertSound() {
	f.t.Helper()
	n := f.lateSends()
	f.ends, f.ends2, f.sends, f.sends2 = f.ends2, f.ends, f.sends2, f.sends
	n = max(n, f.lateSends())
	f.ends, f.ends2, f.sends, f.sends2 = f.ends2, f.ends, f.sends2, f.sends
	f.t.Logf("%d upstreams ended under the segment, %d late requests; %d of %d sound requests refused, blamed: %x", len(f.ends), n, f.refused, f.sound, f.wrong)
	assert.Check(f.t, n <= crashSends, "%d requests with the segment, allowed %d", n, crashSends)
	assert.Check(f.t, f.refused == 0 && len(f.wrong) == 0, "%d sound requests refused, subjects %x", f.refused, f.wrong)
}

// TestFleetTellsCrashingFromSoundSegments guards against sound segments that are blamed because
// their requests were open at the upstreams that ended. The crashing one ends upstreams before
// the head of the answer, or some time after its first event; others are asked for once in 10 s,
// have answers of 20 s and are open at each upstream that ends, or are in all crashing requests.
func TestFleetTellsCrashingFromSoundSegments(t *testing.T) {
	for _, tt := range []struct {
		n, upstreams   int
		bad, soundRate float64
	}{{1, 8, 1, 20}, {6, 18, 0.4, 60}, {6, 18, 2, 60}, {69, 60, 3, 200}, {295, 120, 2, 300}} {
		for _, point := range []time.Duration{-answerDelay, 0, 500 * time.Millisecond, 4 * time.Second} {
			for i, how := range []string{"at random", "where rare ones are open", "with companions", "two segments", "with restarts"} {
				if tt.n > 6 && i != int(point/time.Second)%5 && os.Getenv("QUARANTINE_SEEDS") == "" {
					continue // large deployments take minutes with the race detector
				}
				t.Run(fmt.Sprintf("%d daemons, %v per second, after %v, %s", tt.n, tt.bad, point, how), func(t *testing.T) {
					t.Parallel()
					f := newUpstreamFleet(t, tt.n, tt.upstreams, tt.soundRate, 9)
					f.point, f.chase, f.companions = point, how == "where rare ones are open", how == "with companions"
					f.second, f.restarts = how == "two segments", how == "with restarts"
					f.run(25 * time.Second)
					f.badRate = tt.bad
					f.run(35 * time.Second)
					assert.Check(t, len(f.ends) >= 3)
					f.assertSound()
				})
			}
		}
	}
}

// TestFleetBlamesNothingForOtherEnds lets upstreams end without a crashing segment: one by one,
// all of a zone at once, or half of them in series, from the first long answers on.
func TestFleetBlamesNothingForOtherEnds(t *testing.T) {
	seeds := 4
	if n, err := strconv.Atoi(os.Getenv("QUARANTINE_SEEDS")); err == nil {
		seeds = n
	}
	for _, how := range []string{"one by one", "a zone at once", "half in series"} {
		for seed := range uint64(seeds) {
			n := []int{6, 1, 69, 14}[seed%4]
			t.Run(fmt.Sprintf("%s, seed %d, %d daemons", how, seed, n), func(t *testing.T) {
				t.Parallel()
				f := newUpstreamFleet(t, n, 24, 40, seed)
				f.rare = 60
				f.run(2 * time.Second)
				for i := range 40 {
					switch {
					case how == "one by one":
						f.end(f.upstreams[f.rng.IntN(len(f.upstreams))])
					case how == "half in series":
						f.end(f.upstreams[i%(len(f.upstreams)/2)])
					case i%4 == 0:
						for k, u := range f.upstreams {
							if k%3 == i/4%3 {
								f.end(u)
							}
						}
					}
					f.run(1500 * time.Millisecond)
				}
				f.assertSound()
			})
		}
	}
}

// TestFleetUnderFaultsTellsCrashingSegments draws series of faults of the daemons and other
// ends of upstreams beside a crashing segment.
func TestFleetUnderFaultsTellsCrashingSegments(t *testing.T) {
	seeds := 5
	if n, err := strconv.Atoi(os.Getenv("QUARANTINE_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		n := []int{6, 12, 14, 40, 100}[seed%5]
		t.Run(fmt.Sprintf("seed %d, %d daemons", seed, n), func(t *testing.T) {
			t.Parallel()
			f := newUpstreamFleet(t, n, 30, 60, seed)
			f.point = []time.Duration{-answerDelay, 0, 300 * time.Millisecond, 2 * time.Second}[f.rng.IntN(4)]
			f.chase, f.companions = f.rng.IntN(3) == 0, f.rng.IntN(3) == 0
			f.run(22 * time.Second)
			f.badRate = 2
			for range 12 {
				f.injectFault()
				if f.rng.IntN(2) == 0 {
					f.end(f.upstreams[f.rng.IntN(len(f.upstreams))])
				}
				f.run(time.Duration(500+f.rng.IntN(3000)) * time.Millisecond)
			}
			f.assertSound()
		})
	}
}

package rollout

import (
	"fmt"
	"math"
	"math/bits"
	"time"
)

const (
	// slowFactor: an answer is slow if it took at least slowFactor times the median of the old
	// version. As the histogram has powers of two, the limit is 3.5 to 7 times the median. A new
	// upstream has nothing cached, which makes some answers up to three times slower.
	slowFactor = 3.5
	// minMedianAnswers is the number of answers of the old version for which it has a median.
	minMedianAnswers = 8
	// minBadAnswers is the number of bad answers from which a version can be bad. Their share must
	// be larger than that of the old version by minFailureDifference, or minSlowDifference if
	// most of them are slow: a new upstream has nothing cached.
	minBadAnswers        = 5
	minFailureDifference = 0.05
	minSlowDifference    = 0.2
	// After the canary phase new upstreams get more load while their caches are still cold. A good
	// version was rolled back then with 53 of 175 answers slow and 171 of 2041 of the old
	// version. A version that is several times slower in 45 of 100 answers is far above these.
	minShiftSlowDifference = 0.25
	minShiftSlowRatio      = 4.0
	// Weak evidence is weakEvidence times as much.
	weakEvidence = 0.5
	// maxPValue bounds the probability that two equal versions have bad answers so unevenly
	// divided. Some thousand comparisons are made in a roll-out.
	maxPValue = 1e-5
	// suspectChance is the probability from which the share does not rise.
	suspectChance = 1e-2
	// recentSlices are compared apart from the whole time.
	recentSlices = 3
	// minDrainFailures and minDrainShare are the failures from which a version is bad while the
	// old one gets no requests to compare with.
	minDrainFailures = 20
	minDrainShare    = 0.3
	// An upstream that ends fails all its requests at about the same moment, which says nothing
	// about its version. Failures count if minFailing upstreams have them, or once they occurred in
	// minFailingSeconds of failingWindow seconds, also if the version has one upstream only. They
	// are not counted in slices: those of an order of minutes are longer.
	minFailing        = 2
	minFailingSeconds = 3
	failingWindow     = 5
	// minSlice and maxSlices determine the length of the slices of time within which the
	// versions are compared.
	minSlice  = time.Second
	maxSlices = 60
	// tiltSteps is the number of halvings in the search of chernoffBound.
	tiltSteps = 40
	maxTilt   = 30.0
)

// stratum has the answers of both versions on one route in one slice of time.
type stratum struct{ newAnswers, newBad, newFailures, oldAnswers, oldBad int }

func (s *stratum) add(o stratum) {
	s.newAnswers += o.newAnswers
	s.newBad += o.newBad
	s.newFailures += o.newFailures
	s.oldAnswers += o.oldAnswers
	s.oldBad += o.oldBad
}

// share returns the part of the answers that are of the new version.
func (s stratum) share() float64 {
	return float64(s.newAnswers) / float64(max(s.newAnswers+s.oldAnswers, 1))
}

// Finding tells that a version is bad.
type Finding struct {
	Route                            uint32 // 0 for all routes together
	RouteName                        string // if known
	Bad, Answers, OldBad, OldAnswers int
	WhileDraining                    bool
}

// String describes the finding for the reason of a verdict.
func (f Finding) String() string {
	text := fmt.Sprintf("%d of %d answers bad, old version %d of %d", f.Bad, f.Answers, f.OldBad, f.OldAnswers)
	if f.WhileDraining {
		text += ", after the shift"
	}
	if f.RouteName != "" {
		text = "route " + f.RouteName + ": " + text
	}
	return text
}

// Tracker compares the answers of both versions, route by route and slice by slice of time: the
// share of the new version rises during a roll-out, so that trouble of both would look like one
// of the new version if all answers were added up. The zero value is ready for use.
type Tracker struct {
	slice   time.Duration
	sliceAt time.Duration          // start of the present slice
	last    map[uint32]RouteCounts // at its start
	closed  map[uint32][]stratum   // earlier slices, by route
	total   map[uint32]RouteCounts // the newest counts
	before  map[uint32]RouteCounts // when the old version got no more requests; nil before
	shifted bool                   // the canary phase was over at the last call of Judge
	failing int                    // upstreams of the new version that failed requests

	secondAt       time.Duration // start of the present second
	secondFailures int           // of the new version, at its start
	failedSeconds  uint          // a bit for each second with failures of the new version, the last one lowest
	goesOn         bool          // there were failures in minFailingSeconds of failingWindow seconds
}

// Update takes over the newest counts of all daemons. now is any monotonic clock; duration is
// that of the order.
func (t *Tracker) Update(routes map[uint32]*RouteCounts, failing uint64, duration, now time.Duration) {
	if t.closed == nil {
		t.slice, t.sliceAt, t.secondAt = max(minSlice, duration/maxSlices), now, now
		t.last, t.closed = make(map[uint32]RouteCounts), make(map[uint32][]stratum)
	}
	t.failing = bits.OnesCount64(failing)
	t.total = make(map[uint32]RouteCounts, len(routes))
	for route, c := range routes {
		t.total[route] = *c
	}
	t.countSecond(now)
	if now-t.sliceAt < t.slice {
		return
	}
	t.sliceAt = now
	for route, c := range t.total {
		if s, ok := t.stratum(route); ok && s.newAnswers+s.oldAnswers > 0 {
			list := t.closed[route]
			t.closed[route] = append(list[max(len(list)-2*maxSlices, 0):], s)
		}
		t.last[route] = c
	}
}

// countSecond notes whether the new version failed requests in the last second.
func (t *Tracker) countSecond(now time.Duration) {
	if now-t.secondAt < time.Second {
		return
	}
	failures := 0
	for _, c := range t.total {
		failures += int(c.New.Failures)
	}
	t.failedSeconds = t.failedSeconds << 1 & (1<<failingWindow - 1)
	if failures > t.secondFailures {
		t.failedSeconds |= 1
	}
	t.goesOn = t.goesOn || bits.OnesCount(t.failedSeconds) >= minFailingSeconds
	t.secondAt, t.secondFailures = now, failures
}

// oneEnded reports whether the failures may be those of one upstream that ended.
func (t *Tracker) oneEnded() bool { return t.failing < minFailing && !t.goesOn }

// stratum returns the answers on a route in the present slice.
func (t *Tracker) stratum(route uint32) (s stratum, ok bool) {
	total, last := t.total[route], t.last[route]
	oldCounts, ok1 := total.Old.since(last.Old)
	newCounts, ok2 := total.New.since(last.New)
	if !ok1 || !ok2 {
		return s, false
	}
	limit := slowBucket(&total.Old)
	return stratum{newCounts.Answers(), badAnswers(&newCounts, limit), int(newCounts.Failures),
		oldCounts.Answers(), badAnswers(&oldCounts, limit)}, true
}

// strata returns the slices on a route, the present one last.
func (t *Tracker) strata(route uint32) []stratum {
	closed := t.closed[route]
	closed = closed[:len(closed):len(closed)]
	if s, ok := t.stratum(route); ok {
		closed = append(closed, s)
	}
	return closed
}

// slowBucket returns the first bucket of slow answers, timeBuckets if the old version has too
// few answers.
func slowBucket(old *Counts) int {
	answers := old.Answers() - int(old.Failures)
	if answers < minMedianAnswers {
		return timeBuckets
	}
	seen := 0.0
	half := float64(answers) / 2
	for b, n := range old.Times {
		if seen+float64(n) < half {
			seen += float64(n)
			continue
		}
		low := math.Ldexp(0.5, b) // bucket 0 has times below 1 ms
		median := low * (1 + (half-seen)/float64(n))
		return min(int(math.Ceil(math.Log2(slowFactor*median)))+1, timeBuckets)
	}
	return timeBuckets
}

// badAnswers returns the number of failures and slow answers.
func badAnswers(c *Counts, slow int) int {
	n := int(c.Failures)
	for _, count := range c.Times[min(slow, timeBuckets):] {
		n += int(count)
	}
	return n
}

// Answers returns the number of answers of the new version.
func (t *Tracker) Answers() int {
	n := 0
	for _, c := range t.total {
		n += c.New.Answers()
	}
	return n
}

// Judge returns why the new version is bad in a phase, nil if there is no evidence.
func (t *Tracker) Judge(p Phase) *Finding {
	t.shifted = p != Canary
	all, _ := t.compare(maxPValue, 1)
	if all == nil && p == Drain {
		return t.judgeDrain()
	}
	return all
}

// Suspects reports whether there is weak evidence against the new version, so that its share
// should not rise now.
func (t *Tracker) Suspects() bool {
	_, suspected := t.compare(suspectChance, weakEvidence)
	return suspected
}

// compare compares the versions over the whole time and over the last slices, since a version
// may turn bad late, on each route and on all together.
func (t *Tracker) compare(limit, weight float64) (found *Finding, any bool) {
	var all, allRecent []stratum
	for route := range t.total {
		strata := t.strata(route)
		recent := strata[max(len(strata)-recentSlices, 0):]
		for _, list := range [][]stratum{strata, recent} {
			if f := t.judge(list, route, limit, weight); f != nil {
				found = f
			}
		}
		all, allRecent = append(all, strata...), append(allRecent, recent...)
	}
	for _, list := range [][]stratum{all, allRecent} {
		if f := t.judge(list, 0, limit, weight); f != nil && found == nil {
			found = f
		}
	}
	return found, found != nil
}

func (t *Tracker) judge(strata []stratum, route uint32, limit, weight float64) *Finding {
	var s stratum
	for _, x := range strata {
		s.add(x)
	}
	if float64(s.newBad) < weight*minBadAnswers || s.oldAnswers == 0 {
		return nil
	}
	difference := float64(s.newBad)/float64(s.newAnswers) - float64(s.oldBad)/float64(s.oldAnswers)
	failures := 2*s.newFailures > s.newBad
	if failures && difference < weight*minFailureDifference || !failures && !t.muchSlower(s, weight) || chernoffBound(strata) > limit {
		return nil
	}
	if failures && t.oneEnded() {
		return nil
	}
	return &Finding{Route: route, Bad: s.newBad, Answers: s.newAnswers, OldBad: s.oldBad, OldAnswers: s.oldAnswers}
}

// muchSlower reports whether the new version has so many more slow answers that cold caches are
// not why.
func (t *Tracker) muchSlower(s stratum, weight float64) bool {
	newShare, oldShare := float64(s.newBad)/float64(s.newAnswers), float64(s.oldBad)/float64(s.oldAnswers)
	if t.shifted {
		return newShare-oldShare >= weight*minShiftSlowDifference && newShare >= weight*minShiftSlowRatio*oldShare
	}
	return newShare-oldShare >= weight*minSlowDifference
}

// chernoffBound returns a bound of the probability that equal versions have at least as many bad
// answers of the new one (Chernoff): each bad answer in a stratum is one of the new version with
// a probability that is the new version's share of the answers.
func chernoffBound(strata []stratum) float64 {
	bad := 0
	expected := 0.0
	for _, s := range strata {
		bad += s.newBad
		expected += s.share() * float64(s.newBad+s.oldBad)
	}
	if float64(bad) <= expected {
		return 1
	}
	// The logarithm of the bound is convex in the tilt; its slope is negative at 0.
	low, high := 0.0, maxTilt
	for range tiltSteps {
		tilt := (low + high) / 2
		slope := -float64(bad)
		for _, s := range strata {
			q, e := s.share(), math.Exp(tilt)
			slope += float64(s.newBad+s.oldBad) * q * e / (1 - q + q*e)
		}
		if slope < 0 {
			low = tilt
		} else {
			high = tilt
		}
	}
	log := -low * float64(bad)
	for _, s := range strata {
		q := s.share()
		log += float64(s.newBad+s.oldBad) * math.Log(1-q+q*math.Exp(low))
	}
	return math.Exp(log)
}

// judgeDrain judges while the old version gets no requests. The failures since the first call are
// compared with those of the old version before. Slow answers do not count: all requests
// move to upstreams that have little cached, at once.
func (t *Tracker) judgeDrain() *Finding {
	if t.before == nil {
		t.before = t.total
	}
	var late, old stratum
	for route, c := range t.total {
		before := t.before[route]
		newCounts, ok := c.New.since(before.New)
		oldCounts, ok2 := c.Old.since(before.Old)
		if !ok || !ok2 {
			continue
		}
		late.newAnswers += newCounts.Answers()
		late.newBad += int(newCounts.Failures)
		late.oldAnswers += oldCounts.Answers()
		late.oldBad += int(oldCounts.Failures)
		old.oldAnswers += c.Old.Answers()
		old.oldBad += int(c.Old.Failures)
	}
	share := float64(late.newBad) / float64(max(late.newAnswers, 1))
	lateOldShare := float64(late.oldBad) / float64(max(late.oldAnswers, 1))
	troubleOfBoth := late.oldAnswers >= minMedianAnswers && lateOldShare > share/2
	all := stratum{newAnswers: late.newAnswers, newBad: late.newBad, oldAnswers: old.oldAnswers, oldBad: old.oldBad}
	if late.newBad < minDrainFailures || share < minDrainShare || troubleOfBoth || t.oneEnded() || chernoffBound([]stratum{all}) > maxPValue {
		return nil
	}
	return &Finding{Bad: all.newBad, Answers: all.newAnswers, OldBad: all.oldBad, OldAnswers: all.oldAnswers, WhileDraining: true}
}

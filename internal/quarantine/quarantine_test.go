package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	service = "engines"
	settle  = time.Second
)

// unknown tells that it is not known what the upstreams run.
func unknown(string) uint32 { return 0 }

// fixture is a table with a virtual clock.
type fixture struct {
	*Table
	now  time.Duration
	next uint64
}

func newFixture() *fixture { return &fixture{Table: NewTable(), now: time.Hour} }

func segments(ids ...uint64) []Subject {
	list := make([]Subject, len(ids))
	for i, id := range ids {
		list[i] = Subject{Service: service, ID: id}
	}
	return list
}

// end ends an upstream under a request that was sent 200 ms before.
func (f *fixture) end(ids ...uint64) (repeated bool) {
	f.next++
	repeated, _, _ = f.Ended(segments(ids...), End{Upstream: f.next, SentAt: f.now - 200*time.Millisecond, At: f.now, Stage: BeforeEvent}, f.now)
	return repeated
}

// pass lets time pass and returns the segments that were quarantined meanwhile.
func (f *fixture) pass(d time.Duration) (list []uint64) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for _, c := range f.Tick(settle, f.now) {
			if c.Kind == Quarantined {
				list = append(list, c.ID)
			}
		}
	}
	return list
}

func (f *fixture) refuses(ids ...uint64) bool {
	return f.Check(segments(ids...), unknown, f.now) != nil
}

// TestSegmentIsQuarantinedAfterSuccessiveEnds checks that only the segment which all ends
// have in common is blamed, although others were there more than once.
func TestSegmentIsQuarantinedAfterSuccessiveEnds(t *testing.T) {
	f := newFixture()
	assert.Assert(t, !f.end(1, 9, 20))
	f.pass(time.Second)
	assert.Assert(t, f.end(1, 9, 20), "the second request that ends an upstream is not to be repeated")
	f.Completed(segments(1), f.now)
	assert.Assert(t, len(f.pass(time.Second)) == 0)
	f.end(1, 9, 21)
	assert.DeepEqual(t, f.pass(time.Second), []uint64{9})
	assert.Assert(t, f.refuses(1, 9) && !f.refuses(1, 20))
	assert.Assert(t, f.Check([]Subject{{Service: "other", ID: 9}}, unknown, f.now) == nil, "other services")
}

// TestSimultaneousEndsAreOnePieceOfEvidence ends many upstreams at once, as a reclaim does,
// while each has just begun to answer a request with a segment that is new and popular.
func TestSimultaneousEndsAreOnePieceOfEvidence(t *testing.T) {
	f := newFixture()
	for range 2 {
		for range 10 {
			f.end(5)
		}
		assert.Assert(t, len(f.pass(2*time.Second)) == 0)
	}
}

// TestWholeAnswerVoidsEvidence checks that a segment whose requests are answered is never
// blamed, however many upstreams end, and whichever daemon answers.
func TestWholeAnswerVoidsEvidence(t *testing.T) {
	for name, completedFirst := range map[string]bool{"answered before": true, "answered later": false} {
		t.Run(name, func(t *testing.T) {
			a, b := newFixture(), newFixture()
			for range 20 {
				if completedFirst {
					b.Completed(segments(7), b.now)
				}
				a.end(7)
				if !completedFirst {
					b.Completed(segments(7), b.now)
				}
				for range 8 {
					b.Merge(a.Statements(false, a.now), b.now)
					a.Merge(b.Statements(false, b.now), a.now)
					assert.Assert(t, len(a.pass(100*time.Millisecond))+len(b.pass(100*time.Millisecond)) == 0)
				}
			}
			assert.Assert(t, !a.refuses(7) && !b.refuses(7))
		})
	}
}

// TestTrialReleasesOrConfirms checks that a segment which was blamed wrongly is released by
// the first trial, and that few trials end upstreams.
func TestTrialReleasesOrConfirms(t *testing.T) {
	blame := func() *fixture {
		f := newFixture()
		for range independentEnds {
			f.end(9)
			f.pass(time.Second)
		}
		assert.Assert(t, f.refuses(9))
		return f
	}
	software := uint32(1)
	softwareOf := func(string) uint32 { return software }
	hash := Subject{Service: service, ID: 9}.Hash()

	f := blame()
	f.pass(firstTrial)
	assert.Assert(t, f.Check(segments(9), softwareOf, f.now).TrialDue)
	assert.Assert(t, f.StartTrial(hash, softwareOf, f.now))
	assert.Assert(t, !f.StartTrial(hash, softwareOf, f.now), "one at a time")
	changes := f.Completed(segments(9), f.now)
	assert.Assert(t, len(changes) == 1 && changes[0].Kind == Released)
	assert.Assert(t, !f.refuses(9))

	f = blame()
	trials := 0
	for range 600 { // ten minutes
		if f.StartTrial(hash, softwareOf, f.now) {
			trials++
			f.end(9)
		}
		f.pass(time.Second)
	}
	assert.Equal(t, trials, 1)
	list, _ := f.Quarantined(f.now)
	assert.Assert(t, len(list) == 1 && list[0].Confirmed)
	software = 2
	assert.Assert(t, f.StartTrial(hash, softwareOf, f.now), "all upstreams run other software")
	f.pass(time.Minute)
	assert.Assert(t, !f.refuses() && f.refuses(9))

	f, software = blame(), 1
	trials = 0
	for range 600 { // trials that show nothing
		if f.StartTrial(hash, softwareOf, f.now) {
			trials++
		}
		f.pass(time.Second)
	}
	assert.Assert(t, trials <= 3, "%d trials in ten minutes", trials)
}

// TestEvidenceIsBounded accuses a new segment with every request.
func TestEvidenceIsBounded(t *testing.T) {
	f := newFixture()
	for i := range uint64(20000) {
		f.end(10*i, 10*i+1, 10*i+2)
		f.Completed(segments(10*i+3, 10*i+4), f.now)
	}
	assert.Assert(t, len(f.suspects) <= maxSuspects)
	assert.Assert(t, len(f.completed.newer)+len(f.completed.older) <= 2*maxRecent)
	f.pass(time.Second) // an end at the same time as the others is no evidence
	for range 3 {
		f.end(9)
		f.pass(time.Second)
	}
	assert.Assert(t, f.refuses(9), "there is room for stronger evidence")
}

// TestMalformedStatementsAreDropped checks that what no daemon can have meant changes nothing.
func TestMalformedStatementsAreDropped(t *testing.T) {
	f := newFixture()
	s := Subject{Service: service, ID: 9}
	for i, bad := range []Statement{
		{Subject: Subject{ID: 9}, Quarantined: true},
		{Subject: s, Quarantined: true, QuarantineAge: -time.Second},
		{Subject: s, Cleared: true, ClearedAge: -time.Hour},
		{Subject: s, Ends: []EndAge{{Upstream: 1, SentAge: time.Second, Age: 2 * time.Second}}},
		{Subject: s, Ends: []EndAge{{Upstream: 1, SentAge: time.Second, Age: -time.Second}}},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			assert.Equal(t, len(f.Merge([]Statement{bad}, f.now)), 0)
			assert.Equal(t, len(f.suspects), 0)
		})
	}
}

// request returns the subjects of a request with a prompt of two shared segments.
func request(content uint64, ids ...uint64) []Subject {
	return append(segments(ids...), Subject{Service: service, ID: content, Request: true})
}

// endAll ends one upstream under several requests that were sent 200 ms before.
func (f *fixture) endAll(requests ...[]Subject) {
	f.next++
	for _, r := range requests {
		f.Ended(r, End{Upstream: f.next, SentAt: f.now - 200*time.Millisecond, At: f.now, Stage: BeforeEvent}, f.now)
	}
}

// TestRequestIsQuarantinedWithoutItsSegments lets a request end three upstreams, two of them at
// the same time. It alone must be quarantined, though nothing clears the segments of its prompt.
func TestRequestIsQuarantinedWithoutItsSegments(t *testing.T) {
	f := newFixture()
	deadly := request(77, 1, 9)
	f.endAll(deadly, request(500))
	f.endAll(deadly, request(501))
	f.pass(400 * time.Millisecond)
	f.endAll(deadly, request(502))
	assert.DeepEqual(t, f.pass(time.Second), []uint64{77})
	assert.Assert(t, f.Check(deadly, unknown, f.now) != nil)
	assert.Assert(t, f.Check(request(78, 1, 9), unknown, f.now) == nil, "another request with the same prompt")
	assert.Assert(t, f.Check([]Subject{{Service: service, ID: 77}}, unknown, f.now) == nil, "a segment with the same number")
	assert.Assert(t, f.Check([]Subject{{Service: "other", ID: 77, Request: true}}, unknown, f.now) == nil, "another service")
	f.pass(10 * time.Second)
	assert.Assert(t, !f.refuses(1, 9), "segments are not blamed later either")
}

// TestRequestsUnderWayTogetherAreNotBlamed covers sound requests at upstreams that end: several
// at once as in a reclaim, or under a deadly request that was there each time.
func TestRequestsUnderWayTogetherAreNotBlamed(t *testing.T) {
	f := newFixture()
	for range 5 {
		f.endAll(request(10))
	}
	assert.Assert(t, len(f.pass(5*time.Second)) == 0, "ends at the same time")

	f = newFixture()
	for range 3 {
		f.endAll(request(11), request(77))
		f.pass(500 * time.Millisecond)
	}
	assert.Assert(t, len(f.pass(5*time.Second)) == 0, "neither is told from the other yet")
	f.endAll(request(77))
	assert.DeepEqual(t, f.pass(time.Second), []uint64{77})

	f = newFixture()
	for range 4 {
		f.endAll(request(12))
		f.pass(400 * time.Millisecond)
		f.Completed(request(12), f.now)
		f.pass(100 * time.Millisecond)
	}
	assert.Assert(t, len(f.pass(5*time.Second)) == 0, "answered whole in between")
}

// TestSeveralDeadlyRequests quarantines two requests that end upstreams in turn, and a third
// one while these are in quarantine.
func TestSeveralDeadlyRequests(t *testing.T) {
	f := newFixture()
	for range 3 {
		f.endAll(request(71, 1))
		f.pass(300 * time.Millisecond)
		f.endAll(request(72, 1))
		f.pass(300 * time.Millisecond)
	}
	f.Completed(segments(1), f.now)
	f.pass(2 * time.Second)
	for range 3 {
		f.endAll(request(73, 2))
		f.pass(time.Second)
	}
	f.pass(2 * time.Second)
	for _, id := range []uint64{71, 72, 73} {
		assert.Assert(t, f.Check(request(id), unknown, f.now) != nil, "%d", id)
	}
	assert.Assert(t, f.Check(request(74, 1, 2), unknown, f.now) == nil)
}

// BenchmarkRequest measures what a sound request costs that resembles no other one, with
// evidence against many requests.
func BenchmarkRequest(b *testing.B) {
	f := newFixture()
	for i := range uint64(maxSuspects) {
		f.endAll(request(i, i))
	}
	b.ReportAllocs()
	for i := uint64(1000); b.Loop(); i++ {
		s := request(i, i, i+1)
		f.Check(s, unknown, f.now)
		f.Completed(s, f.now)
		f.now += 50 * time.Microsecond // 20,000 a second
		if i%4000 == 0 {
			f.Tick(settle, f.now)
		}
	}
}

// brokenAt reports the end of one upstream under several requests that had come to a point, each
// with its own time since it was sent.
func (f *fixture) brokenAt(at Progress, requests map[time.Duration][]Subject) {
	f.next++
	for run, subjects := range requests {
		p := at
		p.Time = min(p.Time, run)
		f.Ended(subjects, End{Upstream: f.next, SentAt: f.now - run, At: f.now, Stage: AfterEvent, Progress: p}, f.now)
	}
}

// TestSegmentIsQuarantinedAfterEvents guards against a segment that is never found because its
// upstreams end after events: the second, the hundredth, or one that comes late.
func TestSegmentIsQuarantinedAfterEvents(t *testing.T) {
	for _, at := range []Progress{{10 * time.Millisecond, 1}, {300 * time.Millisecond, 10}, {8 * time.Second, 100}} {
		f := newFixture()
		for range independentEnds {
			f.brokenAt(at, map[time.Duration][]Subject{at.Time + 50*time.Millisecond: segments(1, 9)})
			f.Completed(segments(1), f.now)
			f.pass(600 * time.Millisecond)
		}
		f.pass(time.Second)
		assert.Assert(t, f.refuses(1, 9) && !f.refuses(1, 20), "%v", at)
	}
}

// TestLongerAnswersVoidEnds guards against blaming a segment whose other responses go on: at
// this daemon, at another one, or under which an upstream ended at a later point.
func TestLongerAnswersVoidEnds(t *testing.T) {
	early, late := Progress{100 * time.Millisecond, 2}, Progress{4 * time.Second, 80}
	for _, how := range []string{"here", "elsewhere", "ended later"} {
		f, other := newFixture(), newFixture()
		other.now = f.now
		for i := range 2 * independentEnds {
			p := early
			if how == "ended later" && i%3 == 2 {
				p = Progress{time.Duration(i) * 2 * time.Second, 40 * i}
			}
			f.brokenAt(p, map[time.Duration][]Subject{p.Time + 20*time.Millisecond: segments(7)})
			switch how {
			case "here":
				f.Progressed(segments(7), late, f.now)
			case "elsewhere":
				other.Progressed(segments(7), late, f.now)
				other.Merge(f.Statements(false, f.now), f.now)
				f.Merge(other.Statements(false, f.now), f.now)
			default:
				continue
			}
			assert.Assert(t, len(f.pass(1500*time.Millisecond)) == 0, how)
		}
		if how != "ended later" {
			assert.Assert(t, !f.refuses(7), how)
		}
	}
}

// TestOpenRequestsAreNotBlamed guards against blaming a rare segment whose long answers were open
// at each upstream that the crashing segment ended.
func TestOpenRequestsAreNotBlamed(t *testing.T) {
	f := newFixture()
	blamed := make(map[uint64]bool)
	for i := range 5 {
		p := Progress{30 * time.Millisecond, 1}
		f.next++
		f.Ended(segments(9), End{Upstream: f.next, SentAt: f.now - 60*time.Millisecond, At: f.now, Stage: AfterEvent, Progress: p}, f.now)
		open := time.Duration(3+5*(i%3)) * time.Second
		f.Ended(segments(5), End{Upstream: f.next, SentAt: f.now - open, At: f.now, Stage: AfterEvent, Progress: Progress{open, 20 * int(open/time.Second)}}, f.now)
		for _, id := range f.pass(time.Second) {
			blamed[id] = true
		}
	}
	assert.DeepEqual(t, blamed, map[uint64]bool{9: true})
	assert.Assert(t, !f.refuses(5))
}

// TestSegmentOfTwoCrashingOnesIsNotBlamed guards against blaming a sound segment that was in
// requests with one or the other of two crashing ones.
func TestSegmentOfTwoCrashingOnesIsNotBlamed(t *testing.T) {
	f := newFixture()
	blamed := make(map[uint64]bool)
	for _, ids := range [][]uint64{{8}, {9}, {8, 5}, {9, 5}, {8}, {9, 5}, {8}, {9}} {
		f.end(ids...)
		for _, id := range f.pass(400 * time.Millisecond) {
			blamed[id] = true
		}
	}
	f.pass(2 * time.Second)
	assert.Assert(t, f.refuses(8) && f.refuses(9) && !f.refuses(5) && !blamed[5])
}

// TestInseparableSegments guards against refusing a sound segment that comes with the crashing
// one each time: only requests with both are refused, until one without it ends an upstream.
func TestInseparableSegments(t *testing.T) {
	f, other := newFixture(), newFixture()
	other.now = f.now
	for range independentEnds {
		f.end(1, 2, 9)
		f.Completed(segments(1), f.now)
		f.pass(time.Second)
	}
	f.Completed(segments(1), f.now)
	other.Merge(f.Statements(true, f.now), f.now)
	for _, x := range []*fixture{f, other} {
		assert.Assert(t, x.refuses(1, 2, 9), "both")
		assert.Assert(t, !x.refuses(1, 2) && !x.refuses(1, 9), "one of them")
	}
	f.brokenAt(Progress{5 * time.Second, 100}, map[time.Duration][]Subject{6 * time.Second: segments(1, 2)})
	assert.Assert(t, !f.refuses(1, 2), "a long answer with the sound one was open at an upstream that ended")
	f.end(1, 3, 9)
	f.pass(200 * time.Millisecond)
	other.Merge(f.Statements(false, f.now), f.now)
	for _, x := range []*fixture{f, other} {
		assert.Assert(t, x.refuses(1, 9) && !x.refuses(1, 2), "it came without the other")
	}
}

// TestUpstreamsThatEndTogetherAreNoEvidence ends a third of all upstreams at once, again and
// again, under long answers with a rare segment that had all begun at the time before.
func TestUpstreamsThatEndTogetherAreNoEvidence(t *testing.T) {
	f := newFixture()
	for range 6 {
		p := Progress{6 * time.Second, 120}
		for i := range uint64(8) {
			f.brokenAt(p, map[time.Duration][]Subject{p.Time: segments(100 + i)})
		}
		f.brokenAt(p, map[time.Duration][]Subject{p.Time: segments(5)})
		assert.Assert(t, len(f.pass(6*time.Second)) == 0)
	}
}

// silentEnd records that one upstream fell silent under a request that was sent 200 ms before.
func (f *fixture) silentEnd(doubtful bool, subjects []Subject) uint64 {
	f.next++
	f.Ended(subjects, End{Upstream: f.next, SentAt: f.now - 200*time.Millisecond, At: f.now, Stage: BeforeHead, Silent: true, Doubtful: doubtful}, f.now)
	return f.next
}

// TestSilentUpstreamsAreEvidence guards against a request that is never quarantined because its
// upstreams fall silent, and against one that is for upstreams that may have been silent before.
func TestSilentUpstreamsAreEvidence(t *testing.T) {
	for _, doubtful := range []bool{false, true} {
		f := newFixture()
		for range 4 {
			f.silentEnd(doubtful, request(77))
			f.pass(time.Second)
		}
		f.pass(2 * time.Second)
		assert.Equal(t, f.Check(request(77), unknown, f.now) != nil, !doubtful)
		assert.Assert(t, f.HasSilentEnds(request(77)), "it goes only to upstreams that respond")
	}
}

// TestReturnedUpstreamsAreNoEvidence guards against blaming a request for upstreams that were frozen
// for a while, also if a daemon learns of their silence after it learned that they returned.
func TestReturnedUpstreamsAreNoEvidence(t *testing.T) {
	f, other, late, source := newFixture(), newFixture(), newFixture(), newFixture()
	for range 3 {
		u := f.silentEnd(false, request(77))
		other.now, late.now, source.now = f.now, f.now, f.now
		source.silentEnd(false, request(77))
		stale := source.Statements(true, f.now)
		f.Withdraw(u, f.now)
		other.Merge(f.Statements(true, f.now), f.now)
		other.Merge(stale, f.now)
		late.Merge(stale, f.now)
		f.pass(time.Second)
	}
	for i, x := range []*fixture{f, other} {
		x.now = f.now
		x.pass(3 * time.Second)
		assert.Assert(t, x.Check(request(77), unknown, x.now) == nil, "daemon %d", i)
		assert.Assert(t, !x.HasEvidence(request(77)))
	}
	late.now = f.now
	late.pass(3 * time.Second)
	assert.Assert(t, late.Check(request(77), unknown, late.now) != nil, "it learned of the silence only")
	late.Merge(f.Statements(true, late.now), late.now)
	assert.Assert(t, late.Check(request(77), unknown, late.now) == nil, "released")
}

// TestUpstreamEndsAfterItsReturn checks that an upstream that was silent, returned and then crashed
// under the request is evidence.
func TestUpstreamEndsAfterItsReturn(t *testing.T) {
	f := newFixture()
	for range 3 {
		f.Withdraw(f.silentEnd(false, request(77)), f.now)
		f.pass(4 * time.Second)
		f.Ended(request(77), End{Upstream: f.next, SentAt: f.now - 100*time.Millisecond, At: f.now, Stage: BeforeHead}, f.now)
		f.pass(time.Second)
	}
	f.pass(2 * time.Second)
	assert.Assert(t, f.Check(request(77), unknown, f.now) != nil)
}

// storeAndLose returns a table that has only what another one stored, some time later.
func (f *fixture) storeAndLose(after time.Duration) *fixture {
	list := f.Evidence(maxSuspects, f.now)
	g := newFixture()
	g.now, g.next = f.now+after, f.next+100
	g.MergeStored(list, after, g.now)
	return g
}

// TestStoredEvidence guards against evidence that is lost when all daemons end before it suffices: against
// a request and a segment, after one end and after two.
func TestStoredEvidence(t *testing.T) {
	for _, subjects := range [][]Subject{request(77), segments(9)} {
		for ends := 1; ends <= 2; ends++ {
			f := newFixture()
			for range ends {
				f.endAll(subjects)
				f.pass(time.Second)
			}
			f = f.storeAndLose(5 * time.Second).storeAndLose(time.Second)
			for range 3 - ends {
				f.endAll(subjects)
				f.pass(time.Second)
			}
			f.pass(2 * time.Second)
			assert.Assert(t, f.Check(subjects, unknown, f.now) != nil, "%d stored, %v", ends, subjects)
		}
	}
}

// TestStoredEvidenceIsNotEnough guards against refusing a request for stored evidence alone, which a whole
// response may have voided before it could be written, also if it comes from several daemons.
func TestStoredEvidenceIsNotEnough(t *testing.T) {
	f := newFixture()
	for range 3 {
		f.endAll(request(77))
		f.pass(400 * time.Millisecond)
	}
	list := f.Evidence(maxSuspects, f.now)
	g, h := newFixture(), newFixture()
	for _, x := range []*fixture{g, h} {
		x.now = f.now + time.Second
		x.MergeStored(list, time.Second, x.now)
		x.MergeStored(list, time.Second, x.now)
	}
	h.Merge(g.Statements(true, g.now), h.now)
	for _, x := range []*fixture{g, h} {
		x.pass(5 * time.Second)
		assert.Assert(t, x.Check(request(77), unknown, x.now) == nil)
		assert.Assert(t, x.HasEvidence(request(77)))
	}
	g.next = 100
	g.endAll(request(77))
	g.pass(2 * time.Second)
	assert.Assert(t, g.Check(request(77), unknown, g.now) != nil, "one more end")
}

// TestStoredEvidenceIsVoid covers evidence that is read late: after a whole response, after its time, or from
// a copy of the store from before the response.
func TestStoredEvidenceIsVoid(t *testing.T) {
	f := newFixture()
	f.endAll(request(77, 9))
	f.pass(time.Second)
	list := f.Evidence(maxSuspects, f.now)

	late := newFixture()
	late.now = f.now
	late.SetRestoring(true)
	late.pass(5 * time.Second)
	late.Completed(request(77, 9), late.now)
	late.pass(time.Minute)
	late.MergeStored(list, late.now-f.now, late.now)
	assert.Assert(t, !late.HasEvidence(request(77, 9)))

	old := newFixture()
	old.now = f.now + evidenceTTL
	old.MergeStored(list, evidenceTTL, old.now)
	assert.Assert(t, !old.HasEvidence(request(77, 9)))

	f.Completed(request(77, 9), f.now)
	assert.Equal(t, len(f.Evidence(maxSuspects, f.now)), 0)
	f.MergeStored(list, 3*time.Second, f.now)
	assert.Assert(t, !f.HasEvidence(request(77, 9)))
}

// TestDigestIdentifiesEvidence checks that the digest changes with the evidence, and with nothing else.
func TestDigestIdentifiesEvidence(t *testing.T) {
	f := newFixture()
	digest := func() uint64 { return Digest(f.Evidence(maxSuspects, f.now)) }
	assert.Equal(t, digest(), uint64(0))
	f.endAll(request(77, 9), request(78, 9))
	first := digest()
	assert.Assert(t, first != 0)
	f.pass(time.Second)
	assert.Equal(t, digest(), first)
	f.Completed(request(78), f.now)
	assert.Assert(t, digest() != first)
	g := f.storeAndLose(time.Second)
	assert.Equal(t, Digest(g.Evidence(maxSuspects, g.now)), digest())
}

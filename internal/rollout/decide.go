package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// canaryPart is the share during Canary relative to Bounds.ExposureShare. The rest of the
	// bound is for the first step of Shift, in which a version may still turn bad.
	canaryPart = 0.6
	// shiftPart is the share in the first step of Shift relative to the bound, at most
	// maxShiftShare. It is in force for about a seventh of the duration and the time that a
	// verdict takes to reach all daemons.
	shiftPart     = 2.5
	maxShiftShare = 0.5
	// The phases begin at these parts of the duration: Shift from shiftAt if there is evidence,
	// Drain from drainAt. If there is too little evidence at lastShiftAt, the version is rolled back.
	shiftAt     = 0.55
	lastShiftAt = 0.74
	drainAt     = 0.72
	// minDuration is the shortest duration for which there can be evidence.
	minDuration = 2 * time.Second
	// suspectDelayPart is the part of the duration until which the share does not rise while there is
	// weak evidence against the version.
	suspectDelayPart = 0.8
	// minShift is the least part of the duration between the starts of Shift and Drain.
	minShift = 0.08
	// doneMargin is the part of the duration before the deadline at which Drain ends even if
	// requests are in flight at old upstreams, within minDoneMargin and maxDoneMargin.
	doneMargin    = 0.1
	minDoneMargin = time.Second
	maxDoneMargin = 5 * time.Second
	// wantedAnswers of the new version are awaited before Shift; minAnswers suffice at
	// lastShiftAt. Of a version that fails 43 of 100 requests, 20 answers without a failure have
	// a probability of 1 in 70,000, 8 answers of 1 in 90.
	wantedAnswers = 20
	minAnswers    = 8
	// minDrain is the least time of Drain, in which the daemons take over the phase.
	minDrain = 300 * time.Millisecond
	// enoughUpstreams is the number of usable new upstreams, relative to the old ones, without
	// which a version cannot take over the load.
	enoughUpstreams = 0.5
	// lastDrainAt is the part of the duration until which Shift waits for them.
	lastDrainAt = 0.92
)

// Fleet describes the usable upstreams of a service.
type Fleet struct {
	New      int      // of the order's version
	Old      int      // of other versions that get requests
	Versions []string // of Old, sorted
	// NewServed is set if upstreams of the order's version get requests apart from the order.
	NewServed bool
}

// enough reports whether the new upstreams can take over the load of the old ones.
func (f Fleet) enough() bool {
	return f.New > 0 && float64(f.New) >= enoughUpstreams*float64(f.Old)
}

func (f Fleet) tooFew() string {
	if f.New == 0 {
		return "no upstream of the version accepts requests"
	}
	return fmt.Sprintf("too few upstreams of the version accept requests: %d, old version %d", f.New, f.Old)
}

// Input is what Decide considers.
type Input struct {
	Now     time.Duration // store's clock
	Token   int64         // fencing token of the decider
	Order   *Order        // nil if it is withdrawn
	Era     int64         // of the decider's copy of the orders
	Seen    time.Duration // store's clock when the order was first seen
	Fleet   Fleet
	Answers int      // of the new version
	Bad     *Finding // nil if there is no evidence against the new version
	Suspect bool     // there is weak evidence against it
	Drained bool     // no reachable daemon has a request in flight at an old upstream, or sends one there
	Verdict Phase    // of the order, as other daemons remember it; empty for none
}

// Decide returns the next state of a service's roll-out. s is the zero State if there is none.
// The revision differs from that of s if the state must be written.
func Decide(s State, in Input, b Bounds) State {
	if in.Order != nil && !s.Of(*in.Order) {
		return begin(s, in, b)
	}
	if s.Revision == 0 {
		return s
	}
	next := s
	if in.Order != nil {
		next.OrderVersion = max(s.OrderVersion, in.Order.Version)
	}
	if !s.Phase.Final() {
		next.Token = in.Token
		next.advance(in, b)
	}
	if len(next.Allowed) == 0 && len(in.Fleet.Versions) > 0 && !s.Phase.Final() {
		next.Allowed = in.Fleet.Versions // no upstream was known at the order
	}
	if len(next.Allowed) != len(s.Allowed) || next.Phase != s.Phase || next.Share != s.Share || next.Canaries != s.Canaries || next.OrderVersion != s.OrderVersion || next.Token != s.Token {
		next.Revision = s.Revision + 1
	}
	return next
}

// begin returns the first state of an order that replaces s.
func begin(s State, in Input, b Bounds) State {
	o := in.Order
	next := State{To: o.To, DurationMS: o.Duration.Milliseconds(), OrderVersion: o.Version, OrderedMS: in.Seen.Milliseconds(),
		Phase: Canary, SinceMS: in.Now.Milliseconds(), Revision: s.Revision + 1, Token: in.Token}
	next.Allowed = append(next.Allowed, in.Fleet.Versions...)
	next.Barred = append(next.Barred, s.Barred...)
	served := s.Phase == Done || !s.Bad && slices.Contains(s.Allowed, s.To)
	if s.Revision > 0 && s.Phase != Done {
		next.Allowed = append(next.Allowed, s.Allowed...)
	}
	if s.Revision > 0 && !served {
		next.Barred = append(next.Barred, s.To)
	}
	if in.Fleet.NewServed {
		next.Allowed = append(next.Allowed, o.To)
	}
	isNew := func(v string) bool { return v == o.To }
	next.Barred = tidy(slices.DeleteFunc(next.Barred, isNew))
	next.Allowed = tidy(slices.DeleteFunc(next.Allowed, func(v string) bool { return slices.Contains(next.Barred, v) }))
	switch {
	case in.Fleet.Old == 0 && in.Fleet.New > 0:
		next.conclude(Done, "all upstreams run this version", in.Now)
	case in.Verdict.Final():
		next.conclude(in.Verdict, "verdict that another daemon holds", in.Now)
	case o.Duration < minDuration:
		next.conclude(RolledBack, fmt.Sprintf("%v are too short for evidence", o.Duration), in.Now)
	case in.Fleet.NewServed && in.Fleet.New > 0:
		next.Share = WholeShare * in.Fleet.New / (in.Fleet.New + in.Fleet.Old)
	default:
		next.Share = max(int(WholeShare*min(canaryPart*b.ExposureShare, maxShiftShare)), 1)
		next.Canaries = canaries(next.Share, in.Fleet.Old)
	}
	return next
}

// tidy sorts versions, drops duplicates and bounds their number.
func tidy(list []string) []string {
	slices.Sort(list)
	list = slices.Compact(list)
	return list[:min(len(list), maxVersions)]
}

// canaries returns the number of new upstreams among which a share of the requests is divided,
// so that each has at least the load of an old one.
func canaries(share, old int) int {
	return max(share*old/(WholeShare-share), 1)
}

func (s *State) conclude(verdict Phase, reason string, now time.Duration) {
	s.enter(verdict, 0, now)
	if verdict == Done {
		s.Share = WholeShare
	}
	s.Canaries, s.Reason = 0, reason
}

func (s *State) enter(p Phase, share int, now time.Duration) {
	s.Phase, s.Share, s.SinceMS = p, share, now.Milliseconds()
}

// advance moves an order in progress to its next phase or verdict if that is due.
func (s *State) advance(in Input, b Bounds) {
	duration := time.Duration(s.DurationMS) * time.Millisecond
	elapsed := max(in.Now-time.Duration(s.OrderedMS)*time.Millisecond, 0)
	inPhase := max(in.Now-time.Duration(s.SinceMS)*time.Millisecond, 0)
	at := func(part float64) time.Duration { return time.Duration(part * float64(duration)) }
	switch {
	case in.Verdict.Final():
		s.conclude(in.Verdict, "verdict that another daemon holds", in.Now)
	case in.Order == nil:
		s.conclude(RolledBack, "order withdrawn", in.Now)
		// An order that a restored copy lacks may be written again; in that era it is another one.
		s.OrderVersion = max(s.OrderVersion, views.MakeVersion(in.Era, 0))
	case in.Bad != nil:
		s.conclude(RolledBack, in.Bad.String(), in.Now)
		s.Bad = true
	case s.Phase == Canary:
		s.leaveCanary(in, b, elapsed, duration)
	case s.Phase == Shift && elapsed >= duration:
		s.conclude(RolledBack, "deadline passed before all requests were moved", in.Now)
	case s.Phase == Shift && elapsed >= at(lastDrainAt) && !in.Fleet.enough():
		s.conclude(RolledBack, in.Fleet.tooFew(), in.Now)
	case s.Phase == Shift && in.Fleet.enough() && elapsed >= at(drainAt) && inPhase >= at(minShift) && (!in.Suspect || elapsed >= at(suspectDelayPart)):
		s.enter(Drain, WholeShare, in.Now)
		s.Canaries = 0
	case s.Phase == Drain && inPhase >= minDrain:
		s.leaveDrain(in, elapsed >= duration-drainMargin(duration))
	}
}

// leaveDrain ends Drain if no work is left at old upstreams, or no time.
func (s *State) leaveDrain(in Input, last bool) {
	switch {
	case in.Fleet.enough() && (in.Drained || last):
		s.conclude(Done, "", in.Now)
	case last:
		s.conclude(RolledBack, in.Fleet.tooFew(), in.Now)
	}
}

func drainMargin(duration time.Duration) time.Duration {
	return min(max(time.Duration(doneMargin*float64(duration)), minDoneMargin), maxDoneMargin)
}

// leaveCanary ends Canary if there is evidence, or no time left to get it.
func (s *State) leaveCanary(in Input, b Bounds, elapsed, duration time.Duration) {
	part := float64(elapsed) / float64(max(duration, time.Millisecond))
	last := part >= lastShiftAt
	enough := in.Fleet.enough() && (in.Answers >= wantedAnswers || last && in.Answers >= minAnswers)
	tooLate := part >= 1-doneMargin-minShift
	switch {
	case in.Suspect && part < suspectDelayPart:
	case part >= shiftAt && enough && !tooLate:
		share := int(WholeShare * min(max(shiftPart*b.ExposureShare, float64(s.Share)/WholeShare), maxShiftShare))
		s.enter(Shift, max(share, s.Share), in.Now)
		if s.Canaries > 0 {
			s.Canaries = canaries(s.Share, in.Fleet.Old)
		}
	case tooLate && in.Answers >= minAnswers:
		s.conclude(RolledBack, "too little time left to move all requests", in.Now)
	case last && !in.Fleet.enough():
		s.conclude(RolledBack, in.Fleet.tooFew(), in.Now)
	case last:
		s.conclude(RolledBack, fmt.Sprintf("too little evidence in time: %d answers of the version, at least %d needed", in.Answers, minAnswers), in.Now)
	}
}

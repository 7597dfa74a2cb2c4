// Package quarantine finds prompt segments and requests that end each upstream which answers
// them, and keeps them from further upstreams. A request that comes again is known by its
// content.
//
// Evidence against the segments of a request, and against the request itself, is an upstream
// that ended while it was open there, however much of the response had been sent. Most
// requests that are open at an upstream that ends are sound. Two kinds of answers tell them
// apart: a whole response to a request with the same segment, or the same content, clears it
// of all earlier evidence; a response that comes clearly further than the one under which an
// upstream ended voids that end, since what ends upstreams ends each one at about the same
// point.
//
// Daemons exchange their evidence, so that each comes to the same conclusion: a segment is
// quarantined once independentEnds upstreams have ended one after the other, unless another
// subject explains these ends. Upstreams that end together, as in a reclaim, are one piece of
// evidence, and none if most ended without the segment. For a request, two of three ends may
// have been at the same time. Segments that were in the same requests each time cannot be told
// apart; only requests with all of them are refused.
//
// An upstream that falls silent has ended, as far as other daemons can tell too. Its end counts if
// the upstream is known to have sent something just before or after the request was sent; it is
// withdrawn as soon as the upstream sends anything again.
//
// The package does no I/O and takes the boot time, which also advances while the VM is
// suspended, as an argument.
package quarantine

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

const (
	// independentEnds is the number of upstreams that must have ended one after the other.
	independentEnds = 3
	// requestEnds is the number of upstreams that must have ended under a request, of which
	// independentRequestEnds one after the other: the same request may have been under way
	// twice.
	requestEnds            = 3
	independentRequestEnds = 2
	// clearMargin is how much later than a whole response an end is still void: the
	// response had begun before, and its time and that of the end come from two daemons.
	clearMargin = 2 * time.Second
	// evidenceTTL is how long an end counts.
	evidenceTTL = 10 * time.Minute
	// term is how long a segment stays in quarantine after the last end or trial.
	term = 24 * time.Hour
	// clearedTTL is how long it is remembered that a segment was cleared, so that late
	// messages do not count against it again.
	clearedTTL = 30 * time.Second
	// maxSuspects bounds the subjects against which there is evidence, maxEnds the ends
	// that are kept for each.
	maxSuspects   = 512
	maxEnds       = 16
	maxCompanions = 16
	// maxTransit is how much two daemons' times of the same moment may differ.
	maxTransit = 500 * time.Millisecond
)

// Subject is what may end upstreams: a prompt segment of the requests for one service, or a
// request for it.
type Subject struct {
	Service string
	ID      uint64 // of the segment, or a hash of the request's content
	Request bool   // ID is that of a request
}

// Hash identifies the subject.
func (s Subject) Hash() uint64 {
	b := binary.BigEndian.AppendUint64([]byte(s.Service), s.ID)
	if s.Request {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Subjects returns the subjects of a request for a service: the segments of its prompt that
// other requests may share, and the request itself.
func Subjects(service string, shared []place.Segment, content uint64) []Subject {
	list := make([]Subject, 0, len(shared)+1)
	for _, s := range shared {
		list = append(list, Subject{Service: service, ID: s.ID})
	}
	return append(list, Subject{Service: service, ID: content, Request: true})
}

// suspect is a subject with evidence against it, or one that was cleared recently.
type suspect struct {
	Subject
	ends       []End         // in order of At, without those that are void
	receivedAt time.Duration // when this daemon received the first of ends
	clearedAt  time.Duration // evidence up to this time is void; 0 for none
	survival   survival      // voids ends at earlier points
	since      time.Duration // start of the quarantine; 0 for none
	ended      int           // upstreams that had ended when the quarantine began
	companions []uint64      // hashes of segments that a request must have too to be refused; sorted
	trial      trialState
	changedAt  time.Duration // last change that other daemons must receive
}

// Change is a change of the state of a subject.
type Change struct {
	Subject
	Kind       ChangeKind
	Ended      int   // upstreams that ended under it
	Ends       []End // the evidence, as far as this daemon has it
	Companions int   // segments that a request must have too to be refused
}

// change returns a Change of e.
func (e *suspect) change(k ChangeKind) Change {
	return Change{e.Subject, k, max(e.ended, len(e.ends)), slices.Clone(e.ends), len(e.companions)}
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of changes.
const (
	Suspected   ChangeKind = iota // the first evidence against it
	Quarantined                   // requests with it are refused from now on
	Released                      // it was quarantined, and a request with it was answered
	Confirmed                     // a trial in quarantine has ended an upstream
)

// String returns the name used in logs.
func (k ChangeKind) String() string {
	return [...]string{"suspected", "quarantined", "released", "confirmed"}[k]
}

// Table holds the evidence that a daemon knows. Its methods are safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	suspects  map[uint64]*suspect // by hash of the subject
	completed recentTimes         // segments of whole responses
	answered  recentTimes         // requests with whole responses
	outlived  recentSurvivals     // subjects of responses that go on
	restoring bool                // see SetRestoring
}

// NewTable returns a table without evidence.
func NewTable() *Table { return &Table{suspects: make(map[uint64]*suspect)} }

// recent returns the times of whole responses to subjects of one kind. The caller holds mu.
func (t *Table) recent(s Subject) *recentTimes {
	if s.Request {
		return &t.answered
	}
	return &t.completed
}

// Completed records a whole response to a request with the given subjects.
func (t *Table) Completed(subjects []Subject, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, s := range subjects {
		hash := s.Hash()
		t.recent(s).add(hash, now, now)
		if e := t.suspects[hash]; e != nil && e.hasEvidence() {
			e.changedAt = now
			changes = append(changes, e.clear(now+clearMargin)...)
		}
	}
	return changes
}

// Progressed records that the response to a request with the given subjects still goes on.
func (t *Table) Progressed(subjects []Subject, progress Progress, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, s := range subjects {
		hash := s.Hash()
		v := t.outlived.add(hash, survival{progress, now})
		if e := t.suspects[hash]; e != nil && e.hasEvidence() {
			changes = append(changes, e.outlive(v, now)...)
		}
	}
	return changes
}

// HasEvidence reports whether there is evidence against one of the subjects.
func (t *Table) HasEvidence(subjects []Subject) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(subjects, func(s Subject) bool {
		e := t.suspects[s.Hash()]
		return e != nil && e.hasEvidence()
	})
}

// HasSilentEnds reports whether an upstream fell silent under a request with one of the subjects.
func (t *Table) HasSilentEnds(subjects []Subject) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(subjects, func(s Subject) bool {
		e := t.suspects[s.Hash()]
		return e != nil && slices.ContainsFunc(e.ends, func(o End) bool { return o.Silent && !o.Withdrawn })
	})
}

// Withdraw records that an upstream that had fallen silent has sent something.
func (t *Table) Withdraw(upstream uint64, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, e := range t.suspects {
		changes = append(changes, e.withdraw(upstream, now)...)
	}
	return changes
}

// Ended records that an upstream ended under a request with the given subjects. It reports
// whether one of them may well be the cause, so that the request must not be sent again, and
// the effect on each.
func (t *Table) Ended(subjects []Subject, end End, now time.Duration) (repeated bool, effects []Effect, changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range subjects {
		kind, e := t.recentEffect(s, end), (*suspect)(nil)
		if kind == Evidence {
			e = t.suspect(s, now)
		}
		switch {
		case kind != Evidence:
		case e == nil:
			kind = Dropped
		default:
			var more []Change
			before := len(e.counted())
			kind, more = e.add(end, now)
			changes = append(changes, more...)
			if len(e.counted()) > before { // it agrees with the other ends
				e.narrow(subjects, now)
			}
			repeated = repeated || e.repeated()
		}
		effects = append(effects, Effect{s, kind})
	}
	return repeated, effects, changes
}

// recentEffect returns why an end is void for a subject without evidence against it, so that
// no entry is needed, or Evidence. The caller holds mu.
func (t *Table) recentEffect(s Subject, end End) EffectKind {
	hash := s.Hash()
	if t.suspects[hash] != nil {
		return Evidence
	}
	if at, ok := t.recent(s).get(hash); ok && end.At <= at+clearMargin {
		return WasAnswered
	}
	if v, ok := t.outlived.get(hash); ok && v.voids(end) {
		return WasOutlived
	}
	return Evidence
}

// repeated reports whether the evidence suffices not to send a request again.
func (e *suspect) repeated() bool {
	if e.Request {
		return e.since > 0 || len(e.counted()) > 1
	}
	return e.since > 0 || e.independent() > 1
}

// suspect returns the entry of a subject, a new one if there is none, or nil if there is no
// room for it. The caller holds mu.
func (t *Table) suspect(s Subject, now time.Duration) *suspect {
	hash := s.Hash()
	e := t.suspects[hash]
	if e == nil {
		if len(t.suspects) >= maxSuspects && !t.evict() {
			return nil
		}
		e = &suspect{Subject: s, changedAt: now}
		t.suspects[hash] = e
	}
	if at, ok := t.recent(s).get(hash); ok && !e.hasEvidence() {
		e.clearedAt = max(e.clearedAt, at+clearMargin)
	}
	if v, ok := t.outlived.get(hash); ok && !e.hasEvidence() {
		e.survival = e.survival.merge(v)
	}
	return e
}

// hasEvidence reports whether there is evidence against the segment or it is in quarantine.
func (e *suspect) hasEvidence() bool {
	return e.since > 0 || slices.ContainsFunc(e.ends, func(o End) bool { return !o.Withdrawn })
}

// evict drops the entry with the least evidence that is not in quarantine, and reports
// whether there was one. The caller holds mu.
func (t *Table) evict() bool {
	var victim uint64
	var least *suspect
	for hash, e := range t.suspects {
		if e.since == 0 && (least == nil || len(e.ends) < len(least.ends) || len(e.ends) == len(least.ends) && e.changedAt < least.changedAt) {
			victim, least = hash, e
		}
	}
	delete(t.suspects, victim)
	return least != nil
}

// clear voids the evidence up to a time, and ends the quarantine if none is left.
func (e *suspect) clear(until time.Duration) []Change {
	e.clearedAt = max(e.clearedAt, until)
	hadEnds := len(e.ends) > 0
	e.ends = slices.DeleteFunc(e.ends, func(o End) bool { return o.At <= e.clearedAt })
	if e.since == 0 || e.since > e.clearedAt && (len(e.ends) > 0 || !hadEnds) {
		return nil
	}
	e.clearedAt = max(e.clearedAt, e.since) // so that no other daemon's judgement brings it back
	change := e.change(Released)
	e.since, e.trial, e.companions = 0, trialState{}, nil
	return []Change{change}
}

// Tick begins quarantines and drops what is outdated. settle is the time in which all
// daemons receive evidence and can object to it.
func (t *Table) Tick(settle, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.restoring {
		t.completed.rotate(now)
		t.answered.rotate(now)
	}
	t.outlived.rotate(now)
	var changes []Change
	var due, candidates []*suspect // with sufficient evidence, or in quarantine
	for hash, e := range t.suspects {
		e.expire(now)
		switch {
		case !e.hasEvidence() && now-max(e.clearedAt, e.changedAt) > clearedTTL:
			delete(t.suspects, hash)
		case e.since > 0:
			candidates = append(candidates, e)
		case t.due(e):
			candidates = append(candidates, e)
			if now-e.receivedAt >= settle {
				due = append(due, e)
			}
		}
	}
	for _, e := range due {
		if !slices.ContainsFunc(candidates, e.explainedBy) && !e.explainedTogether(candidates) {
			e.companions = e.inseparable(candidates)
			e.since, e.ended, e.changedAt = now, len(e.ends), now
			changes = append(changes, e.change(Quarantined))
		}
	}
	return changes
}

// expire drops old evidence and ends a quarantine whose term has passed.
func (e *suspect) expire(now time.Duration) {
	e.ends = slices.DeleteFunc(e.ends, func(o End) bool { return now-o.At > evidenceTTL })
	if e.since > 0 && now-max(e.since, e.trial.at) > term {
		e.since, e.trial, e.companions = 0, trialState{}, nil
	}
}

// appliesTo reports whether a request with the given subjects is refused.
func (e *suspect) appliesTo(subjects []Subject) bool {
	return e.since > 0 && !slices.ContainsFunc(e.companions, func(hash uint64) bool { return !containsHash(subjects, hash) })
}

// Verdict tells why a request must not be sent.
type Verdict struct {
	Subject
	Since    time.Duration // start of the quarantine, boot time
	Ended    int           // upstreams that had ended by then
	TrialDue bool          // a request with it may be sent as a trial, if it has no other quarantined subject
}

// Check returns the verdict on a request with the given subjects, nil if it may be sent.
// softwareOf identifies what a service's upstreams run, 0 if that is not known or differs
// between them.
func (t *Table) Check(subjects []Subject, softwareOf func(service string) uint32, now time.Duration) *Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return nil
	}
	var v *Verdict
	for _, s := range subjects {
		e := t.suspects[s.Hash()]
		switch {
		case e == nil || !e.appliesTo(subjects):
		case v != nil && slices.Contains(e.companions, v.Hash()): // one trial is enough for both
		case v != nil:
			v.TrialDue = false
		default:
			v = &Verdict{e.Subject, e.since, e.ended, e.trial.due(e.since, softwareOf(s.Service), now)}
		}
	}
	return v
}

// Quarantined returns statements about the subjects in quarantine, without the evidence,
// and how many others there is evidence against.
func (t *Table) Quarantined(now time.Duration) (list []Statement, suspected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.suspects {
		switch {
		case e.since > 0:
			s := e.statement(now)
			s.Ends, s.Cleared = nil, false
			list = append(list, s)
		case e.hasEvidence():
			suspected++
		}
	}
	return list, suspected
}

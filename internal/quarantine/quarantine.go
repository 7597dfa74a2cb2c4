// Package quarantine finds prompt segments and requests that end each upstream which begins to
// answer them, and keeps them from further upstreams. A request that comes again is known by
// its content.
//
// Evidence against a segment is an upstream that ended while it had sent the head of the
// response to a request with the segment and no event yet; evidence against a request is also
// an end before the head. A whole response to a request with the segment, or with the same
// content, clears it of all earlier evidence. Daemons exchange their evidence, so that each
// comes to the same conclusion: a segment is quarantined once independentEnds upstreams have
// ended one after the other, each under a request that was sent after the end before, with no
// whole response in between. Upstreams that end together, as in a reclaim, are one piece of
// evidence. For a request, two of three ends may have been at the same time.
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
	// messages do not accuse it again.
	clearedTTL = 30 * time.Second
	// maxSuspects bounds the subjects against which there is evidence, maxEnds the ends
	// that are kept for each.
	maxSuspects = 512
	maxEnds     = 16
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

// End is the end of an upstream under a request. Times are boot times.
type End struct {
	Upstream uint64        // hash of its ID and incarnation
	SentAt   time.Duration // when the request was sent
	At       time.Duration
}

// suspect is a subject with evidence against it, or one that was cleared recently.
type suspect struct {
	Subject
	ends      []End         // in order of At; those at or before clearedAt are dropped
	heardAt   time.Duration // when this daemon heard of the first of ends
	clearedAt time.Duration // evidence up to this time is void; 0 for none
	since     time.Duration // start of the quarantine; 0 for none
	ended     int           // upstreams that had ended when the quarantine began
	trial     trialState
	changedAt time.Duration // last change that other daemons must hear of
}

// Change is a change of what a daemon believes about a segment.
type Change struct {
	Subject
	Kind  ChangeKind
	Ended int // upstreams that ended under it
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
		t.recent(s).add(hash, now)
		if e := t.suspects[hash]; e != nil && e.accused() {
			e.changedAt = now
			changes = append(changes, e.clear(now+clearMargin)...)
		}
	}
	return changes
}

// Ended records that an upstream ended under a request with the given subjects. It reports
// whether there was evidence against one of them before.
func (t *Table) Ended(subjects []Subject, end End, now time.Duration) (repeated bool, changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range subjects {
		e := t.suspect(s, now)
		if e == nil {
			continue
		}
		repeated = repeated || e.accused()
		changes = append(changes, e.add(end, now)...)
	}
	return repeated, changes
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
	if at, ok := t.recent(s).get(hash); ok && !e.accused() {
		e.clearedAt = max(e.clearedAt, at+clearMargin)
	}
	return e
}

// accused reports whether there is evidence against the segment or it is in quarantine.
func (e *suspect) accused() bool { return len(e.ends) > 0 || e.since > 0 }

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

// add adds an end unless it is known or void.
func (e *suspect) add(end End, now time.Duration) []Change {
	known := slices.ContainsFunc(e.ends, func(o End) bool { return o.Upstream == end.Upstream })
	if known || end.At <= e.clearedAt || now-end.At > evidenceTTL || len(e.ends) == maxEnds {
		return nil
	}
	first := !e.accused()
	if first {
		e.heardAt = now
	}
	e.ends = append(e.ends, end)
	slices.SortFunc(e.ends, func(a, b End) int { return int(a.At - b.At) })
	e.changedAt = now
	changes := e.trial.recordEnd(e, end)
	if first {
		changes = append(changes, Change{e.Subject, Suspected, 1})
	}
	return changes
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
	e.since, e.trial = 0, trialState{}
	return []Change{{e.Subject, Released, e.ended}}
}

// independent returns the number of ends that happened one after the other, each under a
// request that was sent after the end before.
func (e *suspect) independent() (n int) {
	last := time.Duration(-1)
	for _, end := range e.ends {
		if end.SentAt > last {
			n, last = n+1, end.At
		}
	}
	return n
}

// sufficient reports whether the evidence suffices for a quarantine.
func (e *suspect) sufficient() bool {
	if e.Request {
		return len(e.ends) >= requestEnds && e.independent() >= independentRequestEnds
	}
	return e.independent() >= independentEnds
}

// Tick begins quarantines and drops what is outdated. settle is the time in which all
// daemons hear of evidence and object to it.
func (t *Table) Tick(settle, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed.rotate(now)
	t.answered.rotate(now)
	var changes []Change
	var due, blamed []*suspect // blamed: due or in quarantine
	for hash, e := range t.suspects {
		e.expire(now)
		switch {
		case !e.accused() && now-max(e.clearedAt, e.changedAt) > clearedTTL:
			delete(t.suspects, hash)
		case e.since > 0:
			blamed = append(blamed, e)
		case e.sufficient() && now-e.heardAt >= settle:
			due, blamed = append(due, e), append(blamed, e)
		}
	}
	for _, e := range due {
		if !slices.ContainsFunc(blamed, e.explainedBy) {
			e.since, e.ended, e.changedAt = now, len(e.ends), now
			changes = append(changes, Change{e.Subject, Quarantined, e.ended})
		}
	}
	return changes
}

// explainedBy reports whether other explains all upstreams that ended under e: they ended under
// other too, and more did, or other is a request and e a segment of its prompt. Requests with a
// segment that ends upstreams have other segments too, and others were under way at the same
// upstreams. Of two requests with the same few ends neither is blamed before the next end.
func (e *suspect) explainedBy(other *suspect) bool {
	if e == other || e.Service != other.Service || len(other.ends) < len(e.ends) {
		return false
	}
	if len(other.ends) == len(e.ends) {
		tied := e.Request && other.Request && len(e.ends) == requestEnds
		if !tied && (e.Request || !other.Request) {
			return false
		}
	}
	for _, end := range e.ends {
		if !slices.ContainsFunc(other.ends, func(o End) bool { return o.Upstream == end.Upstream }) {
			return false
		}
	}
	return true
}

// expire drops old evidence and ends a quarantine whose term has passed.
func (e *suspect) expire(now time.Duration) {
	e.ends = slices.DeleteFunc(e.ends, func(o End) bool { return now-o.At > evidenceTTL })
	if e.since > 0 && now-max(e.since, e.trial.at) > term {
		e.since, e.trial = 0, trialState{}
	}
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
		case e == nil || e.since == 0:
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
		case len(e.ends) > 0:
			suspected++
		}
	}
	return list, suspected
}

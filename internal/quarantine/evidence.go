package quarantine

import (
	"slices"
	"time"
)

// Stage is how far a response had come when its connection ended.
type Stage int

// Stages of a response.
const (
	BeforeHead  Stage = iota // no complete head arrived
	BeforeEvent              // the head arrived, but neither an event nor a complete body
	AfterEvent               // at least one event arrived
)

// String returns the name used in logs and metrics.
func (s Stage) String() string { return [...]string{"before_head", "before_event", "after_event"}[s] }

// End is the end of an upstream under a request. Times are boot times.
type End struct {
	Upstream uint64        // hash of its ID and incarnation
	SentAt   time.Duration // when the request was sent
	At       time.Duration
	Stage    Stage
	Progress Progress
	// Silent is set if the upstream only stopped sending. It may have been frozen or cut off.
	Silent bool
	// Doubtful is set if a silent upstream may have stopped before the request was sent.
	Doubtful bool
	// Withdrawn is set if a silent upstream has sent something since.
	Withdrawn bool
	// Stored is set if all that is known of the end was read from the store.
	Stored bool

	shared bool // something else ended several upstreams at the time
}

// counts reports whether the end is evidence. A doubtful one only makes later requests with
// the subject go to upstreams that are known to respond.
func (e End) counts() bool { return !e.Doubtful && !e.Withdrawn }

// merge returns what two statements about the end of one upstream under one subject amount to.
// Of several requests that were open there, the one that had come furthest counts.
func (e End) merge(o End) End {
	switch {
	case e.Withdrawn && !o.Withdrawn && o.At > e.At+clearMargin:
		return o // it has sent something, and ended later
	case o.Withdrawn && !e.Withdrawn && e.At > o.At+clearMargin:
		return e
	}
	m := e
	if o.Progress.Time > e.Progress.Time {
		m = o
	}
	m.Silent = e.Silent && o.Silent
	m.Doubtful = e.Doubtful && o.Doubtful
	m.Stored = e.Stored && o.Stored
	m.Withdrawn = m.Silent && (e.Withdrawn || o.Withdrawn)
	return m
}

// runTime returns the time from sending the request to the end.
func (e End) runTime() time.Duration { return e.At - e.SentAt }

// Progress is how far a response has come.
type Progress struct {
	Time   time.Duration // since the first event; 0 if none arrived
	Events int
}

// clearlyBefore reports whether p is an earlier point of a response than o.
func (p Progress) clearlyBefore(o Progress) bool {
	return o.Time > p.Time+progressSlack && o.Events > p.Events+eventSlack
}

// Effect is what the end of an upstream means for one subject of a request.
type Effect struct {
	Subject
	Kind EffectKind
}

// EffectKind is the kind of an Effect.
type EffectKind int

// Kinds of effects.
const (
	Evidence     EffectKind = iota // it counts against the subject
	WasAnswered                    // it is void: a request with the subject was answered
	WasOutlived                    // it is void: a response with the subject came further
	WasKnown                       // the end is known from another request with the subject
	Dropped                        // there is no room for it, or it is too old
	WasWithdrawn                   // it is void: the upstream has sent something since
	Doubted                        // it does not count: the upstream may have been silent before
)

// effect returns what an end means for the subject.
func (e *suspect) effect(end End, now time.Duration) EffectKind {
	switch {
	case end.At <= e.clearedAt:
		return WasAnswered
	case e.survival.voids(end):
		return WasOutlived
	case now-end.At > evidenceTTL:
		return Dropped
	}
	return Evidence
}

// add adds an end unless it is known or void.
func (e *suspect) add(end End, now time.Duration) (EffectKind, []Change) {
	if kind := e.effect(end, now); kind != Evidence {
		return kind, nil
	}
	i := slices.IndexFunc(e.ends, func(o End) bool { return o.Upstream == end.Upstream })
	if i < 0 && len(e.ends) == maxEnds {
		return Dropped, nil
	}
	first := !e.hasEvidence() && !end.Withdrawn
	if i < 0 {
		e.ends = append(e.ends, end)
	} else {
		merged := e.ends[i].merge(end)
		merged.shared = e.ends[i].shared
		if merged == e.ends[i] {
			return WasKnown, nil
		}
		e.ends[i] = merged
		end = merged
	}
	slices.SortFunc(e.ends, func(a, b End) int { return int(a.At - b.At) })
	e.changedAt = now
	var changes []Change
	if first {
		e.receivedAt = now
		changes = append(changes, e.change(Suspected))
	}
	switch {
	case end.Withdrawn:
		return WasWithdrawn, append(changes, e.releaseIfUnfounded()...)
	case end.Doubtful:
		return Doubted, changes
	}
	return Evidence, append(e.trial.recordEnd(e, end), changes...)
}

// withdraw voids the silent end of an upstream that has sent something since, and ends the
// quarantine if it rests on such ends alone.
func (e *suspect) withdraw(upstream uint64, now time.Duration) []Change {
	i := slices.IndexFunc(e.ends, func(o End) bool { return o.Upstream == upstream && o.Silent && !o.Withdrawn })
	if i < 0 {
		return nil
	}
	e.ends[i].Withdrawn = true
	e.changedAt = now
	return e.releaseIfUnfounded()
}

// releaseIfUnfounded ends the quarantine if all ends that this daemon knows were withdrawn.
func (e *suspect) releaseIfUnfounded() []Change {
	if e.since == 0 || len(e.ends) == 0 || slices.ContainsFunc(e.ends, func(o End) bool { return !o.Withdrawn }) {
		return nil
	}
	return e.clear(e.since)
}

// narrow drops the companions that a request with e did not have when it ended an upstream.
func (e *suspect) narrow(subjects []Subject, now time.Duration) {
	if len(e.companions) == 0 {
		return
	}
	before := len(e.companions)
	e.companions = slices.DeleteFunc(e.companions, func(hash uint64) bool { return !containsHash(subjects, hash) })
	if len(e.companions) < before {
		e.changedAt = now
	}
}

func containsHash(subjects []Subject, hash uint64) bool {
	return slices.ContainsFunc(subjects, func(s Subject) bool { return s.Hash() == hash })
}

// outlive voids ends at earlier points than a response has come to, and ends the quarantine if
// it rests on these alone.
func (e *suspect) outlive(v survival, now time.Duration) []Change {
	merged := e.survival.merge(v)
	if merged == e.survival {
		return nil
	}
	e.survival = merged
	before := len(e.ends)
	e.ends = slices.DeleteFunc(e.ends, e.survival.voids)
	if len(e.ends) == before {
		return nil
	}
	e.changedAt = now
	if e.since == 0 || len(e.ends) > 0 {
		return nil
	}
	return e.clear(e.since)
}

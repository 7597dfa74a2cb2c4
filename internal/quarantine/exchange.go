package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// newsTime is how long a change is in every message to other daemons. It covers
	// several exchanges, some of which may fail.
	newsTime = 3 * time.Second
	// Besides, each suspect is in the messages of one of resendTurns turns of resendTurn.
	resendTurn  = 500 * time.Millisecond
	resendTurns = 8
	// maxStatements bounds the statements of a message that does not tell all. An upstream
	// that ends is evidence against all requests that were open there, most of them unique.
	maxStatements = 128
)

// Statement is what a daemon tells others about a segment. Ages are relative to the time of
// the message.
type Statement struct {
	Subject
	Ends          []EndAge
	Cleared       bool
	ClearedAge    time.Duration // of the time up to which evidence is void; may be below 0
	Survived      bool
	SurvivalAge   time.Duration // since a response with it had come as far as Progress
	Progress      Progress
	Quarantined   bool
	QuarantineAge time.Duration
	Ended         int
	Trials        int
	TrialAge      time.Duration // 0 if there was none
	Confirmed     bool
	Software      uint32 // at the last trial
	Companions    []uint64
}

// EndAge is an End in a Statement.
type EndAge struct {
	Upstream     uint64
	SentAge, Age time.Duration
	Stage        Stage
	Progress     Progress
	Silent       bool
	Doubtful     bool
	Withdrawn    bool
	Stored       bool
}

// Statements returns what to tell another daemon: all, or what changed recently and, in
// turn, some of the rest.
func (t *Table) Statements(all bool, now time.Duration) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	turn := uint64(now / resendTurn)
	var told []*suspect
	for hash, e := range t.suspects {
		if all || now-e.changedAt <= newsTime || (hash+turn)%resendTurns == 0 {
			told = append(told, e)
		}
	}
	if !all && len(told) > maxStatements {
		slices.SortFunc(told, func(a, b *suspect) int {
			return cmp.Or(b.weight()-a.weight(), cmp.Compare(a.order(turn), b.order(turn)))
		})
		told = told[:maxStatements]
	}
	list := make([]Statement, len(told))
	for i, e := range told {
		list[i] = e.statement(now)
	}
	return list
}

// weight orders suspects by what other daemons should learn first.
func (e *suspect) weight() int {
	if e.since > 0 {
		return maxEnds + 1
	}
	return len(e.ends)
}

// order shuffles suspects of the same weight, in another way each turn.
func (e *suspect) order(turn uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, e.Hash()^turn))
}

func (e *suspect) statement(now time.Duration) Statement {
	s := Statement{Subject: e.Subject, Ended: e.ended, Trials: e.trial.count, Confirmed: e.trial.confirmed, Software: e.trial.software}
	if e.clearedAt > 0 {
		s.Cleared, s.ClearedAge = true, now-e.clearedAt
	}
	if e.survival.at > 0 {
		s.Survived, s.SurvivalAge, s.Progress = true, now-e.survival.at, e.survival.progress
	}
	if e.since > 0 {
		s.Quarantined, s.QuarantineAge, s.Companions = true, now-e.since, slices.Clone(e.companions)
	}
	if e.trial.at > 0 {
		s.TrialAge = max(now-e.trial.at, time.Millisecond)
	}
	for _, end := range e.ends {
		s.Ends = append(s.Ends, end.age(now))
	}
	return s
}

func (e End) age(now time.Duration) EndAge {
	return EndAge{Upstream: e.Upstream, SentAge: now - e.SentAt, Age: now - e.At, Stage: e.Stage, Progress: e.Progress,
		Silent: e.Silent, Doubtful: e.Doubtful, Withdrawn: e.Withdrawn, Stored: e.Stored}
}

// Merge adds what another daemon told, and returns what changed here.
func (t *Table) Merge(list []Statement, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, s := range list {
		if s.isMalformed() {
			continue
		}
		if t.suspects[s.Hash()] == nil && !s.Quarantined && len(s.Ends) == 0 {
			continue // cleared, and there was no evidence here
		}
		if e := t.suspect(s.Subject, now); e != nil {
			changes = append(changes, e.merge(s, now)...)
		}
	}
	return changes
}

// isMalformed reports whether no daemon makes such a statement.
func (s *Statement) isMalformed() bool {
	bad := s.Service == "" || s.Cleared && s.ClearedAge < -2*clearMargin || s.QuarantineAge < 0 || s.TrialAge < 0 || s.Ended < 0 || s.Trials < 0 ||
		s.Survived && (s.SurvivalAge < 0 || s.Progress.isMalformed())
	for _, end := range s.Ends {
		bad = bad || (end.Doubtful || end.Withdrawn) && !end.Silent || end.Age < 0 || end.SentAge < end.Age || end.Progress.isMalformed() || end.Progress.Time > end.SentAge-end.Age+runTimeError
	}
	return bad
}

func (p Progress) isMalformed() bool { return p.Time < 0 || p.Events < 0 }

func (e *suspect) merge(s Statement, now time.Duration) []Change {
	var changes []Change
	if until := now - s.ClearedAge; s.Cleared && until > e.clearedAt+maxTransit {
		e.changedAt = now
		changes = e.clear(until)
	}
	survived := survival{}
	if s.Survived {
		survived = survival{s.Progress, now - s.SurvivalAge}
		changes = append(changes, e.outlive(survived, now)...)
	}
	for _, a := range s.Ends {
		end := End{Upstream: a.Upstream, SentAt: now - a.SentAge, At: now - a.Age, Stage: a.Stage, Progress: a.Progress,
			Silent: a.Silent, Doubtful: a.Doubtful, Withdrawn: a.Withdrawn, Stored: a.Stored}
		kind, more := e.add(end, now)
		if kind == WasAnswered && (!s.Cleared || now-s.ClearedAge < end.At) || kind == WasOutlived && !survived.voids(end) {
			e.changedAt = now // the other daemon must learn that its evidence is void
		}
		changes = append(changes, more...)
	}
	since := now - s.QuarantineAge
	if !s.Quarantined || since <= e.clearedAt {
		return changes
	}
	if e.since == 0 {
		e.since, e.ended, e.companions, e.changedAt = since, s.Ended, slices.Clone(s.Companions), now
		changes = append(changes, e.change(Quarantined))
	} else {
		e.companions = slices.DeleteFunc(e.companions, func(hash uint64) bool { return !slices.Contains(s.Companions, hash) })
	}
	e.ended = max(e.ended, s.Ended)
	before := e.trial
	if e.trial.merge(s, now); e.trial != before {
		e.changedAt = now
	}
	return changes
}

// merge takes over the newer trial, and the outcome of the same one.
func (s *trialState) merge(o Statement, now time.Duration) {
	at := now - o.TrialAge
	switch {
	case o.TrialAge == 0:
	case at > s.at+maxTransit:
		*s = trialState{o.Trials, at, o.Confirmed, o.Software}
	case at > s.at-maxTransit:
		s.confirmed = s.confirmed || o.Confirmed
	}
}

package quarantine

import "time"

const (
	// newsTime is how long a change is in every message to other daemons. It covers
	// several exchanges, some of which may fail.
	newsTime = 3 * time.Second
	// Besides, each suspect is in the messages of one of resendTurns turns of resendTurn.
	resendTurn  = 500 * time.Millisecond
	resendTurns = 8
)

// Statement is what a daemon tells others about a segment. Ages are relative to the time of
// the message.
type Statement struct {
	Subject
	Ends          []EndAge
	Cleared       bool
	ClearedAge    time.Duration // of the time up to which evidence is void; may be below 0
	Quarantined   bool
	QuarantineAge time.Duration
	Ended         int
	Trials        int
	TrialAge      time.Duration // 0 if there was none
	Confirmed     bool
	Software      uint32 // at the last trial
}

// EndAge is an End in a Statement.
type EndAge struct {
	Upstream     uint64
	SentAge, Age time.Duration
}

// Statements returns what to tell another daemon: all, or what changed recently and, in
// turn, some of the rest.
func (t *Table) Statements(all bool, now time.Duration) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Statement
	turn := uint64(now / resendTurn)
	for hash, e := range t.suspects {
		if all || now-e.changedAt <= newsTime || (hash+turn)%resendTurns == 0 {
			list = append(list, e.statement(now))
		}
	}
	return list
}

func (e *suspect) statement(now time.Duration) Statement {
	s := Statement{Subject: e.Subject, Ended: e.ended, Trials: e.trial.count, Confirmed: e.trial.confirmed, Software: e.trial.software}
	if e.clearedAt > 0 {
		s.Cleared, s.ClearedAge = true, now-e.clearedAt
	}
	if e.since > 0 {
		s.Quarantined, s.QuarantineAge = true, now-e.since
	}
	if e.trial.at > 0 {
		s.TrialAge = max(now-e.trial.at, time.Millisecond)
	}
	for _, end := range e.ends {
		s.Ends = append(s.Ends, EndAge{end.Upstream, now - end.SentAt, now - end.At})
	}
	return s
}

// Merge adds what another daemon told, and returns what this daemon believes since.
func (t *Table) Merge(list []Statement, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, s := range list {
		if s.isMalformed() {
			continue
		}
		if t.suspects[s.Hash()] == nil && !s.Quarantined && len(s.Ends) == 0 {
			continue // cleared, and never accused here
		}
		if e := t.suspect(s.Subject, now); e != nil {
			changes = append(changes, e.merge(s, now)...)
		}
	}
	return changes
}

// isMalformed reports whether no daemon makes such a statement.
func (s *Statement) isMalformed() bool {
	bad := s.Service == "" || s.Cleared && s.ClearedAge < -2*clearMargin || s.QuarantineAge < 0 || s.TrialAge < 0 || s.Ended < 0 || s.Trials < 0
	for _, end := range s.Ends {
		bad = bad || end.Age < 0 || end.SentAge < end.Age
	}
	return bad
}

func (e *suspect) merge(s Statement, now time.Duration) []Change {
	var changes []Change
	if until := now - s.ClearedAge; s.Cleared && until > e.clearedAt+maxTransit {
		e.changedAt = now
		changes = e.clear(until)
	}
	for _, end := range s.Ends {
		at := now - end.Age
		if at <= e.clearedAt && (!s.Cleared || now-s.ClearedAge < at) {
			e.changedAt = now // the other daemon must hear that its evidence is void
		}
		changes = append(changes, e.add(End{end.Upstream, now - end.SentAge, at}, now)...)
	}
	since := now - s.QuarantineAge
	if !s.Quarantined || since <= e.clearedAt {
		return changes
	}
	if e.since == 0 {
		e.since, e.ended, e.changedAt = since, s.Ended, now
		changes = append(changes, Change{e.Subject, Quarantined, e.ended})
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

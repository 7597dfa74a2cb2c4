package quarantine

import "time"

const (
	// firstTrial is how long after the start of a quarantine one request with the segment
	// is sent as a trial. A segment that was quarantined wrongly is released by it.
	firstTrial = 5 * time.Second
	// trialGrowth is the factor by which the time to the next trial grows after one that
	// showed nothing, for instance because its caller left.
	trialGrowth = 8
	// confirmedTrial is the time to the next trial after one that has ended an upstream.
	confirmedTrial = time.Hour
	// trialOutcome is the time in which a trial shows its outcome.
	trialOutcome = 20 * time.Second
)

// trialState describes the trials of a segment in quarantine.
type trialState struct {
	count     int           // since the start, or since the last one of another software
	at        time.Duration // boot time of the last one; 0 for none
	confirmed bool          // the last one has ended an upstream
	software  uint32        // of the upstreams at the last one; 0 if not known
}

// due reports whether a trial may be made. One is due, too, once all upstreams run other
// software than at the last trial.
func (s *trialState) due(since time.Duration, software uint32, now time.Duration) bool {
	if s.at == 0 {
		return now-since >= firstTrial
	}
	if now-s.at < trialOutcome {
		return false
	}
	if software != 0 && s.software != 0 && software != s.software {
		return true
	}
	if s.confirmed {
		return now-s.at >= confirmedTrial
	}
	wait := firstTrial
	for range min(s.count, trialGrowth) {
		wait *= trialGrowth
	}
	return now-s.at >= min(wait, confirmedTrial)
}

// recordEnd confirms the quarantine if the end is that of the trial's upstream.
func (s *trialState) recordEnd(e *suspect, end End) []Change {
	if e.since == 0 || s.at == 0 || s.confirmed || end.At < s.at || end.At > s.at+trialOutcome {
		return nil
	}
	s.confirmed = true
	e.ended++
	return []Change{e.change(Confirmed)}
}

// StartTrial reports whether a trial of a segment, given by its hash, may start, and counts
// it. Only the arbiter of the segment may call it. softwareOf is as for Check.
func (t *Table) StartTrial(hash uint64, softwareOf func(service string) uint32, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.suspects[hash]
	if e == nil || e.since == 0 {
		return false
	}
	software := softwareOf(e.Service)
	if !e.trial.due(e.since, software, now) {
		return false
	}
	if software != e.trial.software {
		e.trial.count = 0
	}
	e.trial = trialState{count: e.trial.count + 1, at: now, software: software}
	e.changedAt = now
	return true
}

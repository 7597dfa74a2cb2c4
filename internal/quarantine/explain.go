package quarantine

import (
	"slices"
	"time"
)

const (
	// One point of a response lies clearly before another if it is more than progressSlack
	// and more than eventSlack events before it: upstreams differ in speed, and what ends
	// them may do so after the same time or after the same event.
	progressSlack = 500 * time.Millisecond
	eventSlack    = 2
	// independentGap is the time between two requests, and between the ends under them, from
	// which on responses that had begun count one by one.
	independentGap = 300 * time.Millisecond
	// An end is no evidence if sharedEnds other upstreams ended within sharedWindow of it
	// without the subject.
	sharedEnds   = 4
	sharedWindow = 200 * time.Millisecond
	// silentWindow is the same for upstreams that fell silent. That is known only as exactly as
	// they were sending before.
	silentWindow = 500 * time.Millisecond
	// runTimeError bounds the error of the difference of two ages from a message.
	runTimeError = 2 * time.Millisecond
)

// counted returns the ends without those at a clearly earlier point than another one, since the
// response under which that upstream ended had outlived them, and without shared, doubtful and
// withdrawn ones.
func (e *suspect) counted() []End {
	list := make([]End, 0, len(e.ends))
	for _, end := range e.ends {
		outlived := func(o End) bool { return o.counts() && end.Progress.clearlyBefore(o.Progress) }
		if end.counts() && !end.shared && !slices.ContainsFunc(e.ends, outlived) {
			list = append(list, end)
		}
	}
	return list
}

// independent returns the number of ends that happened one after the other.
func (e *suspect) independent() (n int) {
	var last End
	for _, end := range e.counted() {
		if n == 0 || end.follows(last) {
			n, last = n+1, end
		}
	}
	return n
}

// follows reports whether the end is evidence beside another one: the request was sent after
// that, or both upstreams had begun to respond and ended at the same point, but at different
// times.
func (e End) follows(o End) bool {
	return e.SentAt > o.At || e.Stage == AfterEvent && e.At-o.At >= independentGap && e.SentAt-o.SentAt >= independentGap
}

// otherEnds returns the times at which upstreams of the same service ended without the
// subject, as far as they are known. The caller holds mu.
func (t *Table) otherEnds(e *suspect) map[uint64]time.Duration {
	others := make(map[uint64]time.Duration)
	for _, o := range t.suspects {
		if o.Service != e.Service {
			continue
		}
		for _, end := range o.ends {
			if !end.Withdrawn {
				others[end.Upstream] = end.At
			}
		}
	}
	for _, end := range e.ends {
		delete(others, end.Upstream)
	}
	return others
}

// due reports whether the evidence suffices also in view of the upstreams that ended without
// the subject. Their ends at the same time void an end. Responses that had gone on for longer
// than progressSlack may have been open by chance, so that half of the ends in the meantime must
// be under the subject. The caller holds mu.
func (t *Table) due(e *suspect) bool {
	for i := range e.ends {
		e.ends[i].shared = false
	}
	if !e.sufficient() || !e.hasFresh() {
		return false
	}
	if len(e.ends) == maxEnds {
		return true
	}
	others := t.otherEnds(e)
	for i := range e.ends {
		window := sharedWindow
		if e.ends[i].Silent {
			window = silentWindow
		}
		e.ends[i].shared = countWithin(others, e.ends[i].At-window, e.ends[i].At+window) >= sharedEnds
	}
	if !e.sufficient() {
		return false
	}
	counted := e.counted()
	late := slices.ContainsFunc(counted, func(end End) bool { return end.Progress.Time > progressSlack })
	return !late || countWithin(others, counted[0].At, counted[len(counted)-1].At) <= len(counted)
}

// hasFresh reports whether a daemon has witnessed one of the ends. What was stored may have been void by the
// time at which all daemons ended.
func (e *suspect) hasFresh() bool {
	return slices.ContainsFunc(e.ends, func(o End) bool { return o.counts() && !o.Stored })
}

// countWithin returns how many of the ends are between two times.
func countWithin(ends map[uint64]time.Duration, from, to time.Duration) (n int) {
	for _, at := range ends {
		if from <= at && at <= to {
			n++
		}
	}
	return n
}

// sufficient reports whether the evidence suffices for a quarantine.
func (e *suspect) sufficient() bool {
	if e.Request {
		return len(e.counted()) >= requestEnds && e.independent() >= independentRequestEnds
	}
	return e.independent() >= independentEnds
}

// comparison relates the ends under one suspect to those under another.
type comparison struct {
	covered bool // the other explains all of them: these upstreams ended under it too
	more    bool // and others did
	same    bool // the requests were the same each time
	later   bool // the other's requests were sent later each time
}

func (e *suspect) compare(other *suspect) comparison {
	ends, others := e.counted(), other.counted()
	c := comparison{covered: true, more: len(others) > len(ends), same: !e.Request || !other.Request, later: true}
	for _, end := range ends {
		i := slices.IndexFunc(others, func(o End) bool { return o.Upstream == end.Upstream })
		if i < 0 {
			return comparison{}
		}
		difference := end.runTime() - others[i].runTime()
		c.same = c.same && difference.Abs() <= runTimeError
		c.later = c.later && difference > runTimeError
	}
	return c
}

// explainedBy reports whether other, and not e, is the cause of the ends under e. Requests
// with a segment that ends upstreams have other segments too, and others were open at the same
// upstreams. Of two subjects with the same few ends neither is quarantined before the next end,
// unless the one is a request and the other a segment of its prompt.
func (e *suspect) explainedBy(other *suspect) bool {
	if e == other || e.Service != other.Service || len(e.ends) == 0 {
		return false
	}
	c := e.compare(other)
	switch {
	case !c.covered:
		return false
	case c.more:
		return true
	case c.same:
		return other.Request
	}
	return len(e.counted()) == independentEnds || c.later
}

// explainedTogether reports whether each end under e is also one under another subject with
// more ends: a sound segment may have been open at upstreams that several others ended. Of
// subjects with the same few ends none is quarantined before the next end.
func (e *suspect) explainedTogether(candidates []*suspect) bool {
	ends := e.counted()
	least := len(ends) + 1
	if len(ends) == independentEnds {
		least = len(ends)
	}
	var better []End
	for _, o := range candidates {
		if o == e || o.Service != e.Service {
			continue
		}
		if c := e.compare(o); c.covered && c.same {
			continue
		}
		if others := o.counted(); len(others) >= least {
			better = append(better, others...)
		}
	}
	return !slices.ContainsFunc(ends, func(end End) bool {
		return !slices.ContainsFunc(better, func(o End) bool { return o.Upstream == end.Upstream })
	})
}

// inseparable returns the hashes of the other segments that were in the same requests as e
// each time an upstream ended.
func (e *suspect) inseparable(candidates []*suspect) (hashes []uint64) {
	if e.Request {
		return nil
	}
	for _, o := range candidates {
		if o == e || o.Request || o.Service != e.Service || len(hashes) == maxCompanions {
			continue
		}
		if c := e.compare(o); c.covered && c.same && !c.more {
			hashes = append(hashes, o.Hash())
		}
	}
	slices.Sort(hashes)
	return hashes
}

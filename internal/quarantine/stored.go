package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetRestoring tells whether evidence is still to be read from the store. Until then whole responses are
// remembered, as far as there is room: they void what is read later.
func (t *Table) SetRestoring(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restoring = on
}

// Evidence returns statements about the subjects against which there is evidence, with nothing but that
// evidence: those with the most ends first, then those with the newest end. limit bounds their number.
func (t *Table) Evidence(limit int, now time.Duration) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Statement
	for _, e := range t.suspects {
		if s := e.stored(now); len(s.Ends) > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Statement) int {
		return cmp.Or(len(b.Ends)-len(a.Ends), cmp.Compare(a.newest(), b.newest()), cmp.Compare(a.Hash(), b.Hash()))
	})
	return list[:min(len(list), limit)]
}

// stored returns the statement about e that is to be stored.
func (e *suspect) stored(now time.Duration) Statement {
	s := Statement{Subject: e.Subject}
	for _, end := range e.ends {
		if !end.Withdrawn && now-end.At <= evidenceTTL {
			s.Ends = append(s.Ends, end.age(now))
		}
	}
	return s
}

// newest returns the age of the newest end.
func (s *Statement) newest() time.Duration { return s.Ends[len(s.Ends)-1].Age }

// Digest identifies the ends of statements, in any order and at any time.
func Digest(list []Statement) (sum uint64) {
	for _, s := range list {
		for _, end := range s.Ends {
			b := binary.BigEndian.AppendUint64(nil, s.Hash())
			b = append(binary.BigEndian.AppendUint64(b, end.Upstream), byte(end.Stage), flag(end.Silent), flag(end.Doubtful))
			sum += xxhash.Sum64(b)
		}
	}
	return sum
}

func flag(on bool) byte {
	if on {
		return 1
	}
	return 0
}

// MergeStored adds evidence that was read from the store. elapsed is the time since it was written.
func (t *Table) MergeStored(list []Statement, elapsed, now time.Duration) []Change {
	if elapsed = max(elapsed, 0); elapsed > evidenceTTL {
		return nil
	}
	stored := make([]Statement, 0, len(list))
	for _, s := range list {
		o := Statement{Subject: s.Subject, Ends: slices.Clone(s.Ends)}
		for i := range o.Ends {
			o.Ends[i].Age += elapsed
			o.Ends[i].SentAge += elapsed
			o.Ends[i].Stored = true
		}
		o.Ends = slices.DeleteFunc(o.Ends, func(end EndAge) bool { return end.Age > evidenceTTL })
		stored = append(stored, o)
	}
	return t.Merge(stored, now)
}

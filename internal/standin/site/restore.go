package site

import "maps"

// Copy is a copy of a store's rows, from which it can be restored.
type Copy struct {
	rows      map[rowID]Row
	version   int64
	compacted int64
}

// Copy returns a copy of the present rows.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{maps.Clone(s.rows), s.version, s.compacted}
}

// Restore replaces all rows by those of a copy. Versions go back, to be given out again,
// and the era rises. Calls in progress lose their connection; see SetOldResponses.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.compacted = maps.Clone(c.rows), c.version, c.compacted
	s.era++
	close(s.restored)
	s.restored = make(chan struct{})
}

// SetOldResponses lets calls that a restore overtakes complete with what they read before,
// while on is set.
func (e *Endpoint) SetOldResponses(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.oldResponses = on
}

func (e *Endpoint) keepOldResponses() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.oldResponses
}

// currentEra returns the era, and a channel that is closed when it ends.
func (s *Store) currentEra() (int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.restored
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

package members

import (
	"sync"
	"time"
)

// LeavingSignal tells work at an upstream that it must move. Its methods may be
// called from any goroutine.
type LeavingSignal struct {
	mu   sync.Mutex
	wait map[string]chan struct{} // closed when the upstream leaves
	till map[string]time.Time     // of those that leave; zero if unknown
}

// NewLeavingSignal returns a signal that knows no leaving upstream.
func NewLeavingSignal() *LeavingSignal {
	return &LeavingSignal{wait: make(map[string]chan struct{}), till: make(map[string]time.Time)}
}

// Leaving returns a channel that is closed once the upstream leaves; it is
// closed already if the upstream is leaving.
func (s *LeavingSignal) Leaving(upstream string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.wait[upstream]
	if c == nil {
		c = make(chan struct{})
		s.wait[upstream] = c
	}
	return c
}

// Deadline returns when the leaving upstream ends, zero if that is unknown, and
// false if it is not leaving.
func (s *LeavingSignal) Deadline(upstream string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.till[upstream]
	return t, ok
}

// Update takes in a new view.
func (s *LeavingSignal) Update(v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]bool, len(v.Upstreams))
	for _, r := range v.Upstreams {
		known[r.Name] = true
		if r.State == Leaving {
			s.close(r)
		} else {
			s.reopen(r.Name)
		}
	}
	for name := range s.till {
		if !known[name] {
			s.reopen(name)
		}
	}
}

func (s *LeavingSignal) close(r *Record) {
	_, already := s.till[r.Name]
	s.till[r.Name] = time.Time{}
	if r.DeadlineMS != 0 {
		s.till[r.Name] = time.UnixMilli(r.DeadlineMS)
	}
	if already {
		return
	}
	if s.wait[r.Name] == nil {
		s.wait[r.Name] = make(chan struct{})
	}
	close(s.wait[r.Name])
}

// reopen forgets that the upstream left: it was restarted.
func (s *LeavingSignal) reopen(name string) {
	if _, left := s.till[name]; left {
		delete(s.till, name)
		delete(s.wait, name)
	}
}

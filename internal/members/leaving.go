package members

import (
	"sync"
	"time"
)

// LeavingSignal notifies the requests at an upstream that it is leaving and that
// they must move to another one. Its methods may be called from any goroutine.
type LeavingSignal struct {
	mu        sync.Mutex
	signals   map[string]chan struct{} // by upstream; closed when it starts to leave
	deadlines map[string]time.Time     // of leaving upstreams; zero time if unknown
}

// NewLeavingSignal returns a signal without leaving upstreams.
func NewLeavingSignal() *LeavingSignal {
	return &LeavingSignal{signals: make(map[string]chan struct{}), deadlines: make(map[string]time.Time)}
}

// Leaving returns a channel that is closed when the upstream starts to leave. It
// is already closed if the upstream is leaving.
func (s *LeavingSignal) Leaving(upstream string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	signal := s.signals[upstream]
	if signal == nil {
		signal = make(chan struct{})
		s.signals[upstream] = signal
	}
	return signal
}

// Deadline returns when the leaving upstream stops, or the zero time if that is
// unknown. It returns false if the upstream is not leaving.
func (s *LeavingSignal) Deadline(upstream string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline, ok := s.deadlines[upstream]
	return deadline, ok
}

// Update applies a new membership view.
func (s *LeavingSignal) Update(v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]bool, len(v.Upstreams))
	for _, r := range v.Upstreams {
		known[r.Name] = true
		if r.State == Leaving {
			s.markLeaving(r)
		} else {
			s.reset(r.Name)
		}
	}
	for name := range s.deadlines {
		if !known[name] {
			s.reset(name)
		}
	}
}

func (s *LeavingSignal) markLeaving(r *Record) {
	_, wasLeaving := s.deadlines[r.Name]
	s.deadlines[r.Name] = time.Time{}
	if r.DeadlineMS != 0 {
		s.deadlines[r.Name] = time.UnixMilli(r.DeadlineMS)
	}
	if wasLeaving {
		return
	}
	if s.signals[r.Name] == nil {
		s.signals[r.Name] = make(chan struct{})
	}
	close(s.signals[r.Name])
}

// reset removes the leaving mark of an upstream that was restarted or removed.
// Later calls of Leaving get a new, open channel.
func (s *LeavingSignal) reset(name string) {
	if _, leaving := s.deadlines[name]; leaving {
		delete(s.deadlines, name)
		delete(s.signals, name)
	}
}

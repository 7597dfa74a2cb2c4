package obs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// sinkBytes bounds what waits to be written; more is left out and counted.
	sinkBytes = 1 << 20
	// sinkInterval is how long a line may wait.
	sinkInterval = 50 * time.Millisecond
)

// Sink passes log lines on without ever making their writer wait. Lines that
// find it full are left out; how many is told by a line of its own.
type Sink struct {
	w io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	closed  bool
	done    chan struct{}
	wake    chan struct{}
}

// NewSink returns a sink that writes to w from a task of its own until Close.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write implements io.Writer. It never fails and does not wait.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.buf)+len(line) > sinkBytes {
		s.dropped++
		return len(line), nil
	}
	s.buf = append(s.buf, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is left and ends the sink.
func (s *Sink) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	var out []byte
	for range s.wake {
		time.Sleep(sinkInterval) // gathers lines that come together
		var leftOut int
		var closed bool
		s.mu.Lock()
		out, s.buf = s.buf, out[:0]
		leftOut, s.dropped = s.dropped, 0
		closed = s.closed
		s.mu.Unlock()
		if leftOut > 0 {
			out = fmt.Appendf(out, "%s [WARN]  lagoonmux: log lines left out: count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), leftOut)
		}
		_, _ = s.w.Write(out) // where standard output fails there is nobody to tell
		if closed {
			return
		}
	}
}

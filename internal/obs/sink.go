package obs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxSinkBytes limits the buffered bytes. Lines beyond it are dropped and counted.
	maxSinkBytes = 1 << 20
	// sinkWriteInterval is how long lines are collected before they are written together.
	sinkWriteInterval = 50 * time.Millisecond
)

// Sink is an io.Writer for log lines that never blocks its callers: a goroutine
// writes the buffered lines. Lines that don't fit into the buffer are dropped; a
// log line of its own reports their number.
type Sink struct {
	w io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	closed  bool
	done    chan struct{}
	wake    chan struct{}
}

// NewSink returns a Sink that writes to w until Close.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write implements io.Writer. It never fails or blocks.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.buf)+len(line) > maxSinkBytes {
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

// Close writes the buffered lines and stops the goroutine. Later lines are dropped.
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
		time.Sleep(sinkWriteInterval) // collects further lines into one write
		var dropped int
		var closed bool
		s.mu.Lock()
		out, s.buf = s.buf, out[:0]
		dropped, s.dropped = s.dropped, 0
		closed = s.closed
		s.mu.Unlock()
		if dropped > 0 {
			out = fmt.Appendf(out, "%s [WARN]  lagoonmux: log lines left out: count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped)
		}
		_, _ = s.w.Write(out) // there is nowhere to report a failure of the log output
		if closed {
			return
		}
	}
}

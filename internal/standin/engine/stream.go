package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/sse"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
)

// goneInterval is how often a stream without tokens looks whether its caller
// still listens.
const goneInterval = 200 * time.Millisecond

var (
	errCanceled = errors.New("canceled")
	errCut      = errors.New("cut by a fault")
	errGone     = errors.New("caller closed the connection")
)

// stream is the answer to one request. The engine's task emits, the
// connection's goroutine reads it as the body of the response.
type stream struct {
	cached atomic.Int64 // tokens of the prompt found in the cache
	notify chan struct{}

	mu    sync.Mutex
	ready int // index after the last token generated
	ended bool
	err   error // why the answer is not whole

	// For the reader only.
	conn   net.Conn
	cancel func()
	events eventWriter
	sent   int // index of the next token to write
	buf    []byte
	rest   []byte // of buf, not yet read
	done   bool   // the last event is in rest
	timer  *time.Timer
}

func newStream(first int) *stream {
	return &stream{notify: make(chan struct{}, 1), ready: first, sent: first, timer: time.NewTimer(goneInterval)}
}

// emit makes the tokens before index readable.
func (s *stream) emit(index int) {
	s.mu.Lock()
	s.ready = index
	s.mu.Unlock()
	s.wake()
}

// close ends the stream. With an error the answer breaks off.
func (s *stream) close(err error) {
	s.mu.Lock()
	if !s.ended {
		s.ended, s.err = true, err
	}
	s.mu.Unlock()
	s.wake()
}

func (s *stream) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *stream) state() (ready int, ended bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready, s.ended, s.err
}

// Read implements io.Reader for the body of the response.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.rest) == 0 {
		if s.done {
			return 0, io.EOF
		}
		if err := s.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// fill waits for tokens and encodes them.
func (s *stream) fill() error {
	ready, ended, err := s.state()
	if ready == s.sent && !ended {
		return s.wait()
	}
	if err != nil {
		return err
	}
	s.buf = s.buf[:0]
	for s.sent < ready {
		if s.events.cut(s.sent) {
			return errCut
		}
		s.buf = s.events.append(s.buf, s.sent, int(s.cached.Load()))
		s.sent++
	}
	if ended {
		s.buf = sse.Append(s.buf, sse.Event{ID: -1, Data: []byte(sse.Done)})
		s.done = true
	}
	s.rest = s.buf
	return nil
}

// wait returns when there may be tokens, or an error when the caller has gone.
func (s *stream) wait() error {
	s.timer.Reset(goneInterval)
	select {
	case <-s.notify:
		return nil
	case <-s.timer.C:
		if faults.PeerClosed(s.conn) {
			return errGone
		}
		return nil
	}
}

// Close implements io.Closer. It cancels the request if it has not ended.
func (s *stream) Close() error {
	s.timer.Stop()
	if !s.done {
		s.cancel()
	}
	return nil
}

// eventWriter encodes the events of one answer.
type eventWriter struct {
	id, model      string
	attempt        int
	words          completion.TokenGenerator
	first, end     int
	promptTokens   int
	cutAfter       int // tokens to send before the stream breaks; -1 for whole
	prefix, suffix []byte
}

// mark stands for the text in the template of an event.
const mark = "@@"

func (w *eventWriter) cut(index int) bool {
	return w.cutAfter >= 0 && index-w.first >= w.cutAfter
}

// append appends the event of the token at index.
func (w *eventWriter) append(buf []byte, index, cached int) []byte {
	if index == w.first || index == w.end-1 {
		return w.appendWhole(buf, index, cached)
	}
	if w.prefix == nil {
		data := encode(w.chunk(mark, ""))
		w.prefix, w.suffix, _ = bytes.Cut(data, []byte(mark))
	}
	data := make([]byte, 0, 256)
	data = append(data, w.prefix...)
	data = append(data, w.words.Token(index)...)
	data = append(data, w.suffix...)
	return sse.Append(buf, sse.Event{ID: int64(index), Data: data})
}

func (w *eventWriter) appendWhole(buf []byte, index, cached int) []byte {
	finish := ""
	if index == w.end-1 {
		finish = "length"
	}
	c := w.chunk(w.words.Token(index), finish)
	if index == w.first {
		c.Usage = &completion.Usage{PromptTokens: w.promptTokens, CachedTokens: cached}
	}
	return sse.Append(buf, sse.Event{ID: int64(index), Data: encode(c)})
}

func (w *eventWriter) chunk(text, finish string) *completion.Response {
	c := completion.NewChunk(w.id, w.model, text, finish, false)
	c.Attempt = w.attempt
	return c
}

func encode(c *completion.Response) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // a Response always encodes
	}
	return data
}

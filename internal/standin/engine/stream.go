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

// disconnectCheckInterval is how often a stream without tokens looks whether its caller
// still listens.
const disconnectCheckInterval = 200 * time.Millisecond

var (
	errCanceled     = errors.New("canceled")
	errCut          = errors.New("cut by a fault")
	errDisconnected = errors.New("caller closed the connection")
)

// stream is the answer to one request. The engine's task emits, the
// connection's goroutine reads it as the body of the response.
type stream struct {
	cached atomic.Int64 // tokens of the prompt found in the cache
	notify chan struct{}

	mu        sync.Mutex
	generated int // index after the last token generated
	ended     bool
	err       error // why the answer is not whole

	// For the reader only.
	conn     net.Conn
	cancel   func()
	encoder  eventEncoder
	sent     int // index of the next token to write
	buf      []byte
	unread   []byte // of buf, not yet read
	complete bool   // the last event is in rest
	timer    *time.Timer
}

func newStream(first int) *stream {
	return &stream{notify: make(chan struct{}, 1), generated: first, sent: first, timer: time.NewTimer(disconnectCheckInterval)}
}

// emit makes the tokens before index readable.
func (s *stream) emit(index int) {
	s.mu.Lock()
	s.generated = index
	s.mu.Unlock()
	s.signal()
}

// close ends the stream. With an error the answer breaks off.
func (s *stream) close(err error) {
	s.mu.Lock()
	if !s.ended {
		s.ended, s.err = true, err
	}
	s.mu.Unlock()
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *stream) state() (generated int, ended bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generated, s.ended, s.err
}

// Read implements io.Reader for the body of the response.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.unread) == 0 {
		if s.complete {
			return 0, io.EOF
		}
		if err := s.fillBuffer(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// fillBuffer waits for tokens and encodes them.
func (s *stream) fillBuffer() error {
	ready, ended, err := s.state()
	if ready == s.sent && !ended {
		return s.waitForTokens()
	}
	if err != nil {
		return err
	}
	s.buf = s.buf[:0]
	for s.sent < ready {
		if s.encoder.cutsAt(s.sent) {
			return errCut
		}
		s.buf = s.encoder.appendEvent(s.buf, s.sent, int(s.cached.Load()))
		s.sent++
	}
	if ended {
		s.buf = sse.Append(s.buf, sse.Event{ID: -1, Data: []byte(sse.Done)})
		s.complete = true
	}
	s.unread = s.buf
	return nil
}

// waitForTokens returns when there may be tokens, or an error when the caller has gone.
func (s *stream) waitForTokens() error {
	s.timer.Reset(disconnectCheckInterval)
	select {
	case <-s.notify:
		return nil
	case <-s.timer.C:
		if faults.Gone(s.conn) {
			return errDisconnected
		}
		return nil
	}
}

// Close implements io.Closer. It cancels the request if it has not ended.
func (s *stream) Close() error {
	s.timer.Stop()
	if !s.complete {
		s.cancel()
	}
	return nil
}

// eventEncoder encodes the events of one answer.
type eventEncoder struct {
	id, model      string
	attempt        int
	generator      completion.TokenGenerator
	first, end     int
	promptTokens   int
	cutAfter       int // tokens to send before the stream breaks; -1 for whole
	prefix, suffix []byte
}

// textPlaceholder stands for the text in the template of an event.
const textPlaceholder = "@@"

func (w *eventEncoder) cutsAt(index int) bool {
	return w.cutAfter >= 0 && index-w.first >= w.cutAfter
}

// appendEvent appends the event of the token at index.
func (w *eventEncoder) appendEvent(buf []byte, index, cached int) []byte {
	if index == w.first || index == w.end-1 {
		return w.appendFirstOrLast(buf, index, cached)
	}
	if w.prefix == nil {
		data := encodeResponse(w.chunk(textPlaceholder, ""))
		w.prefix, w.suffix, _ = bytes.Cut(data, []byte(textPlaceholder))
	}
	data := make([]byte, 0, 256)
	data = append(data, w.prefix...)
	data = append(data, w.generator.Token(index)...)
	data = append(data, w.suffix...)
	return sse.Append(buf, sse.Event{ID: int64(index), Data: data})
}

func (w *eventEncoder) appendFirstOrLast(buf []byte, index, cached int) []byte {
	finish := ""
	if index == w.end-1 {
		finish = "length"
	}
	c := w.chunk(w.generator.Token(index), finish)
	if index == w.first {
		c.Usage = &completion.Usage{PromptTokens: w.promptTokens, CachedTokens: cached}
	}
	return sse.Append(buf, sse.Event{ID: int64(index), Data: encodeResponse(c)})
}

func (w *eventEncoder) chunk(text, finish string) *completion.Response {
	c := completion.NewChunk(w.id, w.model, text, finish, false)
	c.Attempt = w.attempt
	return c
}

func encodeResponse(c *completion.Response) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // a Response always encodes
	}
	return data
}

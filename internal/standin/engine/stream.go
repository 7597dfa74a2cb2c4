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

// disconnectCheckInterval is the interval at which a stream that waits for tokens checks
// whether the client has closed the connection.
const disconnectCheckInterval = 200 * time.Millisecond

var (
	errCanceled     = errors.New("request canceled")
	errCut          = errors.New("response cut by a fault")
	errDisconnected = errors.New("client closed the connection")
)

// stream is the response to one request. The goroutine of Engine.Run emits tokens, and
// the connection's goroutine reads them, encoded as events, as the response body.
type stream struct {
	cached atomic.Int64  // tokens of the prompt found in the cache
	notify chan struct{} // signals emit and close to the reader

	mu        sync.Mutex
	generated int // index after the last token generated
	ended     bool
	err       error // why the response is incomplete

	// Used by the reader only.
	conn     net.Conn
	cancel   func()
	encoder  eventEncoder
	sent     int // index of the next token to encode
	buf      []byte
	unread   []byte // part of buf that Read has not returned yet
	complete bool   // the last event has been encoded
	timer    *time.Timer
}

func newStream(first int) *stream {
	return &stream{notify: make(chan struct{}, 1), generated: first, sent: first, timer: time.NewTimer(disconnectCheckInterval)}
}

// emit lets the reader send the tokens before index.
func (s *stream) emit(index int) {
	s.mu.Lock()
	s.generated = index
	s.mu.Unlock()
	s.signal()
}

// close ends the stream. With an error, the connection is closed before the response is
// complete. Only the first call has an effect.
func (s *stream) close(err error) {
	s.mu.Lock()
	if !s.ended {
		s.ended, s.err = true, err
	}
	s.mu.Unlock()
	s.signal()
}

// signal wakes the reader if it waits.
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

// Read implements io.Reader for the response body.
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

// fillBuffer encodes the tokens generated since the last call. If there are none, it
// waits and may return without any.
func (s *stream) fillBuffer() error {
	generated, ended, err := s.state()
	if generated == s.sent && !ended {
		return s.waitForTokens()
	}
	if err != nil {
		return err
	}
	s.buf = s.buf[:0]
	for s.sent < generated {
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

// waitForTokens waits for a signal, at most disconnectCheckInterval. It returns an error
// if the client has closed the connection.
func (s *stream) waitForTokens() error {
	s.timer.Reset(disconnectCheckInterval)
	select {
	case <-s.notify:
		return nil
	case <-s.timer.C:
		if faults.PeerClosed(s.conn) {
			return errDisconnected
		}
		return nil
	}
}

// Close implements io.Closer. It cancels the request if the response is incomplete.
func (s *stream) Close() error {
	s.timer.Stop()
	if !s.complete {
		s.cancel()
	}
	return nil
}

// eventEncoder encodes the events of one response.
type eventEncoder struct {
	id, model      string
	attempt        int
	generator      completion.TokenGenerator
	first, end     int
	promptTokens   int
	cutAfter       int    // number of tokens after which the response is cut; -1 for never
	prefix, suffix []byte // encoded event before and after its text; set on first use
}

// textPlaceholder marks the place of the text in an encoded event.
const textPlaceholder = "@@"

// cutsAt reports whether a fault cuts the response before the token at index.
func (w *eventEncoder) cutsAt(index int) bool {
	return w.cutAfter >= 0 && index-w.first >= w.cutAfter
}

// appendEvent appends the event of the token at index to buf. cached is the number of
// cached prompt tokens, reported with the first token. Events between the first and the
// last differ only in their text, so the rest of them is encoded once.
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

// appendFirstOrLast appends an event with usage (first) or finish reason (last).
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
		panic(err) // unreachable: every Response can be encoded
	}
	return data
}

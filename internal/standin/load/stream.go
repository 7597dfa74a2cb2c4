package load

import (
	"bytes"
	"encoding/json"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/sse"
)

// streamCheck checks the events of one streamed response.
type streamCheck struct {
	r         *request
	id        string
	quotedID  []byte
	generator completion.TokenGenerator
	next      int // index of the next token
	finished  bool
}

func newStreamCheck(r *request, id string) *streamCheck {
	return &streamCheck{r: r, id: id, quotedID: []byte(`"id":"` + id + `"`), generator: completion.NewTokenGenerator(r.prompt)}
}

// checkEvent checks the token index, the request ID and the text of the next event.
func (s *streamCheck) checkEvent(e sse.Event) error {
	if e.ID != int64(s.next) {
		return verdictErrorf(Wrong, "token %d, expected %d", e.ID, s.next)
	}
	want := s.generator.Token(s.next)
	s.next++
	if s.next < s.r.tokens && s.matchesFast(e.Data, want) {
		return nil
	}
	return s.checkDecoded(e, want)
}

// matchesFast reports whether the encoded event contains the expected ID and text. It
// avoids decoding the JSON of most events.
func (s *streamCheck) matchesFast(data []byte, want string) bool {
	var buf [32]byte
	quotedText := append(append(append(buf[:0], '"'), want...), '"')
	return bytes.Contains(data, s.quotedID) && bytes.Contains(data, quotedText)
}

func (s *streamCheck) checkDecoded(e sse.Event, want string) error {
	var got completion.Response
	if err := json.Unmarshal(e.Data, &got); err != nil {
		return verdictErrorf(Wrong, "decode event: %v", err)
	}
	if got.ID != s.id {
		return verdictErrorf(Crossed, "event of request %s, expected %s", got.ID, s.id)
	}
	text, finish := got.FirstChoice()
	if text != want {
		return verdictErrorf(Wrong, "token %d is %q, expected %q", e.ID, text, want)
	}
	s.finished = finish != ""
	if s.finished != (s.next == s.r.tokens) {
		return verdictErrorf(Wrong, "finish reason %q after token %d of %d", finish, s.next, s.r.tokens)
	}
	return nil
}

// checkEnd checks, at the end of the stream, that all tokens have arrived.
func (s *streamCheck) checkEnd() error {
	if !s.finished {
		return verdictErrorf(Wrong, "stream ended after %d of %d tokens", s.next, s.r.tokens)
	}
	return nil
}

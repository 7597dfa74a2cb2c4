package load

import (
	"bytes"
	"encoding/json"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/sse"
)

// streamCheck checks the events of one streamed answer.
type streamCheck struct {
	r        *request
	id       string
	quotedID []byte
	words    completion.TokenGenerator
	next     int // index of the next token
	finished bool
}

func newStreamCheck(r *request, id string) *streamCheck {
	return &streamCheck{r: r, id: id, quotedID: []byte(`"id":"` + id + `"`), words: completion.NewTokenGenerator(r.prompt)}
}

// event checks the next event: its index, its request and its text.
func (s *streamCheck) event(e sse.Event) error {
	if e.ID != int64(s.next) {
		return wrongf(Wrong, "token %d, expected %d", e.ID, s.next)
	}
	want := s.words.Token(s.next)
	s.next++
	if s.next < s.r.tokens && s.quick(e.Data, want) {
		return nil
	}
	return s.full(e, want)
}

// quick tells whether the encoded event holds the id and the text expected.
func (s *streamCheck) quick(data []byte, want string) bool {
	var buf [32]byte
	quoted := append(append(append(buf[:0], '"'), want...), '"')
	return bytes.Contains(data, s.quotedID) && bytes.Contains(data, quoted)
}

func (s *streamCheck) full(e sse.Event, want string) error {
	var got completion.Response
	if err := json.Unmarshal(e.Data, &got); err != nil {
		return wrongf(Wrong, "undecodable event: %v", err)
	}
	if got.ID != s.id {
		return wrongf(Crossed, "event of %s, asked %s", got.ID, s.id)
	}
	text, finish := got.FirstChoice()
	if text != want {
		return wrongf(Wrong, "token %d is %q, expected %q", e.ID, text, want)
	}
	s.finished = finish != ""
	if s.finished != (s.next == s.r.tokens) {
		return wrongf(Wrong, "finish reason %q at token %d of %d", finish, s.next, s.r.tokens)
	}
	return nil
}

// end checks that the answer that ended is whole.
func (s *streamCheck) end() error {
	if !s.finished {
		return wrongf(Wrong, "ended after %d of %d tokens", s.next, s.r.tokens)
	}
	return nil
}

package load

import (
	"bytes"
	"encoding/json"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/sse"
)

// streamCheck checks the events of one streamed answer.
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

// checkEvent checks the next event: its index, its request and its text.
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

// matchesFast tells whether the encoded event holds the id and the text expected.
func (s *streamCheck) matchesFast(data []byte, want string) bool {
	var buf [32]byte
	quoted := append(append(append(buf[:0], '"'), want...), '"')
	return bytes.Contains(data, s.quotedID) && bytes.Contains(data, quoted)
}

func (s *streamCheck) checkDecoded(e sse.Event, want string) error {
	var got completion.Response
	if err := json.Unmarshal(e.Data, &got); err != nil {
		return verdictErrorf(Wrong, "undecodable event: %v", err)
	}
	if got.ID != s.id {
		return verdictErrorf(Crossed, "event of %s, asked %s", got.ID, s.id)
	}
	text, finish := got.FirstChoice()
	if text != want {
		return verdictErrorf(Wrong, "token %d is %q, expected %q", e.ID, text, want)
	}
	s.finished = finish != ""
	if s.finished != (s.next == s.r.tokens) {
		return verdictErrorf(Wrong, "finish reason %q at token %d of %d", finish, s.next, s.r.tokens)
	}
	return nil
}

// checkEnd checks that the answer that ended is whole.
func (s *streamCheck) checkEnd() error {
	if !s.finished {
		return verdictErrorf(Wrong, "ended after %d of %d tokens", s.next, s.r.tokens)
	}
	return nil
}

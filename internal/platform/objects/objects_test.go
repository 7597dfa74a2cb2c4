package objects

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/standin/broken"
)

// TestMalformedResponses lets the store answer with responses that are no valid HTTP. No call may take
// one for a success.
func TestMalformedResponses(t *testing.T) {
	ctx := context.Background()
	for call, do := range map[string]func(s *Store) error{
		"get":    func(s *Store) error { _, err := s.Get(ctx, "x"); return err },
		"put":    func(s *Store) error { return s.Put(ctx, "x", []byte("data")) },
		"delete": func(s *Store) error { return s.Delete(ctx, "x") },
	} {
		send := func(response string) error {
			address, stop, err := broken.Serve(response)
			assert.NilError(t, err)
			defer stop()
			s := New("http://" + address)
			defer s.Close()
			return do(s)
		}
		for name, text := range broken.Responses("data") {
			err := send(text)
			assert.Check(t, errors.Is(err, platform.ErrUnavailable), "%s, %s: %v", call, name, err)
		}
		for name, text := range broken.SoundResponses("data") {
			assert.Check(t, send(text), "%s, %s", call, name)
		}
	}
}

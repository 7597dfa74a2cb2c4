package ctl

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/standin/broken"
)

// TestMalformedResponses lets a daemon answer with responses that are no valid HTTP. The command must not
// claim that it succeeded.
func TestMalformedResponses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "manifest.json")
	assert.NilError(t, os.WriteFile(file, []byte("{}"), 0o600))
	send := func(response string) error {
		address, stop, err := broken.Serve(response)
		assert.NilError(t, err)
		defer stop()
		return New(address, io.Discard).Apply(file, 3)
	}
	for name, text := range broken.Responses(`{"generation": 4}`) {
		assert.Check(t, ExitCode(send(text)) == ExitUnreachable, name)
	}
	for name, text := range broken.SoundResponses(`{"generation": 4}`) {
		assert.Check(t, send(text), name)
	}
}

package dynamo_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/dynamo"
	"github.com/lagoonmux/lagoonmux/internal/standin/broken"
)

// TestMalformedResponses lets the service answer with responses that are no valid HTTP. A commit may have
// taken effect then, and a read has failed.
func TestMalformedResponses(t *testing.T) {
	ctx := context.Background()
	for name, text := range broken.Responses("{}") {
		t.Run(name, func(t *testing.T) {
			address, stop, err := broken.Serve(text)
			assert.NilError(t, err)
			defer stop()
			c := dynamo.New(dynamo.Options{Endpoint: "http://" + address})
			defer c.Close()
			err = c.Commit(ctx, "t", []platform.Write{{Key: "p/a", Value: []byte("1")}})
			assert.Check(t, errors.Is(err, platform.ErrOutcomeUnknown), "commit: %v", err)
			_, err = c.Get(ctx, "p/a")
			assert.Check(t, errors.Is(err, platform.ErrUnavailable), "get: %v", err)
			_, err = c.Scan(ctx, "p", "", 10)
			assert.Check(t, errors.Is(err, platform.ErrUnavailable), "scan: %v", err)
		})
	}
	for name, text := range broken.SoundResponses("{}") {
		t.Run(name, func(t *testing.T) {
			address, stop, err := broken.Serve(text)
			assert.NilError(t, err)
			defer stop()
			c := dynamo.New(dynamo.Options{Endpoint: "http://" + address})
			defer c.Close()
			assert.Check(t, c.Commit(ctx, "t", []platform.Write{{Key: "p/a", Value: []byte("1")}}))
		})
	}
}

// TestResetDuringCommit lets the service begin its response to a large commit at once and reset the
// connection. What has arrived is no response.
func TestResetDuringCommit(t *testing.T) {
	address, stop, err := broken.ServeReset("HTTP/1.1 200 OK\r\n\r\n{}")
	assert.NilError(t, err)
	defer stop()
	c := dynamo.New(dynamo.Options{Endpoint: "http://" + address})
	defer c.Close()
	for range 10 {
		err := c.Commit(context.Background(), "t", []platform.Write{{Key: "p/a", Value: bytes.Repeat([]byte("1"), 12<<20)}})
		assert.Assert(t, errors.Is(err, platform.ErrOutcomeUnknown), "%v", err)
	}
}

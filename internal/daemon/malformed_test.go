package daemon

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/fleet"
	"github.com/lagoonmux/lagoonmux/internal/peer"
	"github.com/lagoonmux/lagoonmux/internal/standin/broken"
)

// TestMalformedResponses lets an upstream answer a request for its load, and an order, with responses
// that are no valid HTTP. Neither may take one for a success.
func TestMalformedResponses(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for call, do := range map[string]func(address string) error{
		"load": func(address string) error {
			c := newLoadClient(&peer.Traffic{})
			defer c.close()
			_, err := c.fetch(ctx, address, false)
			return err
		},
		"load on a new connection": func(address string) error {
			c := newLoadClient(&peer.Traffic{})
			defer c.close()
			_, err := c.fetch(ctx, address, true)
			return err
		},
		"order": func(address string) error { return sendOrder(ctx, address, fleet.Order{}) },
	} {
		send := func(response string) error {
			address, stop, err := broken.Serve(response)
			assert.NilError(t, err)
			defer stop()
			return do(address)
		}
		for name, text := range broken.Responses("{}") {
			assert.Check(t, send(text) != nil, "%s, %s", call, name)
		}
		for name, text := range broken.SoundResponses("{}") {
			assert.Check(t, send(text), "%s, %s", call, name)
		}
	}
}

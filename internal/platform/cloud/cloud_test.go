package cloud

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/standin/broken"
)

// TestMalformedResponses lets the API answer with responses that are no valid HTTP. No call may take
// one for a success.
func TestMalformedResponses(t *testing.T) {
	ctx := context.Background()
	for _, tt := range []struct {
		call, body string
		do         func(c *Client) error
	}{
		{"list VMs", "[]", func(c *Client) error { _, err := c.VMs(ctx); return err }},
		{"list offers", "[]", func(c *Client) error { _, err := c.Offers(ctx); return err }},
		{"list notices", "[]", func(c *Client) error { _, err := c.Notices(ctx, []string{"vm-1"}); return err }},
		{"start", "{}", func(c *Client) error { _, err := c.Start(ctx, StartRequest{Token: "t"}); return err }},
		{"stop", "{}", func(c *Client) error { return c.Stop(ctx, "vm-1") }},
	} {
		send := func(response string) error {
			address, stop, err := broken.Serve(response)
			assert.NilError(t, err)
			defer stop()
			c := New("http://" + address)
			defer c.Close()
			return tt.do(c)
		}
		for name, text := range broken.Responses(tt.body) {
			err := send(text)
			assert.Check(t, errors.Is(err, platform.ErrUnavailable), "%s, %s: %v", tt.call, name, err)
		}
		for name, text := range broken.SoundResponses(tt.body) {
			assert.Check(t, send(text), "%s, %s", tt.call, name)
		}
	}
}

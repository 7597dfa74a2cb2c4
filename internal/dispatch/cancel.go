package dispatch

import (
	"context"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	pathCancel    = "/v1/cancel"
	maxCancels    = 64 // cancellations in flight
	cancelTimeout = time.Second
)

// canceler asks upstreams to cancel attempts whose responses are no longer
// needed. Closing the connection has the same effect, but the upstream doesn't
// notice it if a middlebox has lost the state of the connection.
type canceler struct {
	pool  *upstream.Pool
	slots chan struct{} // semaphore: one element for each cancellation in flight
}

type cancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
}

// cancel sends a cancellation in the background. It is dropped if maxCancels are
// in flight.
func (c *canceler) cancel(address, id string, attempt int) {
	select {
	case c.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.slots }()
		c.send(address, id, attempt)
	}()
}

func (c *canceler) send(address, id string, attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// If this fails, the closed connection still cancels the attempt.
	_ = postJSON(ctx, c.pool, address, pathCancel, cancelRequest{RequestID: id, Attempt: attempt}, nil)
}

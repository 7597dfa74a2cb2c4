package dispatch

import (
	"context"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	pathCancel    = "/v1/cancel"
	maxCancels    = 64
	cancelTimeout = time.Second
)

// canceller tells engines that the answer of an attempt is no longer wanted.
// Closing the connection says so too, but does not arrive where something in
// between has lost track of the connection.
type canceller struct {
	pool  *upstream.Pool
	slots chan struct{}
}

type cancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
}

// cancel sends the cancellation from another goroutine. It is dropped while
// many others are under way.
func (c *canceller) cancel(address, id string, attempt int) {
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

func (c *canceller) send(address, id string, attempt int) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// A cancellation that fails leaves the closed connection to tell the engine.
	_ = postJSON(ctx, c.pool, address, pathCancel, cancelRequest{RequestID: id, Attempt: attempt}, nil)
}

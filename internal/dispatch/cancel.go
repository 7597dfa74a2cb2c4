package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	pathCancel     = "/v1/cancel"
	maxCancels     = 64
	cancelTimeout  = time.Second
	maxCancelBytes = 4 << 10
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
	body, err := json.Marshal(cancelRequest{RequestID: id, Attempt: attempt})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + pathCancel)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	x, err := c.pool.Start(ctx, address, req, true)
	if err != nil {
		return
	}
	_, _ = x.ReadAll(maxCancelBytes)
}

// Package dispatch runs the attempts of a call against upstreams and decides
// whether a failed attempt may be followed by another.
package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	maxAttempts   = 4
	maxReplyBytes = 16 << 20
)

// Dispatcher runs calls. Its methods may be called from any goroutine.
type Dispatcher struct {
	pool   *upstream.Pool
	router *routing.Router
}

// New returns a Dispatcher that chooses upstreams by router.
func New(pool *upstream.Pool, router *routing.Router) *Dispatcher {
	return &Dispatcher{pool: pool, router: router}
}

// begin chooses the upstream for the next attempt.
func (d *Dispatcher) begin(c *call.Call, tried []string) (routing.Attempt, error) {
	req := &routing.Request{
		Service:   c.Service.Name,
		MaxTokens: c.MaxTokens,
		Class:     c.Class,
		Deadline:  c.Deadline,
		Tried:     tried,
		Random:    rand.Uint64(),
	}
	if c.Prompt != "" {
		req.Blocks = completion.Blocks(c.Prompt)
		req.PromptTokens = completion.CountTokens(c.Prompt)
	}
	return d.router.Begin(time.Now(), req)
}

// mayRetry tells whether another attempt can do no harm after err.
func mayRetry(c *call.Call, err error) bool {
	var ue *upstream.Error
	if errors.As(err, &ue) && !ue.Sent {
		return true
	}
	return c.Repeatable
}

// failure converts the last error of a call to the outcome it leaves.
func failure(c *call.Call, peer string, sent bool, err error) *call.Error {
	status := fasthttp.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(c.Deadline) {
		status = fasthttp.StatusGatewayTimeout
	}
	if sent {
		return call.Lost("dispatch", peer, status, err)
	}
	if status == fasthttp.StatusBadGateway {
		status = fasthttp.StatusServiceUnavailable
	}
	return call.Refused("dispatch", peer, status, err)
}

// wasSent tells whether a byte of the request can have reached the upstream.
func wasSent(err error) bool {
	var ue *upstream.Error
	return !errors.As(err, &ue) || ue.Sent
}

// resultOf tells the router how an attempt ended.
func resultOf(ctx context.Context, err error) routing.Result {
	switch {
	case err == nil:
		return routing.Succeeded
	case ctx.Err() != nil:
		return routing.Canceled
	default:
		return routing.Failed
	}
}

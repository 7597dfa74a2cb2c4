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
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	maxAttempts   = 4
	maxReplyBytes = 16 << 20
)

// Pickers returns the current picker of a service.
type Pickers interface {
	Picker(service string) routing.Picker
}

// Dispatcher runs calls. Its methods may be called from any goroutine.
type Dispatcher struct {
	pool    *upstream.Pool
	pickers Pickers
}

// New returns a Dispatcher that chooses upstreams by pickers.
func New(pool *upstream.Pool, pickers Pickers) *Dispatcher {
	return &Dispatcher{pool: pool, pickers: pickers}
}

// pick chooses the upstream for the next attempt.
func (d *Dispatcher) pick(c *call.Call, tried []string) (*manifest.Upstream, error) {
	req := &routing.Request{
		Service:   c.Service.Name,
		MaxTokens: c.MaxTokens,
		Class:     c.Class,
		Deadline:  c.Deadline,
		Tried:     tried,
		Random:    rand.Uint64(),
	}
	p := d.pickers.Picker(c.Service.Name)
	if p == nil {
		return nil, routing.ErrNoUpstream
	}
	return p.Pick(time.Now(), req)
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

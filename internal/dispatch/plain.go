package dispatch

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// Headers between lagoonmux and upstreams.
const (
	HeaderRequestID      = "Lagoonmux-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Plain runs a call of a plain service. The error is always a *call.Error.
func (d *Dispatcher) Plain(ctx context.Context, c *call.Call) (*call.Reply, error) {
	var tried []string
	var last error
	sent := false
	peer := ""
	for len(tried) < maxAttempts {
		a, err := d.begin(c, tried)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		u := a.Upstream
		peer = u.Name
		tried = append(tried, u.Name)
		reply, err := d.plainAttempt(ctx, c, u, len(tried) > 1)
		a.Done(time.Now(), resultOf(ctx, err))
		if err == nil {
			return reply, nil
		}
		last = err
		sent = sent || wasSent(err)
		if ctx.Err() != nil || !mayRetry(c, err) {
			break
		}
	}
	return nil, failure(c, peer, sent, last)
}

func (d *Dispatcher) plainAttempt(ctx context.Context, c *call.Call, u *manifest.Upstream, fresh bool) (*call.Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + u.Address + c.Path)
	req.Header.Set(HeaderRequestID, c.ID)
	if c.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	}
	if len(c.Body) > 0 {
		req.Header.SetContentType(c.ContentType)
		req.SetBodyRaw(c.Body)
	}
	x, err := d.pool.Start(ctx, u.Address, req, fresh)
	if err != nil {
		return nil, err
	}
	body, err := x.ReadAll(maxReplyBytes)
	if err != nil {
		return nil, err
	}
	reply := &call.Reply{
		Status:      x.Response.StatusCode(),
		ContentType: string(x.Response.Header.ContentType()),
		Body:        body,
	}
	return reply, nil
}

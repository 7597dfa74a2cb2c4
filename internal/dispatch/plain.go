package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/trace"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

var errCrossed = errors.New("response belongs to another request")

// Plain runs a call of a plain service. The error is always a *call.Error.
func (d *Dispatcher) Plain(ctx context.Context, c *call.Call) (*call.Response, error) {
	service := d.service(c)
	s := &attempts{call: c, onLeaving: d.onLeaving, retries: service.retries}
	req := newRoutingRequest(c, nil)
	for {
		a, ok := d.begin(s, req)
		if !ok {
			return nil, s.finalError(ctx)
		}
		began := time.Now()
		resp, err := d.runHedged(ctx, s, service, req, a)
		if err == nil {
			if mayHedge(c) {
				service.latency.observe(time.Since(began))
			}
			return resp, nil
		}
		s.traceFailure(err)
		s.recordFailure(err, false)
		if !s.mayRetry(ctx, false) {
			d.stats.denied.Add(1)
			return nil, s.finalError(ctx)
		}
		s.backOff(ctx)
	}
}

// mayHedge reports whether a second, concurrent attempt is safe and cheap: the
// call is a repeatable GET or HEAD without a body.
func mayHedge(c *call.Call) bool {
	readOnly := c.Method == fasthttp.MethodGet || c.Method == fasthttp.MethodHead
	return c.Repeatable && readOnly && len(c.Body) == 0
}

// attemptResult is the result of one of two concurrent attempts.
type attemptResult struct {
	resp *call.Response
	err  *attemptError
}

// runHedged runs an attempt. If the call may be hedged and takes unusually long, it
// starts a second, concurrent one. The first success wins, and the other attempt is
// canceled.
func (d *Dispatcher) runHedged(ctx context.Context, s *attempts, service *serviceState, req *routing.Request, a routing.Attempt) (*call.Response, *attemptError) {
	delay, known := service.latency.hedgeAfter()
	s.number++
	if !mayHedge(s.call) || !known {
		return d.plainAttempt(ctx, s.call, a, s.number, s.lastErr != nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	start := func(a routing.Attempt, number int, newConn bool) {
		go func() {
			resp, err := d.plainAttempt(ctx, s.call, a, number, newConn)
			results <- attemptResult{resp, err}
		}()
	}
	start(a, s.number, s.lastErr != nil)
	t := time.NewTimer(delay)
	defer t.Stop()
	running := 1
	for {
		select {
		case result := <-results:
			running--
			if result.err == nil || running == 0 {
				return result.resp, result.err
			}
		case <-t.C:
			if d.startHedge(s, req, a.Upstream.Name, start) {
				running++
			}
		}
	}
}

// startHedge starts a second attempt at another upstream, if the retry budget
// allows it and there is one. It reports whether it did.
func (d *Dispatcher) startHedge(s *attempts, req *routing.Request, first string, start func(routing.Attempt, int, bool)) bool {
	if !s.retries.take() {
		return false
	}
	other := *req
	other.Tried = append([]string{first}, s.tried...)
	a, err := d.router.Begin(time.Now(), &other)
	if err != nil {
		return false
	}
	d.stats.hedged.Add(1)
	s.number++
	start(a, s.number, true)
	return true
}

// plainAttempt runs one attempt and reports its result to the router.
func (d *Dispatcher) plainAttempt(ctx context.Context, c *call.Call, a routing.Attempt, number int, newConn bool) (*call.Response, *attemptError) {
	d.stats.attempts.Add(1)
	c.Trace.Add(trace.Step{At: time.Now(), Name: trace.Attempt, Peer: a.Upstream.Name, Attempt: number})
	resp, err := d.exchange(ctx, c, a.Upstream, newConn)
	d.reportBroken(ctx, c, number, err)
	a.Done(time.Now(), resultOf(ctx, err))
	return resp, err
}

// exchange sends the request once and reads the response. A non-repeatable call
// uses a new connection: on an idle one that the upstream has closed, it may be
// unknown whether the request arrived.
func (d *Dispatcher) exchange(ctx context.Context, c *call.Call, u *manifest.Upstream, newConn bool) (*call.Response, *attemptError) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillPlainRequest(req, c, u)
	x, err := d.pool.StartWith(ctx, u.Address, req, upstream.Options{
		NewConn:      newConn || !c.Repeatable,
		HeadDeadline: responseDeadline(c, time.Now()),
	})
	if err != nil {
		return nil, newAttemptError(u.Name, err)
	}
	if err := statusError(u.Name, x); err != nil {
		x.Cancel()
		return nil, err
	}
	body, err := x.ReadAll(maxResponseBytes)
	if err != nil {
		return nil, newAttemptError(u.Name, err)
	}
	if id := x.Response.Header.Peek(HeaderRequestID); len(id) > 0 && string(id) != c.ID {
		d.stats.crossed.Add(1)
		return nil, newAttemptError(u.Name, errCrossed)
	}
	return &call.Response{
		Status:      x.Response.StatusCode(),
		ContentType: string(x.Response.Header.ContentType()),
		Body:        body,
	}, nil
}

func fillPlainRequest(req *fasthttp.Request, c *call.Call, u *manifest.Upstream) {
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + u.Address + c.Path)
	req.Header.Set(HeaderRequestID, c.ID)
	setTimeout(req, c)
	if c.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, c.IdempotencyKey)
	}
	if len(c.Body) > 0 {
		req.Header.SetContentType(c.ContentType)
		req.SetBodyRaw(c.Body)
	}
}

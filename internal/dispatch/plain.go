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

var errCrossed = errors.New("answer of another request")

// Plain runs a call of a plain service. The error is always a *call.Error.
func (d *Dispatcher) Plain(ctx context.Context, c *call.Call) (*call.Response, error) {
	service := d.service(c)
	s := &attempts{call: c, leaving: d.leaving, budget: service.budget}
	req := request(c, nil)
	for {
		a, ok := d.begin(s, req)
		if !ok {
			return nil, s.failure(ctx)
		}
		began := time.Now()
		reply, err := d.hedged(ctx, s, service, req, a)
		if err == nil {
			if mayHedge(c) {
				service.latency.observe(time.Since(began))
			}
			return reply, nil
		}
		s.note(err)
		s.record(err, false)
		if !s.again(ctx, false) {
			d.stats.denied.Add(1)
			return nil, s.failure(ctx)
		}
		s.wait(ctx)
	}
}

// mayHedge tells whether a second attempt at the same time does no harm and
// costs little.
func mayHedge(c *call.Call) bool {
	read := c.Method == fasthttp.MethodGet || c.Method == fasthttp.MethodHead
	return c.Repeatable && read && len(c.Body) == 0
}

// ended is the end of one of two attempts at the same time.
type ended struct {
	reply *call.Response
	err   *attemptError
}

// hedged runs an attempt, and a second beside it if it is a short read that
// takes unusually long. The first answer wins and the other is cancelled.
func (d *Dispatcher) hedged(ctx context.Context, s *attempts, service *serviceState, req *routing.Request, a routing.Attempt) (*call.Response, *attemptError) {
	after, known := service.latency.hedgeAfter()
	s.number++
	if !mayHedge(s.call) || !known {
		return d.plainAttempt(ctx, s.call, a, s.number, s.last != nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan ended, 2)
	start := func(a routing.Attempt, number int, fresh bool) {
		go func() {
			reply, err := d.plainAttempt(ctx, s.call, a, number, fresh)
			ends <- ended{reply, err}
		}()
	}
	start(a, s.number, s.last != nil)
	t := time.NewTimer(after)
	defer t.Stop()
	running := 1
	for {
		select {
		case e := <-ends:
			running--
			if e.err == nil || running == 0 {
				return e.reply, e.err
			}
		case <-t.C:
			if d.startHedge(s, req, a.Upstream.Name, start) {
				running++
			}
		}
	}
}

// startHedge starts a second attempt at another upstream within the budget.
func (d *Dispatcher) startHedge(s *attempts, req *routing.Request, first string, start func(routing.Attempt, int, bool)) bool {
	if !s.budget.spend() {
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

// plainAttempt runs one attempt and reports its end to the router.
func (d *Dispatcher) plainAttempt(ctx context.Context, c *call.Call, a routing.Attempt, number int, fresh bool) (*call.Response, *attemptError) {
	d.stats.attempts.Add(1)
	c.Trace.Add(trace.Step{At: time.Now(), Name: trace.Attempt, Peer: a.Upstream.Name, Attempt: number})
	reply, err := d.exchange(ctx, c, a.Upstream, fresh)
	a.Done(time.Now(), resultOf(ctx, err))
	return reply, err
}

// exchange sends the request once. A call that may not be repeated takes a new
// connection: on one that has been idle, a byte may be lost without a sign of
// whether it arrived.
func (d *Dispatcher) exchange(ctx context.Context, c *call.Call, u *manifest.Upstream, fresh bool) (*call.Response, *attemptError) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillPlainRequest(req, c, u)
	x, err := d.pool.StartWith(ctx, u.Address, req, upstream.Options{
		NewConn:        fresh || !c.Repeatable,
		HeaderDeadline: replyBy(c, time.Now()),
	})
	if err != nil {
		return nil, failed(u.Name, err)
	}
	if err := statusError(u.Name, x); err != nil {
		x.Cancel()
		return nil, err
	}
	body, err := x.ReadAll(maxReplyBytes)
	if err != nil {
		return nil, failed(u.Name, err)
	}
	if id := x.Response.Header.Peek(HeaderRequestID); len(id) > 0 && string(id) != c.ID {
		d.stats.crossed.Add(1)
		return nil, failed(u.Name, errCrossed)
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

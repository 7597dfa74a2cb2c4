package dispatch

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/sse"
	"github.com/lagoonmux/lagoonmux/internal/trace"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const drainTimeout = 20 * time.Millisecond // for the end of the body after the last event

// errTruncated reports that a stream ended before its last token.
var errTruncated = errors.New("stream ended before its last token")

// sinkError wraps an error of the caller's sink, which ends the call.
type sinkError struct{ error }

// Unwrap returns the sink's error.
func (e sinkError) Unwrap() error { return e.error }

// PartialResponse is the part of a response that earlier attempts delivered.
type PartialResponse struct {
	Tokens      int // number of tokens in Text
	Text        string
	LastAttempt int // number of the last attempt
}

// response is the part of a streamed response that has been delivered.
type response struct {
	text      strings.Builder
	nextToken int // index of the next token
	done      bool
}

// Stream runs a call of a model service. It passes each token to sink once and in
// order, however many attempts that takes. The error is a *call.Error or the
// sink's error.
func (d *Dispatcher) Stream(ctx context.Context, c *call.Call, sink call.Sink) error {
	return d.Resume(ctx, c, PartialResponse{}, sink)
}

// Resume is like Stream, but continues after a partial response.
func (d *Dispatcher) Resume(ctx context.Context, c *call.Call, partial PartialResponse, sink call.Sink) error {
	s := &attempts{call: c, onLeaving: d.onLeaving, retries: d.service(c).retries, number: partial.LastAttempt}
	resp := &response{nextToken: partial.Tokens}
	resp.text.WriteString(partial.Text)
	req := newRoutingRequest(c, nil)
	for {
		a, ok := d.begin(s, req)
		if !ok {
			return s.finalError(ctx)
		}
		before := resp.nextToken
		s.number++
		err := d.streamAttempt(ctx, s, &a, resp, sink)
		if err == nil {
			a.Done(time.Now(), routing.Succeeded)
			return nil
		}
		var sinkErr sinkError
		if errors.As(err, &sinkErr) {
			a.Done(time.Now(), routing.Canceled)
			return sinkErr.error
		}
		a.Done(time.Now(), resultOf(ctx, err))
		d.reportBroken(ctx, c, s.number, err)
		s.traceFailure(err)
		s.recordFailure(err, resp.nextToken > before)
		if !s.mayRetry(ctx, resp.nextToken > 0) {
			d.stats.denied.Add(1)
			return s.finalError(ctx)
		}
		s.backOff(ctx)
	}
}

// streamAttempt runs one attempt and passes its tokens to sink.
func (d *Dispatcher) streamAttempt(ctx context.Context, s *attempts, a *routing.Attempt, resp *response, sink call.Sink) *attemptError {
	c, u := s.call, a.Upstream
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := fillModelRequest(req, c, u, s.number, resp); err != nil {
		return &attemptError{Peer: u.Name, Err: err}
	}
	d.importKV(ctx, s, u)
	d.stats.attempts.Add(1)
	if resp.nextToken > 0 {
		d.stats.resumed.Add(1)
	}
	c.Trace.Add(trace.Step{At: time.Now(), Name: trace.Attempt, Peer: u.Name, Attempt: s.number})
	timeouts := newProgressTimeouts(c, time.Now())
	x, err := d.pool.StartWith(ctx, u.Address, req, upstream.Options{
		NewConn:      s.withoutProgress > 0 || s.lastErr != nil,
		HeadDeadline: time.Now().Add(timeouts.firstToken),
	})
	if err != nil {
		return d.abandon(s, u, nil, err)
	}
	if err := statusError(u.Name, x); err != nil {
		x.Cancel()
		return err
	}
	if err := d.readTokens(x, s, a, timeouts, resp, sink); err != nil {
		if errors.Is(err, errMoved) {
			s.kv = d.export(ctx, s, u)
		}
		return d.abandon(s, u, x, err)
	}
	x.Drain(drainTimeout)
	return nil
}

// abandon closes a failed attempt and returns its error. If the upstream may
// still be running the request, it is asked to cancel it.
func (d *Dispatcher) abandon(s *attempts, u *manifest.Upstream, x *upstream.Exchange, err error) *attemptError {
	ae := newAttemptError(u.Name, err)
	if x != nil {
		ae.Reused = x.Reused()
		x.Cancel()
	}
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		d.stats.stalled.Add(1)
	}
	if ae.MayHaveRun {
		d.canceler.cancel(u.Address, s.call.ID, s.number)
	}
	return ae
}

// readTokens passes the tokens of one attempt to sink, up to the last. It returns
// errMoved if the stream must move to another upstream before that.
func (d *Dispatcher) readTokens(x *upstream.Exchange, s *attempts, a *routing.Attempt, timeouts progressTimeouts, resp *response, sink call.Sink) error {
	events := sse.NewReader(bufio.NewReader(x.Body()))
	var parser chunkParser
	extended := time.Now()
	x.SetReadDeadline(extended.Add(timeouts.firstToken))
	move := d.newMover(s.call, a.Upstream, resp.nextToken)
	first := true
	for {
		e, err := events.Next()
		if err != nil {
			return err
		}
		if string(e.Data) == sse.Done {
			break
		}
		chunk, matches, err := parser.parse(e.Data, s.call.ID)
		if err != nil {
			return err
		}
		if !matches || chunk.attempt != s.number {
			d.countCrossed(s, a.Upstream)
			continue
		}
		now := time.Now()
		if first {
			first = false
			move.firstTokenAt = now
			a.FirstToken(now, chunk.cached)
			s.call.Trace.Add(trace.Step{At: now, Name: trace.FirstToken, Peer: a.Upstream.Name, Attempt: s.number})
		}
		extended = extendDeadline(x, extended, now, timeouts.betweenTokens)
		if err := resp.accept(e.ID, chunk, sink); err != nil {
			return err
		}
		if !resp.done && move.due(now, resp.nextToken) {
			return errMoved
		}
	}
	if !resp.done {
		return errTruncated
	}
	return nil
}

// extendDeadline sets the read deadline to between from now if half of between has
// passed since it was last extended, so that not every token sets it. It returns
// when the deadline was last extended.
func extendDeadline(x *upstream.Exchange, extended, now time.Time, between time.Duration) time.Time {
	if now.Sub(extended) < between/2 {
		return extended
	}
	x.SetReadDeadline(now.Add(between))
	return now
}

// countCrossed records a dropped event of another request or attempt.
func (d *Dispatcher) countCrossed(s *attempts, u *manifest.Upstream) {
	d.stats.crossed.Add(1)
	s.call.Trace.Add(trace.Step{At: time.Now(), Name: trace.Crossed, Peer: u.Name, Attempt: s.number})
}

// accept passes a token to sink. A token out of order is an error.
func (r *response) accept(index int64, c chunk, sink call.Sink) error {
	if int(index) != r.nextToken {
		return errors.Errorf("token %d received, %d expected", index, r.nextToken)
	}
	if err := sink.Token(call.Token{Index: r.nextToken, Text: c.text, Finish: c.finish}); err != nil {
		return sinkError{err}
	}
	r.text.WriteString(c.text)
	r.nextToken++
	r.done = c.finish != ""
	return nil
}

func fillModelRequest(req *fasthttp.Request, c *call.Call, u *manifest.Upstream, attempt int, resp *response) error {
	body, err := json.Marshal(&completion.Request{
		Model:      c.Service.Name,
		Prompt:     completion.Text(c.Prompt),
		MaxTokens:  c.MaxTokens,
		Stream:     true,
		RequestID:  c.ID,
		Attempt:    attempt,
		Priority:   priority(c.Class),
		ResumeFrom: resp.nextToken,
		ResumeText: resp.text.String(),
	})
	if err != nil {
		return errors.Wrap(err, "encode completion request")
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + u.Address + completion.Path)
	req.Header.SetContentType(typeJSON)
	setTimeout(req, c)
	req.SetBodyRaw(body)
	return nil
}

// priority returns the priority of a class in requests to upstreams; higher runs
// first.
func priority(class manifest.Class) int {
	switch class {
	case manifest.Urgent:
		return 2
	case manifest.Lot:
		return 0
	default:
		return 1
	}
}

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

const drainPatience = 20 * time.Millisecond // for the end of a body whose last event has come

// errCut says that a stream ended before its last token.
var errCut = errors.New("stream cut")

// sinkError is an error of the caller's sink, which ends the call.
type sinkError struct{ error }

// Unwrap returns the error of the sink.
func (e sinkError) Unwrap() error { return e.error }

// Kept is the part of an answer that earlier attempts have brought.
type Kept struct {
	Tokens   int
	Text     string
	Attempts int // number of the last attempt
}

// answer is the part of a streamed answer that has been delivered.
type answer struct {
	text strings.Builder
	next int // index of the next token
	done bool
}

// Stream runs a call of a model service and passes its tokens to sink in
// order, each once, whatever attempts it takes. The error is a *call.Error, or
// the error of the sink.
func (d *Dispatcher) Stream(ctx context.Context, c *call.Call, sink call.Sink) error {
	return d.Resume(ctx, c, Kept{}, sink)
}

// Resume is Stream for an answer of which a part is kept already.
func (d *Dispatcher) Resume(ctx context.Context, c *call.Call, kept Kept, sink call.Sink) error {
	s := &attempts{call: c, leaving: d.leaving, budget: d.service(c).budget, number: kept.Attempts}
	ans := &answer{next: kept.Tokens}
	ans.text.WriteString(kept.Text)
	req := request(c, nil)
	for {
		a, ok := d.begin(s, req)
		if !ok {
			return s.failure(ctx)
		}
		before := ans.next
		s.number++
		err := d.streamAttempt(ctx, s, &a, ans, sink)
		if err == nil {
			a.Done(time.Now(), routing.Succeeded)
			return nil
		}
		var gone sinkError
		if errors.As(err, &gone) {
			a.Done(time.Now(), routing.Canceled)
			return gone.error
		}
		a.Done(time.Now(), resultOf(ctx, err))
		s.note(err)
		s.record(err, ans.next > before)
		if !s.again(ctx, ans.next > 0) {
			d.stats.denied.Add(1)
			return s.failure(ctx)
		}
		s.wait(ctx)
	}
}

// streamAttempt runs one attempt and delivers what it brings.
func (d *Dispatcher) streamAttempt(ctx context.Context, s *attempts, a *routing.Attempt, ans *answer, sink call.Sink) *attemptError {
	c, u := s.call, a.Upstream
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := fillEngineRequest(req, c, u, s.number, ans); err != nil {
		return &attemptError{Peer: u.Name, Err: err}
	}
	d.importKV(ctx, s, u)
	d.stats.attempts.Add(1)
	if ans.next > 0 {
		d.stats.resumed.Add(1)
	}
	c.Trace.Add(trace.Step{At: time.Now(), Name: trace.Attempt, Peer: u.Name, Attempt: s.number})
	bounds := progressOf(c, time.Now())
	x, err := d.pool.StartWith(ctx, u.Address, req, upstream.Options{
		NewConn:        s.fruitless > 0 || s.last != nil,
		HeaderDeadline: time.Now().Add(bounds.first),
	})
	if err != nil {
		return d.abandon(s, u, nil, err)
	}
	if err := statusError(u.Name, x); err != nil {
		x.Cancel()
		return err
	}
	if err := d.readTokens(x, s, a, bounds, ans, sink); err != nil {
		if errors.Is(err, errMoved) {
			s.kv = d.export(ctx, s, u)
		}
		return d.abandon(s, u, x, err)
	}
	x.Drain(drainPatience)
	return nil
}

// abandon ends an attempt that failed, at the upstream too if it may still run.
func (d *Dispatcher) abandon(s *attempts, u *manifest.Upstream, x *upstream.Exchange, err error) *attemptError {
	ae := failed(u.Name, err)
	if x != nil {
		ae.Reused = x.Reused()
		x.Cancel()
	}
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		d.stats.silent.Add(1)
	}
	if ae.Ran {
		d.canceller.cancel(u.Address, s.call.ID, s.number)
	}
	return ae
}

// readTokens delivers the tokens of one attempt until the last.
func (d *Dispatcher) readTokens(x *upstream.Exchange, s *attempts, a *routing.Attempt, bounds progress, ans *answer, sink call.Sink) error {
	events := sse.NewReader(bufio.NewReader(x.Body()))
	var parser chunkParser
	expect := time.Now()
	x.SetReadDeadline(expect.Add(bounds.first))
	move := d.newMover(s.call, a.Upstream, ans.next)
	first := true
	for {
		e, err := events.Next()
		if err != nil {
			return err
		}
		if string(e.Data) == sse.Done {
			break
		}
		chunk, own, err := parser.parse(e.Data, s.call.ID)
		if err != nil {
			return err
		}
		if !own || chunk.attempt != s.number {
			d.dropCrossed(s, a.Upstream)
			continue
		}
		now := time.Now()
		if first {
			first = false
			move.began = now
			a.FirstToken(now, chunk.cached)
			s.call.Trace.Add(trace.Step{At: now, Name: trace.FirstToken, Peer: a.Upstream.Name, Attempt: s.number})
		}
		expect = extend(x, expect, now, bounds.between)
		if err := ans.accept(e.ID, chunk, sink); err != nil {
			return err
		}
		if !ans.done && move.due(now, ans.next) {
			return errMoved
		}
	}
	if !ans.done {
		return errCut
	}
	return nil
}

// extend moves the read deadline on once half of it has passed, which spares
// setting it at every token.
func extend(x *upstream.Exchange, last, now time.Time, between time.Duration) time.Time {
	if now.Sub(last) < between/2 {
		return last
	}
	x.SetReadDeadline(now.Add(between))
	return now
}

func (d *Dispatcher) dropCrossed(s *attempts, u *manifest.Upstream) {
	d.stats.crossed.Add(1)
	s.call.Trace.Add(trace.Step{At: time.Now(), Name: trace.Crossed, Peer: u.Name, Attempt: s.number})
}

// accept delivers a token if it is the next of this answer.
func (a *answer) accept(index int64, c chunk, sink call.Sink) error {
	if int(index) != a.next {
		return errors.Errorf("token %d received, %d expected", index, a.next)
	}
	if err := sink.Token(call.Token{Index: a.next, Text: c.text, Finish: c.finish}); err != nil {
		return sinkError{err}
	}
	a.text.WriteString(c.text)
	a.next++
	a.done = c.finish != ""
	return nil
}

func fillEngineRequest(req *fasthttp.Request, c *call.Call, u *manifest.Upstream, attempt int, ans *answer) error {
	body, err := json.Marshal(&completion.Request{
		Model:      c.Service.Name,
		Prompt:     completion.Text(c.Prompt),
		MaxTokens:  c.MaxTokens,
		Stream:     true,
		RequestID:  c.ID,
		Attempt:    attempt,
		Priority:   priority(c.Class),
		ResumeFrom: ans.next,
		ResumeText: ans.text.String(),
	})
	if err != nil {
		return errors.Wrap(err, "encode engine request")
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + u.Address + completion.Path)
	req.Header.SetContentType(typeJSON)
	setTimeout(req, c)
	req.SetBodyRaw(body)
	return nil
}

// priority returns the priority of a class at the engines.
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

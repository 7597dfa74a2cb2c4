package dispatch

import (
	"bufio"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/sse"
)

// errCut says that a stream ended before its last token.
var errCut = errors.New("stream cut")

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
	var tried []string
	var last error
	var ans answer
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
		err = d.streamAttempt(ctx, c, &a, len(tried), &ans, sink)
		a.Done(time.Now(), resultOf(ctx, err))
		if err == nil {
			return nil
		}
		last = err
		sent = sent || wasSent(err)
		if ctx.Err() != nil {
			break
		}
	}
	return failure(c, peer, sent, last)
}

func (d *Dispatcher) streamAttempt(ctx context.Context, c *call.Call, a *routing.Attempt, attempt int, ans *answer, sink call.Sink) error {
	u := a.Upstream
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := fillEngineRequest(req, c, u, attempt, ans); err != nil {
		return err
	}
	x, err := d.pool.Start(ctx, u.Address, req, attempt > 1)
	if err != nil {
		return err
	}
	if code := x.Response.StatusCode(); code != fasthttp.StatusOK {
		x.Cancel()
		return errors.Errorf("upstream %s: status %d", u.Name, code)
	}
	events := sse.NewReader(bufio.NewReader(x.Body()))
	for {
		e, err := events.Next()
		if err != nil {
			x.Cancel()
			return err
		}
		if string(e.Data) == sse.Done {
			break
		}
		if err := ans.accept(e, c.ID, attempt, sink, a); err != nil {
			x.Cancel()
			return err
		}
	}
	x.Cancel()
	if !ans.done {
		return errCut
	}
	return nil
}

func fillEngineRequest(req *fasthttp.Request, c *call.Call, u *manifest.Upstream, attempt int, ans *answer) error {
	body, err := json.Marshal(&completion.Request{
		Model:      c.Service.Name,
		Prompt:     c.Prompt,
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
	req.Header.SetContentType("application/json")
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

// accept delivers the token of one event if it is the next of this answer.
func (a *answer) accept(e sse.Event, id string, attempt int, sink call.Sink, at *routing.Attempt) error {
	var chunk completion.Response
	if err := json.Unmarshal(e.Data, &chunk); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if chunk.ID != id || chunk.Attempt != attempt {
		return nil // crossed answer of another request or attempt
	}
	if int(e.ID) != a.next {
		return errors.Errorf("token %d received, %d expected", e.ID, a.next)
	}
	if chunk.Usage != nil {
		at.FirstToken(time.Now(), chunk.Usage.CachedTokens)
	}
	text, finish := chunk.FirstChoice()
	if err := sink.Token(call.Token{Index: a.next, Text: text, Finish: finish}); err != nil {
		return err
	}
	a.text.WriteString(text)
	a.next++
	a.done = finish != ""
	return nil
}

// Package engine is a stand-in for a model engine: it answers completions
// calls with text that is a function of the prompt, at a rate set by a timing
// model.
package engine

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/sse"
)

// Timing is the speed of an engine.
type Timing struct {
	PrefillPerMS float64       // prompt tokens a millisecond
	Decode       time.Duration // between two tokens of one request
}

// Engine is one model engine.
type Engine struct {
	timing Timing
}

// New returns an engine of the given speed.
func New(timing Timing) *Engine { return &Engine{timing: timing} }

// Handle serves one request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != completion.Path {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	req, err := completion.Parse(ctx.PostBody(), false)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(req, w) })
}

func (e *Engine) stream(req *completion.Request, w *bufio.Writer) {
	time.Sleep(e.prefill(req))
	for i := req.ResumeFrom; i < req.MaxTokens; i++ {
		time.Sleep(e.timing.Decode)
		if !writeToken(w, req, i) {
			return
		}
	}
	_, _ = w.Write(sse.Append(nil, sse.Event{ID: -1, Data: []byte(sse.Done)}))
	_ = w.Flush()
}

func (e *Engine) prefill(req *completion.Request) time.Duration {
	tokens := completion.CountTokens(req.Prompt) + req.ResumeFrom
	return time.Duration(float64(tokens) / e.timing.PrefillPerMS * float64(time.Millisecond))
}

// writeToken sends the token at index i and reports whether the caller still
// listens.
func writeToken(w *bufio.Writer, req *completion.Request, i int) bool {
	finish := ""
	if i == req.MaxTokens-1 {
		finish = "length"
	}
	chunk := completion.NewChunk(req.RequestID, req.Model, completion.WordAt(req.Prompt, i), finish, false)
	chunk.Attempt = req.Attempt
	data, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	if _, err := w.Write(sse.Append(nil, sse.Event{ID: int64(i), Data: data})); err != nil {
		return false
	}
	return w.Flush() == nil
}

package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/sse"
)

const (
	defaultMaxTokens = 64
	contentTypeJSON  = "application/json"
	contentTypeSSE   = "text/event-stream"

	streamBufferBytes = 512 // initial size of the buffer of one event; it grows as needed
)

// doneEvent is the last event of a stream.
var doneEvent = sse.Append(nil, sse.Event{ID: -1, Data: []byte(sse.Done)})

func isModelPath(path string) bool {
	return path == completion.Path || path == completion.ChatPath
}

func (a *API) serveModel(ctx context.Context, x *exchange, c *call.Call, path string) {
	req, err := parseModel(x, c, path)
	if err != nil {
		x.respondError(c, err)
		return
	}
	if a.wantsAsync(x) {
		a.acceptAsync(ctx, x, c)
		return
	}
	if req.Stream && !x.Request.Header.IsHTTP11() {
		x.respondError(c, reject(fasthttp.StatusHTTPVersionNotSupported, "streams need HTTP/1.1"))
		return
	}
	ctx, cancel := x.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if req.Stream {
		a.serveStream(ctx, x, c)
		return
	}
	a.serveComplete(ctx, x, c)
}

func parseModel(x *exchange, c *call.Call, path string) (*completion.Request, error) {
	if !x.Request.Header.IsPost() {
		return nil, reject(fasthttp.StatusMethodNotAllowed, "use POST")
	}
	c.Chat = path == completion.ChatPath
	req, err := completion.Parse(x.Request.Body(), c.Chat)
	if err != nil {
		return nil, reject(fasthttp.StatusBadRequest, err.Error())
	}
	s := c.Manifest.Service(req.Model)
	if s == nil || s.Kind != manifest.Model {
		return nil, reject(fasthttp.StatusNotFound, "no such model")
	}
	if err := bindService(x, c, s); err != nil {
		return nil, err
	}
	c.Prompt = req.Text()
	c.MaxTokens = req.MaxTokens
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	c.Repeatable = true
	return req, nil
}

// tokenObserver records the tokens of a sink in the statistics.
type tokenObserver struct {
	x        *exchange
	observer Observer
}

func (o *tokenObserver) recordToken() {
	seen := &o.x.stats
	seen.RecordToken(time.Now())
	if seen.NeedsMerge() {
		o.observer.Merge(seen)
	}
}

// collector collects the tokens of a response that isn't streamed.
type collector struct {
	tokenObserver
	text         strings.Builder
	tokens       int
	finishReason string
}

// Token implements call.Sink.
func (s *collector) Token(t call.Token) error {
	s.recordToken()
	s.text.WriteString(t.Text)
	s.tokens++
	s.finishReason = t.Finish
	return nil
}

func (a *API) serveComplete(ctx context.Context, x *exchange, c *call.Call) {
	sink := &collector{tokenObserver: tokenObserver{x: x, observer: a.observer}}
	if err := a.backend.Stream(ctx, c, sink); err != nil {
		x.respondError(c, err)
		return
	}
	usage := completion.Usage{PromptTokens: completion.CountTokens(c.Prompt), CompletionTokens: sink.tokens}
	body, err := json.Marshal(completion.NewResponse(c.ID, c.Service.Name, sink.text.String(), sink.finishReason, c.Chat, usage))
	if err != nil {
		x.respondError(c, err)
		return
	}
	resp := x.newResponse(c, fasthttp.StatusOK, contentTypeJSON)
	resp.SetBodyRaw(body)
	_ = x.Respond(resp)
}

// streamSink writes each token to the caller as a server-sent event.
type streamSink struct {
	tokenObserver
	c       *call.Call
	encoder *completion.ChunkEncoder // nil before the first token
	buf     []byte
}

// Token implements call.Sink.
func (s *streamSink) Token(t call.Token) error {
	if err := s.start(); err != nil {
		return err
	}
	s.recordToken()
	buf := sse.AppendStart(s.buf[:ingress.ChunkPrefixBytes], int64(t.Index))
	buf = s.encoder.Append(buf, t.Text, t.Finish)
	s.buf = sse.AppendEnd(buf)
	return s.x.WriteChunk(s.buf)
}

// start sends the response head unless it was sent before.
func (s *streamSink) start() error {
	if s.encoder != nil {
		return nil
	}
	s.encoder = completion.NewChunkEncoder(s.c.ID, s.c.Service.Name, s.c.Chat)
	s.buf = make([]byte, ingress.ChunkPrefixBytes, streamBufferBytes)
	return s.x.StartStream(s.x.newResponse(s.c, fasthttp.StatusOK, contentTypeSSE))
}

// finish sends the last event and ends the response.
func (s *streamSink) finish() error {
	if err := s.start(); err != nil {
		return err
	}
	buf := append(make([]byte, ingress.ChunkPrefixBytes), doneEvent...)
	if err := s.x.WriteChunk(buf); err != nil {
		return err
	}
	return s.x.EndStream()
}

// serveStream responds with server-sent events. If the call fails after its first
// token, the response stays incomplete and the server closes the connection.
func (a *API) serveStream(ctx context.Context, x *exchange, c *call.Call) {
	sink := &streamSink{tokenObserver: tokenObserver{x: x, observer: a.observer}, c: c}
	err := a.backend.Stream(ctx, c, sink)
	switch {
	case err == nil:
		_ = sink.finish()
	case sink.encoder == nil:
		x.respondError(c, err)
	}
}

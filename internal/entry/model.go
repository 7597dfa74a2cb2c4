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
	typeJSON         = "application/json"
	typeEvents       = "text/event-stream"

	streamBufferBytes = 512 // of one event; grows where needed
)

// doneEvent ends a stream of events.
var doneEvent = sse.Append(nil, sse.Event{ID: -1, Data: []byte(sse.Done)})

func modelPath(path string) bool {
	return path == completion.Path || path == completion.ChatPath
}

func (a *API) serveModel(ctx context.Context, x *exchange, c *call.Call, path string) {
	req, err := fillModel(x, c, path)
	if err != nil {
		x.respondError(c, err)
		return
	}
	if a.wantsAsync(x) {
		a.accept(ctx, x, c)
		return
	}
	if req.Stream && !x.Request.Header.IsHTTP11() {
		x.respondError(c, refuse(fasthttp.StatusHTTPVersionNotSupported, "streams need HTTP/1.1"))
		return
	}
	ctx, cancel := x.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if req.Stream {
		a.serveStream(ctx, x, c)
		return
	}
	a.serveWhole(ctx, x, c)
}

func fillModel(x *exchange, c *call.Call, path string) (*completion.Request, error) {
	if !x.Request.Header.IsPost() {
		return nil, refuse(fasthttp.StatusMethodNotAllowed, "use POST")
	}
	c.Chat = path == completion.ChatPath
	req, err := completion.Parse(x.Request.Body(), c.Chat)
	if err != nil {
		return nil, refuse(fasthttp.StatusBadRequest, err.Error())
	}
	s := c.Active.Service(req.Model)
	if s == nil || s.Kind != manifest.Model {
		return nil, refuse(fasthttp.StatusNotFound, "no such model")
	}
	if err := setService(x, c, s); err != nil {
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

// observed is the part of a sink that reports its tokens.
type observed struct {
	x        *exchange
	observer Observer
}

func (o *observed) note() {
	seen := &o.x.seen
	seen.RecordToken(time.Now())
	if seen.NeedsMerge() {
		o.observer.Merge(seen)
	}
}

// collector gathers the tokens of an answer that is sent whole.
type collector struct {
	observed
	text   strings.Builder
	tokens int
	finish string
}

// Token implements call.Sink.
func (s *collector) Token(t call.Token) error {
	s.note()
	s.text.WriteString(t.Text)
	s.tokens++
	s.finish = t.Finish
	return nil
}

func (a *API) serveWhole(ctx context.Context, x *exchange, c *call.Call) {
	sink := &collector{observed: observed{x: x, observer: a.observer}}
	if err := a.backend.Stream(ctx, c, sink); err != nil {
		x.respondError(c, err)
		return
	}
	usage := completion.Usage{PromptTokens: completion.CountTokens(c.Prompt), CompletionTokens: sink.tokens}
	body, err := json.Marshal(completion.NewAnswer(c.ID, c.Service.Name, sink.text.String(), sink.finish, c.Chat, usage))
	if err != nil {
		x.respondError(c, err)
		return
	}
	resp := x.answered(c, fasthttp.StatusOK, typeJSON)
	resp.SetBodyRaw(body)
	_ = x.Respond(resp)
}

// streamSink writes each token to the caller as a server-sent event.
type streamSink struct {
	observed
	c       *call.Call
	encoder *completion.ChunkEncoder // nil before the first token
	buf     []byte
}

// Token implements call.Sink.
func (s *streamSink) Token(t call.Token) error {
	if err := s.start(); err != nil {
		return err
	}
	s.note()
	buf := sse.AppendHead(s.buf[:ingress.ChunkHeadBytes], int64(t.Index))
	buf = s.encoder.Append(buf, t.Text, t.Finish)
	s.buf = sse.AppendEnd(buf)
	return s.x.WriteChunk(s.buf)
}

// start sends the header before the first token.
func (s *streamSink) start() error {
	if s.encoder != nil {
		return nil
	}
	s.encoder = completion.NewChunkEncoder(s.c.ID, s.c.Service.Name, s.c.Chat)
	s.buf = make([]byte, ingress.ChunkHeadBytes, streamBufferBytes)
	return s.x.StartStream(s.x.answered(s.c, fasthttp.StatusOK, typeEvents))
}

// done ends the stream after its last token.
func (s *streamSink) done() error {
	if err := s.start(); err != nil {
		return err
	}
	buf := append(make([]byte, ingress.ChunkHeadBytes), doneEvent...)
	if err := s.x.WriteChunk(buf); err != nil {
		return err
	}
	return s.x.EndStream()
}

// serveStream answers by server-sent events. An answer that fails after its
// first token is cut.
func (a *API) serveStream(ctx context.Context, x *exchange, c *call.Call) {
	sink := &streamSink{observed: observed{x: x, observer: a.observer}, c: c}
	err := a.backend.Stream(ctx, c, sink)
	switch {
	case err == nil:
		_ = sink.done()
	case sink.encoder == nil:
		x.respondError(c, err)
	}
}

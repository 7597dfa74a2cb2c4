package engine

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/httpjson"
)

// Paths served besides completion.Path.
const (
	PathCancel = "/v1/cancel"
	PathLoad   = "/load"
	PathEvents = "/cache/events"
	PathExport = "/kv/export"
	PathImport = "/kv/import"
	PathOrders = "/orders"
	PathStats  = "/debug/stats"
	PathRan    = "/debug/ran" // returns those of the posted request ids that were ever queued
	pathBlocks = "/kv/blocks" // fetched by another engine's import
)

const (
	blockTokens   = completion.BlockTokens
	maxPageEvents = 4096
	retryAfter    = "1" // seconds
)

// Handle serves one request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case completion.Path:
		e.serveCompletion(ctx)
	case PathCancel:
		e.serveCancel(ctx)
	case PathLoad:
		httpjson.Write(ctx, e.loadReport(time.Now()))
	case PathEvents:
		e.serveCacheEvents(ctx)
	case PathExport:
		e.serveExport(ctx)
	case PathImport:
		e.serveImport(ctx)
	case pathBlocks:
		e.serveBlocks(ctx)
	case PathOrders:
		e.serveOrder(ctx)
	case PathStats:
		httpjson.Write(ctx, e.Stats())
	case PathRan:
		e.serveRan(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// serveCompletion queues a completion request and streams the response. It refuses the
// request if the engine is leaving or the queue is full.
func (e *Engine) serveCompletion(ctx *fasthttp.RequestCtx) {
	req, err := completion.Parse(ctx.PostBody(), false)
	if err == nil && (req.MaxTokens <= req.ResumeFrom || req.ResumeFrom < 0) {
		err = errors.New("max_tokens must be above resume_from")
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if e.faults.RefuseLeaving(ctx) {
		e.refused.Add(1)
		return
	}
	s := e.newSequence(req)
	s.stream.conn = ctx.Conn()
	queueFull := false
	err = e.do(func(c *core, _ time.Time) {
		queueFull = len(c.waiting) >= e.cfg.MaxWaiting
		if !queueFull {
			c.submit(s)
		}
	})
	if err != nil || queueFull {
		e.refused.Add(1)
		faults.RespondRefused(ctx, faults.ReasonOverloaded, retryAfter)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(s.stream, -1)
}

// newSequence returns the sequence for req, with its stream.
func (e *Engine) newSequence(req *completion.Request) *sequence {
	s := &sequence{
		id:        req.RequestID,
		attempt:   req.Attempt,
		priority:  req.Priority,
		context:   string(req.Prompt) + req.ResumeText,
		generator: completion.NewTokenGenerator(string(req.Prompt)),
		first:     req.ResumeFrom,
		next:      req.ResumeFrom,
		end:       req.MaxTokens,
		resumed:   req.ResumeFrom > 0,
		stream:    newStream(req.ResumeFrom),
	}
	s.contextTokens = completion.CountTokens(s.context)
	s.blocks = completion.BlockHashes(s.context)
	s.stream.encoder = e.newEventEncoder(req, s)
	s.stream.cancel = func() { e.cancelDisconnected(s) }
	return s
}

// newEventEncoder returns the event encoder for s, and applies the faults Cut and Crossed
// to it.
func (e *Engine) newEventEncoder(req *completion.Request, s *sequence) eventEncoder {
	w := eventEncoder{id: s.id, model: req.Model, attempt: s.attempt, generator: s.generator, first: s.first, end: s.end,
		promptTokens: s.contextTokens, cutAfter: -1}
	if f, ok := e.faults.Draw(faults.Cut, completion.Path); ok {
		w.cutAfter = f.Tokens
	}
	if _, ok := e.faults.Draw(faults.Crossed, completion.Path); ok {
		w.id = "crossed-" + s.id
		w.generator = completion.NewTokenGenerator("crossed" + string(req.Prompt))
	}
	return w
}

// cancelDisconnected cancels s after its connection was closed, unless the fault Ignore
// prevents this.
func (e *Engine) cancelDisconnected(s *sequence) {
	if _, ok := e.faults.Draw(faults.Ignore, completion.Path); ok {
		return
	}
	_ = e.enqueue(func(c *core, now time.Time) {
		c.stats.Canceled += int64(c.cancelMatching(func(o *sequence) bool { return o == s }, now))
	})
}

type cancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt,omitempty"`
}

type cancelResponse struct {
	Canceled int `json:"canceled"`
}

// serveCancel cancels attempts of a request, unless the fault Ignore prevents this.
func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx) {
	var req cancelRequest
	if !httpjson.Read(ctx, &req) {
		return
	}
	var resp cancelResponse
	if _, ok := e.faults.Draw(faults.Ignore, PathCancel); !ok {
		_ = e.do(func(c *core, now time.Time) { resp.Canceled = c.cancel(req.RequestID, req.Attempt, now) })
	}
	httpjson.Write(ctx, resp)
}

// serveOrder executes an order of the daemon that holds the fleet duty. The stand-in
// stops after an order to stop.
func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if !httpjson.Read(ctx, &o) {
		return
	}
	var orderErr error
	err := e.do(func(c *core, now time.Time) { orderErr = c.orders.execute(o, e.cfg.ChecksFence, now) })
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	case errors.Is(orderErr, errStaleOrder):
		ctx.Error(orderErr.Error(), fasthttp.StatusConflict)
	case orderErr != nil:
		ctx.Error(orderErr.Error(), fasthttp.StatusBadRequest)
	default:
		if o.Kind == orderStop {
			e.faults.Leave(0, false)
		}
		httpjson.Write(ctx, o)
	}
}

// serveRan responds with those of the posted request ids that were ever queued.
func (e *Engine) serveRan(ctx *fasthttp.RequestCtx) {
	var ids []string
	if !httpjson.Read(ctx, &ids) {
		return
	}
	ran := []string{}
	_ = e.do(func(c *core, _ time.Time) {
		for _, id := range ids {
			if _, ok := c.queuedIDs[id]; ok {
				ran = append(ran, id)
			}
		}
	})
	httpjson.Write(ctx, ran)
}

// cacheEvent is an event in a response to PathEvents.
type cacheEvent struct {
	Seq   int64  `json:"seq"`
	Op    string `json:"op"`
	Block string `json:"block"` // block hash in hexadecimal
}

// cacheEventPage is a response to PathEvents.
type cacheEventPage struct {
	Epoch  int64        `json:"epoch"`
	Next   int64        `json:"next"` // value of the parameter after for the next page
	Events []cacheEvent `json:"events"`
}

// serveCacheEvents responds with the cache events after a number, delayed by EventLag.
// The fault Gap omits events.
func (e *Engine) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after := int64(ctx.QueryArgs().GetUintOrZero("after"))
	out := cacheEventPage{Next: after, Events: []cacheEvent{}}
	err := e.do(func(c *core, now time.Time) {
		out.Epoch = c.epoch
		out.Next = min(after, c.cache.lastSeq)
		for _, ev := range c.cache.eventsAfter(after, now.Add(-e.cfg.EventLag), maxPageEvents) {
			out.Next = ev.seq
			if _, ok := e.faults.Draw(faults.Gap, PathEvents); !ok {
				out.Events = append(out.Events, cacheEvent{Seq: ev.seq, Op: ev.op, Block: strconv.FormatUint(ev.block, 16)})
			}
		}
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	httpjson.Write(ctx, out)
}

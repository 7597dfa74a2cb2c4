package engine

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/wire"
)

// Paths beside the completions call.
const (
	PathCancel = "/v1/cancel"
	PathLoad   = "/load"
	PathEvents = "/cache/events"
	PathExport = "/kv/export"
	PathImport = "/kv/import"
	PathOrders = "/orders"
	PathStats  = "/debug/stats"
	PathRan    = "/debug/ran" // of the ids posted, those that were ever queued
	pathKV     = "/kv/blocks" // between engines
)

const (
	blockTokens     = completion.BlockTokens
	maxEventsInPage = 4096
	retryAfter      = "1" // seconds
)

// Handle serves one request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case completion.Path:
		e.complete(ctx)
	case PathCancel:
		e.cancel(ctx)
	case PathLoad:
		wire.Write(ctx, e.load(time.Now()))
	case PathEvents:
		e.cacheEvents(ctx)
	case PathExport:
		e.export(ctx)
	case PathImport:
		e.importKV(ctx)
	case pathKV:
		e.blocks(ctx)
	case PathOrders:
		e.order(ctx)
	case PathStats:
		wire.Write(ctx, e.Stats())
	case PathRan:
		e.ran(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// complete queues a completions call and streams its answer.
func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	req, err := completion.Parse(ctx.PostBody(), false)
	if err == nil && (req.MaxTokens <= req.ResumeFrom || req.ResumeFrom < 0) {
		err = errors.New("max_tokens must be above resume_from")
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if e.set.RefuseLeaving(ctx) {
		e.refused.Add(1)
		return
	}
	s := e.newSequence(req)
	s.out.conn = ctx.Conn()
	full := false
	err = e.do(func(c *core, _ time.Time) {
		full = len(c.waiting) >= e.cfg.MaxWaiting
		if !full {
			c.submit(s)
		}
	})
	if err != nil || full {
		e.refused.Add(1)
		faults.RespondRefused(ctx, faults.ReasonOverloaded, retryAfter)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(s.out, -1)
}

func (e *Engine) newSequence(req *completion.Request) *sequence {
	s := &sequence{
		id:       req.RequestID,
		attempt:  req.Attempt,
		priority: req.Priority,
		context:  string(req.Prompt) + req.ResumeText,
		words:    completion.NewTokenGenerator(string(req.Prompt)),
		first:    req.ResumeFrom,
		next:     req.ResumeFrom,
		end:      req.MaxTokens,
		resumed:  req.ResumeFrom > 0,
		out:      newStream(req.ResumeFrom),
	}
	s.tokens = completion.CountTokens(s.context)
	s.blocks = completion.BlockHashes(s.context)
	s.out.events = e.newEvents(req, s)
	s.out.cancel = func() { e.callerGone(s) }
	return s
}

func (e *Engine) newEvents(req *completion.Request, s *sequence) eventWriter {
	w := eventWriter{id: s.id, model: req.Model, attempt: s.attempt, words: s.words, first: s.first, end: s.end,
		promptTokens: s.tokens, cutAfter: -1}
	if f, ok := e.set.Draw(faults.Cut, completion.Path); ok {
		w.cutAfter = f.Tokens
	}
	if _, ok := e.set.Draw(faults.Crossed, completion.Path); ok {
		w.id = "crossed-" + s.id
		w.words = completion.NewTokenGenerator("crossed" + string(req.Prompt))
	}
	return w
}

// callerGone cancels the sequence whose connection has closed.
func (e *Engine) callerGone(s *sequence) {
	if _, ok := e.set.Draw(faults.Ignore, completion.Path); ok {
		return
	}
	_ = e.send(func(c *core, now time.Time) {
		c.stats.Canceled += int64(c.remove(func(o *sequence) bool { return o == s }, now))
	})
}

type cancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt,omitempty"`
}

type cancelResponse struct {
	Canceled int `json:"canceled"`
}

func (e *Engine) cancel(ctx *fasthttp.RequestCtx) {
	var req cancelRequest
	if !wire.Read(ctx, &req) {
		return
	}
	var resp cancelResponse
	if _, ok := e.set.Draw(faults.Ignore, PathCancel); !ok {
		_ = e.do(func(c *core, now time.Time) { resp.Canceled = c.cancel(req.RequestID, req.Attempt, now) })
	}
	wire.Write(ctx, resp)
}

func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var o Order
	if !wire.Read(ctx, &o) {
		return
	}
	var refusal error
	err := e.do(func(c *core, now time.Time) { refusal = c.orders.execute(o, e.cfg.ChecksFence, now) })
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	case errors.Is(refusal, errOldFence):
		ctx.Error(refusal.Error(), fasthttp.StatusConflict)
	case refusal != nil:
		ctx.Error(refusal.Error(), fasthttp.StatusBadRequest)
	default:
		if o.Order == orderStop {
			e.set.Leave(0, false)
		}
		wire.Write(ctx, o)
	}
}

func (e *Engine) ran(ctx *fasthttp.RequestCtx) {
	var ids []string
	if !wire.Read(ctx, &ids) {
		return
	}
	ran := []string{}
	_ = e.do(func(c *core, _ time.Time) {
		for _, id := range ids {
			if _, ok := c.ran[id]; ok {
				ran = append(ran, id)
			}
		}
	})
	wire.Write(ctx, ran)
}

// cacheEvent is one event as it is given out.
type cacheEvent struct {
	Seq   int64  `json:"seq"`
	Op    string `json:"op"`
	Block string `json:"block"` // hexadecimal
}

type cacheEvents struct {
	Epoch  int64        `json:"epoch"`
	Next   int64        `json:"next"` // after which to ask next
	Events []cacheEvent `json:"events"`
}

func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	after := int64(ctx.QueryArgs().GetUintOrZero("after"))
	out := cacheEvents{Next: after, Events: []cacheEvent{}}
	err := e.do(func(c *core, now time.Time) {
		out.Epoch = c.epoch
		out.Next = min(after, c.cache.seq)
		for _, ev := range c.cache.since(after, now.Add(-e.cfg.EventLag), maxEventsInPage) {
			out.Next = ev.seq
			if _, ok := e.set.Draw(faults.Gap, PathEvents); !ok {
				out.Events = append(out.Events, cacheEvent{Seq: ev.seq, Op: ev.op, Block: strconv.FormatUint(ev.block, 16)})
			}
		}
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	wire.Write(ctx, out)
}

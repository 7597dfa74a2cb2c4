package engine

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/standin/httpjson"
)

const (
	kvTokensPerMS   = 200 // simulated transfer rate of an import
	kvImportTimeout = 5 * time.Second
	maxExports      = 1024 // at this number, the next export drops all earlier ones
)

type exportRequest struct {
	RequestID string `json:"request_id"`
}

type exportResponse struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// serveExport exports the KV cache of a request in the batch, whose prefill has finished,
// and responds with a handle for other engines to import it.
func (e *Engine) serveExport(ctx *fasthttp.RequestCtx) {
	var req exportRequest
	if !httpjson.Read(ctx, &req) {
		return
	}
	var resp exportResponse
	err := e.do(func(c *core, _ time.Time) {
		s := c.findRunning(req.RequestID)
		if s == nil || s.unprefilled > 0 {
			return
		}
		blocks := completion.BlockHashes(s.fullText())
		resp.Handle = req.RequestID + "-" + strconv.Itoa(s.next)
		resp.Tokens = len(blocks) * blockTokens
		if len(c.exports) >= maxExports {
			clear(c.exports)
		}
		c.exports[resp.Handle] = blocks
	})
	if err != nil || resp.Handle == "" {
		ctx.Error("no such request in the batch", fasthttp.StatusNotFound)
		return
	}
	httpjson.Write(ctx, resp)
}

type importRequest struct {
	From   string `json:"from"` // address of the exporting engine
	Handle string `json:"handle"`
}

type importResponse struct {
	Tokens int `json:"tokens"`
}

// serveImport imports an exported KV cache from another engine.
func (e *Engine) serveImport(ctx *fasthttp.RequestCtx) {
	var req importRequest
	if !httpjson.Read(ctx, &req) {
		return
	}
	status, body, err := fasthttp.GetTimeout(nil, "http://"+req.From+pathBlocks+"?handle="+req.Handle, kvImportTimeout)
	var blocks []uint64
	if err == nil && status == fasthttp.StatusOK {
		err = json.Unmarshal(body, &blocks)
	}
	if err != nil || status != fasthttp.StatusOK {
		ctx.Error("import failed", fasthttp.StatusBadGateway)
		return
	}
	tokens := len(blocks) * blockTokens
	time.Sleep(time.Duration(tokens) * time.Millisecond / kvTokensPerMS)
	err = e.do(func(c *core, now time.Time) {
		c.cache.insert(blocks, now)
		c.evictExcess(now)
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	httpjson.Write(ctx, importResponse{Tokens: tokens})
}

// serveBlocks responds to another engine's import with the block hashes of an export.
func (e *Engine) serveBlocks(ctx *fasthttp.RequestCtx) {
	handle := string(ctx.QueryArgs().Peek("handle"))
	var blocks []uint64
	_ = e.do(func(c *core, _ time.Time) { blocks = c.exports[handle] })
	if blocks == nil {
		ctx.Error("no such handle", fasthttp.StatusNotFound)
		return
	}
	httpjson.Write(ctx, blocks)
}

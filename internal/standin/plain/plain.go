// Package plain is a stand-in for a plain service that counts how often each
// idempotency key was run.
package plain

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// RunsPath answers with the runs of each key as a JSON object.
const RunsPath = "/debug/runs"

// Counter counts runs for each key. Several services may share one.
type Counter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewCounter returns a counter without runs.
func NewCounter() *Counter { return &Counter{runs: make(map[string]int)} }

func (c *Counter) add(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
	return c.runs[key]
}

// Runs returns a copy of the runs of each key.
func (c *Counter) Runs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.runs))
	for k, n := range c.runs {
		out[k] = n
	}
	return out
}

// Result is the answer to a call.
type Result struct {
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	Run  int    `json:"run,omitempty"` // how often the key has run, this time included
	Echo string `json:"echo,omitempty"`
}

// Handle serves one request.
func (c *Counter) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == RunsPath {
		writeJSON(ctx, c.Runs())
		return
	}
	res := Result{Path: string(ctx.Path()), Echo: string(ctx.PostBody())}
	if key := ctx.Request.Header.Peek("Idempotency-Key"); len(key) > 0 {
		res.Key = string(key)
		res.Run = c.add(res.Key)
	}
	writeJSON(ctx, res)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/sse"
)

const (
	loadPath = "/load"
	kvTokens = 1 << 30 // KV cache capacity in load reports; more than any measurement fills
)

// Upstream serves a model and a plain service without computing anything: responses start at once
// and need little processor time, so that the daemon dominates a measurement.
type Upstream struct {
	Interval time.Duration // between tokens; 0 sends them without a pause
}

// Serve serves requests at address until ctx is done.
func (u *Upstream) Serve(ctx context.Context, address string) error {
	server := &fasthttp.Server{Handler: u.handle, MaxConnsPerIP: 0, IdleTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return errors.Wrapf(server.ListenAndServe(address), "listen at %s", address)
}

func (u *Upstream) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case completion.Path:
		u.complete(ctx)
	case loadPath:
		data, _ := json.Marshal(routing.LoadReport{At: time.Now(), Incarnation: 1, KVCapacity: kvTokens}) // always encodes
		ctx.SetBody(data)
	default:
		ctx.SetBodyString("ok")
	}
}

func (u *Upstream) complete(ctx *fasthttp.RequestCtx) {
	req, err := completion.Parse(ctx.PostBody(), false)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { u.stream(req, w) })
}

func (u *Upstream) stream(req *completion.Request, w *bufio.Writer) {
	var buf []byte
	next := time.Now()
	chunkStart := `{"id":"` + req.RequestID + `","object":"text_completion","model":"m","attempt":1,"choices":[{"index":0,"text":" token","finish_reason":`
	for i := range req.MaxTokens {
		if u.Interval > 0 {
			next = next.Add(u.Interval)
			time.Sleep(time.Until(next))
		}
		buf = append(sse.AppendStart(buf[:0], int64(i)), chunkStart...)
		if i == req.MaxTokens-1 {
			buf = append(buf, `"length"}]}`...)
		} else {
			buf = append(buf, `null}]}`...)
		}
		_, _ = w.Write(sse.AppendEnd(buf))
		if w.Flush() != nil {
			return
		}
	}
	_, _ = w.Write(sse.Append(nil, sse.Event{ID: -1, Data: []byte(sse.Done)}))
	_ = w.Flush()
}

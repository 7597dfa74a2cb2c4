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
	kvTokens = 1 << 30 // more than any measurement takes
)

// Upstream is a model engine and a plain service that answer at once and cost
// little, so that a measurement shows the daemon.
type Upstream struct {
	Interval time.Duration // between tokens; 0 sends without a pause
}

// Serve listens on address until ctx ends.
func (u *Upstream) Serve(ctx context.Context, address string) error {
	s := &fasthttp.Server{Handler: u.handle, MaxConnsPerIP: 0, IdleTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = s.Shutdown() })
	defer stop()
	return errors.Wrapf(s.ListenAndServe(address), "listen at %s", address)
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
	head := `{"id":"` + req.RequestID + `","object":"text_completion","model":"m","attempt":1,"choices":[{"index":0,"text":" token","finish_reason":`
	for i := range req.MaxTokens {
		if u.Interval > 0 {
			next = next.Add(u.Interval)
			time.Sleep(time.Until(next))
		}
		buf = append(sse.AppendStart(buf[:0], int64(i)), head...)
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

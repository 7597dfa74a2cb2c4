package dispatch_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/standin/broken"
)

// respondRaw sends the bytes of text as the response, calls sent soon after if it is not nil, and
// closes the connection.
func respondRaw(ctx *fasthttp.RequestCtx, text string, sent func()) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, text)
		if sent != nil {
			time.AfterFunc(30*time.Millisecond, sent)
		}
	})
}

// malformedResponses are responses that are no valid HTTP.
var malformedResponses = map[string]string{
	"status 000":              "HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nbroken",
	"status 000, chunks":      "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
	"status 000, until close": "HTTP/1.1 000\r\n\r\nbroken",
	"status 600":              "HTTP/1.1 600 OK\r\nContent-Length: 6\r\n\r\nbroken",
	"blank in a name":         "HTTP/1.1 200 OK\r\nX Trouble: yes\r\nContent-Length: 6\r\n\r\nbroken",
	"blank before the colon":  "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nbroken",
	"control byte, chunks":    "HTTP/1.1 200 OK\r\nX\x01Trouble: yes\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
	"tab, until close":        "HTTP/1.1 200 OK\r\nX\tTrouble: yes\r\n\r\nbroken",
	"control byte, interim":   "HTTP/1.1 103 Early Hints\r\nX\x7fTrouble: yes\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbroken",
	"blank in a trailer":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX Trouble: yes\r\n\r\n",
}

// TestMalformedResponses lets one or all upstreams answer with a malformed response. A call gets the
// response of another upstream if it may run twice, otherwise an error that does not claim that
// it has not run.
func TestMalformedResponses(t *testing.T) {
	for name, text := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			var broken atomic.Int64 // upstreams that are
			f := newTestService(t, 2, func(n int64, ctx *fasthttp.RequestCtx) {
				switch {
				case n <= broken.Load():
					respondRaw(ctx, text, nil)
				case ctx.IsGet():
					ctx.SetBodyString("found")
				default:
					streamTokens(ctx, 6, finish)
				}
			})
			broken.Store(1)
			resp, err := f.Plain(context.Background(), f.call())
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body), "found")
			assert.Equal(t, f.attempts.Load(), int64(2))

			broken.Store(3)
			sink := &orderedSink{t: t}
			assert.NilError(t, f.Stream(context.Background(), f.call(), sink))
			assert.Equal(t, sink.n, 6)
			assert.Equal(t, f.attempts.Load(), int64(4))

			broken.Store(1000)
			once := f.call()
			once.Repeatable = false
			_, err = f.Plain(context.Background(), once)
			var ce *call.Error
			assert.Assert(t, errors.As(err, &ce), "not a call.Error: %v", err)
			assert.Equal(t, ce.Outcome, call.Unknown)
			assert.Equal(t, ce.Status, fasthttp.StatusBadGateway)
			assert.Equal(t, f.attempts.Load(), int64(5))
			assert.Assert(t, f.Stream(context.Background(), f.call(), &orderedSink{t: t}) != nil)
		})
	}
}

// TestMalformedHedge lets the upstream of a hedge answer with a malformed response. The first
// attempt must go on.
func TestMalformedHedge(t *testing.T) {
	for name, text := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			hedged := make(chan struct{})
			var state atomic.Int64 // 1: the next request waits for the hedge; 2: the next one is the hedge
			f := newTestService(t, 2, func(_ int64, ctx *fasthttp.RequestCtx) {
				switch {
				case state.CompareAndSwap(1, 2):
					<-hedged
				case state.CompareAndSwap(2, 0):
					respondRaw(ctx, text, func() { close(hedged) })
					return
				}
				ctx.SetBodyString("found")
			})
			for range 30 {
				_, err := f.Plain(context.Background(), f.call())
				assert.NilError(t, err)
			}
			state.Store(1)
			resp, err := f.Plain(context.Background(), f.call())
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body), "found")
			assert.Equal(t, f.attempts.Load(), int64(32))
		})
	}
}

// TestResetDuringUpload lets an upstream begin its response to a long upload at once and reset the
// connection within it. What has arrived is not the response, and the call is repeated only if it
// may run twice.
func TestResetDuringUpload(t *testing.T) {
	address, stop, err := broken.ServeReset("HTTP/1.1 200 OK\r\n\r\na part of the ")
	assert.NilError(t, err)
	defer stop()
	f := &testService{}
	f.start(t, []string{address})
	for i := range 20 {
		c := f.call()
		c.Method, c.Body, c.Repeatable = fasthttp.MethodPost, make([]byte, 16<<20), i%2 == 1
		before := f.Stats().Attempts
		resp, err := f.Plain(context.Background(), c)
		var ce *call.Error
		assert.Assert(t, errors.As(err, &ce), "not a call.Error: %v, response %+v", err, resp)
		assert.Equal(t, ce.Outcome, call.Unknown)
		assert.Equal(t, ce.Status, fasthttp.StatusBadGateway)
		if !c.Repeatable {
			assert.Equal(t, f.Stats().Attempts-before, int64(1))
		}
	}
}

// TestBrokenResponsesAreLogged checks that the log line of a broken response names upstream, request
// and cause, and that one of another kind of failure has none.
func TestBrokenResponsesAreLogged(t *testing.T) {
	for name, tt := range map[string]struct {
		response, cause string
	}{
		"malformed":  {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", "status code"},
		"broken off": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "unexpected EOF"},
		"status":     {"HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestService(t, 2, func(n int64, ctx *fasthttp.RequestCtx) {
				if n == 1 {
					respondRaw(ctx, tt.response, nil)
					return
				}
				ctx.SetBodyString("found")
			})
			var log bytes.Buffer
			f.SetLog(hclog.New(&hclog.LoggerOptions{Output: &log}))
			_, err := f.Plain(context.Background(), f.call())
			assert.NilError(t, err)
			if tt.cause == "" {
				assert.Equal(t, log.String(), "")
				assert.Equal(t, f.Stats().Broken, int64(0))
				return
			}
			for _, part := range []string{"response broken", "request=id1", "upstream=u", "attempt=1", tt.cause} {
				assert.Assert(t, strings.Contains(log.String(), part), "%q lacks %q", log.String(), part)
			}
			assert.Equal(t, f.Stats().Broken, int64(1))
		})
	}
}

package dispatch_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/dispatch"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/sse"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

// testService is a service whose upstreams share one handler. The handler gets the
// number of the request, counted from 1 over all upstreams; cancellations don't
// count and aren't passed on.
type testService struct {
	*dispatch.Dispatcher
	service  *manifest.Service
	active   *manifest.Active
	attempts atomic.Int64
	cancels  atomic.Int64
}

func newTestService(t *testing.T, upstreams int, handle func(n int64, ctx *fasthttp.RequestCtx)) *testService {
	f := &testService{}
	var addresses []string
	for range upstreams {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/v1/cancel" {
				f.cancels.Add(1)
				return
			}
			handle(f.attempts.Add(1), ctx)
		}}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { l.Close() })
		addresses = append(addresses, l.Addr().String())
	}
	f.start(t, addresses)
	return f
}

// start creates the dispatcher, for upstreams at the addresses.
func (f *testService) start(t *testing.T, addresses []string) {
	m := &manifest.Manifest{Services: []manifest.Service{{
		Name: "s", RetryShare: 0.1, Policy: manifest.RoundRobin,
		Target: manifest.Target{FirstTokenMS: 100, BetweenTokensMS: 10, TotalMS: 10000},
	}}}
	for i, a := range addresses {
		m.Upstreams = append(m.Upstreams, manifest.Upstream{Name: fmt.Sprint("u", i), Service: "s", Address: a, Slots: 4})
	}
	f.active = manifest.NewActive(1, m)
	f.service = f.active.Service("s")
	router := routing.NewRouter()
	members := make([]routing.Member, len(m.Upstreams))
	for i := range members {
		members[i].Upstream = &m.Upstreams[i]
	}
	router.Update(f.active, members)
	pool := upstream.NewPool()
	t.Cleanup(pool.Close)
	f.Dispatcher = dispatch.New(pool, router)
}

func (f *testService) call() *call.Call {
	return &call.Call{ID: "id1", Service: f.service, Prompt: "p", MaxTokens: 6, Repeatable: true, Method: "GET", Path: "/x", Deadline: time.Now().Add(10 * time.Second)}
}

// orderedSink is a sink that checks the order and text of the tokens.
type orderedSink struct {
	t *testing.T
	n int
}

func (s *orderedSink) Token(tok call.Token) error {
	assert.Equal(s.t, tok.Index, s.n)
	assert.Equal(s.t, tok.Text, completion.TokenAt("p", s.n))
	s.n++
	return nil
}

// streamTokens streams the tokens from resume_from up to but not including
// endIndex, then calls end.
func streamTokens(ctx *fasthttp.RequestCtx, endIndex int, end func(w *bufio.Writer, req *completion.Request)) {
	var req completion.Request
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		panic(err)
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := req.ResumeFrom; i < min(endIndex, req.MaxTokens); i++ {
			writeToken(w, &req, i, req.RequestID)
		}
		end(w, &req)
	})
}

func writeToken(w *bufio.Writer, req *completion.Request, i int, id string) {
	finish := ""
	if i == req.MaxTokens-1 {
		finish = "length"
	}
	c := completion.NewChunk(id, "s", completion.TokenAt(string(req.Prompt), i), finish, false)
	c.Attempt = req.Attempt
	data, _ := json.Marshal(c)
	_, _ = w.Write(sse.Append(nil, sse.Event{ID: int64(i), Data: data}))
	_ = w.Flush()
}

func finish(w *bufio.Writer, _ *completion.Request) {
	_, _ = w.Write(sse.Append(nil, sse.Event{ID: -1, Data: []byte(sse.Done)}))
}

func truncate(*bufio.Writer, *completion.Request) {}

// TestStreamResumes checks that a stream that breaks after three tokens continues
// at the next token with a second attempt, whichever way it breaks.
func TestStreamResumes(t *testing.T) {
	testEnd := make(chan struct{})
	t.Cleanup(func() { close(testEnd) })
	for name, end := range map[string]func(w *bufio.Writer, req *completion.Request){
		"truncated": truncate,
		"stalled":   func(w *bufio.Writer, _ *completion.Request) { _ = w.Flush(); <-testEnd },
		"event of another request": func(w *bufio.Writer, req *completion.Request) {
			writeToken(w, req, 3, "another")
			finish(w, req)
		},
		"event of another attempt": func(w *bufio.Writer, req *completion.Request) {
			other := *req
			other.Attempt = 7
			writeToken(w, &other, 3, req.RequestID)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestService(t, 2, func(n int64, ctx *fasthttp.RequestCtx) {
				if n == 1 {
					streamTokens(ctx, 3, end)
					return
				}
				var req completion.Request
				assert.Check(t, json.Unmarshal(ctx.PostBody(), &req))
				assert.Check(t, req.ResumeFrom == 3 && req.Attempt == 2 && req.ResumeText != "", "%+v", req)
				streamTokens(ctx, 6, finish)
			})
			sink := &orderedSink{t: t}
			assert.NilError(t, f.Stream(context.Background(), f.call(), sink))
			assert.Equal(t, sink.n, 6)
			assert.Equal(t, f.attempts.Load(), int64(2))
		})
	}
}

// TestTruncatedStreamNotResumed checks that a truncated stream that no upstream
// resumes ends with an error and an unknown outcome, not as if it were complete.
func TestTruncatedStreamNotResumed(t *testing.T) {
	f := newTestService(t, 2, func(n int64, ctx *fasthttp.RequestCtx) {
		if n == 1 {
			streamTokens(ctx, 3, truncate)
			return
		}
		ctx.SetStatusCode(500)
	})
	sink := &orderedSink{t: t}
	err := f.Stream(context.Background(), f.call(), sink)
	var ce *call.Error
	assert.Assert(t, errors.As(err, &ce), "not a call.Error: %v", err)
	assert.Equal(t, ce.Outcome, call.Unknown)
	assert.Equal(t, sink.n, 3)
}

// TestRefusedByAllUpstreams checks that a non-repeatable call is still
// retried after refusals, and that the final error says that it did not run and
// passes on Retry-After.
func TestRefusedByAllUpstreams(t *testing.T) {
	f := newTestService(t, 2, func(_ int64, ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(503)
		ctx.Response.Header.Set("Lagoonmux-Refused", "leaving")
		ctx.Response.Header.Set("Retry-After", "7")
	})
	leaving := map[string]bool{}
	f.SetOnLeaving(func(upstream string) { leaving[upstream] = true })
	c := f.call()
	c.Repeatable = false
	_, err := f.Plain(context.Background(), c)
	var ce *call.Error
	assert.Assert(t, errors.As(err, &ce), "not a call.Error: %v", err)
	assert.Equal(t, len(leaving), 2)
	assert.Equal(t, ce.Outcome, call.NotRun)
	assert.Equal(t, ce.RetryAfter, 7*time.Second)
	assert.Assert(t, f.attempts.Load() > 2)
}

// TestNotRetriedIfMayHaveRun checks that a non-repeatable call is sent
// only once if its upstream may have run it.
func TestNotRetriedIfMayHaveRun(t *testing.T) {
	for name, handle := range map[string]func(ctx *fasthttp.RequestCtx){
		"closed": func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		},
		"bare 503": func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(503) },
		"crossed":  func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(dispatch.HeaderRequestID, "another") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestService(t, 3, func(_ int64, ctx *fasthttp.RequestCtx) { handle(ctx) })
			c := f.call()
			c.Repeatable = false
			_, err := f.Plain(context.Background(), c)
			var ce *call.Error
			assert.Assert(t, errors.As(err, &ce), "not a call.Error: %v", err)
			assert.Equal(t, ce.Outcome, call.Unknown)
			assert.Equal(t, f.attempts.Load(), int64(1))
		})
	}
}

// TestRetryBudget checks that retries stay within the service's fraction of the
// calls plus the burst, even if all attempts fail.
func TestRetryBudget(t *testing.T) {
	f := newTestService(t, 3, func(_ int64, ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(500) })
	const calls = 100
	for range calls {
		_, err := f.Plain(context.Background(), f.call())
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, f.attempts.Load() <= calls+calls/10+10, "%d attempts", f.attempts.Load())
}

// TestHedge checks that a read that blocks at one upstream succeeds through a
// second, concurrent attempt.
func TestHedge(t *testing.T) {
	release := make(chan struct{})
	var blockNext atomic.Bool
	f := newTestService(t, 2, func(_ int64, ctx *fasthttp.RequestCtx) {
		if blockNext.CompareAndSwap(true, false) {
			<-release
		}
		ctx.SetBodyString("found")
	})
	for range 30 {
		_, err := f.Plain(context.Background(), f.call())
		assert.NilError(t, err)
	}
	blockNext.Store(true)
	resp, err := f.Plain(context.Background(), f.call())
	assert.NilError(t, err)
	assert.Equal(t, string(resp.Body), "found")
	assert.Assert(t, f.Stats().Hedged > 0)
	close(release)
}

// fakeNotices reports one upstream as leaving once the channel leaving is closed.
type fakeNotices struct {
	upstream string
	leaving  chan struct{}
	end      time.Time
}

func (n *fakeNotices) Leaving(upstream string) <-chan struct{} {
	if upstream != n.upstream {
		return nil
	}
	return n.leaving
}

func (n *fakeNotices) Deadline(upstream string) (time.Time, bool) {
	return n.end, upstream == n.upstream
}

// TestStreamMovesOffALeavingUpstream checks that a stream that would outlast its VM
// continues at another upstream with its KV cache, and that a stream that ends in
// time stays.
func TestStreamMovesOffALeavingUpstream(t *testing.T) {
	for _, tt := range []struct {
		name  string
		end   time.Duration
		moved int64
	}{{"too long", 0, 1}, {"ends in time", time.Hour, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			notices := &fakeNotices{leaving: make(chan struct{}), end: time.Now().Add(tt.end)}
			var imports atomic.Int64
			f := newTestService(t, 2, func(_ int64, ctx *fasthttp.RequestCtx) {
				switch string(ctx.Path()) {
				case "/kv/export":
					ctx.SetBodyString(`{"handle": "h", "tokens": 640}`)
				case "/kv/import":
					imports.Add(1)
					ctx.SetBodyString(`{"tokens": 640}`)
				default:
					streamTokens(ctx, 100, finish)
				}
			})
			first := f.active.Upstreams[1].Name // round robin begins there
			notices.upstream = first
			close(notices.leaving)
			f.SetLeavingNotices(notices)
			c, s := f.call(), &orderedSink{t: t}
			assert.NilError(t, f.Stream(context.Background(), c, s))
			assert.Equal(t, s.n, c.MaxTokens)
			assert.Equal(t, f.Stats().Moved, tt.moved)
			assert.Equal(t, imports.Load(), tt.moved)
			assert.Equal(t, f.Stats().Imported, 640*tt.moved)
		})
	}
}

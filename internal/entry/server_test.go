package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
	"github.com/lagoonmux/lagoonmux/internal/loopback"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/obs"
)

const testManifest = `{
	"services": [
		{"name": "m", "kind": "model", "target": {"total_ms": 20000}},
		{"name": "p", "kind": "plain", "target": {"total_ms": 20000}, "max_body_bytes": 200000, "routes": [
			{"method": "GET", "path": "/", "repeatable": true}, {"method": "HEAD", "path": "/", "repeatable": true},
			{"method": "POST", "path": "/", "repeatable": true}]}],
	"upstreams": [{"name": "u", "service": "m", "address": "127.0.0.1:1", "zone": "a", "vm_class": "g", "slots": 4}],
	"customers": [{"name": "c", "key": "test-key", "weight": 1, "requests_per_second": 9, "tokens_per_second": 900, "concurrency": 9}],
	"vm_classes": [{"name": "g", "on_demand_per_hour": 2, "reclaimable_per_hour": 1}]}`

// fakeBackend responds to plain calls with body, or with their path and body if body
// is nil, and streams MaxTokens tokens. While hold is set, calls wait until their
// context ends.
type fakeBackend struct {
	running atomic.Int64
	hold    atomic.Bool // calls wait before they return
	body    []byte
	token   string
}

func (f *fakeBackend) Stream(ctx context.Context, c *call.Call, sink call.Sink) error {
	f.running.Add(1)
	defer f.running.Add(-1)
	for i := range c.MaxTokens {
		finish := ""
		if i == c.MaxTokens-1 {
			finish = "length"
		}
		if err := sink.Token(call.Token{Index: i, Text: f.token, Finish: finish}); err != nil {
			return err
		}
	}
	return f.waitHold(ctx)
}

func (f *fakeBackend) Plain(ctx context.Context, c *call.Call) (*call.Response, error) {
	f.running.Add(1)
	defer f.running.Add(-1)
	if err := f.waitHold(ctx); err != nil {
		return nil, err
	}
	body := f.body
	if body == nil {
		body = append([]byte(c.Path+" "), c.Body...)
	}
	return &call.Response{Status: 200, ContentType: "text/plain", Body: body}, nil
}

func (f *fakeBackend) waitHold(ctx context.Context) error {
	for f.hold.Load() {
		select {
		case <-ctx.Done():
			return call.MayHaveRunError("fake", "u", 504, ctx.Err())
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

type fixture struct {
	*fakeBackend
	server   *ingress.Server
	registry *obs.Registry
	address  string
	stop     func() // drains the server and waits until Run returns
}

// startServer runs a server on a backend; adjust may change its limits.
func startServer(t *testing.T, backend *fakeBackend, adjust func(*ingress.Limits)) *fixture {
	t.Helper()
	limits := ingress.DefaultLimits()
	limits.DrainGrace = 50 * time.Millisecond
	if adjust != nil {
		adjust(&limits)
	}
	m, err := manifest.Parse("test", []byte(testManifest))
	assert.NilError(t, err)
	var current manifest.Current
	current.Advance(manifest.NewActive(1, m))
	f := &fixture{fakeBackend: backend}
	var draining atomic.Bool
	f.registry = obs.NewRegistry(hclog.NewNullLogger(), time.Now())
	api := NewAPI(&current, f.fakeBackend, f.registry, func() bool { return !draining.Load() })
	f.server = ingress.NewServer(api, hclog.NewNullLogger(), limits)
	address, err := loopback.Address()
	assert.NilError(t, err)
	f.address = address
	done := make(chan error, 1)
	go func() { done <- f.server.Run(f.address) }()
	<-f.server.Listening()
	stopped := false
	f.stop = func() {
		if stopped {
			return
		}
		stopped = true
		draining.Store(true)
		f.hold.Store(false)
		assert.Check(t, f.server.Stop(context.Background()))
		assert.Check(t, <-done)
	}
	t.Cleanup(f.stop)
	return f
}

func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// plainRequest returns a request to the plain service with additional header lines.
func plainRequest(method, path, headers string) string {
	return method + " /svc/p" + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-key\r\n" + headers + "\r\n"
}

func streamRequest(tokens int) string {
	body := fmt.Sprintf(`{"model":"m","prompt":"p","stream":true,"max_tokens":%d}`, tokens)
	return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-key\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func readResponse(t *testing.T, r *bufio.Reader, method string) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

// assertClosed reads until the peer closes the connection, and fails on a timeout.
func assertClosed(t *testing.T, r *bufio.Reader) {
	t.Helper()
	_, err := io.Copy(io.Discard, r)
	var timeout net.Error
	assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "connection still open")
}

func (f *fixture) waitRunning(t *testing.T, n int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := f.running.Load(); got != n {
			return poll.Continue("%d calls run", got)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func TestPipelinedResponsesInOrder(t *testing.T) {
	f := startServer(t, &fakeBackend{}, nil)
	c, r := f.dial(t)
	var all strings.Builder
	for i := range 50 {
		body := strings.Repeat("b", i*7)
		all.WriteString(plainRequest("POST", fmt.Sprintf("/%d", i), fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body)
	}
	for text := all.String(); text != ""; { // in pieces that split heads and bodies
		n := min(97, len(text))
		send(t, c, text[:n])
		text = text[n:]
	}
	for i := range 50 {
		_, body := readResponse(t, r, "POST")
		assert.Equal(t, body, fmt.Sprintf("/%d %s", i, strings.Repeat("b", i*7)))
	}
}

func TestRejectedRequests(t *testing.T) {
	f := startServer(t, &fakeBackend{}, nil)
	for _, tt := range []struct {
		name, text string
		status     int
	}{
		{"malformed", "nonsense\r\n\r\n", 400},
		{"two content lengths", plainRequest("POST", "/", "Content-Length: 1\r\nContent-Length: 2\r\n"), 400},
		{"bare line feeds before the end", "GET / HTTP/1.1\nHost: x\n\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		{"header too large", plainRequest("GET", "/", "X: "+strings.Repeat("x", 17<<10)+"\r\n"), 431},
		{"endless header", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 17<<10), 431},
		{"body too large", plainRequest("POST", "/", "Content-Length: 99999999\r\n"), 413},
		{"body larger than any service takes", plainRequest("POST", "/", "Content-Length: 2000000\r\n"), 413},
		{"length beside chunks", plainRequest("POST", "/", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") + "0\r\n\r\n", 400},
		{"two equal content lengths", plainRequest("POST", "/", "Content-Length: 1\r\nContent-Length: 1\r\n") + "x", 400},
		{"other transfer coding", plainRequest("POST", "/", "Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n", 400},
		{"folded header", plainRequest("POST", "/", "X: a\r\n b\r\n"), 400},
		{"space before the colon", plainRequest("POST", "/", "Content-Length : 1\r\n") + "x", 400},
		{"two hosts", plainRequest("POST", "/", "Host: y\r\n"), 400},
		{"malformed chunk", plainRequest("POST", "/", "Transfer-Encoding: chunked\r\n") + "zz\r\n", 400},
		{"chunks larger than the limit", plainRequest("POST", "/", "Transfer-Encoding: chunked\r\n") + "8000000\r\n" + strings.Repeat("x", 65<<20), 413},
		{"large body of an unknown customer", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n", 401},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, r := f.dial(t)
			send(t, c, tt.text)
			resp, _ := readResponse(t, r, "GET")
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), "not-run")
			assert.Assert(t, resp.Close)
			assertClosed(t, r)
		})
	}
	assert.Equal(t, f.running.Load(), int64(0))
}

func TestSlowRequestsTimeOut(t *testing.T) {
	f := startServer(t, &fakeBackend{}, func(l *ingress.Limits) {
		l.HeaderTimeout, l.BodyTimeout, l.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	})
	for name, text := range map[string]string{
		"header": "GET / HTTP/1.1\r\nHost:",
		"body":   plainRequest("POST", "/", "Content-Length: 10\r\n") + "123",
	} {
		t.Run(name, func(t *testing.T) {
			c, r := f.dial(t)
			send(t, c, text)
			resp, _ := readResponse(t, r, "GET")
			assert.Equal(t, resp.StatusCode, 408)
			assertClosed(t, r)
		})
	}
	t.Run("idle connection", func(t *testing.T) {
		c, r := f.dial(t)
		send(t, c, plainRequest("GET", "/", ""))
		readResponse(t, r, "GET")
		_, err := r.ReadByte()
		assert.Equal(t, err, io.EOF)
	})
}

func TestDisconnectCancelsCall(t *testing.T) {
	for name, text := range map[string]string{"plain": plainRequest("GET", "/", ""), "stream": streamRequest(3)} {
		t.Run(name, func(t *testing.T) {
			f := startServer(t, &fakeBackend{}, nil)
			f.hold.Store(true)
			c, _ := f.dial(t)
			send(t, c, text)
			f.waitRunning(t, 1)
			assert.NilError(t, c.Close())
			f.waitRunning(t, 0)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if groups := f.registry.Report().Groups; len(groups) == 0 || groups[0].Counters.Gone != 1 {
					return poll.Continue("not counted")
				}
				return poll.Success()
			})
		})
	}
}

func TestSlowReaderCancelsCall(t *testing.T) {
	f := startServer(t, &fakeBackend{token: strings.Repeat("x", 8<<10)}, func(l *ingress.Limits) { l.WriteTimeout = 100 * time.Millisecond })
	c, _ := f.dial(t)
	send(t, c, streamRequest(100000))
	f.waitRunning(t, 1)
	f.waitRunning(t, 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := f.server.Connections(); n != 0 {
			return poll.Continue("%d connections open", n)
		}
		return poll.Success()
	})
}

func TestDeadlineReturns504(t *testing.T) {
	f := startServer(t, &fakeBackend{}, nil)
	f.hold.Store(true)
	c, r := f.dial(t)
	send(t, c, plainRequest("GET", "/", "Request-Timeout: 0.05\r\n"))
	resp, _ := readResponse(t, r, "GET")
	assert.Equal(t, resp.StatusCode, 504)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), "unknown")
	f.hold.Store(false)
	send(t, c, plainRequest("GET", "/next", ""))
	_, body := readResponse(t, r, "GET")
	assert.Equal(t, body, "/next ")
}

func TestConnectionLimit(t *testing.T) {
	f := startServer(t, &fakeBackend{}, func(l *ingress.Limits) { l.Connections = 1 })
	c, r := f.dial(t)
	send(t, c, plainRequest("GET", "/", ""))
	readResponse(t, r, "GET")
	_, r2 := f.dial(t)
	resp, _ := readResponse(t, r2, "GET")
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
}

func TestPipelinedBytesLimit(t *testing.T) {
	f := startServer(t, &fakeBackend{}, nil)
	f.hold.Store(true)
	c, r := f.dial(t)
	send(t, c, plainRequest("GET", "/", ""))
	f.waitRunning(t, 1)
	go func() { _, _ = c.Write(make([]byte, 32<<20)) }()
	assertClosed(t, r)
	f.waitRunning(t, 0)
}

func TestTotalBodyLimit(t *testing.T) {
	f := startServer(t, &fakeBackend{}, func(l *ingress.Limits) { l.BufferedBodyBytes = 150000 })
	c, r := f.dial(t)
	request := plainRequest("POST", "/", "Content-Length: 100000\r\n")
	send(t, c, request+"x")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.server.ReservedBytes() == 0 {
			return poll.Continue("header not received")
		}
		return poll.Success()
	})
	c2, r2 := f.dial(t)
	send(t, c2, request)
	resp, _ := readResponse(t, r2, "POST")
	assert.Equal(t, resp.StatusCode, 503)
	send(t, c, strings.Repeat("x", 99999))
	resp, _ = readResponse(t, r, "POST")
	assert.Equal(t, resp.StatusCode, 200)
}

func TestHTTPForms(t *testing.T) {
	f := startServer(t, &fakeBackend{}, nil)
	t.Run("expect continue", func(t *testing.T) {
		c, r := f.dial(t)
		send(t, c, plainRequest("POST", "/", "Content-Length: 2\r\nExpect: 100-continue\r\n"))
		line, err := r.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
		_, _ = r.ReadString('\n')
		send(t, c, "ok")
		_, body := readResponse(t, r, "POST")
		assert.Equal(t, body, "/ ok")
	})
	t.Run("chunked body", func(t *testing.T) {
		c, r := f.dial(t)
		send(t, c, plainRequest("POST", "/", "Transfer-Encoding: chunked\r\n")+"2\r\nok\r\n")
		send(t, c, "3\r\n, b\r\n0\r\n\r\n"+plainRequest("GET", "/next", ""))
		_, body := readResponse(t, r, "POST")
		assert.Equal(t, body, "/ ok, b")
		_, body = readResponse(t, r, "GET")
		assert.Equal(t, body, "/next ")
	})
	t.Run("head has no body", func(t *testing.T) {
		c, r := f.dial(t)
		send(t, c, plainRequest("HEAD", "/a", "")+plainRequest("GET", "/b", ""))
		resp, _ := readResponse(t, r, "HEAD")
		assert.Equal(t, resp.ContentLength, int64(len("/a ")))
		_, body := readResponse(t, r, "GET")
		assert.Equal(t, body, "/b ")
	})
	t.Run("connection close", func(t *testing.T) {
		c, r := f.dial(t)
		send(t, c, plainRequest("GET", "/a", "Connection: close\r\n")+plainRequest("GET", "/b", ""))
		resp, _ := readResponse(t, r, "GET")
		assert.Assert(t, resp.Close)
		_, err := r.ReadByte()
		assert.Equal(t, err, io.EOF)
	})
	t.Run("stream to HTTP/1.0", func(t *testing.T) {
		c, r := f.dial(t)
		send(t, c, strings.Replace(streamRequest(1), "HTTP/1.1", "HTTP/1.0", 1))
		resp, _ := readResponse(t, r, "POST")
		assert.Equal(t, resp.StatusCode, 505)
	})
}

func TestLargeResponseIsCompleteBeforeClose(t *testing.T) {
	f := startServer(t, &fakeBackend{body: make([]byte, 12<<20)}, nil)
	c, r := f.dial(t)
	send(t, c, plainRequest("GET", "/", "Connection: close\r\n"))
	time.Sleep(300 * time.Millisecond)
	_, body := readResponse(t, r, "GET")
	assert.Equal(t, len(body), len(f.body))
	assertClosed(t, r)
}

func TestDrainCompletesRequests(t *testing.T) {
	f := startServer(t, &fakeBackend{body: make([]byte, 12<<20)}, nil)
	f.hold.Store(true)
	c, r := f.dial(t) // in flight
	send(t, c, plainRequest("GET", "/", ""))
	f.waitRunning(t, 1)
	c2, r2 := f.dial(t) // part of a head sent
	send(t, c2, "GET /readyz HTTP/1.1\r\n")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.server.Connections() < 2 {
			return poll.Continue("not accepted yet")
		}
		return poll.Success()
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.stop()
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !f.server.Draining() {
			return poll.Continue("not draining yet")
		}
		return poll.Success()
	})
	send(t, c2, "Host: x\r\n\r\n")
	resp, _ := readResponse(t, r2, "GET")
	assert.Equal(t, resp.StatusCode, 503)
	resp, body := readResponse(t, r, "GET")
	assert.Assert(t, resp.Close)
	assert.Equal(t, len(body), len(f.body))
	<-stopped
}

// TestStopWithCanceledContext checks that Stop closes the port even if its context ended
// before the call, as after a reclaim with short notice.
func TestStopWithCanceledContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 8 {
		f := startServer(t, &fakeBackend{}, nil)
		assert.NilError(t, f.server.Stop(ctx))
		<-f.server.Done()
	}
}

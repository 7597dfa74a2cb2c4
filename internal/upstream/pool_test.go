package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// serve starts a server that sends the same response to every request, none if response
// is empty. It returns its address and the number of accepted connections.
func serve(t *testing.T, response string) (address string, accepted *atomic.Int64) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	accepted = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					var req fasthttp.Request
					if req.Read(r) != nil {
						return
					}
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return l.Addr().String(), accepted
}

func request(address string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + address + "/x")
	return req
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionReuseAfterCompleteResponse(t *testing.T) {
	address, accepted := serve(t, completeResponse)
	p := NewPool()
	defer p.Close()
	for i := range 3 {
		x, err := p.Start(context.Background(), address, request(address), false)
		assert.NilError(t, err)
		assert.Equal(t, x.Reused(), i > 0)
		body, err := x.ReadAll(10)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		x.Cancel() // has no effect after ReadAll; callers defer it
	}
	assert.Equal(t, accepted.Load(), int64(1))
	_, err := p.Start(context.Background(), address, request(address), true)
	assert.NilError(t, err)
	assert.Equal(t, accepted.Load(), int64(2), "NewConn")
}

// TestErrorMaybeSent checks that MaybeSent is false for requests of which no byte can have
// reached the upstream, and true for all others: a call may be reported as not run only in
// the first case.
func TestErrorMaybeSent(t *testing.T) {
	p := NewPool()
	defer p.Close()
	var e *Error
	_, err := p.Start(context.Background(), "127.0.0.1:1", request("127.0.0.1:1"), false)
	assert.Assert(t, errors.As(err, &e) && !e.MaybeSent, "%v", err)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	address, _ := serve(t, completeResponse)
	_, err = p.Start(ctx, address, request(address), false)
	assert.Assert(t, errors.As(err, &e) && !e.MaybeSent, "%v", err)

	address, _ = serve(t, "")
	_, err = p.StartWith(context.Background(), address, request(address), Options{HeadDeadline: time.Now().Add(20 * time.Millisecond)})
	assert.Assert(t, errors.As(err, &e) && e.MaybeSent, "%v", err)
	var ne net.Error
	assert.Assert(t, errors.As(err, &ne) && ne.Timeout(), "%v", err)

	address, _ = serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok")
	_, err = p.Start(context.Background(), address, request(address), false)
	assert.Assert(t, errors.As(err, &e) && e.MaybeSent, "response with two lengths: %v", err)
}

func TestReadAllLimit(t *testing.T) {
	address, _ := serve(t, completeResponse)
	p := NewPool()
	defer p.Close()
	x, err := p.Start(context.Background(), address, request(address), false)
	assert.NilError(t, err)
	_, err = x.ReadAll(1)
	assert.ErrorContains(t, err, "exceeds 1 bytes")
}

// TestBodyReadDeadline reads a body whose end never arrives: the read must time out.
func TestBodyReadDeadline(t *testing.T) {
	address, _ := serve(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
	p := NewPool()
	defer p.Close()
	x, err := p.Start(context.Background(), address, request(address), false)
	assert.NilError(t, err)
	x.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	body, err := io.ReadAll(x.Body())
	assert.Equal(t, string(body), "ok")
	var ne net.Error
	assert.Assert(t, errors.As(err, &ne) && ne.Timeout(), "%v", err)
	x.Cancel()
}

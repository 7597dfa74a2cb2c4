package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/loopback"
)

// panicHandler responds with 200, and panics on the path /panic.
type panicHandler struct{}

func (panicHandler) Serve(_ context.Context, x *Exchange) {
	if string(x.Request.Header.RequestURI()) == "/panic" {
		panic("unexpected")
	}
	resp := fasthttp.AcquireResponse()
	resp.SetBodyString("served")
	_ = x.Respond(resp)
}

func (panicHandler) Precheck(*fasthttp.RequestHeader, int) int { return 0 }
func (panicHandler) RejectHeaders(int) string                  { return "" }

// TestPanicClosesOnlyItsConnection checks that a panic in the task of one request closes
// its connection without a response and affects neither other requests nor a drain.
func TestPanicClosesOnlyItsConnection(t *testing.T) {
	address, err := loopback.Address()
	assert.NilError(t, err)
	s := NewServer(panicHandler{}, hclog.NewNullLogger(), DefaultLimits())
	done := make(chan error, 1)
	go func() { done <- s.Run(address) }()
	<-s.Listening()
	get := func(path string) (*http.Response, error) {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		return http.ReadResponse(bufio.NewReader(c), nil)
	}
	for range 3 {
		_, err := get("/panic")
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		resp, err := get("/other")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Stop(ctx))
	assert.NilError(t, <-done)
}

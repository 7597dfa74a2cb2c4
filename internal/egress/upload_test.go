package egress

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/loopback"
)

// uploadBytes is the size of a request body that no socket buffers hold, so that it is still being
// written while the response arrives.
const uploadBytes = 32 << 20

// serveEarly starts a server that calls respond on each connection after the first bytes of a
// request, and closes the connection afterwards.
func serveEarly(t *testing.T, respond func(c *net.TCPConn)) (address string) {
	t.Helper()
	address, err := loopback.Address()
	assert.NilError(t, err)
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 1024)); err == nil {
					respond(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return address
}

// upload sends a request with a long body and returns the body of the response. The error is nil
// if the response is complete.
func upload(p *Pool, address string) (string, error) {
	c, err := p.Get(context.Background(), address, 4)
	if err != nil {
		return "", err
	}
	defer c.Release()
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", uploadBytes)
	if err := c.Start(context.Background(), []byte(head), make([]byte, uploadBytes)); err != nil {
		return "", err
	}
	var h fasthttp.ResponseHeader
	if err := c.ReadHead(&h, 5*time.Second); err != nil {
		return "", err
	}
	var body []byte
	for err == nil {
		body, err = c.ReadBody(body, 5*time.Second)
	}
	if err == io.EOF {
		err = nil
	}
	return string(body), err
}

// brokenOffResponses are beginnings of responses.
var brokenOffResponses = map[string]string{
	"until close":           "HTTP/1.1 200 OK\r\n\r\nhello",
	"until close, HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\nhello",
	"until close, no body":  "HTTP/1.1 200 OK\r\n\r\n",
	"length":                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
	"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
}

// TestResetDuringUpload resets the connection within a response while the request is still being
// written. What has arrived is no complete response.
func TestResetDuringUpload(t *testing.T) {
	for name, text := range brokenOffResponses {
		t.Run(name, func(t *testing.T) {
			address := serveEarly(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, text)
				time.Sleep(20 * time.Millisecond)
				_ = c.SetLinger(0)
			})
			for i := range 20 {
				p := NewPool()
				body, err := upload(p, address)
				assert.Assert(t, err != nil, "upload %d: %q looks complete", i, body)
				open, _ := p.Stats()
				assert.Equal(t, open, 0)
			}
		})
	}
}

// TestUnreadUploadClosed lets the server close a connection with unread bytes, which resets it, as
// the end of its process does.
func TestUnreadUploadClosed(t *testing.T) {
	address := serveEarly(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhello")
		time.Sleep(20 * time.Millisecond)
	})
	for range 20 {
		body, err := upload(NewPool(), address)
		assert.Assert(t, err != nil, "%q looks complete", body)
	}
}

// TestUploadReadLate lets the server read the rest of a request only after its response, which takes
// longer than sent bytes may stay unacknowledged.
func TestUploadReadLate(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string][2]string{
		"until close": {ok + "\r\nhel", "lo"},
		"length":      {ok + "Content-Length: 5\r\n\r\nhel", "lo"},
		"chunks":      {ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n", "2\r\nlo\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveEarly(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, text[0])
				time.Sleep(2 * ackTimeout)
				_, _ = io.WriteString(c, text[1])
				if name == "until close" {
					_ = c.CloseWrite()
				}
				_, _ = io.Copy(io.Discard, c)
			})
			body, err := upload(NewPool(), address)
			assert.NilError(t, err)
			assert.Equal(t, body, "hello")
		})
	}
}

// TestUnreadUploadWithoutResponse lets the server neither read a request nor respond. The connection
// fails soon.
func TestUnreadUploadWithoutResponse(t *testing.T) {
	address := serveEarly(t, func(*net.TCPConn) { time.Sleep(3 * ackTimeout) })
	start := time.Now()
	_, err := upload(NewPool(), address)
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(start) < 2*ackTimeout)
}

// TestCompleteResponseDuringUpload sends whole responses before the request was read. Each is
// complete, whatever becomes of the rest of the request.
func TestCompleteResponseDuringUpload(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string]string{
		"until close": ok + "\r\nhello",
		"length":      ok + "Content-Length: 5\r\n\r\nhello",
		"chunks":      ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		for end, after := range map[string]func(c *net.TCPConn){
			"ends its side, reads on":     func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
			"ends its side, then resets":  func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(20 * time.Millisecond); _ = c.SetLinger(0) },
			"ends its side, then is idle": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(300 * time.Millisecond) },
			"reads on, then closes": func(c *net.TCPConn) {
				_, _ = io.CopyN(io.Discard, c, uploadBytes/2)
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			},
		} {
			t.Run(name+"/"+end, func(t *testing.T) {
				address := serveEarly(t, func(c *net.TCPConn) {
					_, _ = io.WriteString(c, text)
					after(c)
				})
				for range 5 {
					p := NewPool()
					body, err := upload(p, address)
					assert.NilError(t, err)
					assert.Equal(t, body, "hello")
					if open, _ := p.Stats(); name == "until close" {
						assert.Equal(t, open, 0, "a connection that has ended is kept")
					}
				}
			})
		}
	}
}

// deadConn is a connection that the kernel gave up because the peer vanished, after it had sent text.
type deadConn struct {
	net.Conn
	text     string
	reported bool
}

func (c *deadConn) Read(p []byte) (int, error) {
	switch {
	case c.text != "":
		n := copy(p, c.text)
		c.text = c.text[n:]
		return n, nil
	case !c.reported:
		c.reported = true
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	}
	return 0, io.EOF // the kernel reports an error once
}

func (c *deadConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *deadConn) SetDeadline(time.Time) error      { return nil }
func (c *deadConn) SetReadDeadline(time.Time) error  { return nil }
func (c *deadConn) SetWriteDeadline(time.Time) error { return nil }
func (c *deadConn) Close() error                     { return nil }

// TestVanishedUpstream reads a response without a length, again after each timeout of a read, from an
// upstream that vanishes within it. What has arrived is not complete.
func TestVanishedUpstream(t *testing.T) {
	p := NewPool()
	assert.Assert(t, p.reserveSlot("x", 1))
	c := &Conn{pool: p, address: "x", nc: &deadConn{text: "HTTP/1.1 200 OK\r\n\r\nhello"}}
	defer c.Close()
	assert.NilError(t, c.Start(context.Background(), []byte(request), nil))
	var h fasthttp.ResponseHeader
	assert.NilError(t, c.ReadHead(&h, time.Second))
	var body []byte
	var err error
	for err == nil || err == ErrTimeout {
		body, err = c.ReadBody(body, time.Second)
	}
	assert.Assert(t, errors.Is(err, syscall.ETIMEDOUT), "%q ends with %v", body, err)
}

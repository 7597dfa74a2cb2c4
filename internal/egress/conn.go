package egress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/framing"
	"github.com/lagoonmux/lagoonmux/internal/netopt"
)

const (
	readSize     = 8 << 10  // bytes of buffer space for one read from the socket
	maxHeadBytes = 32 << 10 // size limit of a response head
	maxHeads     = 4        // heads per response: interim ones (1xx) and the final one
	// maxSyncWriteBytes is the size up to which Start writes a request itself. A larger
	// one is written in a goroutine while the response is read, since an upstream may
	// respond before it has read the whole request.
	maxSyncWriteBytes = 4 << 10
)

// ErrTimeout means that no bytes arrived within the timeout of a read. The read can be
// repeated.
var ErrTimeout = errors.New("read timed out")

// MalformedError means that a response is not valid HTTP, or exceeds a limit of its head.
type MalformedError struct {
	Address string // of the upstream
	Err     error
}

// Error formats the address and the cause.
func (e *MalformedError) Error() string {
	return "malformed response of " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

func (c *Conn) malformed(err error) error { return &MalformedError{c.address, err} }

// Conn is a connection that carries one exchange at a time. It is not safe for
// concurrent use.
type Conn struct {
	pool          *Pool
	address       string
	nc            net.Conn
	idleDeadline  time.Time   // when the connection has been idle for too long
	detachContext func() bool // undoes the closing when the request's context ends; nil before the first Start

	buf        []byte     // received, not consumed yet
	written    chan error // the result of writing the request
	bodyLength int        // as framing.Head.BodyLength
	remaining  int        // bytes not read yet of a body of known length
	decoder    framing.ChunkDecoder
	complete   bool // the response was read to its end
	large      bool // the request is written in a goroutine
	noReuse    bool // the connection must be closed after the response
	reused     bool // it carried an exchange before this one
}

// Reused reports whether the connection carried an exchange before this one.
func (c *Conn) Reused() bool { return c.reused }

// Start sends a request. Until Release or Close, the connection is closed when ctx ends,
// which signals to the upstream that the response is no longer needed. A nil error does
// not mean that the request was written: a large one is written in the background.
func (c *Conn) Start(ctx context.Context, head, body []byte) error {
	c.complete, c.noReuse, c.buf = false, false, c.buf[:0]
	c.detachContext = context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	_ = c.nc.SetDeadline(time.Time{})
	c.written = make(chan error, 1)
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	write := func() {
		_, err := buffers.WriteTo(c.nc)
		c.written <- err
	}
	if c.large = len(head)+len(body) > maxSyncWriteBytes; c.large {
		go write()
		return nil
	}
	write()
	err := <-c.written
	c.written <- err
	return errors.Wrapf(err, "write request to %s", c.address)
}

// ReadHead reads the head of the final response into h. After ErrTimeout it can be called
// again.
func (c *Conn) ReadHead(h *fasthttp.ResponseHeader, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for range maxHeads {
		end, err := c.bufferHead(deadline)
		if err != nil {
			return err
		}
		if err := c.parseHead(h, c.buf[:end]); err != nil {
			return c.malformed(err)
		}
		c.buf = c.buf[end:]
		switch status := h.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return c.malformed(errors.New("switches protocols without a request for it"))
		case status >= 200:
			c.allowUnread()
			return nil
		}
	}
	return c.malformed(errors.New("too many interim responses"))
}

// allowUnread lets an upstream that has begun to respond leave the rest of a large request
// unread for longer than ackTimeout.
func (c *Conn) allowUnread() {
	if c.large {
		_ = netopt.SetAckTimeout(c.nc, 0) // if this fails, reads fail too
	}
}

// bufferHead reads until buf starts with a whole head, and returns the head's length.
func (c *Conn) bufferHead(deadline time.Time) (int, error) {
	for {
		if i := bytes.Index(c.buf, framing.HeadEnd); i >= 0 {
			return i + len(framing.HeadEnd), nil
		}
		if len(c.buf) > maxHeadBytes {
			return 0, c.malformed(errors.Errorf("head is longer than %d bytes", maxHeadBytes))
		}
		if err := c.fill(deadline); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
	}
}

// fill reads once from the socket and appends the bytes to buf.
func (c *Conn) fill(deadline time.Time) error {
	_ = c.nc.SetReadDeadline(deadline)
	n := len(c.buf)
	if cap(c.buf)-n < readSize {
		grown := make([]byte, n, 2*n+readSize)
		copy(grown, c.buf)
		c.buf = grown
	}
	count, err := c.nc.Read(c.buf[n : n+readSize])
	c.buf = c.buf[:n+count]
	switch {
	case count > 0 || err == nil:
		return nil
	case isTimeout(err):
		return ErrTimeout
	case err == io.EOF:
		return io.EOF
	}
	return errors.Wrapf(err, "read from %s", c.address)
}

// parseHead checks and decodes one head, and prepares reading the body that follows.
func (c *Conn) parseHead(h *fasthttp.ResponseHeader, head []byte) error {
	f, err := framing.ParseHead(head)
	if err != nil {
		return err
	}
	// The parser of h takes status 000 for 200.
	if _, err := framing.ParseStatus(head); err != nil {
		return err
	}
	h.Reset()
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head))); err != nil {
		return err
	}
	c.bodyLength, c.remaining, c.decoder = f.BodyLength, max(f.BodyLength, 0), framing.ChunkDecoder{}
	status := h.StatusCode()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		c.bodyLength, c.remaining = 0, 0
	}
	bodyMayFollow := status == fasthttp.StatusNoContent && f.BodyLength != 0 // although none is allowed
	c.noReuse = h.ConnectionClose() || f.BodyLength == framing.UntilClose || bodyMayFollow || bytes.HasPrefix(head, []byte("HTTP/1.0"))
	c.idleDeadline = time.Now().Add(idleTimeout(h))
	return nil
}

// idleTimeout returns how long the connection may stay idle after a response, by its
// Keep-Alive field.
func idleTimeout(h *fasthttp.ResponseHeader) time.Duration {
	_, after, found := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !found {
		return defaultIdleTimeout
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return defaultIdleTimeout
	}
	return max(time.Duration(seconds)*time.Second-idleMargin, minIdleTimeout)
}

// ExpectNoBody makes the response end with its head whatever length the head gives, as
// for a HEAD request.
func (c *Conn) ExpectNoBody() { c.bodyLength, c.remaining = 0, 0 }

// EndsWithConnection reports whether the response has neither a length nor chunks, so that
// its end cannot be distinguished from that of the upstream.
func (c *Conn) EndsWithConnection() bool { return c.bodyLength == framing.UntilClose }

// ReadBody appends the bytes of the body that arrive next to dst. It returns io.EOF,
// with the last bytes, when the body is complete. After ErrTimeout it can be called
// again.
func (c *Conn) ReadBody(dst []byte, timeout time.Duration) ([]byte, error) {
	deadline := time.Now().Add(timeout)
	for {
		before := len(dst)
		var err error
		if dst, err = c.decodeBody(dst); err != nil || len(dst) > before {
			return dst, err
		}
		if err = c.fill(deadline); err != nil {
			return dst, c.bodyReadError(err)
		}
	}
}

// bodyReadError returns the error of ReadBody for a failed read. A closed connection
// completes a body without a length, unless it was aborted, and truncates any other.
func (c *Conn) bodyReadError(err error) error {
	if err != io.EOF {
		return err
	}
	if c.bodyLength != framing.UntilClose {
		return errors.Wrapf(io.ErrUnexpectedEOF, "read response body of %s", c.address)
	}
	if err := netopt.AbortError(c.stopWriting()); err != nil {
		return errors.Wrapf(err, "read response body of %s", c.address)
	}
	c.complete = true
	return io.EOF
}

// stopWriting ends the writing of the request and returns its result.
func (c *Conn) stopWriting() error {
	_ = c.nc.SetWriteDeadline(time.Unix(1, 0))
	err := <-c.written
	c.written <- err
	return err
}

// decodeBody consumes buf and appends the decoded bytes of the body to dst. It returns
// io.EOF when the body is complete.
func (c *Conn) decodeBody(dst []byte) ([]byte, error) {
	switch c.bodyLength {
	case framing.UntilClose:
		dst = append(dst, c.buf...)
		c.buf = c.buf[:0]
		return dst, nil
	case framing.Chunked:
		var used int
		var err error
		dst, used, err = c.decoder.Decode(dst, c.buf)
		c.buf = c.buf[used:]
		if err != nil {
			return dst, c.malformed(err)
		}
		if !c.decoder.Done() {
			return dst, nil
		}
	default:
		n := min(c.remaining, len(c.buf))
		dst = append(dst, c.buf[:n]...)
		c.buf = c.buf[n:]
		if c.remaining -= n; c.remaining > 0 {
			return dst, nil
		}
	}
	c.complete = true
	return dst, io.EOF
}

// Release returns the connection to the pool if the exchange is complete and the
// connection can be reused, and closes it otherwise.
func (c *Conn) Release() {
	reusable := c.detachContext != nil && c.detachContext() && c.complete && !c.noReuse && len(c.buf) == 0 && c.requestWritten() && c.restoreAckTimeout()
	if !reusable || !time.Now().Before(c.idleDeadline) {
		c.Close()
		return
	}
	c.buf = nil // so that idle connections hold no buffers
	c.pool.put(c)
}

// requestWritten reports whether the whole request was written.
func (c *Conn) requestWritten() bool {
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}

// restoreAckTimeout undoes allowUnread, and reports whether the connection can still be used.
func (c *Conn) restoreAckTimeout() bool {
	return !c.large || netopt.SetAckTimeout(c.nc, ackTimeout) == nil
}

// Close closes the connection. After each Get or Dial of the pool, exactly one of Release
// and Close must be called.
func (c *Conn) Close() {
	if c.detachContext != nil {
		c.detachContext()
	}
	_ = c.nc.Close()
	c.pool.freeSlot(c.address)
}

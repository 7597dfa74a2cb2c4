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
)

const (
	readSize     = 8 << 10  // read from a socket at once
	maxHeadBytes = 32 << 10 // of an answer
	maxHeads     = 4        // answers of class 1xx before the final one
	// maxSyncWriteBytes is the size up to which a request is written before its answer is
	// read; a larger one goes beside it, since an upstream may answer early.
	maxSyncWriteBytes = 4 << 10
)

// ErrTimeout says that nothing came within the patience of a read. The
// connection can be read on.
var ErrTimeout = errors.New("nothing came in time")

// Conn is a connection with at most one exchange under way. It belongs to one
// goroutine.
type Conn struct {
	pool          *Pool
	address       string
	nc            net.Conn
	idleDeadline  time.Time
	detachContext func() bool

	buf        []byte // received, not used yet
	written    chan error
	bodyLength int // of the body, as framing says
	remaining  int // bytes of a body with a length
	decoder    framing.ChunkDecoder
	complete   bool // the answer was read to its end
	noReuse    bool
	reused     bool // an exchange went over it before
}

// Reused tells whether the connection had been used before.
func (c *Conn) Reused() bool { return c.reused }

// Start sends a request. When ctx ends, the connection is closed, by which the
// upstream learns that its answer is no longer wanted.
func (c *Conn) Start(ctx context.Context, head, body []byte) error {
	c.complete, c.noReuse, c.buf = false, false, c.buf[:0]
	c.detachContext = context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	_ = c.nc.SetDeadline(time.Time{})
	c.written = make(chan error, 1)
	send := net.Buffers{head}
	if len(body) > 0 {
		send = append(send, body)
	}
	write := func() {
		_, err := send.WriteTo(c.nc)
		c.written <- err
	}
	if len(head)+len(body) > maxSyncWriteBytes {
		go write()
		return nil
	}
	write()
	err := <-c.written
	c.written <- err
	return errors.Wrapf(err, "write to %s", c.address)
}

// ReadHead reads the head of the answer into h, waiting no longer than patience.
func (c *Conn) ReadHead(h *fasthttp.ResponseHeader, patience time.Duration) error {
	by := time.Now().Add(patience)
	for range maxHeads {
		end, err := c.bufferHead(by)
		if err != nil {
			return err
		}
		if err := c.parseHead(h, c.buf[:end]); err != nil {
			return errors.Wrapf(err, "read head of %s", c.address)
		}
		c.buf = c.buf[end:]
		if status := h.StatusCode(); status >= 200 && status != fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errors.Errorf("read head of %s: no final answer", c.address)
}

func (c *Conn) bufferHead(by time.Time) (int, error) {
	for {
		if i := bytes.Index(c.buf, framing.HeadEnd); i >= 0 {
			return i + len(framing.HeadEnd), nil
		}
		if len(c.buf) > maxHeadBytes {
			return 0, errors.Errorf("read head of %s: longer than %d bytes", c.address, maxHeadBytes)
		}
		if err := c.fill(by); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
	}
}

// fill reads once more from the socket.
func (c *Conn) fill(by time.Time) error {
	_ = c.nc.SetReadDeadline(by)
	n := len(c.buf)
	if cap(c.buf)-n < readSize {
		grown := make([]byte, n, 2*n+readSize)
		copy(grown, c.buf)
		c.buf = grown
	}
	got, err := c.nc.Read(c.buf[n : n+readSize])
	c.buf = c.buf[:n+got]
	switch {
	case got > 0 || err == nil:
		return nil
	case isTimeout(err):
		return ErrTimeout
	case err == io.EOF:
		return io.EOF
	}
	return errors.Wrapf(err, "read from %s", c.address)
}

// parseHead checks and decodes one head.
func (c *Conn) parseHead(h *fasthttp.ResponseHeader, head []byte) error {
	f, err := framing.ParseHead(head)
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(head, []byte("HTTP/1.1 ")) && !bytes.HasPrefix(head, []byte("HTTP/1.0 ")) {
		return errors.Errorf("status line %.40q", head)
	}
	h.Reset()
	if err := h.Read(bufio.NewReader(bytes.NewReader(head))); err != nil {
		return err
	}
	c.bodyLength, c.remaining, c.decoder = f.Length, max(f.Length, 0), framing.ChunkDecoder{}
	if status := h.StatusCode(); status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		c.bodyLength, c.remaining = 0, 0
	}
	c.noReuse = h.ConnectionClose() || f.Length == framing.UntilClose || bytes.HasPrefix(head, []byte("HTTP/1.0"))
	c.idleDeadline = time.Now().Add(idleTimeout(h))
	return nil
}

// idleTimeout returns how long the connection may stay idle after an answer.
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

// ExpectNoBody notes that the answer has no body whatever its head says, as that of a
// HEAD request.
func (c *Conn) ExpectNoBody() { c.bodyLength, c.remaining = 0, 0 }

// ReadBody appends the next bytes of the body to dst, waiting no longer than
// patience. It returns io.EOF, with the last bytes, once the body is whole.
func (c *Conn) ReadBody(dst []byte, patience time.Duration) ([]byte, error) {
	by := time.Now().Add(patience)
	for {
		before := len(dst)
		var err error
		if dst, err = c.decodeBody(dst); err != nil || len(dst) > before {
			return dst, err
		}
		if err = c.fill(by); err != nil {
			return dst, c.bodyReadError(err)
		}
	}
}

// bodyReadError tells what the end of the connection means for the body.
func (c *Conn) bodyReadError(err error) error {
	if err != io.EOF {
		return err
	}
	if c.bodyLength == framing.UntilClose {
		c.complete = true
		return io.EOF
	}
	return errors.Wrapf(io.ErrUnexpectedEOF, "read body of %s", c.address)
}

// decodeBody decodes what was received of the body.
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
			return dst, errors.Wrapf(err, "read body of %s", c.address)
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

// Release keeps the connection for another request if the exchange ended
// cleanly, and closes it otherwise.
func (c *Conn) Release() {
	kept := c.detachContext != nil && c.detachContext() && c.complete && !c.noReuse && len(c.buf) == 0 && c.requestWritten()
	if !kept || !time.Now().Before(c.idleDeadline) {
		c.Close()
		return
	}
	c.buf = nil // an idle connection holds no memory
	c.pool.put(c)
}

// requestWritten tells whether the whole request was written.
func (c *Conn) requestWritten() bool {
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}

// Close closes the connection. It must be called once where Release is not.
func (c *Conn) Close() {
	if c.detachContext != nil {
		c.detachContext()
	}
	_ = c.nc.Close()
	c.pool.freeSlot(c.address)
}

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
	readBytes    = 8 << 10  // read from a socket at once
	maxHeadBytes = 32 << 10 // of an answer
	maxInterim   = 4        // answers of class 1xx before the final one
	// aloneBytes is the size up to which a request is written before its answer is
	// read; a larger one goes beside it, since an upstream may answer early.
	aloneBytes = 4 << 10
)

// ErrPatience says that nothing came within the patience of a read. The
// connection can be read on.
var ErrPatience = errors.New("nothing came in time")

// Conn is a connection with at most one exchange under way. It belongs to one
// goroutine.
type Conn struct {
	pool    *Pool
	address string
	nc      net.Conn
	keepBy  time.Time
	stop    func() bool

	buf     []byte // received, not used yet
	written chan error
	length  int // of the body, as framing says
	left    int // bytes of a body with a length
	chunks  framing.Chunks
	whole   bool // the answer was read to its end
	noReuse bool
	reused  bool // an exchange went over it before
}

// Reused tells whether the connection had been used before.
func (c *Conn) Reused() bool { return c.reused }

// Start sends a request. When ctx ends, the connection is closed, by which the
// upstream learns that its answer is no longer wanted.
func (c *Conn) Start(ctx context.Context, head, body []byte) error {
	c.whole, c.noReuse, c.buf = false, false, c.buf[:0]
	c.stop = context.AfterFunc(ctx, func() { _ = c.nc.Close() })
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
	if len(head)+len(body) > aloneBytes {
		go write()
		return nil
	}
	write()
	err := <-c.written
	c.written <- err
	return errors.Wrapf(err, "write to %s", c.address)
}

// Head reads the head of the answer into h, waiting no longer than patience.
func (c *Conn) Head(h *fasthttp.ResponseHeader, patience time.Duration) error {
	by := time.Now().Add(patience)
	for range maxInterim {
		end, err := c.headEnd(by)
		if err != nil {
			return err
		}
		if err := c.parse(h, c.buf[:end]); err != nil {
			return errors.Wrapf(err, "read head of %s", c.address)
		}
		c.buf = c.buf[end:]
		if status := h.StatusCode(); status >= 200 && status != fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errors.Errorf("read head of %s: no final answer", c.address)
}

func (c *Conn) headEnd(by time.Time) (int, error) {
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
	if cap(c.buf)-n < readBytes {
		grown := make([]byte, n, 2*n+readBytes)
		copy(grown, c.buf)
		c.buf = grown
	}
	got, err := c.nc.Read(c.buf[n : n+readBytes])
	c.buf = c.buf[:n+got]
	switch {
	case got > 0 || err == nil:
		return nil
	case isTimeout(err):
		return ErrPatience
	case err == io.EOF:
		return io.EOF
	}
	return errors.Wrapf(err, "read from %s", c.address)
}

// parse checks and decodes one head.
func (c *Conn) parse(h *fasthttp.ResponseHeader, head []byte) error {
	f, err := framing.Check(head)
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
	c.length, c.left, c.chunks = f.Length, max(f.Length, 0), framing.Chunks{}
	if status := h.StatusCode(); status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		c.length, c.left = 0, 0
	}
	c.noReuse = h.ConnectionClose() || f.Length == framing.UntilEnd || bytes.HasPrefix(head, []byte("HTTP/1.0"))
	c.keepBy = time.Now().Add(idleFor(h))
	return nil
}

// idleFor returns how long the connection may stay idle after an answer.
func idleFor(h *fasthttp.ResponseHeader) time.Duration {
	_, after, found := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !found {
		return defaultIdle
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return defaultIdle
	}
	return max(time.Duration(seconds)*time.Second-idleMargin, minIdle)
}

// NoBody notes that the answer has no body whatever its head says, as that of a
// HEAD request.
func (c *Conn) NoBody() { c.length, c.left = 0, 0 }

// Next appends the next bytes of the body to dst, waiting no longer than
// patience. It returns io.EOF, with the last bytes, once the body is whole.
func (c *Conn) Next(dst []byte, patience time.Duration) ([]byte, error) {
	by := time.Now().Add(patience)
	for {
		before := len(dst)
		var err error
		if dst, err = c.take(dst); err != nil || len(dst) > before {
			return dst, err
		}
		if err = c.fill(by); err != nil {
			return dst, c.ended(err)
		}
	}
}

// ended tells what the end of the connection means for the body.
func (c *Conn) ended(err error) error {
	if err != io.EOF {
		return err
	}
	if c.length == framing.UntilEnd {
		c.whole = true
		return io.EOF
	}
	return errors.Wrapf(io.ErrUnexpectedEOF, "read body of %s", c.address)
}

// take decodes what was received of the body.
func (c *Conn) take(dst []byte) ([]byte, error) {
	switch c.length {
	case framing.UntilEnd:
		dst = append(dst, c.buf...)
		c.buf = c.buf[:0]
		return dst, nil
	case framing.Chunked:
		var used int
		var err error
		dst, used, err = c.chunks.Decode(dst, c.buf)
		c.buf = c.buf[used:]
		if err != nil {
			return dst, errors.Wrapf(err, "read body of %s", c.address)
		}
		if !c.chunks.Done() {
			return dst, nil
		}
	default:
		n := min(c.left, len(c.buf))
		dst = append(dst, c.buf[:n]...)
		c.buf = c.buf[n:]
		if c.left -= n; c.left > 0 {
			return dst, nil
		}
	}
	c.whole = true
	return dst, io.EOF
}

// Release keeps the connection for another request if the exchange ended
// cleanly, and closes it otherwise.
func (c *Conn) Release() {
	kept := c.stop != nil && c.stop() && c.whole && !c.noReuse && len(c.buf) == 0 && c.sent()
	if !kept || !time.Now().Before(c.keepBy) {
		c.Close()
		return
	}
	c.buf = nil // an idle connection holds no memory
	c.pool.put(c)
}

// sent tells whether the whole request was written.
func (c *Conn) sent() bool {
	select {
	case err := <-c.written:
		return err == nil
	default:
		return false
	}
}

// Close closes the connection. It must be called once where Release is not.
func (c *Conn) Close() {
	if c.stop != nil {
		c.stop()
	}
	_ = c.nc.Close()
	c.pool.release(c.address)
}

package ingress

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/framing"
)

const (
	lingerTimeout  = time.Second // for a refused caller to take its answer
	smallBodyBytes = 64 << 10    // a larger body is checked and counted before it is received
)

// phase is what a connection is doing.
type phase int

const (
	idle      phase = iota // between requests
	inHeader               // part of a header has arrived
	inBody                 // the header has arrived, part of the body is missing
	answering              // a task serves the request
	lingering              // refused; what still arrives is discarded
)

// conn is one connection of a caller. Fields without a note belong to its
// event loop.
type conn struct {
	server   *Server
	gc       gnet.Conn
	phase    phase
	scanned  int                   // bytes searched for the end of the header
	exchange *Exchange             // being received or answered
	missing  int                   // bytes of the body
	chunks   *framing.ChunkDecoder // decodes a body in chunks; nil for others
	closed   bool
	closing  bool // close once the caller has read its answer

	since    atomic.Int64 // unix nanoseconds, when the phase began; any goroutine
	deadline atomic.Int64 // unix nanoseconds; 0 for none; any goroutine
	active   atomic.Bool  // a request is arriving or being answered; any goroutine
	flushing atomic.Bool  // the caller has not read the last answer; any goroutine
	out      outbox
}

func newConn(s *Server, gc gnet.Conn) *conn {
	c := &conn{server: s, gc: gc}
	c.out.conn = c
	c.enter(idle, s.limits.Load().IdleTimeout)
	return c
}

// enter changes the phase; a timeout of 0 sets no deadline.
func (c *conn) enter(p phase, timeout time.Duration) {
	c.phase = p
	now := time.Now()
	c.since.Store(now.UnixNano())
	c.active.Store(p == inHeader || p == inBody || p == answering)
	if timeout == 0 {
		c.deadline.Store(0)
		return
	}
	c.deadline.Store(now.Add(timeout).UnixNano())
}

// receive takes in what has arrived.
func (c *conn) receive() gnet.Action {
	switch c.phase {
	case lingering:
		_, _ = c.gc.Discard(-1)
		return gnet.None
	case answering:
		if c.gc.InboundBuffered() > c.server.limits.Load().PipelinedBytes {
			return gnet.Close
		}
		return gnet.None
	case idle, inHeader:
		if !c.receiveHeader() {
			return gnet.None
		}
	}
	c.receiveBody()
	return gnet.None
}

// receiveHeader reports whether a header was read and accepted.
func (c *conn) receiveHeader() bool {
	if c.gc.InboundBuffered() == 0 {
		return false
	}
	if c.phase == idle {
		c.scanned = 0
		c.enter(inHeader, c.server.limits.Load().HeaderTimeout)
	}
	limit := c.server.limits.Load().HeaderBytes
	data, _ := c.gc.Peek(min(c.gc.InboundBuffered(), limit))
	from := max(c.scanned-len(framing.HeadEnd)+1, 0)
	end := bytes.Index(data[from:], framing.HeadEnd)
	c.scanned = len(data)
	if end < 0 {
		if len(data) >= limit {
			c.refuse(fasthttp.StatusRequestHeaderFieldsTooLarge)
		}
		return false
	}
	length := from + end + len(framing.HeadEnd)
	x := newExchange(c)
	x.head = append(x.head, data[:length]...)
	_, _ = c.gc.Discard(length)
	status := readHeader(&x.Request.Header, x.head)
	if status == 0 {
		status = c.accept(x)
	}
	if status != 0 {
		x.release()
		c.refuse(status)
		return false
	}
	return true
}

// headerReaders keeps the readers that readHeader needs.
var headerReaders = sync.Pool{New: func() any { return &headerReader{buf: bufio.NewReaderSize(nil, 4096)} }}

type headerReader struct {
	src bytes.Reader
	buf *bufio.Reader
}

// readHeader decodes one whole header and returns 0 or the status with which
// to refuse it.
func readHeader(h *fasthttp.RequestHeader, data []byte) int {
	r := headerReaders.Get().(*headerReader)
	defer headerReaders.Put(r)
	r.src.Reset(data)
	buf := r.buf
	if len(data) > buf.Size() {
		buf = bufio.NewReaderSize(nil, len(data))
	}
	buf.Reset(&r.src)
	if err := h.Read(buf); err != nil {
		return fasthttp.StatusBadRequest
	}
	if buf.Buffered() > 0 || r.src.Len() > 0 {
		return fasthttp.StatusBadRequest // an earlier end of the header that not all parties would see
	}
	return 0
}

// accept decides by its header whether the body of a request is wanted.
func (c *conn) accept(x *Exchange) int {
	head, err := framing.ParseHead(x.head)
	if err != nil || head.HostCount > 1 {
		return fasthttp.StatusBadRequest
	}
	c.chunks = nil
	if head.Length == framing.Chunked {
		c.chunks = new(framing.ChunkDecoder)
	}
	length := max(head.Length, 0)
	if length > c.server.limits.Load().BodyBytes {
		return fasthttp.StatusRequestEntityTooLarge
	}
	expects := x.Request.MayContinue()
	if length > smallBodyBytes || expects {
		if status := c.server.handler.Precheck(&x.Request.Header, length); status != 0 {
			return status
		}
	}
	if length > smallBodyBytes && !c.server.reserve(x, length) {
		return fasthttp.StatusServiceUnavailable
	}
	if expects {
		_, _ = c.gc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.exchange = x
	c.missing = length
	limits := c.server.limits.Load()
	c.enter(inBody, limits.BodyTimeout+time.Duration(length/limits.BodyRate)*time.Second)
	return 0
}

// receiveBody takes what has arrived of the body and starts a task once it is
// whole.
func (c *conn) receiveBody() {
	x := c.exchange
	whole, status := c.takeBody(x)
	if status != 0 {
		c.refuse(status)
		return
	}
	if !whole {
		return
	}
	x.Request.SetBodyRaw(x.body)
	c.enter(answering, 0)
	c.server.start(x)
}

// takeBody reports whether the body is whole, or the status to refuse it with.
func (c *conn) takeBody(x *Exchange) (bool, int) {
	if c.chunks != nil {
		return c.takeChunks(x)
	}
	if n := min(c.missing, c.gc.InboundBuffered()); n > 0 {
		data, _ := c.gc.Next(n)
		x.body = append(x.body, data...)
		c.missing -= n
	}
	return c.missing == 0, 0
}

// takeChunks is takeBody for a body in chunks, whose bytes are counted as they
// come.
func (c *conn) takeChunks(x *Exchange) (bool, int) {
	data, _ := c.gc.Peek(c.gc.InboundBuffered())
	body, used, err := c.chunks.Decode(x.body, data)
	x.body = body
	_, _ = c.gc.Discard(used)
	switch {
	case err != nil:
		return false, fasthttp.StatusBadRequest
	case len(body) > c.server.limits.Load().BodyBytes:
		return false, fasthttp.StatusRequestEntityTooLarge
	}
	if grown := len(body) - int(x.reserved); len(body) > smallBodyBytes && grown > 0 && !c.server.reserve(x, grown) {
		return false, fasthttp.StatusServiceUnavailable
	}
	return c.chunks.Done(), 0
}

// refuse answers a request that cannot be read on and closes the connection
// once the caller had time to take the answer.
func (c *conn) refuse(status int) {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + fasthttp.StatusMessage(status) +
		"\r\nConnection: close\r\nContent-Length: 0\r\n" + c.server.handler.Refusal(status)
	_, _ = c.gc.Write([]byte(head + "\r\n"))
	if c.closed {
		return
	}
	c.server.refused.Add(1)
	c.drop()
	c.closing = true
	c.enter(lingering, lingerTimeout)
	_, _ = c.gc.Discard(-1)
	_ = syscall.Shutdown(c.gc.Fd(), syscall.SHUT_WR)
}

// drop forgets a request that was not received whole.
func (c *conn) drop() {
	if c.exchange != nil && c.phase == inBody {
		c.exchange.release()
		c.exchange = nil
	}
}

// answered goes on after the answer of a request was passed to gnet.
func (c *conn) answered() {
	x := c.exchange
	c.exchange = nil
	c.closing = x.close || !x.whole
	cut := !x.whole
	x.release()
	if c.closed {
		return
	}
	c.flushing.Store(c.gc.OutboundBuffered() > 0 && !cut)
	switch {
	case !c.closing:
		c.enter(idle, c.server.limits.Load().IdleTimeout)
		_ = c.receive()
	case c.flushing.Load():
		c.enter(lingering, c.server.limits.Load().ReaderTimeout)
	default:
		c.enter(lingering, lingerTimeout)
		_ = c.gc.Close()
	}
}

// Run implements gnet.Runnable: on the event loop, it acts on a passed deadline
// and on an answer that the caller has read at last.
func (c *conn) Run(context.Context) error {
	if c.closed {
		return nil
	}
	c.out.refresh()
	if c.flushing.Load() && c.gc.OutboundBuffered() == 0 {
		c.flushing.Store(false)
		if c.closing {
			return c.gc.Close()
		}
	}
	if c.phase == idle && c.gc.InboundBuffered() == 0 && c.server.unwanted(c, time.Now().UnixNano()) {
		return c.gc.Close()
	}
	if d := c.deadline.Load(); d == 0 || time.Now().UnixNano() < d {
		return nil
	}
	if c.phase == inHeader || c.phase == inBody {
		c.refuse(fasthttp.StatusRequestTimeout)
		return nil
	}
	return c.gc.Close()
}

// lost ends the request in progress; the connection is closed.
func (c *conn) lost() {
	c.closed = true
	c.out.close()
	if c.exchange != nil && c.phase == answering {
		c.exchange.cancel() // its task releases it
		return
	}
	c.drop()
}

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
	idle        phase = iota // between requests
	readingHead              // part of a header has arrived
	readingBody              // the header has arrived, part of the body is missing
	serving                  // a task serves the request
	lingering                // refused; what still arrives is discarded
)

// conn is one connection of a caller. Fields without a note belong to its
// event loop.
type conn struct {
	server          *Server
	netConn         gnet.Conn
	phase           phase
	scanned         int             // bytes searched for the end of the header
	exchange        *Exchange       // being received or answered
	bodyLeft        int             // bytes of the body
	chunkDecoder    *framing.Chunks // decodes a body in chunks; nil for others
	closed          bool
	closeAfterFlush bool // close once the caller has read its answer

	phaseStart atomic.Int64 // unix nanoseconds, when the phase began; any goroutine
	deadline   atomic.Int64 // unix nanoseconds; 0 for none; any goroutine
	active     atomic.Bool  // a request is arriving or being answered; any goroutine
	flushing   atomic.Bool  // the caller has not read the last answer; any goroutine
	out        writeQueue
}

func newConn(s *Server, gc gnet.Conn) *conn {
	c := &conn{server: s, netConn: gc}
	c.out.conn = c
	c.setPhase(idle, s.limits.Load().IdleTimeout)
	return c
}

// setPhase changes the phase; a timeout of 0 sets no deadline.
func (c *conn) setPhase(p phase, timeout time.Duration) {
	c.phase = p
	now := time.Now()
	c.phaseStart.Store(now.UnixNano())
	c.active.Store(p == readingHead || p == readingBody || p == serving)
	if timeout == 0 {
		c.deadline.Store(0)
		return
	}
	c.deadline.Store(now.Add(timeout).UnixNano())
}

// onData takes in what has arrived.
func (c *conn) onData() gnet.Action {
	switch c.phase {
	case lingering:
		_, _ = c.netConn.Discard(-1)
		return gnet.None
	case serving:
		if c.netConn.InboundBuffered() > c.server.limits.Load().PipelinedBytes {
			return gnet.Close
		}
		return gnet.None
	case idle, readingHead:
		if !c.receiveHead() {
			return gnet.None
		}
	}
	c.receiveBody()
	return gnet.None
}

// receiveHead reports whether a header was read and accepted.
func (c *conn) receiveHead() bool {
	if c.netConn.InboundBuffered() == 0 {
		return false
	}
	if c.phase == idle {
		c.scanned = 0
		c.setPhase(readingHead, c.server.limits.Load().HeaderTimeout)
	}
	limit := c.server.limits.Load().HeaderBytes
	data, _ := c.netConn.Peek(min(c.netConn.InboundBuffered(), limit))
	from := max(c.scanned-len(framing.HeadEnd)+1, 0)
	end := bytes.Index(data[from:], framing.HeadEnd)
	c.scanned = len(data)
	if end < 0 {
		if len(data) >= limit {
			c.reject(fasthttp.StatusRequestHeaderFieldsTooLarge)
		}
		return false
	}
	length := from + end + len(framing.HeadEnd)
	x := newExchange(c)
	x.head = append(x.head, data[:length]...)
	_, _ = c.netConn.Discard(length)
	status := parseHead(&x.Request.Header, x.head)
	if status == 0 {
		status = c.acceptHead(x)
	}
	if status != 0 {
		x.release()
		c.reject(status)
		return false
	}
	return true
}

// headReaders keeps the readers that readHeader needs.
var headReaders = sync.Pool{New: func() any { return &headReader{buf: bufio.NewReaderSize(nil, 4096)} }}

type headReader struct {
	src bytes.Reader
	buf *bufio.Reader
}

// parseHead decodes one whole header and returns 0 or the status with which
// to refuse it.
func parseHead(h *fasthttp.RequestHeader, data []byte) int {
	r := headReaders.Get().(*headReader)
	defer headReaders.Put(r)
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

// acceptHead decides by its header whether the body of a request is wanted.
func (c *conn) acceptHead(x *Exchange) int {
	head, err := framing.Check(x.head)
	if err != nil || head.Hosts > 1 {
		return fasthttp.StatusBadRequest
	}
	c.chunkDecoder = nil
	if head.Length == framing.Chunked {
		c.chunkDecoder = new(framing.Chunks)
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
		_, _ = c.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.exchange = x
	c.bodyLeft = length
	limits := c.server.limits.Load()
	c.setPhase(readingBody, limits.BodyTimeout+time.Duration(length/limits.MinBodyRate)*time.Second)
	return 0
}

// receiveBody takes what has arrived of the body and starts a task once it is
// whole.
func (c *conn) receiveBody() {
	x := c.exchange
	complete, status := c.readBody(x)
	if status != 0 {
		c.reject(status)
		return
	}
	if !complete {
		return
	}
	x.Request.SetBodyRaw(x.body)
	c.setPhase(serving, 0)
	c.server.startTask(x)
}

// readBody reports whether the body is whole, or the status to refuse it with.
func (c *conn) readBody(x *Exchange) (bool, int) {
	if c.chunkDecoder != nil {
		return c.readChunked(x)
	}
	if n := min(c.bodyLeft, c.netConn.InboundBuffered()); n > 0 {
		data, _ := c.netConn.Next(n)
		x.body = append(x.body, data...)
		c.bodyLeft -= n
	}
	return c.bodyLeft == 0, 0
}

// readChunked is takeBody for a body in chunks, whose bytes are counted as they
// come.
func (c *conn) readChunked(x *Exchange) (bool, int) {
	data, _ := c.netConn.Peek(c.netConn.InboundBuffered())
	body, used, err := c.chunkDecoder.Decode(x.body, data)
	x.body = body
	_, _ = c.netConn.Discard(used)
	switch {
	case err != nil:
		return false, fasthttp.StatusBadRequest
	case len(body) > c.server.limits.Load().BodyBytes:
		return false, fasthttp.StatusRequestEntityTooLarge
	}
	if grown := len(body) - int(x.reserved); len(body) > smallBodyBytes && grown > 0 && !c.server.reserve(x, grown) {
		return false, fasthttp.StatusServiceUnavailable
	}
	return c.chunkDecoder.Done(), 0
}

// reject answers a request that cannot be read on and closes the connection
// once the caller had time to take the answer.
func (c *conn) reject(status int) {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + fasthttp.StatusMessage(status) +
		"\r\nConnection: close\r\nContent-Length: 0\r\n" + c.server.handler.RejectHeaders(status)
	_, _ = c.netConn.Write([]byte(head + "\r\n"))
	if c.closed {
		return
	}
	c.server.rejected.Add(1)
	c.dropPartial()
	c.closeAfterFlush = true
	c.setPhase(lingering, lingerTimeout)
	_, _ = c.netConn.Discard(-1)
	_ = syscall.Shutdown(c.netConn.Fd(), syscall.SHUT_WR)
}

// dropPartial forgets a request that was not received whole.
func (c *conn) dropPartial() {
	if c.exchange != nil && c.phase == readingBody {
		c.exchange.release()
		c.exchange = nil
	}
}

// responseWritten goes on after the answer of a request was passed to gnet.
func (c *conn) responseWritten() {
	x := c.exchange
	c.exchange = nil
	c.closeAfterFlush = x.closeConn || !x.complete
	aborted := !x.complete
	x.release()
	if c.closed {
		return
	}
	c.flushing.Store(c.netConn.OutboundBuffered() > 0 && !aborted)
	switch {
	case !c.closeAfterFlush:
		c.setPhase(idle, c.server.limits.Load().IdleTimeout)
		_ = c.onData()
	case c.flushing.Load():
		c.setPhase(lingering, c.server.limits.Load().WriteStallTimeout)
	default:
		c.setPhase(lingering, lingerTimeout)
		_ = c.netConn.Close()
	}
}

// Run implements gnet.Runnable: on the event loop, it acts on a passed deadline
// and on an answer that the caller has read at last.
func (c *conn) Run(context.Context) error {
	if c.closed {
		return nil
	}
	c.out.updateBuffered()
	if c.flushing.Load() && c.netConn.OutboundBuffered() == 0 {
		c.flushing.Store(false)
		if c.closeAfterFlush {
			return c.netConn.Close()
		}
	}
	if c.phase == idle && c.netConn.InboundBuffered() == 0 && c.server.drainExpired(c, time.Now().UnixNano()) {
		return c.netConn.Close()
	}
	if d := c.deadline.Load(); d == 0 || time.Now().UnixNano() < d {
		return nil
	}
	if c.phase == readingHead || c.phase == readingBody {
		c.reject(fasthttp.StatusRequestTimeout)
		return nil
	}
	return c.netConn.Close()
}

// onClose ends the request in progress; the connection is closed.
func (c *conn) onClose() {
	c.closed = true
	c.out.close()
	if c.exchange != nil && c.phase == serving {
		c.exchange.cancel() // its task releases it
		return
	}
	c.dropPartial()
}

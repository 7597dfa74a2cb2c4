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
	lingerTimeout  = time.Second // for the caller of a rejected request to read the response
	smallBodyBytes = 64 << 10    // a larger body is prechecked and its memory reserved before it is received
)

// phase is the state of a connection.
type phase int

const (
	idle        phase = iota // between requests
	readingHead              // part of a request head has arrived
	readingBody              // the head is complete, part of the body is missing
	serving                  // a task serves the request; further input stays buffered
	lingering                // no more requests are served; input is discarded until the connection closes
)

// conn is one connection of a caller. Only its event loop may use the fields,
// except for those marked "any goroutine" and out.
type conn struct {
	server          *Server
	netConn         gnet.Conn
	phase           phase
	scanned         int                   // bytes already searched for the end of the head
	exchange        *Exchange             // request being received or served
	bodyLeft        int                   // bytes of the body still to receive
	chunkDecoder    *framing.ChunkDecoder // nil unless the body is chunked
	closed          bool
	closeAfterFlush bool // close once the caller has read the response

	phaseStart atomic.Int64 // start of the phase in unix nanoseconds; any goroutine
	deadline   atomic.Int64 // unix nanoseconds; 0 for none; any goroutine
	active     atomic.Bool  // a request is being received or served; any goroutine
	flushing   atomic.Bool  // response bytes are left after the task ended; any goroutine
	out        writeQueue
}

func newConn(s *Server, netConn gnet.Conn) *conn {
	c := &conn{server: s, netConn: netConn}
	c.out.conn = c
	c.setPhase(idle, s.limits.Load().IdleTimeout)
	return c
}

// setPhase changes the phase and sets its deadline; a timeout of 0 means no deadline.
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

// onData processes received bytes according to the phase. A caller that pipelines
// more than Limits.PipelinedBytes while a request is served is disconnected.
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

// receiveHead reads a request head once it is complete. It reports whether the
// request was accepted; otherwise the head is incomplete or the request was
// rejected.
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

// headReaders pools the readers of parseHead.
var headReaders = sync.Pool{New: func() any { return &headReader{buf: bufio.NewReaderSize(nil, 4096)} }}

type headReader struct {
	src bytes.Reader
	buf *bufio.Reader
}

// parseHead decodes a complete request head. It returns 0, or the status to reject
// the request with.
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
		return fasthttp.StatusBadRequest // the head ends earlier for fasthttp, as at bare line feeds: request smuggling
	}
	return 0
}

// acceptHead checks the head of a request and prepares to receive its body. It
// returns 0, or the status to reject the request with.
func (c *conn) acceptHead(x *Exchange) int {
	head, err := framing.ParseHead(x.head)
	if err != nil || head.HostCount > 1 {
		return fasthttp.StatusBadRequest
	}
	c.chunkDecoder = nil
	if head.BodyLength == framing.Chunked {
		c.chunkDecoder = new(framing.ChunkDecoder)
	}
	length := max(head.BodyLength, 0)
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

// receiveBody appends received bytes to the body and starts the task of the request
// once the body is complete.
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

// readBody appends received bytes to the body. It reports whether the body is
// complete, and returns 0 or the status to reject the request with.
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

// readChunked is readBody for a chunked body. Its length isn't known in advance, so
// memory is reserved as bytes arrive.
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

// reject responds to a request that is not read to its end. It closes the connection
// after lingerTimeout, so that the caller has time to read the response.
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

// dropPartial releases a request whose body is incomplete.
func (c *conn) dropPartial() {
	if c.exchange != nil && c.phase == readingBody {
		c.exchange.release()
		c.exchange = nil
	}
}

// responseWritten runs after a task has ended and its response was passed to gnet. It
// starts the next request or closes the connection.
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
		c.setPhase(lingering, c.server.limits.Load().WriteTimeout)
	default:
		c.setPhase(lingering, lingerTimeout)
		_ = c.netConn.Close()
	}
}

// Run implements gnet.Runnable. The sweep schedules it on the event loop to handle
// expired deadlines, responses that the caller has finished reading, and idle
// connections that a drain closes.
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

// onClose cancels the request in progress after the connection was closed.
func (c *conn) onClose() {
	c.closed = true
	c.out.close()
	if c.exchange != nil && c.phase == serving {
		c.exchange.cancel() // its task releases it
		return
	}
	c.dropPartial()
}

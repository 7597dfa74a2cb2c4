package ingress

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"
)

// maxWriteBytes limits how many bytes of a large response are queued at once. While a
// caller reads slowly, at most this part is in memory twice: in the response and in
// the queue.
const maxWriteBytes = 64 << 10

// Exchange is one request and its response. It belongs to the task that serves the
// request. Request must not be used after the task has ended; its body may be.
type Exchange struct {
	Request *fasthttp.Request
	Arrived time.Time

	conn      *conn
	ctx       context.Context // ends when the caller disconnects or the deadline passes
	cancel    context.CancelFunc
	head      []byte // of the request, as received
	body      []byte
	reserved  int64 // bytes of memory reserved for a large body
	closeConn bool  // close the connection after this response
	complete  bool  // the whole response was queued
}

func newExchange(c *conn) *Exchange {
	ctx, cancel := context.WithCancel(context.Background())
	return &Exchange{Request: fasthttp.AcquireRequest(), Arrived: time.Now(), conn: c, ctx: ctx, cancel: cancel}
}

// Head returns the head of the request as it was received. It is valid until
// the task ends.
func (x *Exchange) Head() []byte { return x.head }

// Disconnected reports whether the connection to the caller is closed.
func (x *Exchange) Disconnected() bool { return x.conn.out.isClosed() }

// Complete reports whether the whole response was queued for the caller.
func (x *Exchange) Complete() bool { return x.complete }

// release cancels the context and frees the request and its reserved memory.
func (x *Exchange) release() {
	x.cancel()
	x.conn.server.reserved.Add(-x.reserved)
	x.conn.server.memory.Release(x.reserved)
	x.reserved = 0
	fasthttp.ReleaseRequest(x.Request)
	x.Request = nil
}

// setConnectionClose sets "Connection: close" if the caller asked for it or the server
// is draining.
func (x *Exchange) setConnectionClose(resp *fasthttp.Response) {
	x.closeConn = x.Request.Header.ConnectionClose() || x.conn.server.draining.Load()
	if x.closeConn {
		resp.SetConnectionClose()
	}
}

// WithDeadline returns a copy of ctx that ends at the deadline of the request. Writes
// to the caller use it too: they stop waiting for a slow reader at the deadline.
func (x *Exchange) WithDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	x.ctx = ctx
	return ctx, cancel
}

// Respond sends a complete response and releases it.
func (x *Exchange) Respond(resp *fasthttp.Response) error {
	defer fasthttp.ReleaseResponse(resp)
	x.setConnectionClose(resp)
	body := resp.Body()
	resp.Header.SetContentLength(len(body))
	if x.Request.Header.IsHead() {
		body = nil
	}
	buf := bytebufferpool.Get()
	defer bytebufferpool.Put(buf)
	buf.B = resp.Header.AppendBytes(buf.B[:0])
	if len(body) <= maxWriteBytes {
		buf.B = append(buf.B, body...)
		return x.writeLast(buf.B)
	}
	if err := x.write(buf.B); err != nil {
		return err
	}
	for ; len(body) > maxWriteBytes; body = body[maxWriteBytes:] {
		if err := x.write(body[:maxWriteBytes]); err != nil {
			return err
		}
	}
	return x.writeLast(body)
}

// StartStream sends the head of a streamed response and releases it.
func (x *Exchange) StartStream(resp *fasthttp.Response) error {
	defer fasthttp.ReleaseResponse(resp)
	x.setConnectionClose(resp)
	resp.Header.SetContentLength(-1)
	return x.write(resp.Header.Header())
}

// ChunkPrefixBytes is the space that WriteChunk needs before its data for the length
// of the chunk.
const ChunkPrefixBytes = 10

// WriteChunk sends one chunk of a streamed response. The data starts at
// ChunkPrefixBytes in buf; the bytes before it are overwritten.
func (x *Exchange) WriteChunk(buf []byte) error {
	var storage [ChunkPrefixBytes]byte
	prefix := strconv.AppendInt(storage[:0], int64(len(buf)-ChunkPrefixBytes), 16)
	prefix = append(prefix, "\r\n"...)
	start := ChunkPrefixBytes - len(prefix)
	copy(buf[start:], prefix)
	return x.write(append(buf, "\r\n"...)[start:])
}

// EndStream sends the last chunk of a streamed response.
func (x *Exchange) EndStream() error {
	return x.writeLast([]byte("0\r\n\r\n"))
}

func (x *Exchange) writeLast(data []byte) error {
	err := x.write(data)
	x.complete = err == nil
	return err
}

// write queues data for the connection's event loop. It waits while more than
// Limits.UnreadBytes are unread. It fails when the caller has disconnected, after
// Limits.WriteTimeout and at the deadline.
func (x *Exchange) write(data []byte) error {
	limits := x.conn.server.limits.Load()
	if err := x.conn.out.waitUnread(x.ctx, limits.UnreadBytes, limits.WriteTimeout); err != nil {
		return err
	}
	return errors.WithMessage(x.conn.out.enqueue(data), "write response")
}

// finish ends the response: the connection serves the next request or is closed. After
// an incomplete response the connection is closed without the end of the message, so
// that the caller can't mistake the response for a complete one.
func (x *Exchange) finish() { x.conn.out.finish(x) }

package ingress

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"
)

// maxWriteBytes is how much of a large answer is queued at once, so that a caller that
// reads slowly holds no more of it twice.
const maxWriteBytes = 64 << 10

// Exchange is one request and its answer. It belongs to the task that serves
// it, which must not keep Request beyond that; the body may be kept.
type Exchange struct {
	Request *fasthttp.Request
	Arrived time.Time

	conn      *conn
	ctx       context.Context // ends when the caller is gone or out of patience
	cancel    context.CancelFunc
	head      []byte // as received
	body      []byte
	reserved  int64 // bytes counted for a large body
	closeConn bool  // the connection ends with this answer
	complete  bool  // the answer was passed on to its end
}

func newExchange(c *conn) *Exchange {
	ctx, cancel := context.WithCancel(context.Background())
	return &Exchange{Request: fasthttp.AcquireRequest(), Arrived: time.Now(), conn: c, ctx: ctx, cancel: cancel}
}

// Head returns the head of the request as it was received. It is valid until
// the task ends.
func (x *Exchange) Head() []byte { return x.head }

// Disconnected tells whether the caller has closed the connection.
func (x *Exchange) Disconnected() bool { return x.conn.out.isClosed() }

// Complete tells whether the answer was passed on to its end.
func (x *Exchange) Complete() bool { return x.complete }

// release frees what the exchange holds.
func (x *Exchange) release() {
	x.cancel()
	x.conn.server.reserved.Add(-x.reserved)
	x.conn.server.memory.Give(x.reserved)
	x.reserved = 0
	fasthttp.ReleaseRequest(x.Request)
	x.Request = nil
}

// setConnectionClose tells the caller that the connection ends with this answer, if the
// caller asked for it or the daemon drains.
func (x *Exchange) setConnectionClose(resp *fasthttp.Response) {
	x.closeConn = x.Request.Header.ConnectionClose() || x.conn.server.draining.Load()
	if x.closeConn {
		resp.SetConnectionClose()
	}
}

// WithDeadline ends waits for the caller to read at the deadline of its call,
// as the returned context does for its upstream.
func (x *Exchange) WithDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	x.ctx = ctx
	return ctx, cancel
}

// Respond sends a whole response and releases it.
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

// StartStream sends the header of a streamed response and releases it.
func (x *Exchange) StartStream(resp *fasthttp.Response) error {
	defer fasthttp.ReleaseResponse(resp)
	x.setConnectionClose(resp)
	resp.Header.SetContentLength(-1)
	return x.write(resp.Header.Header())
}

// ChunkPrefixBytes is the room that WriteChunk needs before its data.
const ChunkPrefixBytes = 10

// WriteChunk sends a part of a streamed response. The data starts at
// ChunkHeadBytes in buf; the room before it is overwritten.
func (x *Exchange) WriteChunk(buf []byte) error {
	var storage [ChunkPrefixBytes]byte
	prefix := strconv.AppendInt(storage[:0], int64(len(buf)-ChunkPrefixBytes), 16)
	prefix = append(prefix, "\r\n"...)
	start := ChunkPrefixBytes - len(prefix)
	copy(buf[start:], prefix)
	return x.write(append(buf, "\r\n"...)[start:])
}

// EndStream sends the end of a streamed response.
func (x *Exchange) EndStream() error {
	return x.writeLast([]byte("0\r\n\r\n"))
}

func (x *Exchange) writeLast(data []byte) error {
	err := x.write(data)
	x.complete = err == nil
	return err
}

// write queues data on the connection's event loop. It waits while the caller
// reads too slowly, and fails when the caller is gone.
func (x *Exchange) write(data []byte) error {
	limits := x.conn.server.limits.Load()
	if err := x.conn.out.waitUnread(x.ctx, limits.UnreadBytes, limits.WriteStallTimeout); err != nil {
		return err
	}
	return errors.WithMessage(x.conn.out.enqueue(data), "entry")
}

// finish frees the connection for the next request, or closes it. An answer
// that is not whole is cut by closing the connection, never ended as if it were.
func (x *Exchange) finish() { x.conn.out.finish(x) }

package ingress

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"
)

// pieceBytes is how much of a large answer is queued at once, so that a caller that
// reads slowly holds no more of it twice.
const pieceBytes = 64 << 10

// Exchange is one request and its answer. It belongs to the task that serves
// it, which must not keep Request beyond that; the body may be kept.
type Exchange struct {
	Request *fasthttp.Request
	Arrived time.Time

	conn     *conn
	ctx      context.Context // ends when the caller is gone or out of patience
	cancel   context.CancelFunc
	head     []byte // as received
	body     []byte
	reserved int64 // bytes counted for a large body
	close    bool  // the connection ends with this answer
	whole    bool  // the answer was passed on to its end
}

func newExchange(c *conn) *Exchange {
	ctx, cancel := context.WithCancel(context.Background())
	return &Exchange{Request: fasthttp.AcquireRequest(), Arrived: time.Now(), conn: c, ctx: ctx, cancel: cancel}
}

// Head returns the head of the request as it was received. It is valid until
// the task ends.
func (x *Exchange) Head() []byte { return x.head }

// Gone tells whether the caller has closed the connection.
func (x *Exchange) Gone() bool { return x.conn.out.isGone() }

// Whole tells whether the answer was passed on to its end.
func (x *Exchange) Whole() bool { return x.whole }

// release frees what the exchange holds.
func (x *Exchange) release() {
	x.cancel()
	x.conn.server.reserved.Add(-x.reserved)
	x.conn.server.room.Release(x.reserved)
	x.reserved = 0
	fasthttp.ReleaseRequest(x.Request)
	x.Request = nil
}

// setClose tells the caller that the connection ends with this answer, if the
// caller asked for it or the daemon drains.
func (x *Exchange) setClose(resp *fasthttp.Response) {
	x.close = x.Request.Header.ConnectionClose() || x.conn.server.draining.Load()
	if x.close {
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
	x.setClose(resp)
	body := resp.Body()
	resp.Header.SetContentLength(len(body))
	if x.Request.Header.IsHead() {
		body = nil
	}
	buf := bytebufferpool.Get()
	defer bytebufferpool.Put(buf)
	buf.B = resp.Header.AppendBytes(buf.B[:0])
	if len(body) <= pieceBytes {
		buf.B = append(buf.B, body...)
		return x.writeLast(buf.B)
	}
	if err := x.write(buf.B); err != nil {
		return err
	}
	for ; len(body) > pieceBytes; body = body[pieceBytes:] {
		if err := x.write(body[:pieceBytes]); err != nil {
			return err
		}
	}
	return x.writeLast(body)
}

// StartStream sends the header of a streamed response and releases it.
func (x *Exchange) StartStream(resp *fasthttp.Response) error {
	defer fasthttp.ReleaseResponse(resp)
	x.setClose(resp)
	resp.Header.SetContentLength(-1)
	return x.write(resp.Header.Header())
}

// ChunkHeadBytes is the room that WriteChunk needs before its data.
const ChunkHeadBytes = 10

// WriteChunk sends a part of a streamed response. The data starts at
// ChunkHeadBytes in buf; the room before it is overwritten.
func (x *Exchange) WriteChunk(buf []byte) error {
	var head [ChunkHeadBytes]byte
	h := strconv.AppendInt(head[:0], int64(len(buf)-ChunkHeadBytes), 16)
	h = append(h, "\r\n"...)
	start := ChunkHeadBytes - len(h)
	copy(buf[start:], h)
	return x.write(append(buf, "\r\n"...)[start:])
}

// EndStream sends the end of a streamed response.
func (x *Exchange) EndStream() error {
	return x.writeLast([]byte("0\r\n\r\n"))
}

func (x *Exchange) writeLast(data []byte) error {
	err := x.write(data)
	x.whole = err == nil
	return err
}

// write queues data on the connection's event loop. It waits while the caller
// reads too slowly, and fails when the caller is gone.
func (x *Exchange) write(data []byte) error {
	limits := x.conn.server.limits.Load()
	if err := x.conn.out.wait(x.ctx, limits.OutboundBytes, limits.ReaderTimeout); err != nil {
		return err
	}
	return errors.WithMessage(x.conn.out.put(data), "entry")
}

// finish frees the connection for the next request, or closes it. An answer
// that is not whole is cut by closing the connection, never ended as if it were.
func (x *Exchange) finish() { x.conn.out.end(x) }

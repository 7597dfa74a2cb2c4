// Package upstream is an HTTP client for upstreams: it sends complete requests and
// streams the responses, over the pooled connections of package egress.
//
// Every error reports whether any byte of the request may have reached the upstream,
// because a call may be reported as not run only if none has.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/egress"
)

const (
	// maxConns bounds the connections to one address. It is far above the slots of an
	// upstream.
	maxConns = 4096
	// maxDrainBytes bounds how much of the rest of a response Drain reads to keep the
	// connection reusable.
	maxDrainBytes = 4096
	// noTimeout is the read timeout where only the context bounds the exchange.
	noTimeout = 24 * time.Hour
	// sweepInterval is the minimum time between two sweeps of idle connections.
	sweepInterval = time.Second
)

// Steps of an exchange, for Error.
const (
	StepEncode     = "encode"
	StepDial       = "dial"
	StepWrite      = "write"
	StepReadHeader = "read header"
	StepReadBody   = "read body"
)

// Error is the error of a failed exchange.
type Error struct {
	Address   string // of the upstream
	Step      string // StepEncode or another one
	MaybeSent bool   // a byte of the request may have reached the upstream
	Err       error

	Reused bool // the connection had carried an earlier exchange
}

// Error formats the step, the address and the cause.
func (e *Error) Error() string { return e.Step + " " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool sends requests over pooled connections. It is safe for concurrent use.
type Pool struct {
	conns     *egress.Pool
	lastSweep atomic.Int64 // Unix nanoseconds
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{conns: egress.NewPool()} }

// Close closes all idle connections.
func (p *Pool) Close() { p.conns.Close() }

// sweep closes connections whose idle timeout has passed, at most once per sweepInterval.
func (p *Pool) sweep(now time.Time) {
	last := p.lastSweep.Load()
	if now.UnixNano()-last > int64(sweepInterval) && p.lastSweep.CompareAndSwap(last, now.UnixNano()) {
		p.conns.Sweep()
	}
}

// Exchange is a request whose response is being read. It is not safe for concurrent use,
// except for Cancel.
type Exchange struct {
	Response     fasthttp.Response // the head only; Body returns the body
	conn         *egress.Conn
	address      string
	readDeadline time.Time // of the next reads; zero for none
	body         bodyReader
	finished     atomic.Bool // the connection was released or closed
}

// Options are optional settings of StartWith.
type Options struct {
	NewConn      bool      // dial even if a connection is idle
	HeadDeadline time.Time // for the head of the response; zero for none
}

// Start calls StartWith without a deadline for the head.
func (p *Pool) Start(ctx context.Context, address string, req *fasthttp.Request, newConn bool) (*Exchange, error) {
	return p.StartWith(ctx, address, req, Options{NewConn: newConn})
}

// StartWith sends req to address and reads the head of the response. It dials if no
// connection is idle. When ctx ends, the connection is closed and reads of the body
// fail. The error is always an *Error.
func (p *Pool) StartWith(ctx context.Context, address string, req *fasthttp.Request, o Options) (*Exchange, error) {
	p.sweep(time.Now())
	wire, err := encode(req)
	if err != nil {
		return nil, &Error{Address: address, Step: StepEncode, Err: err}
	}
	conn, err := p.getConn(ctx, address, o.NewConn)
	if err != nil {
		return nil, &Error{Address: address, Step: StepDial, Err: err}
	}
	if err := ctx.Err(); err != nil {
		conn.Close()
		return nil, &Error{Address: address, Step: StepDial, Err: err}
	}
	x := &Exchange{conn: conn, address: address, readDeadline: o.HeadDeadline}
	x.body.x = x
	if err := conn.Start(ctx, wire, nil); err != nil {
		return nil, x.abort(StepWrite, err)
	}
	if err := conn.ReadHead(&x.Response.Header, x.readTimeout()); err != nil {
		return nil, x.abort(StepReadHeader, err)
	}
	if req.Header.IsHead() {
		conn.ExpectNoBody()
	}
	return x, nil
}

// getConn returns an idle or a new connection to address.
func (p *Pool) getConn(ctx context.Context, address string, newConn bool) (*egress.Conn, error) {
	if newConn {
		return p.conns.Dial(ctx, address, maxConns)
	}
	return p.conns.Get(ctx, address, maxConns)
}

// encode returns the wire form of a request.
func encode(req *fasthttp.Request) ([]byte, error) {
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	if err := req.Write(w); err != nil {
		return nil, err
	}
	err := w.Flush()
	return b.Bytes(), err
}

// readTimeout returns how long the next read may take.
func (x *Exchange) readTimeout() time.Duration {
	if x.readDeadline.IsZero() {
		return noTimeout
	}
	return time.Until(x.readDeadline)
}

// abort closes the connection and returns err as an *Error.
func (x *Exchange) abort(step string, err error) error {
	x.Cancel()
	return x.newError(step, err)
}

// newError wraps err in an *Error. Timeouts become os.ErrDeadlineExceeded.
func (x *Exchange) newError(step string, err error) error {
	if errors.Is(err, egress.ErrTimeout) {
		err = os.ErrDeadlineExceeded
	}
	return &Error{Address: x.address, Step: step, MaybeSent: true, Err: err, Reused: x.conn.Reused()}
}

// SetReadDeadline sets the time at which reads of the body time out; the zero time means
// never. It affects reads that start afterwards, and only the reading goroutine may call it.
func (x *Exchange) SetReadDeadline(t time.Time) { x.readDeadline = t }

// Reused reports whether the connection had carried an earlier exchange.
func (x *Exchange) Reused() bool { return x.conn.Reused() }

// Body returns a reader of the response's body.
func (x *Exchange) Body() io.Reader { return &x.body }

// bodyReader reads the body of a response as it arrives.
type bodyReader struct {
	x      *Exchange
	buf    []byte // the bytes received last
	unread []byte // the part of buf not returned by Read yet
	err    error  // returned once unread is empty; io.EOF at the end of the body
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if len(b.unread) == 0 && b.err == nil {
		b.buf, b.err = b.x.conn.ReadBody(b.buf[:0], b.x.readTimeout())
		b.unread = b.buf
		if errors.Is(b.err, egress.ErrTimeout) {
			b.err = os.ErrDeadlineExceeded
		}
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	if n == 0 && len(p) > 0 {
		return 0, b.err
	}
	return n, nil
}

// ReadAll reads the rest of the body and releases the connection. It returns an error if
// the body exceeds limit bytes.
func (x *Exchange) ReadAll(limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(x.Body(), int64(limit)+1))
	if err == nil && len(data) > limit {
		err = errors.Errorf("response body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, x.abort(StepReadBody, err)
	}
	x.Finish()
	return data, nil
}

// Finish releases the connection: to the pool if the body was read to its end, otherwise
// it is closed.
func (x *Exchange) Finish() {
	if !x.finished.Swap(true) {
		x.conn.Release()
	}
}

// Drain discards the rest of a body that the caller needs no more of, and releases the
// connection. The connection is closed if the end of the body does not arrive within
// timeout.
func (x *Exchange) Drain(timeout time.Duration) {
	x.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(x.Body(), maxDrainBytes)) // Finish closes the connection if this failed
	x.Finish()
}

// Cancel closes the connection, which signals to the upstream that the response is no
// longer needed. It has no effect after Finish, ReadAll or Drain.
func (x *Exchange) Cancel() {
	if !x.finished.Swap(true) {
		x.conn.Close()
	}
}

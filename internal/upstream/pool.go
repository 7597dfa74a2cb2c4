// Package upstream carries whole requests to upstreams and streams their answers,
// over the connections of package egress.
//
// Every error tells whether a byte of the request can have reached the
// upstream, on which the outcome of a call depends.
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
	// maxConns bounds the connections to one address, far above the slots of an
	// upstream.
	maxConns = 4096
	// maxDrainBytes are read of what is left of an answer, to keep its connection.
	maxDrainBytes = 4096
	// noTimeout is the patience with an answer whose end only the context bounds.
	noTimeout = 24 * time.Hour
	// sweepInterval is the time between two looks for connections that were idle for
	// too long.
	sweepInterval = time.Second
)

// Error is a failed exchange.
type Error struct {
	Address   string // address of the upstream
	Step      string // dial, write, read header, read body
	MaybeSent bool   // whether a byte of the request can have reached the upstream
	Err       error

	Reused bool // the connection had been used before
}

// Error formats peer, step and cause.
func (e *Error) Error() string { return e.Step + " " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool keeps idle connections for each address. Its methods may be called from
// any goroutine.
type Pool struct {
	conns     *egress.Pool
	lastSweep atomic.Int64 // unix nanoseconds
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{conns: egress.NewPool()} }

// Close closes all idle connections.
func (p *Pool) Close() { p.conns.Close() }

// sweep closes connections that were idle for too long, from time to time.
func (p *Pool) sweep(now time.Time) {
	last := p.lastSweep.Load()
	if now.UnixNano()-last > int64(sweepInterval) && p.lastSweep.CompareAndSwap(last, now.UnixNano()) {
		p.conns.Sweep()
	}
}

// Exchange is one request in progress. It belongs to one goroutine, but Cancel
// may be called from any.
type Exchange struct {
	Response     fasthttp.Response // its header; the body is Body
	conn         *egress.Conn
	address      string
	readDeadline time.Time // by when the next read must have ended; zero for no bound
	body         bodyReader
	finished     atomic.Bool // the connection was given back or closed
}

// Options change how an exchange is started.
type Options struct {
	NewConn        bool      // dial, even if a connection is idle
	HeaderDeadline time.Time // by when the header of the response must have come; zero for no bound
}

// Start is StartWith with a fresh connection or any, and no bound.
func (p *Pool) Start(ctx context.Context, address string, req *fasthttp.Request, fresh bool) (*Exchange, error) {
	return p.StartWith(ctx, address, req, Options{NewConn: fresh})
}

// StartWith sends req to address and reads the header of the response. A
// connection is dialled if none is idle. When ctx ends, the connection is
// closed, which also ends reads of the body. The error is always an *Error.
func (p *Pool) StartWith(ctx context.Context, address string, req *fasthttp.Request, o Options) (*Exchange, error) {
	p.sweep(time.Now())
	wire, err := encode(req)
	if err != nil {
		return nil, &Error{Address: address, Step: "encode", Err: err}
	}
	conn, err := p.getConn(ctx, address, o.NewConn)
	if err != nil {
		return nil, &Error{Address: address, Step: "dial", Err: err}
	}
	if err := ctx.Err(); err != nil {
		conn.Close()
		return nil, &Error{Address: address, Step: "dial", Err: err}
	}
	x := &Exchange{conn: conn, address: address, readDeadline: o.HeaderDeadline}
	x.body.x = x
	if err := conn.Start(ctx, wire, nil); err != nil {
		return nil, x.abort("write", err)
	}
	if err := conn.ReadHead(&x.Response.Header, x.readTimeout()); err != nil {
		return nil, x.abort("read header", err)
	}
	if req.Header.IsHead() {
		conn.ExpectNoBody()
	}
	return x, nil
}

func (p *Pool) getConn(ctx context.Context, address string, fresh bool) (*egress.Conn, error) {
	if fresh {
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

// readTimeout is how long the next read may take.
func (x *Exchange) readTimeout() time.Duration {
	if x.readDeadline.IsZero() {
		return noTimeout
	}
	return time.Until(x.readDeadline)
}

// abort closes the connection and returns why.
func (x *Exchange) abort(step string, err error) error {
	x.Cancel()
	return x.newError(step, err)
}

func (x *Exchange) newError(step string, err error) error {
	if errors.Is(err, egress.ErrTimeout) {
		err = os.ErrDeadlineExceeded
	}
	return &Error{Address: x.address, Step: step, MaybeSent: true, Err: err, Reused: x.conn.Reused()}
}

// SetReadDeadline makes reads fail that have not ended at t. The zero time lifts the
// bound. Only the goroutine that reads may call it.
func (x *Exchange) SetReadDeadline(t time.Time) { x.readDeadline = t }

// Reused tells whether the connection had been used before.
func (x *Exchange) Reused() bool { return x.conn.Reused() }

// Body returns the body of the response as a stream.
func (x *Exchange) Body() io.Reader { return &x.body }

// bodyReader reads the body of an answer as it comes.
type bodyReader struct {
	x      *Exchange
	buf    []byte // received, not read yet
	unread []byte // the unread part of got
	err    error
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

// ReadAll reads the rest of the body, at most limit bytes, and frees the
// connection for the next request.
func (x *Exchange) ReadAll(limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(x.Body(), int64(limit)+1))
	if err == nil && len(data) > limit {
		err = errors.Errorf("body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, x.abort("read body", err)
	}
	x.Finish()
	return data, nil
}

// Finish returns the connection to the pool if the body was read to its end, and
// closes it otherwise.
func (x *Exchange) Finish() {
	if !x.finished.Swap(true) {
		x.conn.Release()
	}
}

// Drain reads what is left of a body that has ended for its reader, and frees
// the connection. It closes the connection if the end does not come within
// patience.
func (x *Exchange) Drain(patience time.Duration) {
	x.SetReadDeadline(time.Now().Add(patience))
	_, _ = io.Copy(io.Discard, io.LimitReader(x.Body(), maxDrainBytes)) // Finish closes what did not end
	x.Finish()
}

// Cancel closes the connection, by which the upstream learns that the answer
// is no longer wanted. After Finish it does nothing.
func (x *Exchange) Cancel() {
	if !x.finished.Swap(true) {
		x.conn.Close()
	}
}

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
	// maxOpen bounds the connections to one address, far above the slots of an
	// upstream.
	maxOpen = 4096
	// maxDrainBytes are read of what is left of an answer, to keep its connection.
	maxDrainBytes = 4096
	// noBound is the patience with an answer whose end only the context bounds.
	noBound = 24 * time.Hour
	// sweepEvery is the time between two looks for connections that were idle for
	// too long.
	sweepEvery = time.Second
)

// Error is a failed exchange.
type Error struct {
	Peer string // address of the upstream
	Step string // dial, write, read header, read body
	Sent bool   // whether a byte of the request can have reached the upstream
	Err  error

	Reused bool // the connection had been used before
}

// Error formats peer, step and cause.
func (e *Error) Error() string { return e.Step + " " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool keeps idle connections for each address. Its methods may be called from
// any goroutine.
type Pool struct {
	conns *egress.Pool
	swept atomic.Int64 // unix nanoseconds
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{conns: egress.NewPool()} }

// Close closes all idle connections.
func (p *Pool) Close() { p.conns.Close() }

// sweep closes connections that were idle for too long, from time to time.
func (p *Pool) sweep(now time.Time) {
	last := p.swept.Load()
	if now.UnixNano()-last > int64(sweepEvery) && p.swept.CompareAndSwap(last, now.UnixNano()) {
		p.conns.Sweep()
	}
}

// Exchange is one request in progress. It belongs to one goroutine, but Cancel
// may be called from any.
type Exchange struct {
	Response fasthttp.Response // its header; the body is Body
	conn     *egress.Conn
	address  string
	by       time.Time // by when the next read must have ended; zero for no bound
	body     body
	over     atomic.Bool // the connection was given back or closed
}

// Options change how an exchange is started.
type Options struct {
	Fresh    bool      // dial, even if a connection is idle
	HeaderBy time.Time // by when the header of the response must have come; zero for no bound
}

// Start is StartWith with a fresh connection or any, and no bound.
func (p *Pool) Start(ctx context.Context, address string, req *fasthttp.Request, fresh bool) (*Exchange, error) {
	return p.StartWith(ctx, address, req, Options{Fresh: fresh})
}

// StartWith sends req to address and reads the header of the response. A
// connection is dialled if none is idle. When ctx ends, the connection is
// closed, which also ends reads of the body. The error is always an *Error.
func (p *Pool) StartWith(ctx context.Context, address string, req *fasthttp.Request, o Options) (*Exchange, error) {
	p.sweep(time.Now())
	wire, err := encode(req)
	if err != nil {
		return nil, &Error{Peer: address, Step: "encode", Err: err}
	}
	conn, err := p.get(ctx, address, o.Fresh)
	if err != nil {
		return nil, &Error{Peer: address, Step: "dial", Err: err}
	}
	if err := ctx.Err(); err != nil {
		conn.Close()
		return nil, &Error{Peer: address, Step: "dial", Err: err}
	}
	x := &Exchange{conn: conn, address: address, by: o.HeaderBy}
	x.body.x = x
	if err := conn.Start(ctx, wire, nil); err != nil {
		return nil, x.give("write", err)
	}
	if err := conn.Head(&x.Response.Header, x.patience()); err != nil {
		return nil, x.give("read header", err)
	}
	if req.Header.IsHead() {
		conn.NoBody()
	}
	return x, nil
}

func (p *Pool) get(ctx context.Context, address string, fresh bool) (*egress.Conn, error) {
	if fresh {
		return p.conns.Dial(ctx, address, maxOpen)
	}
	return p.conns.Get(ctx, address, maxOpen)
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

// patience is how long the next read may take.
func (x *Exchange) patience() time.Duration {
	if x.by.IsZero() {
		return noBound
	}
	return time.Until(x.by)
}

// give closes the connection and returns why.
func (x *Exchange) give(step string, err error) error {
	x.Cancel()
	return x.fail(step, err)
}

func (x *Exchange) fail(step string, err error) error {
	if errors.Is(err, egress.ErrPatience) {
		err = os.ErrDeadlineExceeded
	}
	return &Error{Peer: x.address, Step: step, Sent: true, Err: err, Reused: x.conn.Reused()}
}

// ExpectBy makes reads fail that have not ended at t. The zero time lifts the
// bound. Only the goroutine that reads may call it.
func (x *Exchange) ExpectBy(t time.Time) { x.by = t }

// Reused tells whether the connection had been used before.
func (x *Exchange) Reused() bool { return x.conn.Reused() }

// Body returns the body of the response as a stream.
func (x *Exchange) Body() io.Reader { return &x.body }

// body reads the body of an answer as it comes.
type body struct {
	x    *Exchange
	got  []byte // received, not read yet
	left []byte // the unread part of got
	end  error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if len(b.left) == 0 && b.end == nil {
		b.got, b.end = b.x.conn.Next(b.got[:0], b.x.patience())
		b.left = b.got
		if errors.Is(b.end, egress.ErrPatience) {
			b.end = os.ErrDeadlineExceeded
		}
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	if n == 0 && len(p) > 0 {
		return 0, b.end
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
		return nil, x.give("read body", err)
	}
	x.Finish()
	return data, nil
}

// Finish returns the connection to the pool if the body was read to its end, and
// closes it otherwise.
func (x *Exchange) Finish() {
	if !x.over.Swap(true) {
		x.conn.Release()
	}
}

// Drain reads what is left of a body that has ended for its reader, and frees
// the connection. It closes the connection if the end does not come within
// patience.
func (x *Exchange) Drain(patience time.Duration) {
	x.ExpectBy(time.Now().Add(patience))
	_, _ = io.Copy(io.Discard, io.LimitReader(x.Body(), maxDrainBytes)) // Finish closes what did not end
	x.Finish()
}

// Cancel closes the connection, by which the upstream learns that the answer
// is no longer wanted. After Finish it does nothing.
func (x *Exchange) Cancel() {
	if !x.over.Swap(true) {
		x.conn.Close()
	}
}

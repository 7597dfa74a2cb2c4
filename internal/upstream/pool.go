// Package upstream carries single HTTP/1.1 exchanges to upstreams over a pool
// of idle connections.
//
// Every error tells whether a byte of the request can have reached the
// upstream, on which the outcome of a call depends.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	dialTimeout     = time.Second
	idleLimit       = 10 * time.Second // an older idle connection may have gone silent
	maxIdlePerPeer  = 256
	readBufferBytes = 4096
	maxDrainBytes   = 4096 // that are read to keep a connection
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
	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	since  time.Time // idle since
	reused bool
	readBy time.Time // read deadline in force; zero for none
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn)}
}

// Exchange is one request in progress. It belongs to one goroutine, but Cancel
// may be called from any.
type Exchange struct {
	Response fasthttp.Response
	pool     *Pool
	conn     *conn
	address  string
	stop     func() bool
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
	c, err := p.take(ctx, address, o.Fresh)
	if err != nil {
		return nil, &Error{Peer: address, Step: "dial", Err: err}
	}
	if err := ctx.Err(); err != nil {
		c.Close()
		return nil, &Error{Peer: address, Step: "dial", Err: err}
	}
	x := &Exchange{pool: p, conn: c, address: address}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	x.ExpectBy(o.HeaderBy)
	if err := x.send(req); err != nil {
		x.Cancel()
		return nil, err
	}
	return x, nil
}

func (x *Exchange) send(req *fasthttp.Request) error {
	err := req.Write(x.conn.w)
	if err == nil {
		err = x.conn.w.Flush()
	}
	if err != nil {
		return x.fail("write", err)
	}
	x.Response.StreamBody = true
	x.Response.SkipBody = req.Header.IsHead()
	if err := x.Response.ReadLimitBody(x.conn.r, 0); err != nil {
		return x.fail("read header", err)
	}
	return nil
}

func (x *Exchange) fail(step string, err error) error {
	return &Error{Peer: x.address, Step: step, Sent: true, Err: err, Reused: x.conn.reused}
}

// ExpectBy makes reads fail that have not ended at t. The zero time lifts the
// bound. Only the goroutine that reads may call it.
func (x *Exchange) ExpectBy(t time.Time) {
	if t.Equal(x.conn.readBy) {
		return
	}
	x.conn.readBy = t
	_ = x.conn.SetReadDeadline(t)
}

// Reused tells whether the connection had been used before.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Body returns the body of the response as a stream.
func (x *Exchange) Body() io.Reader {
	if body := x.Response.BodyStream(); body != nil {
		return body
	}
	return strings.NewReader("") // a response that has no body by its status or method
}

// ReadAll reads the rest of the body, at most limit bytes, and frees the
// connection for the next request.
func (x *Exchange) ReadAll(limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x.Body(), int64(limit)+1))
	if err == nil && len(body) > limit {
		err = errors.Errorf("body exceeds %d bytes", limit)
	}
	if err != nil {
		x.Cancel()
		return nil, x.fail("read body", err)
	}
	x.Finish()
	return body, nil
}

// Finish returns the connection to the pool. The body must have been read.
func (x *Exchange) Finish() {
	closing := x.Response.ConnectionClose()
	if !x.stop() || closing || x.conn.r.Buffered() > 0 {
		x.conn.Close()
		return
	}
	x.ExpectBy(time.Time{})
	x.pool.put(x.address, x.conn)
}

// Drain reads what is left of a body that has ended for its reader, and frees
// the connection. It closes the connection if the end does not come within
// patience.
func (x *Exchange) Drain(patience time.Duration) {
	x.ExpectBy(time.Now().Add(patience))
	n, err := io.Copy(io.Discard, io.LimitReader(x.Body(), maxDrainBytes))
	if err != nil || n == maxDrainBytes {
		x.Cancel()
		return
	}
	x.Finish()
}

// Cancel closes the connection, by which the upstream learns that the answer
// is no longer wanted.
func (x *Exchange) Cancel() {
	x.stop()
	x.conn.Close()
}

func (p *Pool) take(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(address, time.Now()); c != nil {
			return c, nil
		}
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBufferBytes), w: bufio.NewWriter(nc)}, nil
}

func (p *Pool) takeIdle(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if now.Sub(c.since) < idleLimit {
			c.reused = true
			return c
		}
		c.Close()
	}
	return nil
}

func (p *Pool) put(address string, c *conn) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerPeer {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, address)
	}
}

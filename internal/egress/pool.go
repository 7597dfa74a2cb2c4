// Package egress performs HTTP/1.1 exchanges (one request and its response) with
// upstreams over pooled connections. It does not interpret bodies, and checks the
// framing of a response before it returns any byte of it.
package egress

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/netopt"
)

const (
	// dialTimeout bounds a TCP connect: some tens of round trips between zones.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout closes a connection whose sent bytes stay unacknowledged (TCP_USER_TIMEOUT).
	ackTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of connections to upstreams that announce
	// none (Keep-Alive: timeout=N).
	defaultIdleTimeout = 5 * time.Second
	// idleMargin is how much earlier than the announced timeout the pool closes an idle
	// connection.
	idleMargin = time.Second
	// minIdleTimeout is the lower bound of idle timeouts; with a shorter one, keeping the
	// connection would not pay.
	minIdleTimeout = 300 * time.Millisecond
)

// ErrConnLimit means that the limit of open connections to an upstream is reached.
var ErrConnLimit = errors.New("connection limit of the upstream is reached")

// Pool holds the connections to all upstreams, by address. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint // by address
	dials     int64                // dial attempts so far
}

// endpoint counts the connections to one address.
type endpoint struct {
	open int     // idle, in use and being dialled
	idle []*Conn // the most recently used one last
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{endpoints: make(map[string]*endpoint)} }

// Get returns an idle connection to address, or dials a new one. It fails with ErrConnLimit
// if none is idle and maxConns, or more, are open. The caller must call Release or Close
// on the connection.
func (p *Pool) Get(ctx context.Context, address string, maxConns int) (*Conn, error) {
	if c := p.takeIdle(address); c != nil {
		c.reused = true
		return c, nil
	}
	return p.Dial(ctx, address, maxConns)
}

// Dial returns a new connection to address. It fails with ErrConnLimit if maxConns, or more,
// are open.
func (p *Pool) Dial(ctx context.Context, address string, maxConns int) (*Conn, error) {
	if !p.reserveSlot(address, maxConns) {
		return nil, errors.Wrapf(ErrConnLimit, "dial %s", address)
	}
	nc, err := netopt.Dial(ctx, address, dialTimeout, ackTimeout)
	if err != nil {
		p.freeSlot(address)
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return &Conn{pool: p, address: address, nc: nc}, nil
}

// reserveSlot counts a connection about to be dialled. It reports false if the limit is
// reached.
func (p *Pool) reserveSlot(address string, maxConns int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[address]
	if e == nil {
		e = &endpoint{}
		p.endpoints[address] = e
	}
	if e.open >= max(maxConns, 1) {
		return false
	}
	e.open++
	p.dials++
	return true
}

// freeSlot uncounts a connection that was closed or could not be dialled.
func (p *Pool) freeSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[address]
	if e.open--; e.open == 0 {
		delete(p.endpoints, address)
	}
}

// takeIdle removes and returns the most recently used idle connection that is still
// usable, nil if there is none. It closes those that are not.
func (p *Pool) takeIdle(address string) *Conn {
	for {
		p.mu.Lock()
		e := p.endpoints[address]
		if e == nil || len(e.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		p.mu.Unlock()
		if time.Now().Before(c.idleDeadline) && netopt.Alive(c.nc) {
			return c
		}
		c.Close()
	}
}

// put adds a connection to the idle ones.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[c.address]
	e.idle = append(e.idle, c)
}

// Sweep closes connections whose idle timeout has passed. Call it about once a second.
func (p *Pool) Sweep() {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for _, e := range p.endpoints {
		n := 0
		for _, c := range e.idle {
			if now.Before(c.idleDeadline) {
				e.idle[n] = c
				n++
			} else {
				expired = append(expired, c)
			}
		}
		e.idle = e.idle[:n]
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	var conns []*Conn
	for _, e := range p.endpoints {
		conns = append(conns, e.idle...)
		e.idle = nil
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Stats returns the number of open connections and of dial attempts so far.
func (p *Pool) Stats() (open int, dials int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		open += e.open
	}
	return open, p.dials
}

// isTimeout reports whether a read failed because its deadline passed. net.Error also calls
// ETIMEDOUT a timeout, with which the kernel gives a connection up.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Package egress carries single HTTP/1.1 exchanges to upstreams over kept
// connections. Bodies are opaque and framing is checked before any byte of an
// answer is passed on.
package egress

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/netopt"
)

const (
	// dialTimeout bounds a connect: some tens of round trips between zones.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout ends a connection whose bytes are not acknowledged.
	ackTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept of an upstream that does not
	// say how long it keeps its side.
	defaultIdleTimeout = 5 * time.Second
	// idleMargin is how much earlier than the upstream this side closes.
	idleMargin = time.Second
	// minIdleTimeout is the least time for which keeping a connection is worth it.
	minIdleTimeout = 300 * time.Millisecond
)

// ErrConnLimit says that as many connections to an upstream are open as allowed.
var ErrConnLimit = errors.New("connections to the upstream are used up")

// Pool keeps connections by address. Its methods may be called from any
// goroutine.
type Pool struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	dials     int64
}

// endpoint is what is open to one address.
type endpoint struct {
	open int
	idle []*Conn
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{endpoints: make(map[string]*endpoint)} }

// Get returns a connection on which nothing is under way. It dials where none
// is idle and fewer than most are open.
func (p *Pool) Get(ctx context.Context, address string, most int) (*Conn, error) {
	if c := p.takeIdle(address); c != nil {
		c.reused = true
		return c, nil
	}
	return p.Dial(ctx, address, most)
}

// Dial returns a new connection where fewer than most are open.
func (p *Pool) Dial(ctx context.Context, address string, most int) (*Conn, error) {
	if !p.reserveSlot(address, most) {
		return nil, errors.Wrapf(ErrConnLimit, "dial %s", address)
	}
	nc, err := netopt.Dial(ctx, address, dialTimeout, ackTimeout)
	if err != nil {
		p.freeSlot(address)
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return &Conn{pool: p, address: address, nc: nc}, nil
}

func (p *Pool) reserveSlot(address string, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe := p.endpoints[address]
	if pe == nil {
		pe = &endpoint{}
		p.endpoints[address] = pe
	}
	if pe.open >= max(most, 1) {
		return false
	}
	pe.open++
	p.dials++
	return true
}

func (p *Pool) freeSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe := p.endpoints[address]
	if pe.open--; pe.open == 0 {
		delete(p.endpoints, address)
	}
}

// takeIdle returns the connection that was used last, if it is still sound.
func (p *Pool) takeIdle(address string) *Conn {
	for {
		p.mu.Lock()
		pe := p.endpoints[address]
		if pe == nil || len(pe.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := pe.idle[len(pe.idle)-1]
		pe.idle = pe.idle[:len(pe.idle)-1]
		p.mu.Unlock()
		if time.Now().Before(c.idleDeadline) && netopt.Alive(c.nc) {
			return c
		}
		c.Close()
	}
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pe := p.endpoints[c.address]
	pe.idle = append(pe.idle, c)
}

// Sweep closes connections that were idle for too long. It is to be called
// about once a second.
func (p *Pool) Sweep() {
	now := time.Now()
	var old []*Conn
	p.mu.Lock()
	for _, pe := range p.endpoints {
		n := 0
		for _, c := range pe.idle {
			if now.Before(c.idleDeadline) {
				pe.idle[n] = c
				n++
			} else {
				old = append(old, c)
			}
		}
		pe.idle = pe.idle[:n]
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	var all []*Conn
	for _, pe := range p.endpoints {
		all = append(all, pe.idle...)
		pe.idle = nil
	}
	p.mu.Unlock()
	for _, c := range all {
		c.Close()
	}
}

// Stats returns how many connections are open and how many were dialled.
func (p *Pool) Stats() (open int, dials int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pe := range p.endpoints {
		open += pe.open
	}
	return open, p.dials
}

// isTimeout tells whether a read failed because its deadline passed.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

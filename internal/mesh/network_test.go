package mesh

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// netLatency is the time that a byte takes one way, beside the links' rates.
	netLatency = 500 * time.Microsecond
	// netWindow is the number of bytes of one connection that may be on their way or unread.
	netWindow = 128 << 10
	// netSegment is the number of bytes that a link carries at a time.
	netSegment = 1448
	// bytesPerMbit is the number of bytes per second at 1 Mbit/s.
	bytesPerMbit = 125_000
)

// network connects daemons over links of limited rates, on the clock of a synctest bubble.
type network struct {
	mu        sync.Mutex
	hosts     map[string]*host
	listeners map[string]*memListener
	// silentFrom makes nothing arrive on the connections from one host to another from the
	// nth one on; 0 for none.
	silentFrom int
	dialed     map[[2]*host][]*pipe // answers on the connections from one host to another
}

// host is a VM with a link.
type host struct {
	address  string
	up, down queue
}

// queue is one direction of a link: first in, first out.
type queue struct {
	rate   float64 // bytes per second
	freeAt time.Time
}

func newNetwork() *network {
	return &network{hosts: make(map[string]*host), listeners: make(map[string]*memListener), dialed: make(map[[2]*host][]*pipe)}
}

func (n *network) addHost(address string, mbit float64) *host {
	h := &host{address: address, up: queue{rate: mbit * bytesPerMbit}, down: queue{rate: mbit * bytesPerMbit}}
	n.hosts[address] = h
	return h
}

// carry returns when bytes that enter the queue at a time have left it.
func (q *queue) carry(size int, at time.Time) time.Time {
	if q.freeAt.Before(at) {
		q.freeAt = at
	}
	q.freeAt = q.freeAt.Add(time.Duration(float64(size) / q.rate * float64(time.Second)))
	return q.freeAt
}

// dial returns the function with which a host connects to others.
func (n *network) dial(from *host) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l, to := n.listeners[address], n.hosts[address]
		n.mu.Unlock()
		time.Sleep(2 * netLatency)
		if l == nil {
			return nil, errors.Errorf("no listener at %s", address)
		}
		there, back := newPipe(n, from, to), newPipe(n, to, from)
		n.mu.Lock()
		pair := [2]*host{from, to}
		n.dialed[pair] = append(n.dialed[pair], back)
		back.silent = n.silentFrom > 0 && len(n.dialed[pair]) >= n.silentFrom
		n.mu.Unlock()
		select {
		case l.conns <- &memConn{in: there, out: back}:
			return &memConn{in: back, out: there}, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		return nil, errors.Errorf("listener at %s is closed", address)
	}
}

// silence makes nothing arrive any more on the connections from one host to another from the
// nth one on.
func (n *network) silence(nth int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silentFrom = nth
	for _, pipes := range n.dialed {
		for _, p := range pipes[min(nth-1, len(pipes)):] {
			p.mu.Lock()
			p.silent = true
			p.mu.Unlock()
		}
	}
}

// listen returns the function with which a host accepts connections.
func (n *network) listen() func(ctx context.Context, address string) (net.Listener, error) {
	return func(_ context.Context, address string) (net.Listener, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		l := &memListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
		n.listeners[address] = l
		return l, nil
	}
}

// memListener accepts connections of the network.
type memListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

// segment is a part of what was written, and when it arrives.
type segment struct {
	data []byte
	at   time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	net      *network
	from, to *host
	silent   bool // nothing arrives

	mu       sync.Mutex
	segments []segment
	unread   int
	closed   bool
	changed  chan struct{} // closed at each change of the fields above
}

func newPipe(n *network, from, to *host) *pipe {
	return &pipe{net: n, from: from, to: to, changed: make(chan struct{})}
}

// notify wakes those that wait for a change. The caller holds mu.
func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) write(b []byte) (n int, err error) {
	for n < len(b) {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return n, io.ErrClosedPipe
		}
		if p.unread >= netWindow {
			changed := p.changed
			p.mu.Unlock()
			<-changed
			continue
		}
		size := min(len(b)-n, netSegment)
		p.net.mu.Lock()
		at := p.to.down.carry(size, p.from.up.carry(size, time.Now())).Add(netLatency)
		p.net.mu.Unlock()
		if p.silent {
			at = at.Add(time.Hour)
		}
		p.segments = append(p.segments, segment{append([]byte(nil), b[n:n+size]...), at})
		p.unread += size
		n += size
		p.notify()
		p.mu.Unlock()
	}
	return n, nil
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		var arrival <-chan time.Time
		if len(p.segments) > 0 {
			first := &p.segments[0]
			wait := time.Until(first.at)
			if wait <= 0 {
				n := copy(b, first.data)
				if first.data = first.data[n:]; len(first.data) == 0 {
					p.segments = p.segments[1:]
				}
				p.unread -= n
				p.notify()
				p.mu.Unlock()
				return n, nil
			}
			arrival = time.After(wait)
		}
		if p.closed {
			p.mu.Unlock()
			return 0, io.EOF
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-arrival:
		case <-changed:
		}
	}
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed, p.segments = true, nil
		p.notify()
	}
}

// memConn is one end of a connection.
type memConn struct{ in, out *pipe }

func (c *memConn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *memConn) Write(b []byte) (int, error) { return c.out.write(b) }

func (c *memConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *memConn) LocalAddr() net.Addr              { return memAddr(c.out.from.address) }
func (c *memConn) RemoteAddr() net.Addr             { return memAddr(c.out.to.address) }
func (c *memConn) SetDeadline(time.Time) error      { return nil }
func (c *memConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memConn) SetWriteDeadline(time.Time) error { return nil }

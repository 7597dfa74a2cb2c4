package faults

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// portPollInterval is the interval at which a listener checks whether its port is to
// be closed or opened.
const portPollInterval = 10 * time.Millisecond

// conn is an accepted connection that can drop all data without being closed.
type conn struct {
	net.Conn
	set       *Set
	mu        sync.Mutex
	silent    bool
	exempt    bool // carries a call of /faults, whose response must arrive
	closed    chan struct{}
	closeOnce sync.Once
}

// setSilent makes the connection drop what is written and received from now on. The
// peer gets neither FIN nor RST.
func (c *conn) setSilent() {
	c.mu.Lock()
	c.silent = true
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes a blocked Read
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// setExempt exempts the connection from the faults that the request on it sets.
func (c *conn) setExempt() {
	c.mu.Lock()
	c.exempt = true
	c.mu.Unlock()
}

func (c *conn) isExempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exempt
}

// reset closes the connection with RST and drops unsent data.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Read implements net.Conn. On a silent connection it blocks until Close.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. On a silent connection it drops b and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// SyscallConn implements syscall.Conn. It fails after setSilent.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.isSilent() {
		return nil, errors.New("get raw connection: the connection was made to drop all data, or has no file descriptor")
	}
	return sc.SyscallConn()
}

// PeerClosed reports whether the peer has closed the connection, or the connection
// has failed. It peeks at the socket and consumes no data.
func PeerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = (n == 0 && err == nil) || (err != nil && err != syscall.EAGAIN && err != syscall.EINTR)
	})
	return err != nil || gone
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.set.mu.Lock()
		delete(c.set.conns, c)
		c.set.mu.Unlock()
	})
	return c.Conn.Close()
}

// Listener listens at address and applies the faults of the set to the port and to
// the accepted connections until it is closed.
func (s *Set) Listener(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	fl := &listener{set: s, address: l.Addr(), inner: l, closed: make(chan struct{})}
	go fl.watch()
	return fl, nil
}

// listener is a net.Listener whose port faults can close and open again.
type listener struct {
	set     *Set
	address net.Addr
	closed  chan struct{}
	once    sync.Once

	mu    sync.Mutex
	inner net.Listener // nil while the port is closed
}

// watch closes the port while a fault requires it, until the listener is closed.
func (l *listener) watch() {
	t := time.NewTicker(portPollInterval)
	defer t.Stop()
	for {
		select {
		case <-l.closed:
			return
		case <-t.C:
		}
		l.setClosed(l.set.portClosed())
	}
}

func (l *listener) setClosed(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if down && l.inner != nil {
		_ = l.inner.Close()
		l.inner = nil
		return
	}
	if down || l.inner != nil {
		return
	}
	if inner, err := net.Listen("tcp", l.address.String()); err == nil {
		l.inner = inner
	}
}

func (l *listener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		default:
		}
		inner := l.current()
		if inner == nil {
			time.Sleep(portPollInterval)
			continue
		}
		nc, err := inner.Accept()
		if err != nil {
			if inner == l.current() {
				time.Sleep(portPollInterval)
			}
			continue
		}
		c := &conn{Conn: nc, set: l.set, closed: make(chan struct{})}
		l.set.mu.Lock()
		l.set.conns[c] = struct{}{}
		l.set.mu.Unlock()
		// Checked after the connection was added to the set: a fault that is set
		// meanwhile is either seen here or resets the connection in trigger.
		if l.set.portClosed() {
			c.reset()
			continue
		}
		return c, nil
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

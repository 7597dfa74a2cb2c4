// Package netopt opens TCP connections with options that detect an unresponsive peer
// within seconds.
package netopt

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// With these values the kernel closes an idle connection within 5 s after its peer
	// stopped responding.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// keepAlive enables keep-alive probes on idle connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial connects to address within timeout. The connection is closed when sent bytes
// stay unacknowledged for ackTimeout.
func Dial(ctx context.Context, address string, timeout, ackTimeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: userTimeout(ackTimeout)}
	return d.DialContext(ctx, "tcp4", address)
}

// Listen listens on address. Accepted connections are closed when sent bytes stay
// unacknowledged for ackTimeout.
func Listen(ctx context.Context, address string, ackTimeout time.Duration) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive, Control: userTimeout(ackTimeout)}
	return l.Listen(ctx, "tcp4", address)
}

// userTimeout returns a function that sets TCP_USER_TIMEOUT on a socket.
func userTimeout(ackTimeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return sockErr
	}
}

// SetAckTimeout closes the connection when sent bytes stay unacknowledged for ackTimeout, also
// because the peer does not read; never if it is 0. It does nothing for a connection that is not
// a socket's.
func SetAckTimeout(c net.Conn, ackTimeout time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return userTimeout(ackTimeout)("", "", raw)
}

// Alive reports whether an idle connection can be reused: it is open, and the peer has
// sent no unexpected bytes. It does not block; if there is a byte, it is read.
func Alive(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		alive = err == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}

// AbortError returns the error with which a connection was aborted, after a read returned io.EOF
// and a write beside it ended with writeErr. It returns nil if the peer ended its side in order.
//
// The kernel reports the error of a connection once. If a write gets it, a read returns io.EOF, as
// after an orderly end. A reset that follows an orderly end is reported to writes as EPIPE.
func AbortError(writeErr error) error {
	if errors.Is(writeErr, syscall.EPIPE) || errors.Is(writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return writeErr
}

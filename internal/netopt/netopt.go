// Package netopt gives connections the options by which one that went silent
// is found out.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepInterval and keepCount end a silent idle connection within 5 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// keepAlive probes idle connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial connects to address within timeout. Bytes that stay unacknowledged for
// silence end the connection.
func Dial(ctx context.Context, address string, timeout, silence time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: userTimeout(silence)}
	return d.DialContext(ctx, "tcp4", address)
}

// Listen listens at address; accepted connections that go silent are closed.
func Listen(ctx context.Context, address string, silence time.Duration) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive, Control: userTimeout(silence)}
	return l.Listen(ctx, "tcp4", address)
}

func userTimeout(silence time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// Alive tells whether an idle connection is open and holds no bytes that nobody
// asked for. It does not wait.
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

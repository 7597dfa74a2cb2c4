package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
)

const (
	dialTimeout  = 500 * time.Millisecond
	maxIdleConns = 128             // idle connections to all peers together
	maxIdleTime  = 2 * time.Minute // a connection idle for longer may be dead without an error
)

// Client calls other daemons and reuses idle connections. A call that fails on a
// reused connection is retried once on a new one, because an old connection may be
// dead while the peer is alive. Its methods may be called from any goroutine.
type Client struct {
	tls     *tls.Config
	traffic *Traffic

	mu   sync.Mutex
	idle map[string]*idleConn
}

// idleConn is an idle connection and the time at which it became idle.
type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// Traffic counts the bytes of control messages sent and received.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// NewClient returns a client. A nil config means plain TCP. Bytes sent and received
// are counted in traffic.
func NewClient(config *tls.Config, traffic *Traffic) *Client {
	return &Client{tls: config, traffic: traffic, idle: make(map[string]*idleConn)}
}

// Exchange sends records to the peer at address and returns its response. The
// timeout applies to each of up to two attempts.
func (c *Client) Exchange(ctx context.Context, address string, timeout time.Duration, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return invoke(ctx, c, address, "exchange", timeout, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.ExchangeResponse, error) {
		return p.Exchange(ctx, req)
	})
}

// Confirm asks the peer at address whether it reaches the daemon at target.
func (c *Client) Confirm(ctx context.Context, address string, timeout time.Duration, target string) (bool, error) {
	resp, err := invoke(ctx, c, address, "confirm", timeout, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.ConfirmResponse, error) {
		return p.Confirm(ctx, &peerpb.ConfirmRequest{Address: target})
	})
	return err == nil && resp.Reached, err
}

// ConfirmUpstream asks the peer at address whether it reaches the upstream at
// target.
func (c *Client) ConfirmUpstream(ctx context.Context, address string, timeout time.Duration, target string) (bool, error) {
	resp, err := invoke(ctx, c, address, "confirm upstream", timeout, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.ConfirmResponse, error) {
		return p.Confirm(ctx, &peerpb.ConfirmRequest{Address: target, Upstream: true})
	})
	return err == nil && resp.Reached, err
}

// Manifest returns the manifest in force at the peer at address.
func (c *Client) Manifest(ctx context.Context, address string, timeout time.Duration) (*peerpb.ManifestResponse, error) {
	return invoke(ctx, c, address, "manifest", timeout, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.ManifestResponse, error) {
		return p.Manifest(ctx, &peerpb.ManifestRequest{})
	})
}

// HandOver sends accepted work to the peer at address and reports whether the peer
// accepted it. It is attempted once, on a new connection; after an error the peer
// may have accepted the work.
func (c *Client) HandOver(ctx context.Context, address string, timeout time.Duration, req *peerpb.HandOverRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return false, errors.Wrapf(err, "hand over work to peer %s", address)
	}
	defer conn.Close()
	resp, err := peerpb.NewDRPCPeerClient(conn).HandOver(ctx, req)
	if err != nil {
		return false, errors.Wrapf(err, "hand over work to peer %s", address)
	}
	return resp.Accepted, nil
}

// invoke makes a call on an idle connection and, if there is none or the call
// fails, on a new one. op names the call in errors.
func invoke[T any](ctx context.Context, c *Client, address, op string, timeout time.Duration, do func(context.Context, peerpb.DRPCPeerClient) (T, error)) (T, error) {
	if conn := c.takeIdle(address, time.Now()); conn != nil {
		if resp, err := invokeOn(ctx, c, conn, address, timeout, do); err == nil {
			return resp, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, min(timeout, dialTimeout))
	defer cancel()
	conn, err := c.dial(dialCtx, address)
	if err != nil {
		var none T
		return none, errors.Wrapf(err, "peer call: %s with %s", op, address)
	}
	resp, err := invokeOn(ctx, c, conn, address, timeout, do)
	return resp, errors.Wrapf(err, "peer call: %s with %s", op, address)
}

// invokeOn makes a call on conn and keeps conn for reuse if the call succeeds.
func invokeOn[T any](ctx context.Context, c *Client, conn *drpcconn.Conn, address string, timeout time.Duration, do func(context.Context, peerpb.DRPCPeerClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := do(ctx, peerpb.NewDRPCPeerClient(conn))
	if err != nil {
		conn.Close()
		return resp, err
	}
	c.putIdle(address, conn, time.Now())
	return resp, nil
}

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	nc = CountBytes(nc, c.traffic)
	if c.tls != nil {
		config := c.tls.Clone()
		config.ServerName, _, _ = net.SplitHostPort(address)
		tc := tls.Client(nc, config)
		if err := tc.HandshakeContext(ctx); err != nil {
			nc.Close()
			return nil, err
		}
		nc = tc
	}
	return drpcconn.New(nc), nil
}

func (c *Client) takeIdle(address string, now time.Time) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	delete(c.idle, address)
	if idle == nil {
		return nil
	}
	if now.Sub(idle.since) > maxIdleTime {
		idle.conn.Close()
		return nil
	}
	return idle.conn
}

func (c *Client) putIdle(address string, conn *drpcconn.Conn, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil || c.idle[address] != nil || len(c.idle) >= maxIdleConns {
		conn.Close()
		return
	}
	c.idle[address] = &idleConn{conn: conn, since: now}
}

// Close closes the idle connections. Connections of later calls are not kept.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.conn.Close()
	}
	c.idle = nil
}

// CountBytes wraps c so that the bytes sent and received are counted in traffic.
func CountBytes(c net.Conn, traffic *Traffic) net.Conn {
	return &countingConn{Conn: c, traffic: traffic}
}

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

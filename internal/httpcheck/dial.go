package httpcheck

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Dial returns a dial function for a fasthttp client that calls dial. If config is not nil, the
// connections use TLS.
func Dial(dial fasthttp.DialFunc, config *tls.Config) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		nc, err := dial(address)
		if err != nil {
			return nil, err
		}
		if config == nil {
			return &Conn{Conn: nc, byteFirst: true}, nil
		}
		c, err := clientTLS(nc, address, config)
		if err != nil {
			return nil, err
		}
		return &tlsConn{&Conn{Conn: c, byteFirst: true}, c}, nil
	}
}

// DialURL returns a dial function for a fasthttp client of the server with a URL.
func DialURL(url string) fasthttp.DialFunc {
	if strings.HasPrefix(strings.ToLower(url), "https://") {
		return Dial(fasthttp.Dial, &tls.Config{MinVersion: tls.VersionTLS12})
	}
	return Dial(fasthttp.Dial, nil)
}

// SetTransport makes a transport that has a dial function use connections of this package.
func SetTransport(t *http.Transport) {
	dial, config := t.DialContext, t.TLSClientConfig
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: nc}, nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c, err := clientTLS(nc, address, config)
		if err != nil {
			return nil, err
		}
		if err := c.HandshakeContext(ctx); err != nil {
			_ = nc.Close()
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// tlsConn has a method Handshake, by which fasthttp recognizes that TLS is set up already.
type tlsConn struct {
	*Conn
	tls *tls.Conn
}

// Handshake completes the TLS handshake.
func (c *tlsConn) Handshake() error { return c.tls.Handshake() }

// clientTLS returns the client's side of TLS with the server at address.
func clientTLS(nc net.Conn, address string, config *tls.Config) (*tls.Conn, error) {
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			_ = nc.Close()
			return nil, errors.Wrap(err, "server name for TLS")
		}
		config = config.Clone()
		config.ServerName = host
	}
	return tls.Client(nc, config), nil
}

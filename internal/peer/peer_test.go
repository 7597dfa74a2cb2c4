package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/peer"
	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
	"github.com/lagoonmux/lagoonmux/internal/settings"
)

const timeout = time.Second

// serve starts a peer server on a free port and returns its address.
func serve(t *testing.T, config *tls.Config) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- peer.Serve(ctx, l, config, &peer.Traffic{}, peer.Handlers{
			Exchange: func(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
				return &peerpb.ExchangeResponse{From: "server", Generation: r.Generation}, nil
			},
			HandOver: func(_ context.Context, from, kind string, body []byte) bool {
				return from == "a" && kind == "lot" && string(body) == "b"
			},
		})
	}()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
	return l.Addr().String()
}

// writeTLS writes a self-signed certificate, which is also the only trusted
// authority.
func writeTLS(t *testing.T) *settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "daemon"},
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	certPath := write("cert.pem", "CERTIFICATE", cert)
	return &settings.TLS{Certificate: certPath, Key: write("key.pem", "PRIVATE KEY", der), Authorities: certPath}
}

func TestCallsOverMutualTLS(t *testing.T) {
	config, err := writeTLS(t).Config()
	assert.NilError(t, err)
	address := serve(t, config)
	c := peer.NewClient(config, &peer.Traffic{})
	defer c.Close()
	resp, err := c.Exchange(t.Context(), address, timeout, &peerpb.ExchangeRequest{Generation: 4})
	assert.NilError(t, err)
	assert.Equal(t, resp.Generation, int64(4))
	taken, err := c.HandOver(t.Context(), address, timeout, &peerpb.HandOverRequest{From: "a", Kind: "lot", Body: []byte("b")})
	assert.NilError(t, err)
	assert.Assert(t, taken)

	otherConfig, err := writeTLS(t).Config()
	assert.NilError(t, err)
	untrusted := peer.NewClient(otherConfig, &peer.Traffic{})
	defer untrusted.Close()
	_, err = untrusted.Exchange(t.Context(), address, timeout, &peerpb.ExchangeRequest{})
	assert.ErrorContains(t, err, "exchange with "+address)
}

// startRelay starts a TCP relay to target and returns its address. While dropBytes
// is set, the relay drops all bytes of its first connection without closing it, as a
// network does that loses a connection without an error.
func startRelay(t *testing.T, target string, dropBytes *atomic.Bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	forward := func(dst, src net.Conn, first bool) {
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			if err != nil {
				dst.Close()
				return
			}
			if !first || !dropBytes.Load() {
				_, _ = dst.Write(buf[:n])
			}
		}
	}
	go func() {
		for first := true; ; first = false {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			go forward(out, in, first)
			go forward(in, out, first)
		}
	}()
	return l.Addr().String()
}

// TestUnresponsiveConnectionIsReplaced checks that a call succeeds on a new
// connection if the reused one no longer delivers bytes.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	var dropBytes atomic.Bool
	address := startRelay(t, serve(t, nil), &dropBytes)
	c := peer.NewClient(nil, &peer.Traffic{})
	defer c.Close()
	_, err := c.Exchange(t.Context(), address, timeout, &peerpb.ExchangeRequest{})
	assert.NilError(t, err)
	dropBytes.Store(true)
	_, err = c.Exchange(t.Context(), address, timeout, &peerpb.ExchangeRequest{})
	assert.NilError(t, err)
}

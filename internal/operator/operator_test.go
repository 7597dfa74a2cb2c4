package operator_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ctl"
	"github.com/lagoonmux/lagoonmux/internal/loopback"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

// fakeDaemon is a daemon that has served one request.
type fakeDaemon struct{ *obs.Registry }

func (fakeDaemon) Apply(context.Context, string, []byte, int64) (int64, error) { return 0, nil }
func (fakeDaemon) Manifest() *manifest.Active                                  { return nil }
func (fakeDaemon) Status() operator.Status {
	return operator.Status{Name: "entry-1", Generation: 7, Ready: true}
}

func newFakeDaemon() fakeDaemon {
	g := obs.NewRegistry(hclog.NewNullLogger(), time.Now())
	req := &call.Call{ID: "id-1", Customer: &manifest.Customer{Name: "editors"}, Class: manifest.Urgent, Trace: &trace.Trace{}}
	req.Trace.Add(trace.Step{Name: trace.Attempt, Peer: "desk-1", Attempt: 1})
	g.End(&obs.Request{Call: req, Outcome: call.Unknown, Status: 502}, time.Now())
	return fakeDaemon{g}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Address()
	assert.NilError(t, err)
	return address
}

// startServer serves a fakeDaemon's operator port at address and waits until it accepts
// connections.
func startServer(t *testing.T, address string, tls *settings.TLS) {
	t.Helper()
	s := operator.NewServer(newFakeDaemon(), tls)
	done := make(chan error, 1)
	go func() { done <- s.Run(address) }()
	t.Cleanup(func() {
		assert.Check(t, s.Stop())
		assert.Check(t, <-done)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = conn.Close()
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// TestClientCommands checks the output of the commands of package ctl against a daemon
// that has served one request.
func TestClientCommands(t *testing.T) {
	var out bytes.Buffer
	address := freeAddress(t)
	startServer(t, address, nil)
	client := ctl.New(address, &out)
	assert.NilError(t, client.Status(false))
	assert.Assert(t, strings.Contains(out.String(), "entry-1"), out.String())
	out.Reset()
	assert.NilError(t, client.Histograms(false))
	assert.Assert(t, strings.Contains(out.String(), "editors/urgent"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "desk-1"), out.String())
	out.Reset()
	assert.NilError(t, ctl.Explain([]*ctl.Client{client}, "id-1", false))
	assert.Assert(t, strings.Contains(out.String(), "result=unknown status=502 attempts=1"), out.String())
	assert.Equal(t, ctl.ExitCode(ctl.Explain([]*ctl.Client{client}, "id-2", false)), ctl.ExitFailure)
}

// TestClientCertificateIsRequired checks that a client gets through only with a
// certificate of the server's authorities, and only if it trusts the server's.
func TestClientCertificateIsRequired(t *testing.T) {
	address := freeAddress(t)
	ours, others := writeCertificate(t, address), writeCertificate(t, address)
	startServer(t, address, ours)
	assert.Equal(t, ctl.ExitCode(ctl.New(address, &bytes.Buffer{}).Status(false)), ctl.ExitUnreachable)
	for _, tt := range []struct {
		tls *settings.TLS
		ok  bool
	}{
		{ours, true},
		{&settings.TLS{Certificate: others.Certificate, Key: others.Key, Authorities: ours.Authorities}, false},
		{&settings.TLS{Certificate: ours.Certificate, Key: ours.Key, Authorities: others.Authorities}, false},
	} {
		client := ctl.New(address, &bytes.Buffer{})
		assert.NilError(t, client.UseTLS(tt.tls))
		err := client.Status(false)
		assert.Equal(t, err == nil, tt.ok, "%v", err)
	}
}

// writeCertificate writes a self-signed certificate for the host of address, which is
// also its own authority.
func writeCertificate(t *testing.T, address string) *settings.TLS {
	t.Helper()
	host, _, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(host)},
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return &settings.TLS{Certificate: cert, Key: write("key.pem", "EC PRIVATE KEY", keyDER), Authorities: cert}
}

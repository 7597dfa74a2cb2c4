package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// Config returns a mutual TLS configuration for both servers and clients. Each
// side must present a certificate that chains to the authorities.
func (t *TLS) Config() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS certificate and key")
	}
	pem, err := os.ReadFile(t.Authorities)
	if err != nil {
		return nil, errors.Wrap(err, "read TLS authorities file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no PEM certificate in authorities file %s", t.Authorities)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
	}, nil
}

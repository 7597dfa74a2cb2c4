// Package peer implements the calls between daemons: DRPC with protobuf messages
// over TCP, with mutual TLS if the settings name certificates.
package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
)

// Handlers holds the functions that handle calls of other daemons. They are called
// concurrently.
type Handlers struct {
	Exchange        func(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error)
	ReachesDaemon   func(ctx context.Context, address string) bool // reports whether the daemon is reachable
	ReachesUpstream func(ctx context.Context, address string) bool // reports whether the upstream is reachable
	Manifest        func(context.Context) *peerpb.ManifestResponse
	HandOver        func(ctx context.Context, from, kind string, body []byte) bool
}

// Serve handles calls on l until ctx ends, then closes l. A nil config means plain
// TCP. Bytes sent and received are counted in traffic.
func Serve(ctx context.Context, l net.Listener, config *tls.Config, traffic *Traffic, h Handlers) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{h: h}); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	l = &countingListener{Listener: l, traffic: traffic}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	err := drpcserver.New(mux).Serve(ctx, l)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve peers at %s", l.Addr())
}

// service adapts Handlers to the generated interface.
type service struct {
	peerpb.DRPCPeerUnimplementedServer
	h Handlers
}

// Exchange implements peerpb.DRPCPeerServer.
func (s *service) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return s.h.Exchange(ctx, req)
}

// Confirm implements peerpb.DRPCPeerServer.
func (s *service) Confirm(ctx context.Context, req *peerpb.ConfirmRequest) (*peerpb.ConfirmResponse, error) {
	reaches := s.h.ReachesDaemon
	if req.Upstream {
		reaches = s.h.ReachesUpstream
	}
	return &peerpb.ConfirmResponse{Reached: reaches(ctx, req.Address)}, nil
}

// Manifest implements peerpb.DRPCPeerServer.
func (s *service) Manifest(ctx context.Context, _ *peerpb.ManifestRequest) (*peerpb.ManifestResponse, error) {
	return s.h.Manifest(ctx), nil
}

// HandOver implements peerpb.DRPCPeerServer.
func (s *service) HandOver(ctx context.Context, req *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	return &peerpb.HandOverResponse{Accepted: s.h.HandOver(ctx, req.From, req.Kind, req.Body)}, nil
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return CountBytes(c, l.traffic), nil
}

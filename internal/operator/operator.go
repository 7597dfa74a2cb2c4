// Package operator serves the operator port: the HTTP API of lagoonctl, expvar and
// pprof.
package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
	"github.com/valyala/fasthttp/pprofhandler"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/settings"
)

// Paths of the operator port.
const (
	ManifestPath   = "/manifest"
	StatusPath     = "/status"
	HistogramsPath = "/histograms"
	RequestsPath   = "/requests/" // followed by a request ID
	ExpvarPath     = "/debug/vars"
	ProfilePath    = "/debug/pprof/"
)

// BaseInForce is the base of an apply that replaces whichever generation is in
// force at the daemon.
const BaseInForce int64 = -1

// applyTimeout bounds the time in which a manifest must be committed.
const applyTimeout = 10 * time.Second

// Daemon is the part of the daemon that the operator port uses. Its methods must
// be safe for concurrent use.
type Daemon interface {
	// Apply puts the manifest with the given text in force as the successor of
	// generation base and returns its generation. file is the name of its file.
	// The error is a *manifest.ConflictError if another successor was accepted
	// first.
	Apply(ctx context.Context, file string, text []byte, base int64) (int64, error)
	// Manifest returns the manifest in force, or nil.
	Manifest() *manifest.Active
	// Status returns the state of the daemon and of the peers that it knows.
	Status() Status
	// Report returns the counters and histograms since the daemon started.
	Report() obs.Report
	// Explain returns the record of a recent request, and whether there is one.
	Explain(id string) (*obs.Record, bool)
}

// ApplyResponse is the response body of a successful apply.
type ApplyResponse struct {
	Generation int64 `json:"generation"`
}

// ErrorResponse is the response body of a failed call.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Server serves the operator port.
type Server struct {
	daemon Daemon
	tls    *settings.TLS
	http   fasthttp.Server
}

// NewServer returns a server for the daemon. If tls is not nil, clients must present
// a certificate that one of its authorities has signed.
func NewServer(daemon Daemon, tls *settings.TLS) *Server {
	s := &Server{daemon: daemon, tls: tls}
	s.http.Handler = s.handle
	s.http.Name = "lagoonmux"
	return s
}

// Run listens on address and serves until Stop is called.
func (s *Server) Run(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on operator address %s", address)
	}
	if s.tls != nil {
		config, err := s.tls.Config()
		if err != nil {
			_ = l.Close()
			return err
		}
		l = tls.NewListener(l, config)
	}
	return errors.Wrapf(s.http.Serve(l), "serve operator API at %s", address)
}

// Stop closes the port once the calls in progress are done.
func (s *Server) Stop() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == ManifestPath && ctx.IsPost():
		s.apply(ctx)
	case path == ManifestPath && ctx.IsGet():
		s.manifest(ctx)
	case path == StatusPath:
		writeJSON(ctx, fasthttp.StatusOK, s.daemon.Status())
	case path == HistogramsPath:
		writeJSON(ctx, fasthttp.StatusOK, s.daemon.Report())
	case strings.HasPrefix(path, RequestsPath):
		s.explain(ctx, strings.TrimPrefix(path, RequestsPath))
	case strings.HasPrefix(path, ProfilePath):
		pprofhandler.PprofHandler(ctx)
	case path == ExpvarPath:
		expvarhandler.ExpvarHandler(ctx)
	default:
		writeError(ctx, fasthttp.StatusNotFound, errors.New("no such path"))
	}
}

func (s *Server) apply(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	file := string(ctx.QueryArgs().Peek("file"))
	base := BaseInForce
	if ctx.QueryArgs().Has("base") {
		n, err := ctx.QueryArgs().GetUint("base")
		if err != nil {
			writeError(ctx, fasthttp.StatusBadRequest, errors.Wrap(err, "parse query parameter base"))
			return
		}
		base = int64(n)
	}
	generation, err := s.daemon.Apply(callCtx, file, ctx.PostBody(), base)
	if err != nil {
		writeError(ctx, applyStatus(err), err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, ApplyResponse{Generation: generation})
}

// applyStatus returns the HTTP status for a failed apply.
func applyStatus(err error) int {
	var conflict *manifest.ConflictError
	switch {
	case errors.As(err, &conflict):
		return fasthttp.StatusConflict
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded):
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusUnprocessableEntity
	}
}

func (s *Server) manifest(ctx *fasthttp.RequestCtx) {
	active := s.daemon.Manifest()
	if active == nil {
		writeError(ctx, fasthttp.StatusNotFound, errors.New("no manifest in force"))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, active.Manifest)
}

func (s *Server) explain(ctx *fasthttp.RequestCtx, id string) {
	record, ok := s.daemon.Explain(id)
	if !ok {
		writeError(ctx, fasthttp.StatusNotFound, errors.New("not among the recent requests of this daemon"))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, record)
}

func writeError(ctx *fasthttp.RequestCtx, status int, err error) {
	writeJSON(ctx, status, ErrorResponse{Error: err.Error()})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// Package operator serves the operator port: the calls of lagoonctl and expvar.
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
	RequestsPath   = "/requests/" // followed by the id of a request
	ExpvarPath     = "/debug/vars"
	ProfilePath    = "/debug/pprof/"
)

// BaseInForce as the base of an apply stands for the generation that is in
// force at the daemon.
const BaseInForce int64 = -1

const applyTimeout = 10 * time.Second

// Control is what the operator port needs from the daemon. Its methods may be
// called from any goroutine.
type Control interface {
	// Apply puts a manifest in force as the successor of generation base and
	// returns its generation. The error is a *manifest.ConflictError if another
	// was accepted first.
	Apply(ctx context.Context, file string, text []byte, base int64) (int64, error)
	// Manifest returns the manifest in force, or nil.
	Manifest() *manifest.Active
	// Status describes the daemon.
	Status() Status
	// Report returns counters and histograms since the start.
	Report() obs.Report
	// Explain returns the steps of a recent request.
	Explain(id string) (*obs.Record, bool)
}

// Applied is the answer to an apply.
type Applied struct {
	Generation int64 `json:"generation"`
}

// Failure is the answer to a call that failed.
type Failure struct {
	Error string `json:"error"`
}

// Server is the operator port.
type Server struct {
	control Control
	tls     *settings.TLS
	http    fasthttp.Server
}

// NewServer returns a server for the daemon behind control. With tls set, only
// operators with a certificate of its authorities are served.
func NewServer(control Control, tls *settings.TLS) *Server {
	s := &Server{control: control, tls: tls}
	s.http.Handler = s.handle
	s.http.Name = "lagoonmux"
	return s
}

// Run listens on address until Stop.
func (s *Server) Run(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for operators at %s", address)
	}
	if s.tls != nil {
		config, err := s.tls.Config()
		if err != nil {
			_ = l.Close()
			return err
		}
		l = tls.NewListener(l, config)
	}
	return errors.Wrapf(s.http.Serve(l), "serve operators at %s", address)
}

// Stop closes the port after the calls in progress.
func (s *Server) Stop() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == ManifestPath && ctx.IsPost():
		s.apply(ctx)
	case path == ManifestPath && ctx.IsGet():
		s.manifest(ctx)
	case path == StatusPath:
		reply(ctx, fasthttp.StatusOK, s.control.Status())
	case path == HistogramsPath:
		reply(ctx, fasthttp.StatusOK, s.control.Report())
	case strings.HasPrefix(path, RequestsPath):
		s.explain(ctx, strings.TrimPrefix(path, RequestsPath))
	case strings.HasPrefix(path, ProfilePath):
		pprofhandler.PprofHandler(ctx)
	case path == ExpvarPath:
		expvarhandler.ExpvarHandler(ctx)
	default:
		fail(ctx, fasthttp.StatusNotFound, errors.New("no such path"))
	}
}

func (s *Server) apply(ctx *fasthttp.RequestCtx) {
	c, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	file := string(ctx.QueryArgs().Peek("file"))
	base := BaseInForce
	if ctx.QueryArgs().Has("base") {
		n, err := ctx.QueryArgs().GetUint("base")
		if err != nil {
			fail(ctx, fasthttp.StatusBadRequest, errors.Wrap(err, "base"))
			return
		}
		base = int64(n)
	}
	generation, err := s.control.Apply(c, file, ctx.PostBody(), base)
	if err != nil {
		fail(ctx, applyStatus(err), err)
		return
	}
	reply(ctx, fasthttp.StatusOK, Applied{Generation: generation})
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
	a := s.control.Manifest()
	if a == nil {
		fail(ctx, fasthttp.StatusNotFound, errors.New("no manifest in force"))
		return
	}
	reply(ctx, fasthttp.StatusOK, a.Manifest)
}

func (s *Server) explain(ctx *fasthttp.RequestCtx, id string) {
	rec, ok := s.control.Explain(id)
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, errors.New("not among the recent requests of this daemon"))
		return
	}
	reply(ctx, fasthttp.StatusOK, rec)
}

func fail(ctx *fasthttp.RequestCtx, status int, err error) {
	reply(ctx, status, Failure{Error: err.Error()})
}

func reply(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

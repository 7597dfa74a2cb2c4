// Package operator serves the operator port: the calls of lagoonctl and expvar.
package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// Paths of the operator port.
const (
	ManifestPath = "/manifest"
	ExpvarPath   = "/debug/vars"
)

const applyTimeout = 10 * time.Second

// Control is what the operator port needs from the daemon. Its methods may be
// called from any goroutine.
type Control interface {
	// Apply puts a manifest in force and returns its generation.
	Apply(ctx context.Context, file string, text []byte) (int64, error)
	// Manifest returns the manifest in force, or nil.
	Manifest() *manifest.Active
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
	http    fasthttp.Server
}

// NewServer returns a server for the daemon behind control.
func NewServer(control Control) *Server {
	s := &Server{control: control}
	s.http.Handler = s.handle
	s.http.Name = "lagoonmux"
	return s
}

// Run listens on address until Stop.
func (s *Server) Run(address string) error {
	return errors.Wrapf(s.http.ListenAndServe(address), "listen for operators at %s", address)
}

// Stop closes the port after the calls in progress.
func (s *Server) Stop() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == ManifestPath && ctx.IsPost():
		s.apply(ctx)
	case path == ManifestPath && ctx.IsGet():
		s.manifest(ctx)
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
	generation, err := s.control.Apply(c, file, ctx.PostBody())
	if err != nil {
		fail(ctx, fasthttp.StatusUnprocessableEntity, err)
		return
	}
	reply(ctx, fasthttp.StatusOK, Applied{Generation: generation})
}

func (s *Server) manifest(ctx *fasthttp.RequestCtx) {
	a := s.control.Manifest()
	if a == nil {
		fail(ctx, fasthttp.StatusNotFound, errors.New("no manifest in force"))
		return
	}
	reply(ctx, fasthttp.StatusOK, a.Manifest)
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

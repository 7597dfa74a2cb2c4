// Package objects is a stand-in for the platform's object store. It serves GET, PUT and
// DELETE of complete objects over HTTP and keeps them in memory.
package objects

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// Server is one object store. Its methods may be called from any goroutine.
type Server struct {
	mu      sync.Mutex
	objects map[string][]byte // by path
}

// New returns an empty store.
func New() *Server { return &Server{objects: make(map[string][]byte)} }

// Handle serves one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := string(ctx.Path())
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		data, ok := s.objects[path]
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ctx.SetBody(data)
	case fasthttp.MethodPut:
		s.objects[path] = append([]byte(nil), ctx.PostBody()...)
	case fasthttp.MethodDelete:
		delete(s.objects, path)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// Package entry serves callers: it reads HTTP/1.1 requests from sockets owned
// by gnet, runs each in a task of its own, and writes the answers in order.
package entry

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 64 << 20 // of any service
)

var headerEnd = []byte("\r\n\r\n")

// Server is the caller port. It is a gnet event handler.
type Server struct {
	gnet.BuiltinEventEngine
	api    *API
	log    hclog.Logger
	engine gnet.Engine
	booted chan struct{}
	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server that answers by api.
func NewServer(api *API, log hclog.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{api: api, log: log, booted: make(chan struct{}), ctx: ctx, cancel: cancel}
}

// Run listens on address until Stop. It returns an error if it cannot listen.
func (s *Server) Run(address string) error {
	err := gnet.Run(s, "tcp://"+address, gnet.WithMulticore(true), gnet.WithReusePort(true), gnet.WithLogger(quietLogger{}))
	return errors.Wrapf(err, "listen for callers at %s", address)
}

// Stop waits until ctx ends for the requests in flight, then closes the port.
func (s *Server) Stop(ctx context.Context) error {
	<-s.booted
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	s.cancel()
	return s.engine.Stop(context.Background())
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// connState is the state of one connection. Fields without a note belong to
// the connection's event loop.
type connState struct {
	ctx      context.Context // ends when the connection closes
	cancel   context.CancelFunc
	header   *fasthttp.Request // header of the request whose body is awaited
	length   int               // bytes of that header
	busy     atomic.Bool       // a task is answering; set by the event loop, cleared by the task
	outbound atomic.Int64      // bytes waiting in gnet's outbound buffer; any goroutine
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	ctx, cancel := context.WithCancel(s.ctx)
	c.SetContext(&connState{ctx: ctx, cancel: cancel})
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if st, ok := c.Context().(*connState); ok {
		st.cancel()
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler. It starts a task for the next whole
// request unless one is being answered.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	st := c.Context().(*connState)
	if st.busy.Load() {
		if c.InboundBuffered() > maxHeaderBytes+maxBodyBytes {
			return gnet.Close
		}
		return gnet.None
	}
	req, status := s.next(c, st)
	if status != 0 {
		writeSimple(c, status)
		return gnet.Close
	}
	if req == nil {
		return gnet.None
	}
	st.busy.Store(true)
	s.tasks.Add(1)
	go s.serve(c, st, req)
	return gnet.None
}

// next returns the next whole request, nil if more bytes are needed, or the
// HTTP status with which to refuse the connection.
func (s *Server) next(c gnet.Conn, st *connState) (*fasthttp.Request, int) {
	if st.header == nil {
		if status := s.readHeader(c, st); status != 0 || st.header == nil {
			return nil, status
		}
	}
	body := max(st.header.Header.ContentLength(), 0)
	if c.InboundBuffered() < st.length+body {
		return nil, 0
	}
	data, err := c.Next(st.length + body)
	if err != nil {
		return nil, fasthttp.StatusBadRequest
	}
	req := st.header
	req.SetBody(data[st.length:])
	st.header = nil
	return req, 0
}

// readHeader reads the header once it is complete and leaves its bytes in the
// buffer until the body has arrived.
func (s *Server) readHeader(c gnet.Conn, st *connState) int {
	data, _ := c.Peek(min(c.InboundBuffered(), maxHeaderBytes))
	end := bytes.Index(data, headerEnd)
	if end < 0 {
		if len(data) >= maxHeaderBytes {
			return fasthttp.StatusRequestHeaderFieldsTooLarge
		}
		return 0
	}
	req := &fasthttp.Request{}
	r := bufio.NewReaderSize(bytes.NewReader(data[:end+len(headerEnd)]), end+len(headerEnd))
	if err := req.Header.Read(r); err != nil {
		return fasthttp.StatusBadRequest
	}
	if req.Header.ContentLength() < 0 && len(req.Header.Peek("Transfer-Encoding")) > 0 {
		return fasthttp.StatusLengthRequired
	}
	if req.Header.ContentLength() > maxBodyBytes {
		return fasthttp.StatusRequestEntityTooLarge
	}
	st.header = req
	st.length = end + len(headerEnd)
	if req.MayContinue() {
		_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return 0
}

func (s *Server) serve(c gnet.Conn, st *connState, req *fasthttp.Request) {
	defer s.tasks.Done()
	x := &Exchange{Request: req, Arrived: time.Now(), conn: c, state: st, close: req.Header.ConnectionClose()}
	s.api.Serve(st.ctx, x)
	x.finish()
}

func writeSimple(c gnet.Conn, status int) {
	text := fasthttp.StatusMessage(status)
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	_, _ = c.Write([]byte(head))
}

// quietLogger drops gnet's own log lines.
type quietLogger struct{}

func (quietLogger) Debugf(string, ...any) {}
func (quietLogger) Infof(string, ...any)  {}
func (quietLogger) Warnf(string, ...any)  {}
func (quietLogger) Errorf(string, ...any) {}
func (quietLogger) Fatalf(string, ...any) {}

// Package ingress serves callers: it reads HTTP/1.1 requests from sockets owned
// by gnet, runs each in a task of its own, and writes the answers in order. What
// the requests mean is the business of its Handler.
package ingress

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/invariant"
	"github.com/lagoonmux/lagoonmux/internal/room"
)

const (
	sweepInterval   = 100 * time.Millisecond // between looks for passed deadlines
	drainInterval   = 10 * time.Millisecond  // between looks for the end of a drain
	readBufferBytes = 64 << 10               // read from a socket at once
	lateConnGrace   = 300 * time.Millisecond // for a request on a connection that was opened late in a drain
	procsPerLoop    = 4                      // of Go's processors, each loop holds one while it waits
)

// Handler gives requests their meaning. Serve is called in a task of each
// request and must answer it, the others on event loops.
type Handler interface {
	// Serve answers x. ctx ends when the caller is gone.
	Serve(ctx context.Context, x *Exchange)
	// Precheck decides by the header of a request with a large body whether the
	// body is wanted. It returns 0 or the status to refuse it with.
	Precheck(h *fasthttp.RequestHeader, length int) int
	// RejectHeaders returns the header lines of an answer with status to a request that
	// could not be read, each with its line end.
	RejectHeaders(status int) string
}

// Server is the caller port. It is a gnet event handler.
type Server struct {
	gnet.BuiltinEventEngine
	handler      Handler
	log          hclog.Logger
	limits       atomic.Pointer[Limits]
	engine       gnet.Engine
	listening    chan struct{}
	done         chan struct{} // closed when Run returns
	tasks        sync.WaitGroup
	draining     atomic.Bool
	memory       *room.Room   // for large bodies
	reserved     atomic.Int64 // bytes of large bodies
	rejected     atomic.Int64 // requests that could not be read
	idleDeadline atomic.Int64 // unix nanoseconds after which a drain closes idle connections; 0 before a drain

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server that answers by handler within limits.
func NewServer(handler Handler, log hclog.Logger, limits Limits) *Server {
	s := &Server{
		handler:   handler,
		log:       log,
		listening: make(chan struct{}),
		done:      make(chan struct{}),
		conns:     make(map[*conn]struct{}),
		memory:    room.New(limits.BufferedBodyBytes),
	}
	s.SetLimits(limits)
	return s
}

// SetLimits puts limits into force for what is read from now on. Any goroutine
// may call it.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Memory returns what large bodies take their bytes from; whoever buffers beside them
// is to take its own there too.
func (s *Server) Memory() *room.Room { return s.memory }

// Listening is closed once the port is open.
func (s *Server) Listening() <-chan struct{} { return s.listening }

// Done is closed when Run returns.
func (s *Server) Done() <-chan struct{} { return s.done }

// Draining tells whether Stop has been called.
func (s *Server) Draining() bool { return s.draining.Load() }

// ReservedBytes returns the bytes of large bodies that are held or awaited.
func (s *Server) ReservedBytes() int64 { return s.reserved.Load() }

// Run listens on address until Stop. It returns an error if it cannot listen,
// and may be called once.
func (s *Server) Run(address string) error {
	defer close(s.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.sweep(ctx)
	err := gnet.Run(s, "tcp://"+address,
		gnet.WithNumEventLoop(max(runtime.GOMAXPROCS(0)/procsPerLoop, 1)),
		gnet.WithReusePort(true),
		gnet.WithReadBufferCap(readBufferBytes),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(quietLogger{}))
	return errors.Wrapf(err, "listen for callers at %s", address)
}

// Stop may be called once Run has been. It drains: answers close their
// connections from now on. It returns when no request is in flight and the
// callers of idle connections had the grace time to send one more, or when ctx
// ends; then the port is closed.
func (s *Server) Stop(ctx context.Context) error {
	s.draining.Store(true)
	select {
	case <-s.listening: // soon after Run began, even if ctx has ended already
	case <-s.done:
	}
	select {
	case <-s.done:
		return nil
	default:
	}
	graceEnd := time.Now().Add(s.limits.Load().DrainGrace)
	s.idleDeadline.Store(graceEnd.UnixNano())
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && !s.drained(time.Now().After(graceEnd)) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	err := s.engine.Stop(context.Background())
	s.tasks.Wait()
	return err
}

// drained tells whether the port may be closed. Idle connections count only
// within the grace time.
func (s *Server) drained(graceOver bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !graceOver || c.active.Load() || c.flushing.Load() {
			return false
		}
	}
	return true
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Rejected returns how many requests could not be read: malformed, too large or
// too slow.
func (s *Server) Rejected() int64 { return s.rejected.Load() }

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.listening)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c := newConn(s, gc)
	gc.SetContext(c)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	full := len(s.conns) > s.limits.Load().Connections
	s.mu.Unlock()
	if full {
		c.reject(fasthttp.StatusServiceUnavailable)
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(gc gnet.Conn, _ error) gnet.Action {
	c, ok := gc.Context().(*conn)
	if !ok {
		return gnet.None
	}
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.onClose()
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(gc gnet.Conn) gnet.Action {
	return gc.Context().(*conn).onData()
}

// startTask runs the task that serves x.
func (s *Server) startTask(x *Exchange) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		defer x.finish()
		defer invariant.Survive(s.log, "serve request")
		s.handler.Serve(x.ctx, x)
	}()
}

// reserve counts a large body; it fails when too many bytes are counted.
func (s *Server) reserve(x *Exchange, length int) bool {
	if !s.memory.Try(int64(length)) {
		return false
	}
	s.reserved.Add(int64(length))
	x.reserved += int64(length)
	return true
}

// sweep looks for connections whose deadline has passed until ctx ends.
func (s *Server) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var due []*conn
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			due = s.due(now.UnixNano(), due[:0])
		}
		for _, c := range due {
			_ = c.netConn.EventLoop().Execute(ctx, c)
		}
		clear(due)
	}
}

// due appends the connections on which the event loop has to act.
func (s *Server) due(now int64, list []*conn) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		d := c.deadline.Load()
		if c.flushing.Load() || d != 0 && d <= now || s.drainExpired(c, now) {
			list = append(list, c)
		}
	}
	return list
}

// drainExpired tells whether a drain closes c, on which no request is under way. A
// connection that was just opened or used gets some time for one more.
func (s *Server) drainExpired(c *conn, now int64) bool {
	end := s.idleDeadline.Load()
	return end != 0 && end <= now && !c.active.Load() && c.phaseStart.Load()+int64(lateConnGrace) <= now
}

// quietLogger drops gnet's own log lines.
type quietLogger struct{}

func (quietLogger) Debugf(string, ...any) {}
func (quietLogger) Infof(string, ...any)  {}
func (quietLogger) Warnf(string, ...any)  {}
func (quietLogger) Errorf(string, ...any) {}
func (quietLogger) Fatalf(string, ...any) {}

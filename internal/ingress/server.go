// Package ingress is the HTTP/1.1 server for callers. It reads requests on gnet event
// loops, serves each request in a goroutine of its own (its task) by a Handler, and
// writes the responses in order.
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
	"github.com/lagoonmux/lagoonmux/internal/membudget"
)

const (
	sweepInterval   = 100 * time.Millisecond // between checks for expired deadlines
	drainInterval   = 10 * time.Millisecond  // between checks whether a drain is complete
	readBufferBytes = 64 << 10               // read from a socket at a time
	lateConnGrace   = 300 * time.Millisecond // for one more request on a connection that was opened or used late in a drain
	procsPerLoop    = 4                      // GOMAXPROCS per event loop: a loop occupies one Go processor even while it waits
)

// Handler serves requests. Serve is called in the task of a request, the other
// methods on event loops: they must not block.
type Handler interface {
	// Serve responds to x. ctx ends when the caller disconnects.
	Serve(ctx context.Context, x *Exchange)
	// Precheck checks the head of a request before its body is received, if the body
	// is large or the caller expects 100 Continue. It returns 0, or the status to
	// reject the request with.
	Precheck(h *fasthttp.RequestHeader, length int) int
	// RejectHeaders returns additional header lines, each ending with CRLF, for the
	// response to a request that the server rejects with status.
	RejectHeaders(status int) string
}

// Server listens for callers on one port. It is a gnet event handler.
type Server struct {
	gnet.BuiltinEventEngine
	handler      Handler
	log          hclog.Logger
	limits       atomic.Pointer[Limits]
	engine       gnet.Engine
	listening    chan struct{} // closed once the port is open
	done         chan struct{} // closed when Run returns
	tasks        sync.WaitGroup
	draining     atomic.Bool
	memory       *membudget.Budget // for large bodies and responses that the Handler buffers
	reserved     atomic.Int64      // bytes of memory reserved for large bodies
	rejected     atomic.Int64      // requests rejected before their task
	idleDeadline atomic.Int64      // unix nanoseconds after which a drain closes idle connections; 0 before a drain

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server that serves requests by handler within limits.
func NewServer(handler Handler, log hclog.Logger, limits Limits) *Server {
	s := &Server{
		handler:   handler,
		log:       log,
		listening: make(chan struct{}),
		done:      make(chan struct{}),
		conns:     make(map[*conn]struct{}),
		memory:    membudget.New(limits.BufferedBodyBytes),
	}
	s.SetLimits(limits)
	return s
}

// SetLimits changes the limits, except for BufferedBodyBytes, which NewServer sets.
// The new limits apply to data received afterwards. Any goroutine may call it.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Memory returns the memory budget of large request bodies. A Handler that buffers
// responses must reserve memory for them here too.
func (s *Server) Memory() *membudget.Budget { return s.memory }

// Listening is closed once the port is open.
func (s *Server) Listening() <-chan struct{} { return s.listening }

// Done is closed when Run returns.
func (s *Server) Done() <-chan struct{} { return s.done }

// Draining reports whether Stop has been called.
func (s *Server) Draining() bool { return s.draining.Load() }

// ReservedBytes returns the memory reserved for large bodies, in bytes.
func (s *Server) ReservedBytes() int64 { return s.reserved.Load() }

// Run listens on address and serves until Stop. It returns an error if it cannot
// listen. It may be called once.
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

// Stop drains the server and closes the port. From now on each response closes its
// connection. For DrainGrace, callers may still send one more request on idle
// connections. The drain ends when no connection is open, when DrainGrace has passed
// and no request is in flight, or with ctx. Stop must not be called before Run.
func (s *Server) Stop(ctx context.Context) error {
	s.draining.Store(true)
	select {
	case <-s.listening: // also waits if ctx has ended: the port opens soon after Run is called
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

// drained reports whether the port may be closed: no connection is open or, once the
// grace time is over, all are idle.
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

// Rejected returns how many requests the server rejected before it called Serve:
// malformed, too large, too slow, beyond a limit or by Precheck.
func (s *Server) Rejected() int64 { return s.rejected.Load() }

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.listening)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(netConn gnet.Conn) ([]byte, gnet.Action) {
	c := newConn(s, netConn)
	netConn.SetContext(c)
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
func (s *Server) OnClose(netConn gnet.Conn, _ error) gnet.Action {
	c, ok := netConn.Context().(*conn)
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
func (s *Server) OnTraffic(netConn gnet.Conn) gnet.Action {
	return netConn.Context().(*conn).onData()
}

// startTask serves x in a goroutine.
func (s *Server) startTask(x *Exchange) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		defer x.finish()
		defer invariant.Recover(s.log, "serve request")
		s.handler.Serve(x.ctx, x)
	}()
}

// reserve reserves length bytes of memory for a large body and reports whether the
// budget allows it.
func (s *Server) reserve(x *Exchange, length int) bool {
	if !s.memory.TryAcquire(int64(length)) {
		return false
	}
	s.reserved.Add(int64(length))
	x.reserved += int64(length)
	return true
}

// sweep schedules conn.Run on the event loop for each due connection, every
// sweepInterval until ctx ends.
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

// due appends the connections on which the event loop must act: a deadline has passed,
// a response is left to flush, or a drain closes an idle connection.
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

// drainExpired reports whether a drain closes the idle connection c. A connection that
// was just opened or used is kept for lateConnGrace, in case a request is on its way.
func (s *Server) drainExpired(c *conn, now int64) bool {
	end := s.idleDeadline.Load()
	return end != 0 && end <= now && !c.active.Load() && c.phaseStart.Load()+int64(lateConnGrace) <= now
}

// quietLogger discards gnet's own log lines.
type quietLogger struct{}

func (quietLogger) Debugf(string, ...any) {}
func (quietLogger) Infof(string, ...any)  {}
func (quietLogger) Warnf(string, ...any)  {}
func (quietLogger) Errorf(string, ...any) {}
func (quietLogger) Fatalf(string, ...any) {}

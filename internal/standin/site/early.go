package site

import (
	"io"
	"net"
	"net/http"
	"time"
)

// EarlyEnd is what an upstream does after a response that it sent before it read the body of
// the request.
type EarlyEnd int

// Ends of early responses.
const (
	ResetUnread EarlyEnd = iota // resets the connection and never reads the body
	HalfClose                   // ends its side of the connection in order, reads the body and closes
	EndUnread                   // ends the upstream as a crash does, which resets the connection
	ReadLater                   // reads the body and keeps the connection open
)

// earlyPause is the time from the last bytes of an early response to what follows it.
const earlyPause = 30 * time.Millisecond

// EarlyAnswer is a raw response that is sent before the body of the request is read.
type EarlyAnswer struct {
	Text func(run Run) string // the bytes; empty to read the body and respond as usual
	End  EarlyEnd
}

// SetEarlyAnswer makes the upstream respond to all further requests before it reads their
// bodies; nil ends that.
func (u *Upstream) SetEarlyAnswer(r *EarlyAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.early = r
}

// respondEarly sends the early response that is set, if any, and reports whether there was one.
func (u *Upstream) respondEarly(w http.ResponseWriter, req *http.Request) bool {
	u.mu.Lock()
	early := u.early
	u.mu.Unlock()
	if early == nil {
		return false
	}
	run := newRun(req, "")
	text := early.Text(*run)
	if text == "" {
		return false
	}
	u.addRun(run)
	defer u.endRun(run, "cut")
	h, ok := w.(http.Hijacker)
	if !ok {
		return true
	}
	conn, rw, err := h.Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	if gated, ok := conn.(*gatedConn); ok {
		conn = gated.Conn
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	_, _ = io.WriteString(conn, text)
	time.Sleep(earlyPause)
	switch early.End {
	case ResetUnread:
		_ = tcp.SetLinger(0)
		return true
	case EndUnread:
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
		u.End()
		return true
	case HalfClose:
		_ = tcp.CloseWrite()
	case ReadLater:
	}
	u.endRun(run, "done")
	_, _ = io.Copy(io.Discard, rw)
	return true
}

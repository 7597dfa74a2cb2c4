//go:build review

package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// NewID returns a new attempt id. Its first two digits tell the daemon to which the attempt is
// sent, so that a runner knows from which machine a request comes: on loopback all daemons have
// one address.
func NewID(daemon int) string { return fmt.Sprintf("%02x%014x", daemon, lastID.Add(1)) }

// SentTo returns the daemon to which an attempt was sent.
func SentTo(id string) string {
	if len(id) < 2 {
		return "?"
	}
	return id[:2]
}

// Request is one attempt of a client.
type Request struct {
	Method, Path, ID string
	Header           string // further lines, each with CRLF
	Body             string
	Timeout          time.Duration // X-Deadline-Ms, and how long the client waits
}

// Response is what the client received.
type Response struct {
	Status int // 0 for none
	Header http.Header
	Body   string
	Err    error // the answer was missing or incomplete
	Took   time.Duration
}

// Send sends the request on a new connection and reads the whole answer.
func (r Request) Send(address string) (out Response) {
	began := time.Now()
	defer func() { out.Took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Response{Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(r.Timeout))
	text := r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + Host + "\r\n"
	if r.ID != "" {
		text += "X-Attempt-Id: " + r.ID + fmt.Sprintf("\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.Timeout.Milliseconds(), Key)
	}
	text += r.Header
	if r.Method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := io.WriteString(c, text+"\r\n"+r.Body); err != nil {
		return Response{Err: err}
	}
	return ReadResponse(bufio.NewReader(c))
}

// ReadResponse reads one whole answer.
func ReadResponse(r *bufio.Reader) Response {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return Response{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

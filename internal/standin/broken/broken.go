// Package broken serves raw responses to tests of clients: ones that are no valid HTTP but look to
// lenient clients like a status 200 with a body, and odd but valid ones.
package broken

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/loopback"
)

const (
	firstReadBytes = 1024                  // of a request that is not read to its end
	resetPause     = 20 * time.Millisecond // between a response and the reset of its connection
)

// Responses returns broken responses with a body, by what is wrong with them.
func Responses(body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	sized := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunks := "Transfer-Encoding: chunked\r\n\r\n"
	if body != "" {
		chunks += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return map[string]string{
		"status 000":                  "HTTP/1.1 000 OK\r\n" + sized,
		"status 000, chunks":          "HTTP/1.1 000 OK\r\n" + chunks + "0\r\n\r\n",
		"status 000, until close":     "HTTP/1.1 000 OK\r\n\r\n" + body,
		"status 000, interim":         "HTTP/1.1 000 Wait\r\nContent-Length: 0\r\n\r\n" + ok + sized,
		"status 099, interim":         "HTTP/1.1 099 Wait\r\n\r\n" + ok + sized,
		"blank in a name":             ok + "X Trouble: yes\r\n" + sized,
		"blank in a name, chunks":     ok + "X Trouble: yes\r\n" + chunks + "0\r\n\r\n",
		"blank before the colon":      ok + "X-Trouble : yes\r\n" + sized,
		"blank before a colon, close": ok + "X-Trouble : yes\r\n\r\n" + body,
		"length with a blank":         ok + strings.Replace(sized, "Length", "Length ", 1),
		"control byte in a name":      ok + "X\x01Trouble: yes\r\n" + sized,
		"tab in a name":               ok + "X\tTrouble: yes\r\n" + sized,
		"blank in an interim name":    "HTTP/1.1 103 Early Hints\r\nX Trouble: yes\r\n\r\n" + ok + sized,
		"blank in a trailer":          ok + chunks + "0\r\nX Trouble: yes\r\n\r\n",
		"control byte in a trailer":   ok + chunks + "0\r\nX\x01Trouble: yes\r\n\r\n",
		"line feeds only":             strings.ReplaceAll(ok+"X Trouble: yes\r\nContent-Length: ", "\r\n", "\n") + fmt.Sprintf("%d\n\n%s", len(body), body),
	}
}

// SoundResponses returns odd but valid responses with status 200 and a body, by what is odd.
func SoundResponses(body string) map[string]string {
	sized := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunks := "Transfer-Encoding: chunked\r\n\r\n"
	for i := range body {
		chunks += "1\r\n" + body[i:i+1] + "\r\n"
	}
	return map[string]string{
		"empty reason phrase": "HTTP/1.1 200 \r\n" + sized,
		"small chunks":        "HTTP/1.1 200 OK\r\n" + chunks + "0\r\n\r\n",
		"until close":         "HTTP/1.1 200 OK\r\n\r\n" + body,
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + sized,
		"interim responses":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + sized,
		"odd fields":          "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: \u00e9\t:\r\nX-Empty:\r\n" + sized,
	}
}

// Serve answers each request, after it has read it, with the bytes of a response, and closes the
// connection. It returns the address at which it listens, on the loopback interface, until stop is
// called.
func Serve(response string) (address string, stop func(), err error) {
	return serve(func(c *net.TCPConn) { respond(c, response) })
}

// ServeReset is like Serve, but sends the response before it has read a request's body, and soon
// after resets the connection.
func ServeReset(response string) (address string, stop func(), err error) {
	return serve(func(c *net.TCPConn) {
		if _, err := c.Read(make([]byte, firstReadBytes)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		time.Sleep(resetPause)
		_ = c.SetLinger(0)
	})
}

// serve calls handle for each connection, and closes it afterwards.
func serve(handle func(c *net.TCPConn)) (address string, stop func(), err error) {
	address, err = loopback.Address()
	if err != nil {
		return "", nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if tcp, ok := c.(*net.TCPConn); ok {
					handle(tcp)
				}
			}()
		}
	}()
	return address, func() { _ = l.Close() }, nil
}

func respond(c net.Conn, response string) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(c, response)
}

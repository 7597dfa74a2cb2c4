package httpcheck

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/standin/broken"
)

const body = `{"rows": [1, 2, 3]}`

// clients returns functions that send a request with a body to a URL and return the body of a
// response with status 200.
func clients(t *testing.T, config *tls.Config) map[string]func(url string, body []byte) (string, error) {
	t.Helper()
	fast := &fasthttp.Client{Dial: Dial(fasthttp.Dial, config)}
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: config}
	SetTransport(transport)
	t.Cleanup(transport.CloseIdleConnections)
	t.Cleanup(fast.CloseIdleConnections)
	return map[string]func(string, []byte) (string, error){
		"fasthttp": func(url string, body []byte) (string, error) {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(req)
			defer fasthttp.ReleaseResponse(resp)
			req.SetRequestURI(url)
			req.Header.SetMethod(fasthttp.MethodPost)
			req.SetBodyRaw(body)
			if err := fast.DoTimeout(req, resp, 10*time.Second); err != nil {
				return "", err
			}
			return string(resp.Body()), nil
		},
		"net/http": func(url string, body []byte) (string, error) {
			resp, err := (&http.Client{Transport: transport}).Post(url, "", bytes.NewReader(body))
			if err != nil {
				return "", err
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			return string(data), err
		},
	}
}

// TestResponses sends each client broken responses and odd but valid ones.
func TestResponses(t *testing.T) {
	for client, post := range clients(t, nil) {
		for name, text := range broken.Responses(body) {
			t.Run(client+"/"+name, func(t *testing.T) {
				address, stop, err := broken.Serve(text)
				assert.NilError(t, err)
				defer stop()
				got, err := post("http://"+address+"/", []byte("x"))
				assert.ErrorContains(t, err, "malformed response of "+address, "%q", got)
			})
		}
		for name, text := range broken.SoundResponses(body) {
			t.Run(client+"/"+name, func(t *testing.T) {
				address, stop, err := broken.Serve(text)
				assert.NilError(t, err)
				defer stop()
				got, err := post("http://"+address+"/", []byte("x"))
				assert.NilError(t, err)
				assert.Equal(t, got, body)
			})
		}
	}
}

// TestReuse sends several requests on one connection, with responses of each framing.
func TestReuse(t *testing.T) {
	conns := make(map[string]bool)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conns[r.RemoteAddr] = true
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/chunks":
			_, _ = io.WriteString(w, body)
			w.(http.Flusher).Flush()
		case "/none":
			w.WriteHeader(http.StatusNoContent)
			return
		case "/empty":
			return
		}
		_, _ = io.WriteString(w, body)
	}))
	defer s.Close()
	for client, post := range clients(t, nil) {
		clear(conns)
		for range 3 {
			for path, want := range map[string]string{"/length": body, "/chunks": body + body, "/none": "", "/empty": ""} {
				got, err := post(s.URL+path, bytes.Repeat([]byte("x"), 100000))
				assert.NilError(t, err, "%s %s", client, path)
				assert.Equal(t, got, want, "%s %s", client, path)
			}
		}
		assert.Equal(t, len(conns), 1, client)
	}
}

// TestTLS checks that responses are checked after decryption.
func TestTLS(t *testing.T) {
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, body)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = c.Close()
	}))
	defer s.Close()
	config := s.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	config.ServerName, config.NextProtos = "example.com", nil
	for client, post := range clients(t, config) {
		got, err := post(s.URL+"/sound", []byte("x"))
		assert.NilError(t, err, client)
		assert.Equal(t, got, body, client)
		got, err = post(s.URL+"/trouble", []byte("x"))
		assert.ErrorContains(t, err, "status code", "%s: %q", client, got)
	}
}

// TestResetDuringUpload resets the connection within a response without a length while the request is
// still being written.
func TestResetDuringUpload(t *testing.T) {
	address, stop, err := broken.ServeReset("HTTP/1.1 200 OK\r\n\r\n" + body)
	assert.NilError(t, err)
	defer stop()
	for client, post := range clients(t, nil) {
		for range 20 {
			got, err := post("http://"+address+"/", make([]byte, 16<<20))
			assert.Assert(t, err != nil, "%s: %q", client, got)
		}
	}
}

// textConn is a connection from which text can be read.
type textConn struct {
	net.Conn
	r io.Reader
}

func (c textConn) Read(p []byte) (int, error)  { return c.r.Read(p) }
func (c textConn) Write(p []byte) (int, error) { return len(p), nil }
func (c textConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }
func (c textConn) Close() error                { return nil }

func (c textConn) SetWriteDeadline(time.Time) error { return nil }

// readAll reads a text through a Conn, byte by byte or at once.
func readAll(text string, byteWise bool) (string, error) {
	var r io.Reader = strings.NewReader(text)
	if byteWise {
		r = iotest.OneByteReader(r)
	}
	data, err := io.ReadAll(&Conn{Conn: textConn{r: r}})
	return string(data), err
}

// FuzzConn checks that the verdict does not depend on how a response is split, and that what is
// accepted has a valid status line and field names.
func FuzzConn(f *testing.F) {
	for _, text := range broken.Responses(body) {
		f.Add(text)
	}
	for _, text := range broken.SoundResponses(body) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := readAll(text, false)
		byteWise, byteErr := readAll(text, true)
		assert.Equal(t, err == nil, byteErr == nil, "%v, byte by byte %v", err, byteErr)
		if err != nil {
			assert.Assert(t, got == "" || len(text) > 512)
			assert.Assert(t, strings.HasPrefix(text, byteWise))
			return
		}
		assert.Equal(t, got, text)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return
		}
		assert.Assert(t, resp.StatusCode >= 100 && resp.StatusCode <= 599)
		for name := range resp.Header {
			assert.Assert(t, !strings.ContainsAny(name, " \t\x00\x01\x7f"), name)
		}
	})
}

// TestHeadTooLong bounds the memory for a head without end.
func TestHeadTooLong(t *testing.T) {
	_, err := readAll("HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("a", 2*maxHeadBytes), false)
	assert.ErrorContains(t, err, "longer")
}

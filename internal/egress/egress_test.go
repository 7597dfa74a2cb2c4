package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/loopback"
)

// testServer sends fixed responses, on each connection one after the other.
type testServer struct {
	address  string
	accepted chan struct{} // one element per accepted connection
}

// serve starts a server. With byteWise it writes each byte of a response separately.
// After a response that ends with "CLOSE" or "RESET" it closes or resets the connection.
func serve(t *testing.T, byteWise bool, responses ...string) *testServer {
	t.Helper()
	address, err := loopback.Address()
	assert.NilError(t, err)
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &testServer{address: address, accepted: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go respond(c, byteWise, responses)
		}
	}()
	return s
}

// respond reads one request per response, and sends the responses.
func respond(c net.Conn, byteWise bool, responses []string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, text := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text, closes := strings.CutSuffix(text, "CLOSE")
		text, resets := strings.CutSuffix(text, "RESET")
		if byteWise {
			for i := range text {
				_, _ = c.Write([]byte{text[i]})
				time.Sleep(100 * time.Microsecond)
			}
		} else {
			_, _ = io.WriteString(c, text)
		}
		if resets {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if closes {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// exchange sends a request and returns the body of the response.
func exchange(p *Pool, address string) (string, error) {
	c, err := p.Get(context.Background(), address, 4)
	if err != nil {
		return "", err
	}
	defer c.Release()
	if err := c.Start(context.Background(), []byte(request), nil); err != nil {
		return "", err
	}
	var h fasthttp.ResponseHeader
	if err := c.ReadHead(&h, time.Second); err != nil {
		return "", err
	}
	var body []byte
	for err == nil {
		body, err = c.ReadBody(body, time.Second)
	}
	if err == io.EOF {
		err = nil
	}
	return string(body), err
}

func TestResponseFramings(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, tt := range map[string]struct {
		text, body string
		complete   bool
	}{
		"length":               {ok + "Content-Length: 5\r\n\r\nhello", "hello", true},
		"no body":              {ok + "Content-Length: 0\r\n\r\n", "", true},
		"no content":           {"HTTP/1.1 204 No Content\r\n\r\n", "", true},
		"chunks":               {ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", "hello", true},
		"one chunk at the end": {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", true},
		"until close":          {ok + "\r\nhelloCLOSE", "hello", true},
		"interim response":     {"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello", "hello", true},
		"reset":                {ok + "\r\nhelloRESET", "hello", false},
		"body cut":             {ok + "Content-Length: 9\r\n\r\nhelloCLOSE", "hello", false},
		"chunks cut":           {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloCLOSE", "hello", false},
		"no last chunk":        {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nCLOSE", "hello", false},
		"two lengths":          {ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "", false},
		"no status line":       {"nonsense\r\n\r\n", "", false},
		"another protocol":     {"ICY 200 OK\r\n\r\n", "", false},
		"head cut":             {ok + "Content-LenCLOSE", "", false},
		"no bytes":             {"CLOSE", "", false},
		"empty reason phrase":  {"HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello", "hello", true},
		"no reason phrase":     {"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello", "hello", true},
		"unregistered status":  {"HTTP/1.1 599 Odd\r\nContent-Length: 5\r\n\r\nhello", "hello", true},
		"switch of protocols":  {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello", "", false},
		"status 000":           {"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello", "", false},
		"status 000, chunks":   {"HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "", false},
		"status 000 unframed":  {"HTTP/1.1 000 OK\r\n\r\nhelloCLOSE", "", false},
		"status 000, HTTP/1.0": {"HTTP/1.0 000\r\nContent-Length: 5\r\n\r\nhello", "", false},
		"status 600":           {"HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\nhello", "", false},
		"status of 4 digits":   {"HTTP/1.1 2000 OK\r\nContent-Length: 5\r\n\r\nhello", "", false},
		"status 000, interim":  {"HTTP/1.1 000 Wait\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello", "", false},
		"status 099, interim":  {"HTTP/1.1 099 Wait\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello", "", false},
	} {
		for _, byteWise := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				s := serve(t, byteWise, tt.text)
				body, err := exchange(NewPool(), s.address)
				assert.Equal(t, err == nil, tt.complete, "%v", err)
				assert.Equal(t, body, tt.body)
			})
		}
	}
}

// badFieldNames are field lines whose names contain a blank or a control byte.
var badFieldNames = map[string]string{
	"blank":                   "X Trouble: yes\r\n",
	"blank before the colon":  "X-Trouble : yes\r\n",
	"blank at the start":      " X-Trouble: yes\r\n",
	"blank before a length":   "Content -Length: 2\r\n",
	"tab":                     "X\tTrouble: yes\r\n",
	"tab before the colon":    "X-Trouble\t: yes\r\n",
	"zero byte":               "X\x00Trouble: yes\r\n",
	"control byte":            "X\x01Trouble: yes\r\n",
	"bell in Content-Length":  "Content\x07-Length: 2\r\n",
	"vertical tab":            "X\x0bTrouble: yes\r\n",
	"escape":                  "\x1bX-Trouble: yes\r\n",
	"delete":                  "X-Trouble\x7f: yes\r\n",
	"carriage return":         "X\rTrouble: yes\r\n",
	"line feed":               "X\nTrouble: yes\r\n",
	"only a blank":            " : yes\r\n",
	"no-break space in UTF-8": "X\u00a0Trouble: yes\r\n",
}

// TestFieldNames sends malformed field names in the head of the final response, in that of an interim
// one, and as trailers, with each framing.
func TestFieldNames(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, line := range badFieldNames {
		for place, text := range map[string]string{
			"length":                  ok + line + "Content-Length: 5\r\n\r\nhello",
			"length, last line":       ok + "Content-Length: 5\r\n" + line + "\r\nhello",
			"chunks":                  ok + line + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"chunks, last line":       ok + "Transfer-Encoding: chunked\r\n" + line + "\r\n5\r\nhello\r\n0\r\n\r\n",
			"until close":             ok + line + "\r\nhelloCLOSE",
			"interim":                 "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + ok + "Content-Length: 5\r\n\r\nhello",
			"trailer":                 ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + line + "\r\n",
			"trailer after a trailer": ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sound: yes\r\n" + line + "\r\n",
		} {
			t.Run(name+"/"+place, func(t *testing.T) {
				s := serve(t, false, text, ok+"Content-Length: 3\r\n\r\nsee")
				p := NewPool()
				defer p.Close()
				body, err := exchange(p, s.address)
				assert.Assert(t, err != nil, "body %q", body)
				if !strings.HasPrefix(place, "trailer") {
					assert.Equal(t, body, "")
				}
				_, _ = exchange(p, s.address)
				_, dials := p.Stats()
				assert.Equal(t, dials, int64(2), "the connection was reused")
			})
		}
	}
}

// TestOddFieldsAreKept checks heads that are odd but valid.
func TestOddFieldsAreKept(t *testing.T) {
	for name, line := range map[string]string{
		"empty value":             "X-Odd:\r\n",
		"all bytes of a token":    "!#$%&'*+-.^_`|~09azAZ: yes\r\n",
		"no blank after colon":    "X-Odd:yes\r\n",
		"blanks around the value": "X-Odd: \t yes \t \r\n",
		"tab in the value":        "X-Odd: a\tb\r\n",
		"colons in the value":     "X-Odd: a: b: c\r\n",
		"UTF-8 in the value":      "X-Odd: \u00e9\r\n",
		"repeated":                "X-Odd: a\r\nX-Odd: b\r\n",
		"many":                    strings.Repeat("X-Odd: "+strings.Repeat("a", 70)+"\r\n", 50),
		"many more":               strings.Repeat("X-Odd: "+strings.Repeat("a", 70)+"\r\n", 300),
		"long":                    "X-Odd: " + strings.Repeat("a", 20<<10) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, false, "HTTP/1.1 200 \r\n"+line+"Content-Length: 5\r\n\r\nhello")
			body, err := exchange(NewPool(), s.address)
			assert.NilError(t, err)
			assert.Equal(t, body, "hello")
		})
	}
}

// TestNoContentWithLength guards against a body that follows a 204 and becomes the head of the next
// response on the connection.
func TestNoContentWithLength(t *testing.T) {
	for line, dials := range map[string]int64{"Content-Length: 5": 2, "Transfer-Encoding: chunked": 2, "Content-Length: 0": 1} {
		text := "HTTP/1.1 204 No Content\r\n" + line + "\r\n\r\n"
		s := serve(t, false, text, text)
		p := NewPool()
		for range 2 {
			body, err := exchange(p, s.address)
			assert.NilError(t, err, line)
			assert.Equal(t, body, "", line)
		}
		_, got := p.Stats()
		assert.Equal(t, got, dials, line)
		p.Close()
	}
}

// TestConnectionReuse checks that a connection is reused only if the response ended
// cleanly, the upstream did not ask to close it and its idle timeout has not passed.
func TestConnectionReuse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
	for name, tt := range map[string]struct {
		text  string
		dials int64
	}{
		"reused":               {head + "\r\nhello", 1},
		"Connection: close":    {head + "Connection: close\r\n\r\nhello", 2},
		"closed by upstream":   {head + "\r\nhelloCLOSE", 2},
		"bytes after response": {head + "\r\nhelloHTTP/1.1 200 OK\r\n", 2},
		"idle timeout passed":  {head + "Keep-Alive: timeout=0\r\n\r\nhello", 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, false, tt.text, tt.text)
			p := NewPool()
			defer p.Close()
			for range 2 {
				body, err := exchange(p, s.address)
				assert.NilError(t, err)
				assert.Equal(t, body, "hello")
				time.Sleep(400 * time.Millisecond)
			}
			_, dials := p.Stats()
			assert.Equal(t, dials, tt.dials)
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	s := serve(t, false)
	p := NewPool()
	for range 3 {
		_, err := p.Get(context.Background(), s.address, 3)
		assert.NilError(t, err)
	}
	_, err := p.Get(context.Background(), s.address, 3)
	assert.Assert(t, errors.Is(err, ErrConnLimit))
}

func TestContextCancelClosesConnection(t *testing.T) {
	s := serve(t, false, "")
	p := NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Get(ctx, s.address, 1)
	assert.NilError(t, err)
	assert.NilError(t, c.Start(ctx, []byte(request), nil))
	time.AfterFunc(50*time.Millisecond, cancel)
	var h fasthttp.ResponseHeader
	start := time.Now()
	assert.Assert(t, c.ReadHead(&h, 5*time.Second) != nil)
	assert.Assert(t, time.Since(start) < time.Second)
	c.Close()
	open, _ := p.Stats()
	assert.Equal(t, open, 0)
}

// TestReadResumesAfterTimeout reads a response that arrives byte by byte with timeouts
// shorter than it takes, and checks that no byte is lost.
func TestReadResumesAfterTimeout(t *testing.T) {
	s := serve(t, true, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
	p := NewPool()
	c, err := p.Get(context.Background(), s.address, 1)
	assert.NilError(t, err)
	assert.NilError(t, c.Start(context.Background(), []byte(request), nil))
	var h fasthttp.ResponseHeader
	for err = ErrTimeout; err == ErrTimeout; {
		err = c.ReadHead(&h, time.Millisecond)
	}
	assert.NilError(t, err)
	var body []byte
	for err == nil || err == ErrTimeout {
		body, err = c.ReadBody(body, time.Millisecond)
	}
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, string(body), "hello")
}

package bench

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

const (
	readBufferBytes = 16 << 10
	openInterval    = 200 * time.Microsecond // pause after opening each connection
)

// Streams is a set of open response streams. Counts the tokens received on all of them.
type Streams struct {
	tokens atomic.Int64
	failed atomic.Int64
	conns  []net.Conn
}

// OpenStreams requests n streams of the given number of tokens.
func OpenStreams(ctx context.Context, t Target, n, tokens int) (*Streams, error) {
	s := &Streams{}
	body := fmt.Sprintf(`{"model":%q,"prompt":"a bench prompt","stream":true,"max_tokens":%d,"request_id":"b","attempt":1}`, t.Model, tokens)
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer %s\r\nRequest-Timeout: 600\r\nContent-Length: %d\r\n\r\n%s",
		completion.Path, t.Key, len(body), body)
	for range n {
		c, err := dial(ctx, t.Address)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.conns = append(s.conns, c)
		if _, err := c.Write([]byte(request)); err != nil {
			s.Close()
			return nil, errors.Wrap(err, "send stream request")
		}
		go s.countTokens(c)
		time.Sleep(openInterval)
	}
	return s, nil
}

// countTokens counts the events of one stream until it ends. A response head with a status other
// than 200 counts as a failure.
func (s *Streams) countTokens(c net.Conn) {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.Read(buf)
		s.tokens.Add(int64(bytes.Count(buf[:n], []byte("data: {"))))
		if bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 ")) && !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 200")) {
			s.failed.Add(1)
		}
		if err != nil {
			return
		}
	}
}

// TokenRate counts tokens for duration and returns the rate a second. Fails if any stream failed.
func (s *Streams) TokenRate(duration time.Duration) (float64, error) {
	before, start := s.tokens.Load(), time.Now()
	time.Sleep(duration)
	rate := float64(s.tokens.Load()-before) / time.Since(start).Seconds()
	if n := s.failed.Load(); n > 0 {
		return rate, errors.Errorf("%d streams got a status other than 200", n)
	}
	return rate, nil
}

// Close closes the connections of all streams.
func (s *Streams) Close() {
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// OpenIdle opens n connections, makes one plain call on each and leaves them idle. On an error it
// returns the connections opened so far.
func OpenIdle(ctx context.Context, t Target, n int) ([]net.Conn, error) {
	request := "GET /svc/p/x HTTP/1.1\r\nHost: b\r\nAuthorization: Bearer " + t.Key + "\r\n\r\n"
	conns := make([]net.Conn, 0, n)
	buf := make([]byte, readBufferBytes)
	for range n {
		c, err := dial(ctx, t.Address)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
		if _, err := c.Write([]byte(request)); err != nil {
			return conns, errors.Wrap(err, "send call on idle connection")
		}
		if _, err := c.Read(buf); err != nil {
			return conns, errors.Wrap(err, "read response on idle connection")
		}
	}
	return conns, nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	return c, errors.Wrap(err, "open connection")
}

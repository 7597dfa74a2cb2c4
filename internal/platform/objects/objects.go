// Package objects is the client of an object store with GET, PUT and DELETE of
// complete objects over HTTP.
package objects

import (
	"context"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/httpcheck"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// Bucket is the first segment of every object's path.
const Bucket = "lagoonmux"

const (
	callTimeout = 3 * time.Second
	idleTimeout = 10 * time.Second
)

// Store implements platform.Objects. Its methods are safe for concurrent use.
type Store struct {
	endpoint string
	http     fasthttp.Client
}

// New returns a client of the store at endpoint, which is a URL.
func New(endpoint string) *Store {
	return &Store{endpoint: endpoint, http: fasthttp.Client{
		Dial:                     httpcheck.DialURL(endpoint),
		NoDefaultUserAgentHeader: true,
		MaxIdleConnDuration:      idleTimeout,
		// No retries: a second attempt would double the time that the caller waits.
		MaxIdemponentCallAttempts: 1,
	}}
}

// Close closes idle connections.
func (s *Store) Close() { s.http.CloseIdleConnections() }

// Get implements platform.Objects.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	return s.call(ctx, fasthttp.MethodGet, name, nil)
}

// Put implements platform.Objects. A write replaces the whole object, so it is
// safe to retry one whose response was lost.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	_, err := s.call(ctx, fasthttp.MethodPut, name, data)
	return err
}

// Delete implements platform.Objects.
func (s *Store) Delete(ctx context.Context, name string) error {
	_, err := s.call(ctx, fasthttp.MethodDelete, name, nil)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

func (s *Store) call(ctx context.Context, method, name string, body []byte) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(s.endpoint + "/" + Bucket + "/" + url.PathEscape(name))
	req.SetBodyRaw(body)
	if err := s.http.DoDeadline(req, resp, deadline(ctx)); err != nil {
		return nil, errors.Wrapf(platform.ErrUnavailable, "%s object %s: %v", method, name, err)
	}
	switch code := resp.StatusCode(); {
	case code == fasthttp.StatusNotFound:
		return nil, platform.ErrNotFound
	case code >= fasthttp.StatusMultipleChoices:
		return nil, errors.Wrapf(platform.ErrUnavailable, "%s object %s: status %d", method, name, code)
	}
	return append([]byte(nil), resp.Body()...), nil
}

// deadline returns the deadline of ctx, at most callTimeout from now.
func deadline(ctx context.Context) time.Time {
	limit := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		return d
	}
	return limit
}

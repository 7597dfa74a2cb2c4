// Package ctl implements the commands of lagoonctl, most of which call the operator API of a
// daemon.
package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/httpcheck"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/settings"
)

// callTimeout bounds one call to a daemon.
const callTimeout = 15 * time.Second

// Exit codes of lagoonctl.
const (
	ExitFailure     = 1
	ExitInvalid     = 2 // the manifest violates a rule
	ExitUnreachable = 3 // the daemon could not be reached, or could not reach the platform
	ExitConflict    = 4 // another manifest with the same base was accepted first
)

// Error is the error of a failed command together with the exit code of lagoonctl.
type Error struct {
	Code  int
	Cause error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ExitCode returns the exit code for err, ExitFailure if err has none.
func ExitCode(err error) int {
	var ce *Error
	if errors.As(err, &ce) {
		return ce.Code
	}
	return ExitFailure
}

// Client calls the operator API of one daemon and prints the results to out.
type Client struct {
	address string
	scheme  string // http:// or https://
	out     io.Writer
	http    fasthttp.Client
}

// New returns a client of the daemon with the given operator address. It uses plain HTTP until
// UseTLS is called.
func New(address string, out io.Writer) *Client {
	c := &Client{address: address, scheme: "http://", out: out}
	c.http.Dial = httpcheck.Dial(fasthttp.Dial, nil)
	return c
}

// UseTLS makes the client use HTTPS, present its certificate to the daemon and verify the daemon's.
func (c *Client) UseTLS(t *settings.TLS) error {
	config, err := t.Config()
	if err != nil {
		return err
	}
	c.scheme = "https://"
	c.http.Dial = httpcheck.Dial(fasthttp.Dial, config)
	return nil
}

// Validate checks a manifest file locally, without calling a daemon. If the manifest violates a
// rule, the error has the exit code ExitInvalid.
func (c *Client) Validate(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read manifest")
	}
	if _, err := manifest.Parse(path, data); err != nil {
		return &Error{Code: ExitInvalid, Cause: err}
	}
	fmt.Fprintln(c.out, "valid")
	return nil
}

// Apply puts a manifest file in force as the successor of generation base and prints the new
// generation. If base is operator.BaseInForce, the manifest replaces the one that is in force at
// the daemon now. If another successor of base was accepted first, the error has the exit code
// ExitConflict.
func (c *Client) Apply(path string, base int64) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read manifest")
	}
	if base == operator.BaseInForce {
		var s operator.Status
		if err := c.call(fasthttp.MethodGet, operator.StatusPath, nil, &s); err != nil {
			return err
		}
		base = s.Generation
	}
	var resp operator.ApplyResponse
	uri := fmt.Sprintf("%s?file=%s&base=%d", operator.ManifestPath, url.QueryEscape(path), base)
	if err := c.call(fasthttp.MethodPost, uri, data, &resp); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "generation=%d\n", resp.Generation)
	return nil
}

// Manifest prints the manifest in force at the daemon, as JSON.
func (c *Client) Manifest() error {
	var m json.RawMessage
	if err := c.call(fasthttp.MethodGet, operator.ManifestPath, nil, &m); err != nil {
		return err
	}
	fmt.Fprintln(c.out, string(m))
	return nil
}

// call sends one request and decodes the JSON response into v. The error is an *Error if
// the daemon could not be reached or responded with an operator.ErrorResponse.
func (c *Client) call(method, uri string, body []byte, v any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.scheme + c.address + uri)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return &Error{Code: ExitUnreachable, Cause: errors.Wrapf(err, "call daemon %s", c.address)}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return responseError(resp)
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), v), "decode response of daemon")
}

// responseError returns the error for a response with a status other than 200.
func responseError(resp *fasthttp.Response) error {
	var f operator.ErrorResponse
	if err := json.Unmarshal(resp.Body(), &f); err != nil || f.Error == "" {
		return errors.Errorf("daemon responded with status %d: %s", resp.StatusCode(), resp.Body())
	}
	return &Error{Code: exitCodeOf(resp.StatusCode()), Cause: errors.New(f.Error)}
}

// exitCodeOf maps the HTTP status of an operator API error to an exit code.
func exitCodeOf(status int) int {
	switch status {
	case fasthttp.StatusUnprocessableEntity:
		return ExitInvalid
	case fasthttp.StatusConflict:
		return ExitConflict
	case fasthttp.StatusServiceUnavailable:
		return ExitUnreachable
	default:
		return ExitFailure
	}
}

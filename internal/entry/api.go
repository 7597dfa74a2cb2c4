// Package entry implements the HTTP interface of model and plain services. It
// authenticates and validates requests, runs them as calls on a Backend and encodes
// the results.
package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

// Header fields of requests and responses.
const (
	HeaderRequestID      = "Lagoonmux-Request-Id"
	HeaderOutcome        = "Lagoonmux-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderRetryAfter     = "Retry-After"
)

const (
	servicePrefix     = "/svc/"
	maxRequestTimeout = time.Hour // highest Request-Timeout that a caller may set
	defaultRetryAfter = time.Second
)

// Backend runs calls. Implementations may be called from any goroutine and
// return *call.Error.
type Backend interface {
	Stream(ctx context.Context, c *call.Call, sink call.Sink) error
	Plain(ctx context.Context, c *call.Call) (*call.Response, error)
}

// Observer records statistics of requests. Its methods may be called from any
// goroutine.
type Observer interface {
	Merge(r *obs.Request) // adds the samples so far of a long stream
	End(r *obs.Request, now time.Time)
}

// API serves HTTP requests as calls. It is an ingress.Handler.
type API struct {
	manifests *manifest.Current
	backend   Backend
	observer  Observer
	ready     func() bool
	requests  RequestStore // nil if asynchronous requests and lookups are not supported
}

// NewAPI returns an API that runs calls on backend under the current manifest and
// reports them to observer. ready reports whether the daemon is ready for callers.
func NewAPI(manifests *manifest.Current, backend Backend, observer Observer, ready func() bool) *API {
	return &API{manifests: manifests, backend: backend, observer: observer, ready: ready}
}

// requestError is the error of a request that is rejected before its call runs.
type requestError struct {
	status int
	text   string
}

func (e *requestError) Error() string { return e.text }

func reject(status int, text string) error { return &requestError{status: status, text: text} }

// exchange is one request and its response, with its statistics.
type exchange struct {
	*ingress.Exchange
	stats obs.Request
}

// Serve implements ingress.Handler.
func (a *API) Serve(ctx context.Context, ix *ingress.Exchange) {
	x := &exchange{Exchange: ix}
	path := string(x.Request.URI().Path())
	switch {
	case path == "/healthz":
		x.respondText(fasthttp.StatusOK, "ok\n")
	case path == "/readyz":
		a.serveReady(x)
	default:
		a.serveCall(ctx, x, path)
	}
}

func (a *API) serveReady(x *exchange) {
	if a.ready() && a.manifests.Load() != nil {
		x.respondText(fasthttp.StatusOK, "ready\n")
		return
	}
	x.respondText(fasthttp.StatusServiceUnavailable, "not ready\n")
}

func (a *API) serveCall(ctx context.Context, x *exchange, path string) {
	c, err := a.newCall(x)
	x.stats.Call = c
	defer a.reportEnd(x)
	if err != nil {
		x.respondError(c, err)
		return
	}
	switch {
	case strings.HasPrefix(path, servicePrefix):
		a.servePlain(ctx, x, c, path)
	case path == completion.ModelsPath:
		a.serveModels(x, c)
	case isModelPath(path):
		a.serveModel(ctx, x, c, path)
	case strings.HasPrefix(path, requestsPrefix) && a.requests != nil:
		a.serveLookup(ctx, x, c, strings.TrimPrefix(path, requestsPrefix))
	default:
		x.respondError(c, reject(fasthttp.StatusNotFound, "no such path"))
	}
}

// reportEnd reports the statistics of an ended request.
func (a *API) reportEnd(x *exchange) {
	x.stats.Gone = x.Disconnected()
	x.stats.Cut = !x.Complete()
	a.observer.End(&x.stats, time.Now())
}

// newCall authenticates the request and sets the fields that all calls have. With an
// error it returns the call too: the error response carries its id.
func (a *API) newCall(x *exchange) (*call.Call, error) {
	c := &call.Call{ID: uuid.NewString(), Arrived: x.Arrived, Trace: &trace.Trace{}}
	c.Manifest = a.manifests.Load()
	if c.Manifest == nil {
		return c, reject(fasthttp.StatusServiceUnavailable, "no manifest in force")
	}
	key, ok := strings.CutPrefix(string(x.Request.Header.Peek("Authorization")), "Bearer ")
	if ok {
		c.Customer = c.Manifest.CustomerByKey([]byte(key))
	}
	if c.Customer == nil {
		return c, reject(fasthttp.StatusUnauthorized, "unknown customer key")
	}
	c.IdempotencyKey = string(x.Request.Header.Peek(HeaderIdempotencyKey))
	return c, nil
}

// RejectHeaders implements ingress.Handler.
func (a *API) RejectHeaders(status int) string {
	lines := HeaderOutcome + ": " + string(call.NotRun) + "\r\n"
	if status == fasthttp.StatusServiceUnavailable {
		lines += HeaderRetryAfter + ": 1\r\n"
	}
	return lines
}

// Precheck implements ingress.Handler: it accepts a body only from a known customer
// and if at least one service allows bodies of that length.
func (a *API) Precheck(h *fasthttp.RequestHeader, length int) int {
	active := a.manifests.Load()
	if active == nil {
		return fasthttp.StatusServiceUnavailable
	}
	key, ok := strings.CutPrefix(string(h.Peek("Authorization")), "Bearer ")
	if !ok || active.CustomerByKey([]byte(key)) == nil {
		return fasthttp.StatusUnauthorized
	}
	for i := range active.Services {
		if length <= active.Services[i].MaxBodyBytes {
			return 0
		}
	}
	return fasthttp.StatusRequestEntityTooLarge
}

// bindService sets the service and the deadline of the call and checks the body's size.
func bindService(x *exchange, c *call.Call, s *manifest.Service) error {
	c.Service = s
	c.Class = s.Class
	if len(x.Request.Body()) > s.MaxBodyBytes {
		return reject(fasthttp.StatusRequestEntityTooLarge, "body exceeds the service's limit")
	}
	timeout := time.Duration(s.Target.TotalMS) * time.Millisecond
	if v := x.Request.Header.Peek(HeaderRequestTimeout); len(v) > 0 {
		seconds, err := strconv.ParseFloat(string(v), 64)
		if err != nil || !(seconds > 0) || seconds > maxRequestTimeout.Seconds() {
			return reject(fasthttp.StatusBadRequest, "Request-Timeout must be a positive number of seconds up to 3600")
		}
		timeout = time.Duration(seconds * float64(time.Second))
	}
	c.Deadline = c.Arrived.Add(timeout)
	return nil
}

func (a *API) servePlain(ctx context.Context, x *exchange, c *call.Call, path string) {
	if err := parsePlain(x, c, path); err != nil {
		x.respondError(c, err)
		return
	}
	if a.wantsAsync(x) {
		a.acceptAsync(ctx, x, c)
		return
	}
	ctx, cancel := x.WithDeadline(ctx, c.Deadline)
	defer cancel()
	plain, err := a.backend.Plain(ctx, c)
	if err != nil {
		x.respondError(c, err)
		return
	}
	resp := x.newResponse(c, plain.Status, plain.ContentType)
	resp.SetBodyRaw(plain.Body)
	_ = x.Respond(resp)
}

func parsePlain(x *exchange, c *call.Call, path string) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, servicePrefix), "/")
	s := c.Manifest.Service(name)
	if s == nil || s.Kind != manifest.Plain {
		return reject(fasthttp.StatusNotFound, "no such service")
	}
	if err := bindService(x, c, s); err != nil {
		return err
	}
	c.Method = string(x.Request.Header.Method())
	c.Path = "/" + rest
	route := s.Route(c.Method, c.Path)
	if route == nil {
		return reject(fasthttp.StatusNotFound, "no such route")
	}
	c.Class = route.Class
	c.Repeatable = route.Repeatable
	if !c.Repeatable && c.IdempotencyKey == "" {
		return reject(fasthttp.StatusBadRequest, "Idempotency-Key is required: the route may not be repeated")
	}
	if query := x.Request.URI().QueryString(); len(query) > 0 {
		c.Path += "?" + string(query)
	}
	c.ContentType = string(x.Request.Header.ContentType())
	c.Body = x.Request.Body()
	return nil
}

// newResponse returns a response with outcome answered and without a body. It records
// status and outcome in the statistics.
func (x *exchange) newResponse(c *call.Call, status int, contentType string) *fasthttp.Response {
	x.stats.Status = status
	x.stats.Outcome = call.Answered
	resp := fasthttp.AcquireResponse()
	resp.SetStatusCode(status)
	resp.Header.SetContentType(contentType)
	resp.Header.Set(HeaderRequestID, c.ID)
	resp.Header.Set(HeaderOutcome, string(call.Answered))
	return resp
}

func (x *exchange) respondText(status int, text string) {
	resp := fasthttp.AcquireResponse()
	resp.SetStatusCode(status)
	resp.SetBodyString(text)
	_ = x.Respond(resp)
}

// respondError sends the status, outcome and message of err.
func (x *exchange) respondError(c *call.Call, err error) {
	resp := fasthttp.AcquireResponse()
	resp.Header.Set(HeaderRequestID, c.ID)
	resp.Header.Set(HeaderOutcome, string(call.NotRun))
	resp.SetStatusCode(fasthttp.StatusInternalServerError)
	var re *requestError
	if errors.As(err, &re) {
		resp.SetStatusCode(re.status)
	}
	var ce *call.Error
	if errors.As(err, &ce) {
		resp.SetStatusCode(ce.Status)
		resp.Header.Set(HeaderOutcome, string(ce.Outcome))
		setRetryAfter(resp, ce)
	}
	x.stats.Status = resp.StatusCode()
	x.stats.Outcome = call.Outcome(resp.Header.Peek(HeaderOutcome))
	code := string(x.stats.Outcome)
	body, merr := json.Marshal(completion.ErrorResponse{Error: completion.ErrorDetail{Message: err.Error(), Type: errorType(x.stats.Status), Code: code}})
	if merr == nil { // marshaling strings never fails
		resp.Header.SetContentType(contentTypeJSON)
		resp.SetBodyRaw(body)
	}
	_ = x.Respond(resp)
}

// errorType returns the type of the error response with status.
func errorType(status int) string {
	switch {
	case status == fasthttp.StatusUnauthorized:
		return completion.AuthenticationError
	case status == fasthttp.StatusTooManyRequests:
		return completion.RateLimitError
	case status < fasthttp.StatusInternalServerError:
		return completion.InvalidRequestError
	}
	return completion.ServerError
}

// serveModels lists the model services.
func (a *API) serveModels(x *exchange, c *call.Call) {
	if !x.Request.Header.IsGet() {
		x.respondError(c, reject(fasthttp.StatusMethodNotAllowed, "use GET"))
		return
	}
	var names []string
	for i := range c.Manifest.Services {
		if s := &c.Manifest.Services[i]; s.Kind == manifest.Model {
			names = append(names, s.Name)
		}
	}
	resp := fasthttp.AcquireResponse()
	resp.Header.Set(HeaderRequestID, c.ID)
	x.respondJSON(resp, fasthttp.StatusOK, completion.NewModelList(names))
}

func setRetryAfter(resp *fasthttp.Response, ce *call.Error) {
	if ce.Outcome != call.NotRun {
		return
	}
	wait := ce.RetryAfter
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	seconds := int((wait + time.Second - 1) / time.Second)
	resp.Header.Set(HeaderRetryAfter, strconv.Itoa(seconds))
}

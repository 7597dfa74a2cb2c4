// Package entry is the interface for completions and plain services: it maps
// HTTP requests to calls and calls to answers.
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

// Headers of requests and answers.
const (
	HeaderRequestID      = "Lagoonmux-Request-Id"
	HeaderOutcome        = "Lagoonmux-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderRetryAfter     = "Retry-After"
)

const (
	servicePrefix  = "/svc/"
	maxTimeout     = time.Hour
	defaultRetryIn = time.Second
)

// Backend runs calls. Implementations may be called from any goroutine and
// return *call.Error.
type Backend interface {
	Stream(ctx context.Context, c *call.Call, sink call.Sink) error
	Plain(ctx context.Context, c *call.Call) (*call.Response, error)
}

// Observer takes in what was seen of requests. Its methods may be called from
// any goroutine.
type Observer interface {
	Merge(r *obs.Request) // of a long stream, on the way
	End(r *obs.Request, now time.Time)
}

// API maps HTTP requests to calls.
type API struct {
	manifests *manifest.Current
	backend   Backend
	observer  Observer
	ready     func() bool
	requests  Requests // nil where none are kept
}

// NewAPI returns an API that runs calls by backend under the manifest in force
// and reports them to observer.
func NewAPI(manifests *manifest.Current, backend Backend, observer Observer, ready func() bool) *API {
	return &API{manifests: manifests, backend: backend, observer: observer, ready: ready}
}

// requestError is a request that is refused before it becomes a call.
type requestError struct {
	status int
	text   string
}

func (e *requestError) Error() string { return e.text }

func refuse(status int, text string) error { return &requestError{status: status, text: text} }

// exchange is one request and its answer, with what was seen of it.
type exchange struct {
	*ingress.Exchange
	seen obs.Request
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
	x.seen.Call = c
	defer a.observe(x)
	if err != nil {
		x.respondError(c, err)
		return
	}
	switch {
	case strings.HasPrefix(path, servicePrefix):
		a.servePlain(ctx, x, c, path)
	case path == completion.ModelsPath:
		a.serveModels(x, c)
	case modelPath(path):
		a.serveModel(ctx, x, c, path)
	case strings.HasPrefix(path, requestsPrefix) && a.requests != nil:
		a.serveRequest(ctx, x, c, strings.TrimPrefix(path, requestsPrefix))
	default:
		x.respondError(c, refuse(fasthttp.StatusNotFound, "no such path"))
	}
}

// observe reports the end of a request.
func (a *API) observe(x *exchange) {
	x.seen.Gone = x.Gone()
	x.seen.Cut = !x.Whole()
	a.observer.End(&x.seen, time.Now())
}

// newCall authenticates the request and fills what all calls have in common.
func (a *API) newCall(x *exchange) (*call.Call, error) {
	c := &call.Call{ID: uuid.NewString(), Arrived: x.Arrived, Trace: &trace.Trace{}}
	c.Manifest = a.manifests.Load()
	if c.Manifest == nil {
		return c, refuse(fasthttp.StatusServiceUnavailable, "no manifest in force")
	}
	key, ok := strings.CutPrefix(string(x.Request.Header.Peek("Authorization")), "Bearer ")
	if ok {
		c.Customer = c.Manifest.CustomerByKey([]byte(key))
	}
	if c.Customer == nil {
		return c, refuse(fasthttp.StatusUnauthorized, "unknown customer key")
	}
	c.IdempotencyKey = string(x.Request.Header.Peek(HeaderIdempotencyKey))
	return c, nil
}

// Refusal implements ingress.Handler.
func (a *API) Refusal(status int) string {
	lines := HeaderOutcome + ": " + string(call.NotRun) + "\r\n"
	if status == fasthttp.StatusServiceUnavailable {
		lines += HeaderRetryAfter + ": 1\r\n"
	}
	return lines
}

// Precheck implements ingress.Handler: a large body is wanted if its customer
// is known and a service takes bodies of that length.
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

// setService binds the call to a service and derives its deadline.
func setService(x *exchange, c *call.Call, s *manifest.Service) error {
	c.Service = s
	c.Class = s.Class
	if len(x.Request.Body()) > s.MaxBodyBytes {
		return refuse(fasthttp.StatusRequestEntityTooLarge, "body exceeds the service's limit")
	}
	patience := time.Duration(s.Target.TotalMS) * time.Millisecond
	if v := x.Request.Header.Peek(HeaderRequestTimeout); len(v) > 0 {
		seconds, err := strconv.ParseFloat(string(v), 64)
		if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
			return refuse(fasthttp.StatusBadRequest, "Request-Timeout must be a positive number of seconds up to 3600")
		}
		patience = time.Duration(seconds * float64(time.Second))
	}
	c.Deadline = c.Arrived.Add(patience)
	return nil
}

func (a *API) servePlain(ctx context.Context, x *exchange, c *call.Call, path string) {
	if err := fillPlain(x, c, path); err != nil {
		x.respondError(c, err)
		return
	}
	if a.wantsAsync(x) {
		a.accept(ctx, x, c)
		return
	}
	ctx, cancel := x.WithDeadline(ctx, c.Deadline)
	defer cancel()
	reply, err := a.backend.Plain(ctx, c)
	if err != nil {
		x.respondError(c, err)
		return
	}
	resp := x.answered(c, reply.Status, reply.ContentType)
	resp.SetBodyRaw(reply.Body)
	_ = x.Respond(resp)
}

func fillPlain(x *exchange, c *call.Call, path string) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, servicePrefix), "/")
	s := c.Manifest.Service(name)
	if s == nil || s.Kind != manifest.Plain {
		return refuse(fasthttp.StatusNotFound, "no such service")
	}
	if err := setService(x, c, s); err != nil {
		return err
	}
	c.Method = string(x.Request.Header.Method())
	c.Path = "/" + rest
	route := s.Route(c.Method, c.Path)
	if route == nil {
		return refuse(fasthttp.StatusNotFound, "no such route")
	}
	c.Class = route.Class
	c.Repeatable = route.Repeatable
	if !c.Repeatable && c.IdempotencyKey == "" {
		return refuse(fasthttp.StatusBadRequest, "Idempotency-Key is required: the route may not be repeated")
	}
	if query := x.Request.URI().QueryString(); len(query) > 0 {
		c.Path += "?" + string(query)
	}
	c.ContentType = string(x.Request.Header.ContentType())
	c.Body = x.Request.Body()
	return nil
}

// answered returns the header of an answer that a call got.
func (x *exchange) answered(c *call.Call, status int, contentType string) *fasthttp.Response {
	x.seen.Status = status
	x.seen.Outcome = call.Answered
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

// respondError sends the status and outcome that err stands for.
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
	x.seen.Status = resp.StatusCode()
	x.seen.Outcome = call.Outcome(resp.Header.Peek(HeaderOutcome))
	code := string(x.seen.Outcome)
	body, merr := json.Marshal(completion.Failure{Error: completion.FailureDetail{Message: err.Error(), Type: failureType(x.seen.Status), Code: code}})
	if merr == nil { // texts always encode
		resp.Header.SetContentType(typeJSON)
		resp.SetBodyRaw(body)
	}
	_ = x.Respond(resp)
}

// failureType tells programs what kind of error a status is.
func failureType(status int) string {
	switch {
	case status == fasthttp.StatusUnauthorized:
		return completion.TypeKey
	case status == fasthttp.StatusTooManyRequests:
		return completion.TypeLimit
	case status < fasthttp.StatusInternalServerError:
		return completion.TypeInvalid
	}
	return completion.TypeServer
}

// serveModels lists the model services.
func (a *API) serveModels(x *exchange, c *call.Call) {
	if !x.Request.Header.IsGet() {
		x.respondError(c, refuse(fasthttp.StatusMethodNotAllowed, "use GET"))
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
		wait = defaultRetryIn
	}
	seconds := int((wait + time.Second - 1) / time.Second)
	resp.Header.Set(HeaderRetryAfter, strconv.Itoa(seconds))
}

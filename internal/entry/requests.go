package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/serve"
)

const (
	requestsPrefix      = "/v1/requests/"
	headerPrefer        = "Prefer"
	headerLastEventID   = "Last-Event-ID"
	respondAsync        = "respond-async"
	defaultAsyncTimeout = time.Hour // if the caller sets no Request-Timeout
	acceptTimeout       = 5 * time.Second
	lookupTimeout       = 5 * time.Second
	tokenStreamTimeout  = time.Hour
)

// RequestStore stores asynchronous requests, and looks up these and other recorded
// requests. Its methods may be called from any goroutine.
type RequestStore interface {
	// Accept stores a call and returns the id of the request. Once it returns without
	// an error, the call must be processed even if this daemon stops.
	Accept(ctx context.Context, c *call.Call) (string, error)
	// Status returns the status of a request, or serve.ErrNoRequest.
	Status(ctx context.Context, customer, id string) (*serve.Status, error)
	// Follow passes the tokens of a request to sink as they are generated, from
	// index from to the last.
	Follow(ctx context.Context, customer, id string, from int, sink call.Sink) error
}

// SetRequestStore makes the API accept asynchronous requests. It must be called before
// the first request.
func (a *API) SetRequestStore(r RequestStore) { a.requests = r }

// wantsAsync reports whether the caller prefers an asynchronous response (RFC 7240) and
// the API supports it.
func (a *API) wantsAsync(x *exchange) bool {
	if a.requests == nil {
		return false
	}
	for _, p := range strings.Split(string(x.Request.Header.Peek(headerPrefer)), ",") {
		if strings.TrimSpace(p) == respondAsync {
			return true
		}
	}
	return false
}

// acceptedResponse is the body of the response to an accepted asynchronous request.
type acceptedResponse struct {
	ID       string `json:"request_id"`
	Location string `json:"location"`
}

// acceptAsync stores the call and responds with 202.
func (a *API) acceptAsync(ctx context.Context, x *exchange, c *call.Call) {
	timeout := acceptTimeout
	if len(x.Request.Header.Peek(HeaderRequestTimeout)) == 0 {
		c.Deadline = c.Arrived.Add(defaultAsyncTimeout)
	}
	c.Class = manifest.Lot
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	id, err := a.requests.Accept(ctx, c)
	if err != nil {
		x.respondError(c, err)
		return
	}
	location := requestsPrefix + id
	resp := fasthttp.AcquireResponse()
	resp.Header.Set(HeaderRequestID, id)
	resp.Header.Set(fasthttp.HeaderLocation, location)
	x.respondJSON(resp, fasthttp.StatusAccepted, acceptedResponse{ID: id, Location: location})
}

// respondJSON sends v as the body of resp.
func (x *exchange) respondJSON(resp *fasthttp.Response, status int, v any) {
	x.stats.Status = status
	resp.SetStatusCode(status)
	resp.Header.SetContentType(contentTypeJSON)
	body, err := json.Marshal(v)
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	resp.SetBodyRaw(body)
	_ = x.Respond(resp)
}

// requestStatus is the body of the response to a lookup of a recorded request.
type requestStatus struct {
	ID       string         `json:"request_id"`
	State    string         `json:"state"`
	Outcome  string         `json:"outcome,omitempty"` // empty until the request has ended
	Reason   string         `json:"reason,omitempty"`
	Tokens   int            `json:"tokens,omitempty"`
	Text     string         `json:"text,omitempty"` // generated so far
	Response *plainResponse `json:"reply,omitempty"`
}

// plainResponse is the recorded response of a plain service.
type plainResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body,omitempty"`
}

// serveLookup responds with the status of a recorded request. For a model service and
// with Last-Event-ID, it streams the tokens after that one instead.
func (a *API) serveLookup(ctx context.Context, x *exchange, c *call.Call, id string) {
	if !x.Request.Header.IsGet() {
		x.respondLookupError(fasthttp.StatusMethodNotAllowed, errors.New("use GET"))
		return
	}
	lookup, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	s, err := a.requests.Status(lookup, c.Customer.Name, id)
	if err != nil {
		x.respondLookupError(lookupErrorStatus(err), err)
		return
	}
	c.ID = id
	if lastID := x.Request.Header.Peek(headerLastEventID); len(lastID) > 0 && s.Model {
		a.follow(ctx, x, c, s, string(lastID))
		return
	}
	resp := fasthttp.AcquireResponse()
	resp.Header.Set(HeaderRequestID, id)
	if s.Ended() {
		resp.Header.Set(HeaderOutcome, s.Outcome)
	}
	x.respondJSON(resp, fasthttp.StatusOK, newRequestStatus(s))
}

func newRequestStatus(s *serve.Status) *requestStatus {
	out := &requestStatus{ID: s.ID, State: s.State, Outcome: s.Outcome, Reason: s.Reason, Tokens: s.Tokens, Text: s.Text}
	if s.Response != nil {
		out.Response = &plainResponse{Status: s.Response.Status, ContentType: s.Response.ContentType, Body: string(s.Response.Body)}
	}
	return out
}

// lookupError is the body of the response to a failed lookup. It has no outcome,
// because the outcome of the recorded request is not known then.
type lookupError struct {
	Error string `json:"error"`
}

func (x *exchange) respondLookupError(status int, err error) {
	x.respondJSON(fasthttp.AcquireResponse(), status, lookupError{Error: err.Error()})
}

func lookupErrorStatus(err error) int {
	if errors.Is(err, serve.ErrNoRequest) {
		return fasthttp.StatusNotFound
	}
	return fasthttp.StatusServiceUnavailable
}

// follow streams the tokens after the one with index lastID.
func (a *API) follow(ctx context.Context, x *exchange, c *call.Call, s *serve.Status, lastID string) {
	index, err := strconv.Atoi(lastID)
	if err != nil || index < -1 {
		x.respondLookupError(fasthttp.StatusBadRequest, errors.New("Last-Event-ID must be the index of a token, or -1"))
		return
	}
	c.Chat = s.Chat
	if c.Service = c.Manifest.Service(s.Service); c.Service == nil {
		x.respondLookupError(fasthttp.StatusNotFound, errors.New("the service is no longer declared"))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tokenStreamTimeout)
	defer cancel()
	sink := &streamSink{tokenObserver: tokenObserver{x: x, observer: a.observer}, c: c}
	err = a.requests.Follow(ctx, c.Customer.Name, c.ID, index+1, sink)
	switch {
	case err == nil:
		_ = sink.finish()
	case sink.encoder == nil:
		x.respondLookupError(lookupErrorStatus(err), err)
	}
}

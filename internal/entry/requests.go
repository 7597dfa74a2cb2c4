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
	requestsPrefix    = "/v1/requests/"
	headerPrefer      = "Prefer"
	headerLastEventID = "Last-Event-ID"
	respondAsync      = "respond-async"
	asyncTimeout      = time.Hour // where the caller names none
	acceptTimeout     = 5 * time.Second
	lookupTimeout     = 5 * time.Second
	followTimeout     = time.Hour
)

// Requests keeps accepted requests and tells what became of recorded ones. Its
// methods may be called from any goroutine.
type Requests interface {
	// Accept keeps a call; once it returns without error, the call is owed under
	// the returned id.
	Accept(ctx context.Context, c *call.Call) (string, error)
	// Status returns what is known of a request, or serve.ErrNoRequest.
	Status(ctx context.Context, customer, id string) (*serve.Status, error)
	// Follow passes the tokens from an index on to sink until the last.
	Follow(ctx context.Context, customer, id string, from int, sink call.Sink) error
}

// KeepRequests makes the API accept requests to be answered later. It must be
// called before the first request.
func (a *API) KeepRequests(r Requests) { a.requests = r }

// wantsAsync tells whether the caller asks for an answer later (RFC 7240).
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

// accepted is the body of the answer to an accepted request.
type accepted struct {
	ID       string `json:"request_id"`
	Location string `json:"location"`
}

// accept keeps the call and answers 202.
func (a *API) accept(ctx context.Context, x *exchange, c *call.Call) {
	patience := acceptTimeout
	if len(x.Request.Header.Peek(HeaderRequestTimeout)) == 0 {
		c.Deadline = c.Arrived.Add(asyncTimeout)
	}
	c.Class = manifest.Lot
	ctx, cancel := context.WithTimeout(ctx, patience)
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
	x.respondJSON(resp, fasthttp.StatusAccepted, accepted{ID: id, Location: location})
}

// respondJSON sends v with the headers that resp has.
func (x *exchange) respondJSON(resp *fasthttp.Response, status int, v any) {
	x.seen.Status = status
	resp.SetStatusCode(status)
	resp.Header.SetContentType(typeJSON)
	body, err := json.Marshal(v)
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	resp.SetBodyRaw(body)
	_ = x.Respond(resp)
}

// requestStatus is the body of the answer about a recorded request.
type requestStatus struct {
	ID      string       `json:"request_id"`
	State   string       `json:"state"`
	Outcome string       `json:"outcome,omitempty"` // of an ended request
	Reason  string       `json:"reason,omitempty"`
	Tokens  int          `json:"tokens,omitempty"`
	Text    string       `json:"text,omitempty"` // so far
	Reply   *replyStatus `json:"reply,omitempty"`
}

// replyStatus is the recorded answer of a plain service.
type replyStatus struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body,omitempty"`
}

// serveRequest answers with what is known of a request, or goes on with its
// stream.
func (a *API) serveRequest(ctx context.Context, x *exchange, c *call.Call, id string) {
	if !x.Request.Header.IsGet() {
		x.respondLookup(fasthttp.StatusMethodNotAllowed, errors.New("use GET"))
		return
	}
	lookup, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	s, err := a.requests.Status(lookup, c.Customer.Name, id)
	if err != nil {
		x.respondLookup(lookupStatus(err), err)
		return
	}
	c.ID = id
	if last := x.Request.Header.Peek(headerLastEventID); len(last) > 0 && s.Model {
		a.follow(ctx, x, c, s, string(last))
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
		out.Reply = &replyStatus{Status: s.Response.Status, ContentType: s.Response.ContentType, Body: string(s.Response.Body)}
	}
	return out
}

// lookupFailure is the body of the answer to a lookup that failed. It says
// nothing of the request's outcome, which such an answer doesn't know.
type lookupFailure struct {
	Error string `json:"error"`
}

func (x *exchange) respondLookup(status int, err error) {
	x.respondJSON(fasthttp.AcquireResponse(), status, lookupFailure{Error: err.Error()})
}

func lookupStatus(err error) int {
	if errors.Is(err, serve.ErrNoRequest) {
		return fasthttp.StatusNotFound
	}
	return fasthttp.StatusServiceUnavailable
}

// follow streams the tokens after the last that the caller has.
func (a *API) follow(ctx context.Context, x *exchange, c *call.Call, s *serve.Status, last string) {
	index, err := strconv.Atoi(last)
	if err != nil || index < -1 {
		x.respondLookup(fasthttp.StatusBadRequest, errors.New("Last-Event-ID must be the index of a token, or -1"))
		return
	}
	c.Chat = s.Chat
	if c.Service = c.Manifest.Service(s.Service); c.Service == nil {
		x.respondLookup(fasthttp.StatusNotFound, errors.New("the service is no longer declared"))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	sink := &streamSink{observed: observed{x: x, observer: a.observer}, c: c}
	err = a.requests.Follow(ctx, c.Customer.Name, c.ID, index+1, sink)
	switch {
	case err == nil:
		_ = sink.done()
	case sink.encoder == nil:
		x.respondLookup(lookupStatus(err), err)
	}
}

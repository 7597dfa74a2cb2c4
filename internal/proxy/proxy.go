// Package proxy serves requests: it admits a request, sends it to upstreams, retries or
// resumes it where its route allows that, and relays the response. It does not depend on
// the wire format (see Codec) and does not interpret request bodies.
//
// It guarantees that
//   - a request that may run only once is sent again only if no byte of it can have
//     reached an upstream, or if the upstream stated that it did not run it;
//   - a response is relayed only after its id, seal and framing were checked;
//   - an incomplete response never looks complete to the caller;
//   - a status that means "not run" is sent only for requests that did not run and
//     never will;
//   - a request is sent to an upstream that names a request rate only with a permit;
//   - a request in quarantine, or with a prompt segment in quarantine, is not sent, but for
//     single trials.
//
// All of this holds for hedges too: a request that may run twice can be sent to a second
// upstream while the first has not answered. Only one of the two responses is relayed.
package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/admission"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/egress"
	"github.com/lagoonmux/lagoonmux/internal/hedge"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
	"github.com/lagoonmux/lagoonmux/internal/membudget"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/quota"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
	"github.com/lagoonmux/lagoonmux/internal/silence"
)

// Request is a request as decoded by a Codec.
type Request struct {
	ID              string // chosen by the caller; a new one for each attempt of the caller
	Method          string
	Host            string
	Path            string        // as received, with the query
	APIKey          string        // of the customer; empty for none
	Timeout         time.Duration // set by the caller; 0 for none
	Prompt          []place.Segment
	PromptTokens    int    // 0 if not given
	MaxOutputTokens int    // 0 if not given
	LastEventID     string // of the last event that the caller received earlier; empty for none
	Body            []byte
	Head            []byte // as received
}

// Tokens returns the prompt tokens plus the maximum of output tokens, 0 if neither is given.
func (r *Request) Tokens() int { return r.PromptTokens + r.MaxOutputTokens }

// UpstreamParams are the values that a Codec adds to a request for an upstream.
type UpstreamParams struct {
	Timeout     time.Duration // until the request's deadline
	UpstreamID  string        // the upstream that is to run the request
	Customer    string        // name; empty if the route needs no key
	Urgency     int           // in the upstream's queue: 0 is the highest, 9 the lowest
	LastEventID string        // after which a resumed stream continues; empty for none
	FetchFrom   string        // address of an upstream to fetch cached prompt segments from; empty for none
}

// ResponseInfo is what a Codec reads from the head of an upstream's response.
type ResponseInfo struct {
	ID            string // of the request that it responds to; empty if missing
	Sealed        bool   // has the seal, a header field that marks responses of upstreams
	NotRun        bool   // the upstream did not run the request and never will
	Misplaced     bool   // the response is from an upstream that the request was not meant for
	ImpliesNotRun bool   // the status tells the caller that the request did not run
	HasLoad       bool   // Load is set
	Load          place.LoadReport
	Leaving       bool          // the upstream is about to stop
	Pause         time.Duration // during which the upstream wants no requests from this daemon; 0 for none
	HasRateLimit  bool          // the upstream named RateLimit
	RateLimit     float64       // requests per second that the upstream takes from all daemons together
	IgnoredField  string        // name of a field whose value is invalid; empty for none
	IgnoredLoad   string        // name of the field for Load if its value is invalid; empty otherwise
}

// Codec translates between a wire format and Requests. Its methods must be safe for
// concurrent use.
type Codec interface {
	// Decode decodes a request. An error means that the request is malformed.
	Decode(x *ingress.Exchange) (*Request, error)
	// Encode appends the head of the request for an upstream to buf.
	Encode(buf []byte, r *Request, p UpstreamParams) []byte
	// DecodeResponse decodes the head of a response.
	DecodeResponse(h *fasthttp.ResponseHeader) ResponseInfo
	// CopyHead copies the status and the fields that the caller may see.
	CopyHead(from *fasthttp.ResponseHeader, to *fasthttp.Response)
	// LocalReply fills in a response that the daemon sends itself. A retryAfter of 0
	// leaves out the time after which the caller may retry. r is nil if the request could
	// not be decoded.
	LocalReply(to *fasthttp.Response, r *Request, status int, retryAfter time.Duration)
}

// Observer is notified of what happens to requests. Its methods must be safe for
// concurrent use and must not block.
type Observer interface {
	// RequestStarted is called once for each request of a customer, when the first event
	// or the complete response has arrived.
	RequestStarted(customer string)
	// UpstreamLeaving is called for each response in which an upstream announces that
	// it is about to stop.
	UpstreamLeaving(u *roster.Upstream)
	// AnswerBroken is called for each response that the upstream broke off by ending its
	// connection.
	AnswerBroken(b BrokenAnswer)
	// AnswerMalformed is called for each response, to the request with an id, that is not valid
	// HTTP.
	AnswerMalformed(id, service string, u *roster.Upstream, err error)
	// AttemptEnded is called once for each attempt of a request, at its first event or whole
	// response or when it ends without one, and again if its stream breaks off later.
	AttemptEnded(r AttemptReport)
	// RequestEnded is called once per request, after its response.
	RequestEnded(r *Record)
}

// Limiter enforces the limits of customers. Its methods must be safe for concurrent use;
// now is boot time, which also advances while the VM is suspended.
type Limiter interface {
	// Take admits a request, or decides how long its caller must wait.
	Take(ctx context.Context, r quota.Request, now time.Duration) quota.Decision
	// Refund returns the cost of a request that did not run.
	Refund(customer string, cost float64)
}

// Throttle keeps all daemons together within the request rates that upstreams name in
// their responses. Its methods must be safe for concurrent use.
type Throttle interface {
	// RateNamed records the rate that a response named, in requests per second.
	RateNamed(u *roster.Upstream, rate float64)
	// NoRateNamed records that the response to a request sent at a boot time named no rate.
	NoRateNamed(u *roster.Upstream, sentAt time.Duration)
	// Acquire asks for the permit to send one request to an upstream, which must be used
	// at once. A wait above 0 means that there is none, and for how long this daemon is to
	// send nothing there; err tells why no daemon decided.
	Acquire(ctx context.Context, u *roster.Upstream) (wait time.Duration, err error)
}

// Quarantine keeps requests from upstreams that would end under them. Its methods must be
// safe for concurrent use. subjects are those of one request.
type Quarantine interface {
	// Check returns why a request must not be sent, nil if it may be.
	Check(subjects []quarantine.Subject) *quarantine.Verdict
	// StartTrial asks for the permit to send one request in spite of a quarantine, at once.
	StartTrial(ctx context.Context, s quarantine.Subject) bool
	// Broken records a response that its upstream broke off, and reports whether the
	// request may be sent to another upstream.
	Broken(ctx context.Context, b BrokenAnswer) (mayRerun bool)
	// Completed records a whole response with a success status.
	Completed(subjects []quarantine.Subject)
	// Responds reports whether an upstream may get a request with the subjects. If upstreams fell
	// silent under one of them, the upstream must be known to respond now: if it falls silent
	// too, that is not by chance.
	Responds(ctx context.Context, u *roster.Upstream, subjects []quarantine.Subject) bool
	// HasEvidence reports whether there is evidence against one of the subjects.
	HasEvidence(subjects []quarantine.Subject) bool
	// Progressed records that a response still goes on.
	Progressed(subjects []quarantine.Subject, progress quarantine.Progress)
}

// Config holds the dependencies of a Proxy.
type Config struct {
	Codec      Codec
	Placer     *place.Placer
	Quota      Limiter
	Throttle   Throttle
	Quarantine Quarantine
	Silence    *silence.Watch
	Cohorts    Cohorts // nil if versions are not rolled out by order
	Pool       *egress.Pool
	Budget     *RetryBudget
	Work       *WorkMeter
	Shares     *admission.Shares
	Hedges     *hedge.Controller // nil for no hedged requests
	Observer   Observer
	Log        hclog.Logger
	// ConfigFresh reports whether the configuration is known to be the newest. Only then
	// is a request with an unknown route or key denied permanently; otherwise its caller
	// may retry.
	ConfigFresh func() bool
	// ConfigExpired reports whether the configuration is too old to authenticate callers
	// by its keys.
	ConfigExpired func() bool
	// DaemonCount returns the number of daemons that share an upstream's connection limit.
	DaemonCount func() int
	// Memory bounds the bytes of buffered responses.
	Memory *membudget.Budget
}

// Proxy serves requests. It implements ingress.Handler.
type Proxy struct {
	Config
	active atomic.Pointer[catalog.Config] // nil before the first SetCatalog
	drain  atomic.Pointer[Drain]          // nil unless the daemon is stopping

	ignoredFields ignoredFields

	drainEnded context.Context // ends at the end of a drain
	endDrain   context.CancelFunc
}

// New returns a proxy that responds 503 until SetCatalog is called.
func New(c Config) *Proxy {
	p := &Proxy{Config: c}
	p.drainEnded, p.endDrain = context.WithCancel(context.Background())
	return p
}

// SetCatalog makes c the configuration of all later requests, unless it is older than the
// current one. It is not safe for concurrent use with itself.
func (p *Proxy) SetCatalog(c *catalog.Config) {
	if !p.isOutdated(c) {
		p.active.Store(c)
	}
}

// Catalog returns the current configuration, nil before the first SetCatalog.
func (p *Proxy) Catalog() *catalog.Config { return p.active.Load() }

// Drain holds the times of a drain in progress.
type Drain struct {
	RefuseAfter time.Time // requests that arrive later are refused if their deadline is after End
	End         time.Time // when requests in flight are abandoned and answered as expired
	Cut         time.Time // when connections are closed
}

// SetDrain makes the proxy refuse requests that may not finish before the drain ends, and
// answer those that have not finished by then.
func (p *Proxy) SetDrain(d Drain) {
	p.drain.Store(&d)
	time.AfterFunc(time.Until(d.End), p.endDrain)
}

// outlastsDrain reports whether a request may not finish before the drain in progress ends.
func (p *Proxy) outlastsDrain(arrived, deadline time.Time) bool {
	d := p.drain.Load()
	return d != nil && arrived.After(d.RefuseAfter) && deadline.After(d.End)
}

// Precheck implements ingress.Handler.
func (p *Proxy) Precheck(*fasthttp.RequestHeader, int) int {
	if p.Catalog() == nil {
		return fasthttp.StatusServiceUnavailable
	}
	return 0
}

// RejectHeaders implements ingress.Handler.
func (p *Proxy) RejectHeaders(status int) string {
	if status == fasthttp.StatusServiceUnavailable {
		return "Retry-After: 0.2\r\n"
	}
	return ""
}

// Serve implements ingress.Handler.
func (p *Proxy) Serve(ctx context.Context, x *ingress.Exchange) {
	t := &task{Proxy: p, x: x, record: Record{Arrived: x.Arrived}}
	defer t.finish()
	t.serve(ctx)
}

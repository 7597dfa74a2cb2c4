// Package proxy takes one request from its head to the end of its answer,
// whatever codec it came in: an opaque body, what its route allows, a deadline
// and the parts of its prompt.
//
// It keeps these promises: a request that may run only once is sent on only
// while no byte of it can have reached an upstream, or after an upstream said
// that it did not run it; an answer begins only after its id, seal and framing
// were checked; an answer that is not whole never looks complete; and "not run"
// is said only of requests that did not run and never will.
package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/egress"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
	"github.com/lagoonmux/lagoonmux/internal/quota"
	"github.com/lagoonmux/lagoonmux/internal/room"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// Request is what a codec reads of a request.
type Request struct {
	ID              string // of this attempt of the caller
	Method          string
	Host            string
	Path            string // as received, with its query
	APIKey          string // of the customer
	Timeout         time.Duration
	Prompt          []place.Part
	PromptTokens    int
	MaxOutputTokens int // at most
	LastEventID     string
	Body            []byte
	Head            []byte // as received
}

// Tokens returns the prompt and output tokens of the request, 0 if it names none.
func (r *Request) Tokens() int { return r.PromptTokens + r.MaxOutputTokens }

// UpstreamParams is what a codec adds to a request that goes to an upstream.
type UpstreamParams struct {
	Timeout     time.Duration
	UpstreamID  string // the upstream that is meant
	Customer    string // holder of the key; empty for none
	Urgency     int    // 0 is first, 9 last
	LastEventID string // the last one that the caller has; empty for none
	FetchFrom   string // address of an upstream that keeps parts of the prompt; empty for none
}

// ResponseInfo is what a codec reads from the head of an answer.
type ResponseInfo struct {
	ID            string
	Sealed        bool
	NotRun        bool // the upstream did not run the request and never will
	Misplaced     bool // it is not the upstream that was meant
	ImpliesNotRun bool // the status promises the caller that nothing ran
	HasLoad       bool
	Load          place.Report
	Leaving       bool          // the upstream is about to end
	Pause         time.Duration // for which it wants nothing from this daemon; 0 for none
	IgnoredField  string        // field whose value makes no sense; empty for none
}

// Codec translates between an interface and requests. Its methods may be called
// from any goroutine.
type Codec interface {
	// Decode reads a request. Its error means that the request is malformed.
	Decode(x *ingress.Exchange) (*Request, error)
	// Encode appends the head of the request as it goes to an upstream.
	Encode(buf []byte, r *Request, s UpstreamParams) []byte
	// DecodeResponse reads the head of an answer.
	DecodeResponse(h *fasthttp.ResponseHeader) ResponseInfo
	// CopyHead copies what the caller is to see of an answer's head.
	CopyHead(from *fasthttp.ResponseHeader, to *fasthttp.Response)
	// LocalReply fills an answer of the daemon's own; retry is 0 where the caller is
	// not told when to come back.
	LocalReply(to *fasthttp.Response, r *Request, status int, retry time.Duration)
}

// Observer takes in what became of requests. Its methods may be called from
// any goroutine and must not block.
type Observer interface {
	// RequestStarted notes that a request of a customer has begun to run.
	RequestStarted(customer string)
	// UpstreamLeaving notes that an upstream has said that it leaves.
	UpstreamLeaving(u *roster.Upstream)
	// RequestEnded notes the end of a request.
	RequestEnded(r *Record)
}

// Limiter keeps the limits of customers. Its methods may be called from any
// goroutine; now is a clock that counts while the VM is suspended.
type Limiter interface {
	// Take admits a request of the given cost, or tells its caller to wait.
	Take(ctx context.Context, customer string, cost float64, now time.Duration) quota.Decision
	// Refund gives back what a request was charged that did not run.
	Refund(customer string, cost float64)
}

// Config is what a Proxy works with.
type Config struct {
	Codec    Codec
	Placer   *place.Placer
	Quota    Limiter
	Pool     *egress.Pool
	Budget   *RetryBudget
	Work     *WorkMeter
	Observer Observer
	Log      hclog.Logger // of broken invariants
	// ConfigFresh tells whether the configuration is known to be the newest; a route or
	// key that it lacks is denied only then.
	ConfigFresh func() bool
	// ConfigExpired tells whether the configuration is so old that nobody may be let in by
	// the keys that it holds.
	ConfigExpired func() bool
	// DaemonCount returns how many daemons share the connections of an upstream.
	DaemonCount func() int
	// Memory is what answers that are gathered take their bytes from.
	Memory *room.Room
}

// Proxy is an ingress.Handler.
type Proxy struct {
	Config
	active atomic.Pointer[catalog.Config]
	drain  atomic.Pointer[Drain]
}

// New returns a proxy that refuses everything until SetCatalog.
func New(c Config) *Proxy { return &Proxy{Config: c} }

// SetCatalog puts a configuration into force for requests from now on. It must be
// called from one goroutine at a time; one older than that in force is dropped.
func (p *Proxy) SetCatalog(c *catalog.Config) {
	if !p.isOutdated(c) {
		p.active.Store(c)
	}
}

// Catalog returns the configuration in force, or nil.
func (p *Proxy) Catalog() *catalog.Config { return p.active.Load() }

// Drain tells when a drain under way ends.
type Drain struct {
	RefuseAfter time.Time // requests from then on must be over by End
	End         time.Time // of the process
}

// SetDrain makes the proxy refuse what could outlast a drain.
func (p *Proxy) SetDrain(d Drain) { p.drain.Store(&d) }

// outlastsDrain tells whether a request could outlast a drain.
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

// Refusal implements ingress.Handler.
func (p *Proxy) Refusal(status int) string {
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

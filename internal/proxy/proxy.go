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
	ID           string // of this attempt of the caller
	Method       string
	Host         string
	Path         string // as received, with its query
	Key          string // of the customer
	Patience     time.Duration
	Prompt       []place.Segment
	PromptTokens int
	OutputTokens int // at most
	LastEvent    string
	Body         []byte
	Head         []byte // as received
}

// Tokens returns the prompt and output tokens of the request, 0 if it names none.
func (r *Request) Tokens() int { return r.PromptTokens + r.OutputTokens }

// Send is what a codec adds to a request that goes to an upstream.
type Send struct {
	Left      time.Duration
	Instance  string // the upstream that is meant
	Customer  string // holder of the key; empty for none
	Urgency   int    // 0 is first, 9 last
	LastEvent string // the last one that the caller has; empty for none
	FetchFrom string // address of an upstream that keeps parts of the prompt; empty for none
}

// Verdict is what a codec reads from the head of an answer.
type Verdict struct {
	ID        string
	Sealed    bool
	NotRun    bool // the upstream did not run the request and never will
	Misplaced bool // it is not the upstream that was meant
	Promise   bool // the status promises the caller that nothing ran
	HasLoad   bool
	Load      place.LoadReport
	Leaves    bool          // the upstream is about to end
	Pause     time.Duration // for which it wants nothing from this daemon; 0 for none
	Ignored   string        // field whose value makes no sense; empty for none
}

// Codec translates between an interface and requests. Its methods may be called
// from any goroutine.
type Codec interface {
	// Decode reads a request. Its error means that the request is malformed.
	Decode(x *ingress.Exchange) (*Request, error)
	// Encode appends the head of the request as it goes to an upstream.
	Encode(buf []byte, r *Request, s Send) []byte
	// Judge reads the head of an answer.
	Judge(h *fasthttp.ResponseHeader) Verdict
	// Pass copies what the caller is to see of an answer's head.
	Pass(from *fasthttp.ResponseHeader, to *fasthttp.Response)
	// Refuse fills an answer of the daemon's own; retry is 0 where the caller is
	// not told when to come back.
	Refuse(to *fasthttp.Response, r *Request, status int, retry time.Duration)
}

// Observer takes in what became of requests. Its methods may be called from
// any goroutine and must not block.
type Observer interface {
	// Began notes that a request of a customer has begun to run.
	Began(customer string)
	// Leaves notes that an upstream has said that it leaves.
	Leaves(u *roster.Upstream)
	// Ended notes the end of a request.
	Ended(r *Record)
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
	Budget   *Budget
	Work     *Work
	Observer Observer
	Log      hclog.Logger // of broken invariants
	// Fresh tells whether the configuration is known to be the newest; a route or
	// key that it lacks is denied only then.
	Fresh func() bool
	// Closed tells whether the configuration is so old that nobody may be let in by
	// the keys that it holds.
	Closed func() bool
	// Daemons returns how many daemons share the connections of an upstream.
	Daemons func() int
	// Room is what answers that are gathered take their bytes from.
	Room *room.Room
}

// Proxy is an ingress.Handler.
type Proxy struct {
	Config
	current atomic.Pointer[catalog.Config]
	drain   atomic.Pointer[Drain]
}

// New returns a proxy that refuses everything until SetCatalog.
func New(c Config) *Proxy { return &Proxy{Config: c} }

// SetCatalog puts a configuration into force for requests from now on. It must be
// called from one goroutine at a time; one older than that in force is dropped.
func (p *Proxy) SetCatalog(c *catalog.Config) {
	if !p.older(c) {
		p.current.Store(c)
	}
}

// Catalog returns the configuration in force, or nil.
func (p *Proxy) Catalog() *catalog.Config { return p.current.Load() }

// Drain tells when a drain under way ends.
type Drain struct {
	LateFrom time.Time // requests from then on must be over by End
	End      time.Time // of the process
}

// SetDrain makes the proxy refuse what could outlast a drain.
func (p *Proxy) SetDrain(d Drain) { p.drain.Store(&d) }

// late tells whether a request could outlast a drain.
func (p *Proxy) late(arrived, deadline time.Time) bool {
	d := p.drain.Load()
	return d != nil && arrived.After(d.LateFrom) && deadline.After(d.End)
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
	defer t.end()
	t.serve(ctx)
}

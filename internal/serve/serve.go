// Package serve implements the backend of package entry: it passes calls through
// admission, the ledger and dispatch, and runs lots. A lot is a request that a daemon accepted for
// asynchronous processing (Prefer: respond-async); it is recorded in the table service,
// so that another daemon can take it over.
package serve

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
)

// errNoRecorder rejects non-repeatable calls at a daemon that has no table service to record
// them in (New was called without a Recorder).
var errNoRecorder = errors.New("no ledger to record the call in")

// Permit allows one call to run. Done must be called once, with the number of generated
// tokens.
type Permit interface {
	Done(tokens int)
}

// Admitter decides when calls may run. Admit blocks in the customer's queue until the
// call may run. It returns a *call.Error with outcome not-run if the call is rejected
// or can no longer meet its deadline.
type Admitter interface {
	Admit(ctx context.Context, c *call.Call) (Permit, error)
}

// Dispatcher runs admitted calls against upstreams.
type Dispatcher interface {
	Stream(ctx context.Context, c *call.Call, sink call.Sink) error
	Plain(ctx context.Context, c *call.Call) (*call.Response, error)
}

// Backend runs calls. Its methods may be called from any goroutine.
type Backend struct {
	admitter   Admitter
	dispatcher Dispatcher
	recorder   *Recorder
	lots       *Lots
}

// New returns a backend. If recorder is nil, non-repeatable calls are rejected. If lots
// is nil, Accept, Status and Follow must not be called.
func New(admitter Admitter, dispatcher Dispatcher, recorder *Recorder, lots *Lots) *Backend {
	return &Backend{admitter: admitter, dispatcher: dispatcher, recorder: recorder, lots: lots}
}

// Accept implements entry.RequestStore.
func (b *Backend) Accept(ctx context.Context, c *call.Call) (string, error) {
	permit, err := b.admitter.Admit(ctx, c)
	if err != nil {
		return "", err
	}
	defer permit.Done(0)
	return b.lots.Accept(ctx, c)
}

// Status implements entry.RequestStore.
func (b *Backend) Status(ctx context.Context, customer, id string) (*Status, error) {
	return b.lots.Status(ctx, customer, id)
}

// Follow implements entry.RequestStore.
func (b *Backend) Follow(ctx context.Context, customer, id string, from int, sink call.Sink) error {
	return b.lots.Follow(ctx, customer, id, from, sink)
}

// Stream implements entry.Backend.
func (b *Backend) Stream(ctx context.Context, c *call.Call, sink call.Sink) error {
	permit, err := b.admitter.Admit(ctx, c)
	if err != nil {
		return err
	}
	counted := &countingSink{sink: sink}
	defer func() { permit.Done(counted.tokens) }()
	return b.dispatcher.Stream(ctx, c, counted)
}

// Plain implements entry.Backend.
func (b *Backend) Plain(ctx context.Context, c *call.Call) (*call.Response, error) {
	permit, err := b.admitter.Admit(ctx, c)
	if err != nil {
		return nil, err
	}
	defer permit.Done(0)
	switch {
	case c.Repeatable:
		return b.dispatcher.Plain(ctx, c)
	case b.recorder == nil:
		return nil, call.NotRunError(stepLedger, "", fasthttp.StatusServiceUnavailable, errNoRecorder)
	default:
		return b.recorder.Plain(ctx, c)
	}
}

// countingSink forwards tokens to another sink and counts them.
type countingSink struct {
	sink   call.Sink
	tokens int
}

// Token implements call.Sink.
func (s *countingSink) Token(t call.Token) error {
	s.tokens++
	return s.sink.Token(t)
}

// Unlimited is an Admitter that admits every call immediately.
type Unlimited struct{}

// Admit implements Admitter.
func (Unlimited) Admit(context.Context, *call.Call) (Permit, error) { return noopPermit{}, nil }

type noopPermit struct{}

// Done implements Permit.
func (noopPermit) Done(int) {}

// Package serve takes a call through admission, the ledger and dispatch. It is
// the entry's backend.
package serve

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
)

var errNoRecorder = errors.New("no ledger to record the call in")

// Ticket is one admitted call. Done must be called once, with the tokens that
// were generated.
type Ticket interface {
	Done(tokens int)
}

// Admitter decides which calls may run now. Admit waits in the customer's
// queue until the call may run, and returns a *call.Error with outcome not-run
// when it may not or can no longer meet its deadline.
type Admitter interface {
	Admit(ctx context.Context, c *call.Call) (Ticket, error)
}

// Dispatcher runs admitted calls against upstreams.
type Dispatcher interface {
	Stream(ctx context.Context, c *call.Call, sink call.Sink) error
	Plain(ctx context.Context, c *call.Call) (*call.Reply, error)
}

// Backend runs calls. Its methods may be called from any goroutine.
type Backend struct {
	admitter   Admitter
	dispatcher Dispatcher
	recorder   *Recorder
	lots       *Lots
}

// New returns a backend of the given parts. Without a recorder, calls that may
// not be repeated are refused; without lots, Accept, Status and Follow may not
// be called.
func New(admitter Admitter, dispatcher Dispatcher, recorder *Recorder, lots *Lots) *Backend {
	return &Backend{admitter: admitter, dispatcher: dispatcher, recorder: recorder, lots: lots}
}

// Accept implements entry.Backend.
func (b *Backend) Accept(ctx context.Context, c *call.Call) (string, error) {
	t, err := b.admitter.Admit(ctx, c)
	if err != nil {
		return "", err
	}
	defer t.Done(0)
	return b.lots.Accept(ctx, c)
}

// Status implements entry.Backend.
func (b *Backend) Status(ctx context.Context, customer, id string) (*Status, error) {
	return b.lots.Status(ctx, customer, id)
}

// Follow implements entry.Backend.
func (b *Backend) Follow(ctx context.Context, customer, id string, from int, sink call.Sink) error {
	return b.lots.Follow(ctx, customer, id, from, sink)
}

// Stream implements entry.Backend.
func (b *Backend) Stream(ctx context.Context, c *call.Call, sink call.Sink) error {
	t, err := b.admitter.Admit(ctx, c)
	if err != nil {
		return err
	}
	counted := &countingSink{sink: sink}
	defer func() { t.Done(counted.tokens) }()
	return b.dispatcher.Stream(ctx, c, counted)
}

// Plain implements entry.Backend.
func (b *Backend) Plain(ctx context.Context, c *call.Call) (*call.Reply, error) {
	t, err := b.admitter.Admit(ctx, c)
	if err != nil {
		return nil, err
	}
	defer t.Done(0)
	switch {
	case c.Repeatable:
		return b.dispatcher.Plain(ctx, c)
	case b.recorder == nil:
		return nil, call.Refused(stepLedger, "", fasthttp.StatusServiceUnavailable, errNoRecorder)
	default:
		return b.recorder.Plain(ctx, c)
	}
}

// countingSink counts the tokens that pass to another sink.
type countingSink struct {
	sink   call.Sink
	tokens int
}

// Token implements call.Sink.
func (s *countingSink) Token(t call.Token) error {
	s.tokens++
	return s.sink.Token(t)
}

// Unlimited is an Admitter that admits every call at once.
type Unlimited struct{}

// Admit implements Admitter.
func (Unlimited) Admit(context.Context, *call.Call) (Ticket, error) { return freeTicket{}, nil }

type freeTicket struct{}

// Done implements Ticket.
func (freeTicket) Done(int) {}

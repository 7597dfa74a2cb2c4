package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// followInterval is how often the kept progress of a lot of another daemon is
// read for a caller that follows it.
const followInterval = time.Second

// ErrNoRequest says that the customer has no such request, or that it is no
// longer kept.
var ErrNoRequest = errors.New("no such request")

// Status is what is known of a recorded request.
type Status struct {
	ID       string
	Service  string
	State    string
	Outcome  string // empty while it runs
	Reason   string
	Chat     bool
	Model    bool           // the answer is Text; otherwise it is Reply
	Text     string         // so far
	Tokens   int            // in Text
	Response *call.Response // of a done call of a plain service

	saved progress // that survives a daemon
}

// Ended tells whether nothing more will happen to the request.
func (s *Status) Ended() bool { return s.Outcome != "" }

// Status returns what is known of a request of a customer: a lot, or a call
// that may not be repeated. It returns ErrNoRequest, or the platform's error.
func (l *Lots) Status(ctx context.Context, customer, id string) (*Status, error) {
	if o := l.find(id); o != nil && !o.isClosed() && o.spec.Customer == customer {
		return o.status(), nil
	}
	lot, _, err := l.readLot(ctx, id)
	if errors.Is(err, platform.ErrNotFound) {
		return l.callStatus(ctx, customer, id)
	}
	if err != nil {
		return nil, err
	}
	if lot.Customer != customer || lot.State == ledger.Collected {
		return nil, ErrNoRequest
	}
	return l.lotStatus(ctx, &lot)
}

func newStatus(lot *ledger.Lot) *Status {
	return &Status{
		ID: lot.ID, Service: lot.Service, State: string(lot.State), Outcome: lot.Outcome, Reason: lot.Reason,
		Chat: lot.Chat, Model: lot.MaxTokens > 0,
	}
}

func (s *Status) setProgress(p progress) { s.saved, s.Text, s.Tokens = p, p.Text, p.Tokens }

func (o *ownedLot) status() *Status {
	s := newStatus(&o.spec)
	s.setProgress(o.progress())
	s.saved = o.savedProgress()
	return s
}

func (l *Lots) lotStatus(ctx context.Context, lot *ledger.Lot) (*Status, error) {
	s := newStatus(lot)
	if lot.Response != nil {
		resp, err := readResponse(ctx, l.objects, lot.Response)
		s.Response = resp
		return s, err
	}
	name := lot.TextObject
	if !s.Ended() {
		ownership, _, err := l.readOwnership(ctx, lot.ID)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return nil, err
		}
		name = ownership.ProgressObject
		if ownership.State != "" {
			s.State = string(ownership.State)
		}
	}
	p, err := l.readProgress(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		err = errors.Wrap(platform.ErrUnavailable, "progress was replaced while it was read")
	}
	s.setProgress(p)
	return s, err
}

// callStatus returns what is known of a call that may not be repeated.
func (l *Lots) callStatus(ctx context.Context, customer, id string) (*Status, error) {
	row, err := l.table.Get(ctx, ledger.CallKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, ErrNoRequest
	}
	if err != nil {
		return nil, err
	}
	stored, err := ledger.DecodeRecord(row)
	if err != nil {
		return nil, err
	}
	r := &stored.Record
	if r.Customer != customer {
		return nil, ErrNoRequest
	}
	s := &Status{ID: id, State: string(r.State), Reason: r.Reason}
	switch r.State {
	case ledger.Done:
		s.Outcome = string(call.Answered)
		s.Response, err = readResponse(ctx, l.objects, r.Response)
	case ledger.Refused:
		s.Outcome = string(call.NotRun)
	case ledger.LostResponse:
		s.Outcome = string(call.Unknown)
	}
	return s, err
}

// Follow passes the tokens of a lot from an index on to sink, as they come,
// until the last. It works on any daemon. Only tokens that are kept go out: a
// later owner might generate others in the place of those that were not.
func (l *Lots) Follow(ctx context.Context, customer, id string, from int, sink call.Sink) error {
	for {
		s, err := l.Status(ctx, customer, id)
		if errors.Is(err, ErrNoRequest) {
			return err
		}
		if err != nil {
			s = &Status{} // the platform's trouble may pass
		}
		for ; from < s.saved.Tokens; from++ {
			t := call.Token{Index: from, Text: s.saved.token(from)}
			if from == s.saved.Tokens-1 {
				t.Finish = s.saved.Finish
			}
			if err := sink.Token(t); err != nil {
				return err
			}
		}
		if s.Ended() {
			return nil
		}
		if err := l.waitForTokens(ctx, id, from); err != nil {
			return err
		}
	}
}

func (l *Lots) waitForTokens(ctx context.Context, id string, n int) error {
	poll := time.NewTimer(followInterval)
	defer poll.Stop()
	var changed <-chan struct{}
	if o := l.find(id); o != nil {
		if changed = o.changeAfter(n); changed == nil && !o.isClosed() {
			return nil
		}
	}
	select {
	case <-changed:
	case <-poll.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// readResponse returns a recorded answer with its body.
func readResponse(ctx context.Context, objects platform.Objects, stored *ledger.Response) (*call.Response, error) {
	resp := &call.Response{Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body}
	if stored.Object == "" {
		return resp, nil
	}
	body, err := objects.Get(ctx, stored.Object)
	resp.Body = body
	return resp, err
}

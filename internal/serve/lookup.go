package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// followInterval is the time between two reads of the saved progress of a lot that
// another daemon runs, for a caller that follows it.
const followInterval = time.Second

// ErrNoRequest means that the customer has no request with the id, or that its record
// was deleted after its retention.
var ErrNoRequest = errors.New("no such request")

// Status is the status of a recorded request.
type Status struct {
	ID       string
	Service  string
	State    string
	Outcome  string // empty until the request has ended
	Reason   string // why the request has no response
	Chat     bool
	Model    bool           // of a model service: the response is Text, not Response
	Text     string         // generated so far
	Tokens   int            // number of tokens in Text
	Response *call.Response // set for a done request of a plain service

	saved progress // recorded tokens, which survive a crash of the owner
}

// Ended reports whether the request has an outcome.
func (s *Status) Ended() bool { return s.Outcome != "" }

// Status returns the status of a customer's lot or non-repeatable call. Errors are
// ErrNoRequest and those of the platform.
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
		err = errors.Wrap(platform.ErrUnavailable, "progress object was replaced while it was read")
	}
	s.setProgress(p)
	return s, err
}

// callStatus returns the status of a non-repeatable call.
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

// Follow sends the tokens of a lot, beginning at index from, to sink as they are generated,
// up to the last one. It works on any daemon. Only saved tokens are sent, since a later
// owner may generate other tokens in place of unsaved ones.
func (l *Lots) Follow(ctx context.Context, customer, id string, from int, sink call.Sink) error {
	for {
		s, err := l.Status(ctx, customer, id)
		if errors.Is(err, ErrNoRequest) {
			return err
		}
		if err != nil {
			s = &Status{} // read again: the error of the platform may be temporary
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

// waitForTokens waits until the lot may have more than n saved tokens, for followInterval
// at most. It returns the error of ctx.
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

// readResponse returns a recorded response. It reads the body from the object store if
// the row doesn't contain it.
func readResponse(ctx context.Context, objects platform.Objects, stored *ledger.Response) (*call.Response, error) {
	resp := &call.Response{Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body}
	if stored.Object == "" {
		return resp, nil
	}
	body, err := objects.Get(ctx, stored.Object)
	resp.Body = body
	return resp, err
}

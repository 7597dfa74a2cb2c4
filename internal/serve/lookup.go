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
	ID      string
	Service string
	State   string
	Outcome string // empty while it runs
	Reason  string
	Chat    bool
	Model   bool        // the answer is Text; otherwise it is Reply
	Text    string      // so far
	Tokens  int         // in Text
	Reply   *call.Reply // of a done call of a plain service

	progress progress // that survives a daemon
}

// Ended tells whether nothing more will happen to the request.
func (s *Status) Ended() bool { return s.Outcome != "" }

// Status returns what is known of a request of a customer: a lot, or a call
// that may not be repeated. It returns ErrNoRequest, or the platform's error.
func (l *Lots) Status(ctx context.Context, customer, id string) (*Status, error) {
	if h := l.find(id); h != nil && !h.isEnded() && h.spec.Customer == customer {
		return h.status(), nil
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

func statusOf(lot *ledger.Lot) *Status {
	return &Status{
		ID: lot.ID, Service: lot.Service, State: string(lot.State), Outcome: lot.Outcome, Reason: lot.Reason,
		Chat: lot.Chat, Model: lot.MaxTokens > 0,
	}
}

func (s *Status) add(p progress) { s.progress, s.Text, s.Tokens = p, p.Text, p.Tokens }

func (h *held) status() *Status {
	s := statusOf(&h.spec)
	s.add(h.progress())
	s.progress = h.keptProgress()
	return s
}

func (l *Lots) lotStatus(ctx context.Context, lot *ledger.Lot) (*Status, error) {
	s := statusOf(lot)
	if lot.Reply != nil {
		reply, err := readReply(ctx, l.objects, lot.Reply)
		s.Reply = reply
		return s, err
	}
	name := lot.Answer
	if !s.Ended() {
		open, _, err := l.readOpen(ctx, lot.ID)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return nil, err
		}
		name = open.Progress
		if open.State != "" {
			s.State = string(open.State)
		}
	}
	p, err := l.readProgress(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		err = errors.Wrap(platform.ErrUnavailable, "progress was replaced while it was read")
	}
	s.add(p)
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
		s.Reply, err = readReply(ctx, l.objects, r.Reply)
	case ledger.Refused:
		s.Outcome = string(call.NotRun)
	case ledger.LostAnswer:
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
		for ; from < s.progress.Tokens; from++ {
			t := call.Token{Index: from, Text: s.progress.token(from)}
			if from == s.progress.Tokens-1 {
				t.Finish = s.progress.Finish
			}
			if err := sink.Token(t); err != nil {
				return err
			}
		}
		if s.Ended() {
			return nil
		}
		if err := l.waitBeyond(ctx, id, from); err != nil {
			return err
		}
	}
}

func (l *Lots) waitBeyond(ctx context.Context, id string, n int) error {
	poll := time.NewTimer(followInterval)
	defer poll.Stop()
	var more <-chan struct{}
	if h := l.find(id); h != nil {
		if more = h.waitBeyond(n); more == nil && !h.isEnded() {
			return nil
		}
	}
	select {
	case <-more:
	case <-poll.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// readReply returns a recorded answer with its body.
func readReply(ctx context.Context, objects platform.Objects, rec *ledger.Reply) (*call.Reply, error) {
	reply := &call.Reply{Status: rec.Status, ContentType: rec.ContentType, Body: rec.Body}
	if rec.Object == "" {
		return reply, nil
	}
	body, err := objects.Get(ctx, rec.Object)
	reply.Body = body
	return reply, err
}

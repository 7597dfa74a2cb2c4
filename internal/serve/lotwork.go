package serve

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/dispatch"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

const (
	onceFactor  = 3 // times the service's target
	minOnce     = 5 * time.Second
	lotBackoff  = 100 * time.Millisecond // before another try at a lot, rising
	endPatience = time.Second            // for the record of an end when the daemon stops
)

// own works at a lot until its end is recorded, it is lost to another daemon,
// or ctx ends.
func (l *Lots) own(ctx context.Context, h *held) {
	defer l.drop(h)
	defer h.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keeping := make(chan struct{})
	go func() {
		defer close(keeping)
		l.keepAlive(ctx, h, cancel)
	}()
	end, err := h.pending, error(nil)
	if end == nil {
		end, err = l.work(ctx, h)
	}
	if err == nil {
		err = l.recordEnd(ctx, h, end)
	}
	cancel()
	<-keeping
	h.settled = err == nil || errors.Is(err, errEnded) || errors.Is(err, errNotOwner)
	if err != nil {
		l.log.Info("lot left", "id", h.spec.ID, "error", err)
	}
}

// recordEnd records the end of a lot. When ctx ends it goes on for a short
// while, since only the record is missing.
func (l *Lots) recordEnd(ctx context.Context, h *held, end *ledger.End) error {
	h.lock()
	h.pending = end
	h.unlock()
	rctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(endPatience, cancel) })
	defer stop()
	return l.insist(rctx, h, func(hold ledger.Hold, now time.Time) (ledger.Hold, []platform.Write, error) {
		return ledger.EndLot(hold, *end, now)
	})
}

// work runs a lot to its end, whatever attempts and waits it takes.
func (l *Lots) work(ctx context.Context, h *held) (*ledger.End, error) {
	if err := l.load(ctx, h); err != nil {
		return nil, err
	}
	again := newBackoff(lotBackoff)
	for {
		if h.spec.MaxTokens > 0 && h.progress().Finish != "" {
			return l.whole(ctx, h)
		}
		end, err := l.try(ctx, h)
		if end != nil || errors.Is(err, errNotOwner) || errors.Is(err, errEnded) {
			return end, err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if time.Now().After(h.spec.Deadline) {
			return failedLot(h, err), nil
		}
		l.log.Debug("lot waits", "id", h.spec.ID, "error", err)
		again.wait(ctx)
	}
}

// load reads the input of a lot that another daemon accepted.
func (l *Lots) load(ctx context.Context, h *held) error {
	again := newBackoff(lotBackoff)
	for h.input == nil {
		input, err := l.objects.Get(ctx, ledger.InputObject(h.spec.ID))
		if err == nil {
			h.input = append([]byte{}, input...)
			return nil
		}
		if errors.Is(err, platform.ErrNotFound) {
			return errors.Wrap(errEnded, "input of the lot is gone")
		}
		if !again.wait(ctx) {
			return ctx.Err()
		}
	}
	return nil
}

// failedLot returns the end of a lot whose deadline has passed.
func failedLot(h *held, err error) *ledger.End {
	end := &ledger.End{Event: ledger.Fail, Outcome: string(call.NotRun), Reason: "deadline passed"}
	if err != nil {
		end.Reason += ": " + err.Error()
	}
	var ce *call.Error
	if h.progress().Tokens > 0 || (errors.As(err, &ce) && ce.Outcome == call.Unknown) {
		end.Outcome = string(call.Unknown)
	}
	return end
}

// try admits and runs the lot once. It returns the lot's end, or the error
// after which it may be tried again.
func (l *Lots) try(ctx context.Context, h *held) (*ledger.End, error) {
	c, err := l.newCall(h)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, h.spec.Deadline)
	defer cancel()
	t, err := l.admitter.Admit(ctx, c)
	if err != nil {
		return nil, err
	}
	before := h.progress().Tokens
	defer func() { t.Done(h.progress().Tokens - before) }()
	if c.MaxTokens == 0 {
		return l.tryPlain(ctx, h, c)
	}
	p := h.progress()
	err = l.dispatcher.Resume(ctx, c, dispatch.PartialResponse{Tokens: p.Tokens, Text: p.Text, LastAttempt: h.nextAttempts()}, h)
	if err != nil {
		return nil, err
	}
	return l.whole(ctx, h)
}

// nextAttempts returns the number of the last attempt, as far as anyone can
// know: each try and each owner begins far above those before.
func (h *held) nextAttempts() int {
	h.lock()
	defer h.unlock()
	h.lot.Open.Attempts += attemptsPerTry
	return h.lot.Open.Attempts + int(h.lot.Open.Epoch)*attemptsPerOwner
}

const (
	attemptsPerTry   = 100
	attemptsPerOwner = 100_000
)

// whole stores the whole answer of a model service.
func (l *Lots) whole(ctx context.Context, h *held) (*ledger.End, error) {
	p := h.progress()
	again := newBackoff(lotBackoff)
	for {
		name, err := l.storeProgress(ctx, h, p)
		if err == nil {
			return &ledger.End{Event: ledger.Answer, Outcome: string(call.Answered), Answer: name, Tokens: p.Tokens}, nil
		}
		if !again.wait(ctx) {
			return nil, err
		}
	}
}

// tryPlain runs a lot of a plain service.
func (l *Lots) tryPlain(ctx context.Context, h *held, c *call.Call) (*ledger.End, error) {
	if !c.Repeatable {
		return l.tryOnce(ctx, h, c)
	}
	reply, err := l.dispatcher.Plain(ctx, c)
	if err != nil {
		return nil, err
	}
	return l.replied(ctx, h, reply)
}

// tryOnce runs a lot that may not be repeated. It is recorded as dispatched
// before the first byte, for good, and runs to its end, whoever waits.
func (l *Lots) tryOnce(ctx context.Context, h *held, c *call.Call) (*ledger.End, error) {
	if err := l.insist(ctx, h, moveTo(ledger.Dispatched, ledger.Dispatch)); err != nil {
		return nil, err
	}
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), onceTimeout(c, time.Now()))
	defer cancel()
	reply, err := l.dispatcher.Plain(run, c)
	var end *ledger.End
	if err == nil {
		end, err = l.replied(run, h, reply)
		if err == nil {
			return end, nil
		}
	}
	var ce *call.Error
	if errors.As(err, &ce) && ce.Outcome == call.NotRun {
		if rerr := l.insist(ctx, h, moveTo(ledger.Running, ledger.Refuse)); rerr != nil {
			return nil, rerr
		}
		return nil, err
	}
	return &ledger.End{Event: ledger.Fail, Outcome: string(call.Unknown), Reason: err.Error()}, nil
}

// onceTimeout returns how long a dispatch that may not be repeated waits for
// its answer, before the answer counts as lost.
func onceTimeout(c *call.Call, now time.Time) time.Duration {
	target := time.Duration(c.Service.Target.TotalMS) * time.Millisecond
	return min(max(onceFactor*target, minOnce), c.Deadline.Sub(now))
}

func (l *Lots) replied(ctx context.Context, h *held, reply *call.Reply) (*ledger.End, error) {
	rec := &ledger.Reply{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	if len(reply.Body) > maxInlineBytes {
		rec.Body, rec.Object = nil, "lot-"+h.spec.ID+"-reply"
		again := newBackoff(lotBackoff)
		for {
			err := l.objects.Put(ctx, rec.Object, reply.Body)
			if err == nil {
				break
			}
			if !again.wait(ctx) {
				return nil, err
			}
		}
	}
	return &ledger.End{Event: ledger.Answer, Outcome: string(call.Answered), Reply: rec}, nil
}

// newCall returns the call of a lot under the manifest in force.
func (l *Lots) newCall(h *held) (*call.Call, error) {
	lot := &h.spec
	a := l.manifests.Load()
	if a == nil {
		return nil, errors.New("no manifest in force")
	}
	c := &call.Call{
		ID: lot.ID, Active: a, Service: a.Service(lot.Service), Customer: customer(a, lot.Customer), Class: manifest.Lot,
		Arrived: time.Now(), Deadline: lot.Deadline, Trace: &trace.Trace{}, Chat: lot.Chat, MaxTokens: lot.MaxTokens,
		Method: lot.Method, Path: lot.Path, ContentType: lot.ContentType,
		Repeatable: lot.Repeatable, IdempotencyKey: lot.Key,
	}
	if c.Service == nil || c.Customer == nil {
		return nil, errors.Errorf("service %s or customer %s is not declared", lot.Service, lot.Customer)
	}
	if lot.MaxTokens > 0 {
		c.Prompt = string(h.input)
	} else {
		c.Body = h.input
	}
	if lot.Key == "" {
		c.IdempotencyKey = uuid.NewSHA1(uuid.NameSpaceOID, []byte(lot.ID)).String()
	}
	return c, nil
}

func customer(a *manifest.Active, name string) *manifest.Customer {
	for i := range a.Customers {
		if a.Customers[i].Name == name {
			return &a.Customers[i]
		}
	}
	return nil
}

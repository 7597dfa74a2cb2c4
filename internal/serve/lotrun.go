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
	nonRepeatableTimeoutFactor = 3 // timeout of a non-repeatable run, as a multiple of the service's latency target
	minNonRepeatableTimeout    = 5 * time.Second
	lotBackoff                 = 100 * time.Millisecond // before the first retry of a lot; increases with each retry
	resultGrace                = time.Second            // for recording a result when the daemon stops
)

// runLot runs a lot until its result is recorded, another daemon owns it, or ctx ends.
func (l *Lots) runLot(ctx context.Context, o *ownedLot) {
	defer l.remove(o)
	defer o.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepAliveDone := make(chan struct{})
	go func() {
		defer close(keepAliveDone)
		l.keepAlive(ctx, o, cancel)
	}()
	result, err := o.result, error(nil)
	if result == nil {
		result, err = l.execute(ctx, o)
	}
	if err == nil {
		err = l.recordResult(ctx, o, result)
	}
	cancel()
	<-keepAliveDone
	o.resolved = err == nil || errors.Is(err, errEnded) || errors.Is(err, errNotOwner)
	if err != nil {
		l.log.Info("lot stopped without a recorded result", "id", o.spec.ID, "error", err)
	}
}

// recordResult records the result of a lot. After ctx has ended it continues for
// resultGrace, since only the record is missing.
func (l *Lots) recordResult(ctx context.Context, o *ownedLot, result *ledger.LotResult) error {
	o.lock()
	o.result = result
	o.unlock()
	recordCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(resultGrace, cancel) })
	defer stop()
	return l.recordWithRetry(recordCtx, o, func(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error) {
		return ledger.EndLot(open, *result, now)
	})
}

// execute runs a lot, with retries, until it has a result, ctx ends or another daemon
// owns the lot. The lot fails at its deadline.
func (l *Lots) execute(ctx context.Context, o *ownedLot) (*ledger.LotResult, error) {
	if err := l.loadInput(ctx, o); err != nil {
		return nil, err
	}
	retry := newBackoff(lotBackoff)
	for {
		if o.spec.MaxTokens > 0 && o.progress().Finish != "" {
			return l.textResult(ctx, o)
		}
		result, err := l.tryRun(ctx, o)
		if result != nil || errors.Is(err, errNotOwner) || errors.Is(err, errEnded) {
			return result, err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if time.Now().After(o.spec.Deadline) {
			return deadlineResult(o, err), nil
		}
		l.log.Debug("run of the lot failed, will retry", "id", o.spec.ID, "error", err)
		retry.wait(ctx)
	}
}

// loadInput reads the input from the object store if another daemon accepted the lot.
func (l *Lots) loadInput(ctx context.Context, o *ownedLot) error {
	retry := newBackoff(lotBackoff)
	for o.input == nil {
		input, err := l.objects.Get(ctx, ledger.InputObject(o.spec.ID))
		if err == nil {
			o.input = append([]byte{}, input...)
			return nil
		}
		if errors.Is(err, platform.ErrNotFound) {
			return errors.Wrap(errEnded, "input object of the lot was deleted")
		}
		if !retry.wait(ctx) {
			return ctx.Err()
		}
	}
	return nil
}

// deadlineResult returns the result of a lot whose deadline has passed; err is the error
// of the last run. The outcome is unknown if the lot may have run.
func deadlineResult(o *ownedLot, err error) *ledger.LotResult {
	result := &ledger.LotResult{Event: ledger.Fail, Outcome: string(call.NotRun), Reason: "deadline passed"}
	if err != nil {
		result.Reason += ": " + err.Error()
	}
	var ce *call.Error
	if o.progress().Tokens > 0 || (errors.As(err, &ce) && ce.Outcome == call.Unknown) {
		result.Outcome = string(call.Unknown)
	}
	return result
}

// tryRun admits and runs the lot once. It returns either the lot's result or an error,
// after which the run may be retried.
func (l *Lots) tryRun(ctx context.Context, o *ownedLot) (*ledger.LotResult, error) {
	c, err := l.newCall(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, o.spec.Deadline)
	defer cancel()
	permit, err := l.admitter.Admit(ctx, c)
	if err != nil {
		return nil, err
	}
	before := o.progress().Tokens
	defer func() { permit.Done(o.progress().Tokens - before) }()
	if c.MaxTokens == 0 {
		return l.tryPlain(ctx, o, c)
	}
	p := o.progress()
	err = l.dispatcher.Resume(ctx, c, dispatch.PartialResponse{Tokens: p.Tokens, Text: p.Text, LastAttempt: o.reserveAttempts()}, o)
	if err != nil {
		return nil, err
	}
	return l.textResult(ctx, o)
}

// reserveAttempts returns an attempt number above all that were used before; the next
// attempt gets the following number. The numbers of earlier attempts are not all
// recorded, so each run and each owner begins far above the previous one.
func (o *ownedLot) reserveAttempts() int {
	o.lock()
	defer o.unlock()
	o.open.Ownership.Attempts += attemptsPerRun
	return o.open.Ownership.Attempts + int(o.open.Ownership.Epoch)*attemptsPerOwner
}

const (
	attemptsPerRun   = 100     // attempt numbers reserved for each run
	attemptsPerOwner = 100_000 // attempt numbers reserved for each owner
)

// textResult stores the complete response of a model service.
func (l *Lots) textResult(ctx context.Context, o *ownedLot) (*ledger.LotResult, error) {
	p := o.progress()
	retry := newBackoff(lotBackoff)
	for {
		name, err := l.putProgress(ctx, o, p)
		if err == nil {
			return &ledger.LotResult{Event: ledger.Answer, Outcome: string(call.Answered), TextObject: name, Tokens: p.Tokens}, nil
		}
		if !retry.wait(ctx) {
			return nil, err
		}
	}
}

// tryPlain runs a lot of a plain service.
func (l *Lots) tryPlain(ctx context.Context, o *ownedLot, c *call.Call) (*ledger.LotResult, error) {
	if !c.Repeatable {
		return l.tryNonRepeatable(ctx, o, c)
	}
	resp, err := l.dispatcher.Plain(ctx, c)
	if err != nil {
		return nil, err
	}
	return l.plainResult(ctx, o, resp)
}

// tryNonRepeatable runs a non-repeatable lot. The lot is recorded as dispatched before the
// first byte is sent, so that no other daemon adopts it. The run does not end with ctx,
// since it can't be repeated.
func (l *Lots) tryNonRepeatable(ctx context.Context, o *ownedLot, c *call.Call) (*ledger.LotResult, error) {
	if err := l.recordWithRetry(ctx, o, moveTo(ledger.Dispatched, ledger.Dispatch)); err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), nonRepeatableTimeout(c, time.Now()))
	defer cancel()
	resp, err := l.dispatcher.Plain(runCtx, c)
	var result *ledger.LotResult
	if err == nil {
		result, err = l.plainResult(runCtx, o, resp)
		if err == nil {
			return result, nil
		}
	}
	var ce *call.Error
	if errors.As(err, &ce) && ce.Outcome == call.NotRun {
		if rerr := l.recordWithRetry(ctx, o, moveTo(ledger.Running, ledger.Refuse)); rerr != nil {
			return nil, rerr
		}
		return nil, err
	}
	return &ledger.LotResult{Event: ledger.Fail, Outcome: string(call.Unknown), Reason: err.Error()}, nil
}

// nonRepeatableTimeout returns how long a non-repeatable run waits for its response before the
// response counts as lost.
func nonRepeatableTimeout(c *call.Call, now time.Time) time.Duration {
	target := time.Duration(c.Service.Target.TotalMS) * time.Millisecond
	return min(max(nonRepeatableTimeoutFactor*target, minNonRepeatableTimeout), c.Deadline.Sub(now))
}

// plainResult returns the result of a lot of a plain service. A body that is too large for
// a row is written to the object store first.
func (l *Lots) plainResult(ctx context.Context, o *ownedLot, resp *call.Response) (*ledger.LotResult, error) {
	stored := &ledger.Response{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}
	if len(resp.Body) > maxInlineBytes {
		stored.Body, stored.Object = nil, "lot-"+o.spec.ID+"-reply"
		retry := newBackoff(lotBackoff)
		for {
			err := l.objects.Put(ctx, stored.Object, resp.Body)
			if err == nil {
				break
			}
			if !retry.wait(ctx) {
				return nil, err
			}
		}
	}
	return &ledger.LotResult{Event: ledger.Answer, Outcome: string(call.Answered), Response: stored}, nil
}

// newCall returns the call that runs a lot, with the manifest in force.
func (l *Lots) newCall(o *ownedLot) (*call.Call, error) {
	lot := &o.spec
	a := l.manifests.Load()
	if a == nil {
		return nil, errors.New("no manifest in force")
	}
	c := &call.Call{
		ID: lot.ID, Manifest: a, Service: a.Service(lot.Service), Customer: findCustomer(a, lot.Customer), Class: manifest.Lot,
		Arrived: time.Now(), Deadline: lot.Deadline, Trace: &trace.Trace{}, Chat: lot.Chat, MaxTokens: lot.MaxTokens,
		Method: lot.Method, Path: lot.Path, ContentType: lot.ContentType,
		Repeatable: lot.Repeatable, IdempotencyKey: lot.IdempotencyKey,
	}
	if c.Service == nil || c.Customer == nil {
		return nil, errors.Errorf("service %s or customer %s is not declared", lot.Service, lot.Customer)
	}
	if lot.MaxTokens > 0 {
		c.Prompt = string(o.input)
	} else {
		c.Body = o.input
	}
	if lot.IdempotencyKey == "" {
		c.IdempotencyKey = uuid.NewSHA1(uuid.NameSpaceOID, []byte(lot.ID)).String()
	}
	return c, nil
}

func findCustomer(a *manifest.Active, name string) *manifest.Customer {
	for i := range a.Customers {
		if a.Customers[i].Name == name {
			return &a.Customers[i]
		}
	}
	return nil
}

package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
)

// lotChange is a decision on an open lot.
type lotChange func(h ledger.Hold, now time.Time) (ledger.Hold, []platform.Write, error)

// record commits a change of a lot once. It returns errNotOwner or errEnded
// when the lot is no longer this daemon's, and the table's error when the
// change is not certain, after which it may be repeated.
func (l *Lots) record(ctx context.Context, h *held, f lotChange) error {
	h.lock()
	defer h.unlock()
	if !h.claimed {
		if err := l.commitLot(ctx, h, h.claim); err != nil {
			return err
		}
		h.claimed = true
	}
	return l.commitLot(ctx, h, f)
}

// claim records that this daemon owns a lot that it has taken. A dispatch that
// the owner before recorded and never sent is undone. One that has reached its
// end stays dispatched, so that nobody begins it again before the end is
// recorded.
func (h *held) claim(hold ledger.Hold, now time.Time) (ledger.Hold, []platform.Write, error) {
	if hold.Open.State == ledger.Dispatched && h.pending == nil {
		return ledger.Change(hold, ledger.Refuse, leaseTime, now)
	}
	return ledger.Change(hold, ledger.Adopt, leaseTime, now)
}

// unchanged is no change: recording it claims a lot that was taken.
func unchanged(hold ledger.Hold, _ time.Time) (ledger.Hold, []platform.Write, error) {
	return hold, nil, nil
}

// commitLot commits a change once, unless it has no writes. The caller holds the lot's recording lock.
func (l *Lots) commitLot(ctx context.Context, h *held, f lotChange) error {
	next, writes, err := f(h.lot, time.Now())
	if err != nil {
		return err
	}
	if len(writes) > 0 {
		err = l.writer.Commit(ctx, batch.Lots, uuid.NewString(), writes)
	}
	if err == nil {
		h.lot = next
		return nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	return l.settleLot(ctx, h, next)
}

// settleLot reads the open row after a conflict, which may be with the change
// itself, whose answer was lost.
func (l *Lots) settleLot(ctx context.Context, h *held, next ledger.Hold) error {
	open, version, err := l.readOpen(ctx, h.spec.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return errEnded
	}
	if err != nil {
		return err
	}
	if h.from != "" && !h.claimed && open.Owns(h.from) {
		// A commit of the owner before arrived late. Nothing followed it, since
		// that owner had stopped: the lot is taken from there.
		h.lot.Version, h.lot.Open.State = version, open.State
		return errors.Wrap(platform.ErrUnavailable, "record of the lot was behind")
	}
	if !open.Owns(next.Open.Token) {
		return errNotOwner
	}
	// An earlier record of this daemon, given up as uncertain, may have taken
	// the version: the row is this change only if it says the same.
	h.lot.Version, h.lot.Open = version, open
	if version == next.Version && open.Same(&next.Open) {
		return nil
	}
	return errors.Wrap(platform.ErrUnavailable, "record of the lot was behind")
}

// moveTo returns a change to a state by an event, which does nothing if an
// earlier record of it took effect late.
func moveTo(state chart.State, e chart.Event) lotChange {
	return func(h ledger.Hold, now time.Time) (ledger.Hold, []platform.Write, error) {
		if h.Open.State == state {
			return h, nil, nil
		}
		return ledger.Change(h, e, leaseTime, now)
	}
}

// insist repeats a change until it is certain, the lot is no longer this
// daemon's, or ctx ends.
func (l *Lots) insist(ctx context.Context, h *held, f lotChange) error {
	again := newBackoff(minBackoff)
	for {
		err := l.record(ctx, h, f)
		if err == nil || !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
		if !again.wait(ctx) {
			return err
		}
	}
}

// keep stores the progress in an object and then in the row, which also renews
// the lease. Any goroutine may call it.
func (l *Lots) keep(ctx context.Context, h *held) error {
	p := h.progress()
	name, err := l.storeProgress(ctx, h, p)
	if err != nil {
		return err
	}
	var before string
	err = l.record(ctx, h, func(hold ledger.Hold, now time.Time) (ledger.Hold, []platform.Write, error) {
		if hold.Open.State != ledger.Running {
			return hold, nil, errDispatched
		}
		before = hold.Open.Progress
		hold.Open.Tokens, hold.Open.Progress = p.Tokens, name
		return ledger.Change(hold, ledger.Keep, leaseTime, now)
	})
	if err != nil {
		return err
	}
	h.setKept(p.Tokens)
	if before != "" && before != name {
		_ = l.objects.Delete(ctx, before) // a reader that misses it reads the row again
	}
	return nil
}

// storeProgress writes a progress object and returns its name, or the name in
// force if there is nothing new. The name holds the number of tokens, so that
// a write which arrives late can't take the place of a longer one.
func (l *Lots) storeProgress(ctx context.Context, h *held, p progress) (string, error) {
	h.lock()
	open := h.lot.Open
	h.unlock()
	if p.Tokens == open.Tokens && p.Finish == "" {
		return open.Progress, nil
	}
	name := fmt.Sprintf("lot-%s-%d-%s-%d", h.spec.ID, open.Epoch, open.Token, p.Tokens)
	data, err := json.Marshal(p)
	if err != nil {
		return "", errors.Wrap(err, "encode progress")
	}
	return name, l.objects.Put(ctx, name, data)
}

// keepAlive records progress at intervals until ctx ends or the lot is lost,
// and then calls lost.
func (l *Lots) keepAlive(ctx context.Context, h *held, lost func()) {
	t := time.NewTicker(keepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		err := l.keep(ctx, h)
		if errors.Is(err, errNotOwner) || errors.Is(err, errEnded) {
			l.log.Info("lot lost", "id", h.spec.ID, "error", err)
			lost()
			return
		}
		if err != nil {
			l.log.Debug("progress not kept", "id", h.spec.ID, "error", err)
		}
	}
}

package serve

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

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
		if err := l.commitLot(ctx, h, claim); err != nil {
			return err
		}
		h.claimed = true
	}
	return l.commitLot(ctx, h, f)
}

// claim records that this daemon owns a lot that it has taken.
func claim(h ledger.Hold, now time.Time) (ledger.Hold, []platform.Write, error) {
	return ledger.Change(h, ledger.Adopt, leaseTime, now)
}

// commitLot commits a change once. The caller holds the lot's recording lock.
func (l *Lots) commitLot(ctx context.Context, h *held, f lotChange) error {
	next, writes, err := f(h.lot, time.Now())
	if err != nil {
		return err
	}
	err = l.writer.Commit(ctx, batch.Lots, uuid.NewString(), writes)
	if err == nil {
		h.lot = next
		return nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	return l.settleLot(ctx, h, next)
}

// settleLot reads the open row after a conflict. Only this daemon writes rows
// with its token, so a row of the expected version with it is the change whose
// answer was lost.
func (l *Lots) settleLot(ctx context.Context, h *held, next ledger.Hold) error {
	open, version, err := l.readOpen(ctx, h.spec.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return errEnded
	}
	if err != nil {
		return err
	}
	if !open.Owns(next.Open.Token) {
		return errNotOwner
	}
	if version == next.Version {
		h.lot = next
		return nil
	}
	h.lot.Version, h.lot.Open = version, open
	return errors.Wrap(platform.ErrUnavailable, "record of the lot was behind")
}

// insist repeats a change until it is certain, the lot is no longer this
// daemon's, or ctx ends.
func (l *Lots) insist(ctx context.Context, h *held, f lotChange) error {
	again := newBackoff(minBackoff)
	for {
		err := l.record(ctx, h, f)
		if err == nil || !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknown) {
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
	return l.record(ctx, h, func(hold ledger.Hold, now time.Time) (ledger.Hold, []platform.Write, error) {
		if hold.Open.State != ledger.Running {
			return hold, nil, errDispatched
		}
		hold.Open.Tokens, hold.Open.Progress = p.Tokens, name
		return ledger.Change(hold, ledger.Keep, leaseTime, now)
	})
}

// storeProgress writes the progress object of this owner's epoch, and returns
// its name, or the name in force if there is nothing new.
func (l *Lots) storeProgress(ctx context.Context, h *held, p progress) (string, error) {
	h.lock()
	open := h.lot.Open
	id := h.spec.ID
	h.unlock()
	if p.Tokens == open.Tokens {
		return open.Progress, nil
	}
	name := "lot-" + id + "-" + strconv.FormatInt(open.Epoch, 10) + "-" + open.Token
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

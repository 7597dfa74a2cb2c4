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
type lotChange func(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error)

// record commits a change of a lot once. It returns errNotOwner or errEnded
// when the lot is no longer this daemon's, and the table's error when the
// change is not certain, after which it may be repeated.
func (l *Lots) record(ctx context.Context, o *ownedLot, f lotChange) error {
	o.lock()
	defer o.unlock()
	if !o.claimed {
		if err := l.commitLot(ctx, o, o.claim); err != nil {
			return err
		}
		o.claimed = true
	}
	return l.commitLot(ctx, o, f)
}

// claim records that this daemon owns a lot that it has taken. A dispatch that
// the owner before recorded and never sent is undone. One that has reached its
// end stays dispatched, so that nobody begins it again before the end is
// recorded.
func (o *ownedLot) claim(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error) {
	if open.Ownership.State == ledger.Dispatched && o.result == nil {
		return ledger.UpdateLot(open, ledger.Refuse, leaseDuration, now)
	}
	return ledger.UpdateLot(open, ledger.Adopt, leaseDuration, now)
}

// noChange is no change: recording it claims a lot that was taken.
func noChange(open ledger.OpenLot, _ time.Time) (ledger.OpenLot, []platform.Write, error) {
	return open, nil, nil
}

// commitLot commits a change once, unless it has no writes. The caller holds the lot's recording lock.
func (l *Lots) commitLot(ctx context.Context, o *ownedLot, f lotChange) error {
	next, writes, err := f(o.open, time.Now())
	if err != nil {
		return err
	}
	if len(writes) > 0 {
		err = l.writer.Commit(ctx, batch.Lots, uuid.NewString(), writes)
	}
	if err == nil {
		o.open = next
		return nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	return l.resolveConflict(ctx, o, next)
}

// resolveConflict reads the open row after a conflict, which may be with the change
// itself, whose answer was lost.
func (l *Lots) resolveConflict(ctx context.Context, o *ownedLot, next ledger.OpenLot) error {
	ownership, version, err := l.readOwnership(ctx, o.spec.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return errEnded
	}
	if err != nil {
		return err
	}
	if o.previousToken != "" && !o.claimed && ownership.HasToken(o.previousToken) {
		// A commit of the owner before arrived late. Nothing followed it, since
		// that owner had stopped: the lot is taken from there.
		o.open.Version, o.open.Ownership.State = version, ownership.State
		return errors.Wrap(platform.ErrUnavailable, "record of the lot was behind")
	}
	if !ownership.HasToken(next.Ownership.Token) {
		return errNotOwner
	}
	// An earlier record of this daemon, given up as uncertain, may have taken
	// the version: the row is this change only if it says the same.
	o.open.Version, o.open.Ownership = version, ownership
	if version == next.Version && ownership.SameProgress(&next.Ownership) {
		return nil
	}
	return errors.Wrap(platform.ErrUnavailable, "record of the lot was behind")
}

// moveTo returns a change to a state by an event, which does nothing if an
// earlier record of it took effect late.
func moveTo(state chart.State, e chart.Event) lotChange {
	return func(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error) {
		if open.Ownership.State == state {
			return open, nil, nil
		}
		return ledger.UpdateLot(open, e, leaseDuration, now)
	}
}

// recordWithRetry repeats a change until it is certain, the lot is no longer this
// daemon's, or ctx ends.
func (l *Lots) recordWithRetry(ctx context.Context, o *ownedLot, f lotChange) error {
	retry := newBackoff(minBackoff)
	for {
		err := l.record(ctx, o, f)
		if err == nil || !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknown) {
			return err
		}
		if !retry.wait(ctx) {
			return err
		}
	}
}

// saveProgress stores the progress in an object and then in the row, which also renews
// the lease. Any goroutine may call it.
func (l *Lots) saveProgress(ctx context.Context, o *ownedLot) error {
	p := o.progress()
	name, err := l.putProgress(ctx, o, p)
	if err != nil {
		return err
	}
	var replaced string
	err = l.record(ctx, o, func(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error) {
		if open.Ownership.State != ledger.Running {
			return open, nil, errDispatched
		}
		replaced = open.Ownership.ProgressObject
		open.Ownership.Tokens, open.Ownership.ProgressObject = p.Tokens, name
		return ledger.UpdateLot(open, ledger.Keep, leaseDuration, now)
	})
	if err != nil {
		return err
	}
	o.setSaved(p.Tokens)
	if replaced != "" && replaced != name {
		_ = l.objects.Delete(ctx, replaced) // a reader that misses it reads the row again
	}
	return nil
}

// putProgress writes a progress object and returns its name, or the name in
// force if there is nothing new. The name holds the number of tokens, so that
// a write which arrives late can't take the place of a longer one.
func (l *Lots) putProgress(ctx context.Context, o *ownedLot, p progress) (string, error) {
	o.lock()
	ownership := o.open.Ownership
	o.unlock()
	if p.Tokens == ownership.Tokens && p.Finish == "" {
		return ownership.ProgressObject, nil
	}
	name := fmt.Sprintf("lot-%s-%d-%s-%d", o.spec.ID, ownership.Epoch, ownership.Token, p.Tokens)
	data, err := json.Marshal(p)
	if err != nil {
		return "", errors.Wrap(err, "encode progress")
	}
	return name, l.objects.Put(ctx, name, data)
}

// keepAlive records progress at intervals until ctx ends or the lot is lost,
// and then calls lost.
func (l *Lots) keepAlive(ctx context.Context, o *ownedLot, lost func()) {
	t := time.NewTicker(saveInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		err := l.saveProgress(ctx, o)
		if errors.Is(err, errNotOwner) || errors.Is(err, errEnded) {
			l.log.Info("lot lost", "id", o.spec.ID, "error", err)
			lost()
			return
		}
		if err != nil {
			l.log.Debug("progress not kept", "id", o.spec.ID, "error", err)
		}
	}
}

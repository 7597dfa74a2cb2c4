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

// lotChange returns the next state of an open lot and the writes that store it.
type lotChange func(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error)

// record commits a change of a lot, without retries. If this daemon has not claimed the
// lot yet, it claims it first. It returns errNotOwner or errEnded if this daemon no
// longer owns the lot, and the table's error if the change may not have been committed;
// the change may then be retried.
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

// claim records that this daemon owns a lot that it adopted or received. If the previous
// owner recorded a dispatch but never sent it, the lot returns to running. If the lot has
// a result that is not recorded yet, it stays dispatched, so that no daemon runs it again
// before the result is recorded.
func (o *ownedLot) claim(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error) {
	if open.Ownership.State == ledger.Dispatched && o.result == nil {
		return ledger.UpdateLot(open, ledger.Refuse, leaseDuration, now)
	}
	return ledger.UpdateLot(open, ledger.Adopt, leaseDuration, now)
}

// noChange changes nothing. With it, record only claims the lot.
func noChange(open ledger.OpenLot, _ time.Time) (ledger.OpenLot, []platform.Write, error) {
	return open, nil, nil
}

// commitLot commits the writes of a change, if it has any, without retries. The caller
// holds recordLock.
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

// resolveConflict reads the ownership row after a conflict to find out who changed it. This
// may have been the change itself, if the response to its first commit was lost.
func (l *Lots) resolveConflict(ctx context.Context, o *ownedLot, next ledger.OpenLot) error {
	ownership, version, err := l.readOwnership(ctx, o.spec.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return errEnded
	}
	if err != nil {
		return err
	}
	if o.previousToken != "" && !o.claimed && ownership.HasToken(o.previousToken) {
		// A commit of the previous owner took effect late. No other commit followed,
		// since that owner has stopped, so this daemon continues from this version.
		o.open.Version, o.open.Ownership.State = version, ownership.State
		return errors.Wrap(platform.ErrUnavailable, "ownership row has a newer version")
	}
	if !ownership.HasToken(next.Ownership.Token) {
		return errNotOwner
	}
	// The version may have been written by an earlier record of this daemon that was
	// abandoned with an unknown outcome. The row shows this change only if its content
	// is the same.
	o.open.Version, o.open.Ownership = version, ownership
	if version == next.Version && ownership.SameProgress(&next.Ownership) {
		return nil
	}
	return errors.Wrap(platform.ErrUnavailable, "ownership row has a newer version")
}

// moveTo returns a change that applies the event, which leads to the state. The change
// does nothing if the lot has the state already because an earlier commit took effect
// late.
func moveTo(state chart.State, e chart.Event) lotChange {
	return func(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error) {
		if open.Ownership.State == state {
			return open, nil, nil
		}
		return ledger.UpdateLot(open, e, leaseDuration, now)
	}
}

// recordWithRetry retries a change until it is committed, this daemon no longer owns the
// lot, or ctx ends.
func (l *Lots) recordWithRetry(ctx context.Context, o *ownedLot, f lotChange) error {
	retry := newBackoff(minBackoff)
	for {
		err := l.record(ctx, o, f)
		if err == nil || !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return err
		}
		if !retry.wait(ctx) {
			return err
		}
	}
}

// saveProgress writes the progress to an object and then records the object in the row,
// which also renews the lease. Any goroutine may call it.
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
		_ = l.objects.Delete(ctx, replaced) // a reader that finds it deleted reads the row again
	}
	return nil
}

// putProgress writes a progress object and returns its name. If there are no new tokens it
// returns the name of the current object. The name contains the number of tokens, so
// that a late write can't overwrite an object with more tokens.
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

// keepAlive saves the progress every saveInterval, which renews the lease, until ctx ends.
// If this daemon no longer owns the lot, it calls lost and returns.
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
			l.log.Info("lot no longer owned by this daemon", "id", o.spec.ID, "error", err)
			lost()
			return
		}
		if err != nil {
			l.log.Debug("progress of the lot not saved", "id", o.spec.ID, "error", err)
		}
	}
}

package serve

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
)

// recordChange is a decision on a record that this daemon dispatched.
type recordChange func(now time.Time) (ledger.StoredRecord, platform.Write, error)

// recordResponse records the answer of a call. A body too large for a row goes to
// the object store first.
func (r *Recorder) recordResponse(s ledger.StoredRecord, resp *call.Response) {
	stored := ledger.Response{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}
	var object []byte
	if len(resp.Body) > maxInlineBytes {
		stored.Body, stored.Object = nil, "answer-"+s.Record.ID
		object = resp.Body
	}
	r.runInBackground(func(ctx context.Context) {
		if stored.Object != "" && !r.putWithRetry(ctx, stored.Object, object) {
			return
		}
		r.commit(ctx, func(now time.Time) (ledger.StoredRecord, platform.Write, error) {
			return ledger.MarkDone(s, stored, now)
		})
	})
}

// record commits a change of a record.
func (r *Recorder) record(f recordChange) {
	r.runInBackground(func(ctx context.Context) { r.commit(ctx, f) })
}

// runInBackground runs f and waits a short while for its end. Afterwards f goes on behind
// the answer: the caller's answer is true whether or not its record is kept,
// and another daemon reads the call as dispatched until it is.
func (r *Recorder) runInBackground(f func(ctx context.Context)) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.log.Warn("record dropped", "step", stepLedger, "peer", peerTable, "under_way", maxBackground)
		return
	}
	done := make(chan struct{})
	r.tasks.Go(func() {
		defer func() { <-r.slots }()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		f(ctx)
	})
	t := time.NewTimer(recordWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// commit repeats a change until it is certain. A conflict ends it: either its
// first commit took effect, or the row is no longer this daemon's to change.
// It reports whether the change was committed without a conflict.
func (r *Recorder) commit(ctx context.Context, f recordChange) bool {
	_, w, err := f(time.Now())
	if err != nil {
		r.log.Error("record refused", "error", err)
		return false
	}
	token := uuid.NewString()
	retry := newBackoff(minBackoff)
	for {
		err := r.writer.Commit(ctx, batch.Calls, token, []platform.Write{w})
		if err == nil {
			return true
		}
		if errors.Is(err, platform.ErrConflict) {
			return false
		}
		if !retry.wait(ctx) {
			r.log.Warn("record not kept", "step", stepLedger, "peer", peerTable, "key", w.Key, "error", err)
			return false
		}
	}
}

// withdraw makes sure that a dispatch that was not certain in time does not
// leave the call dispatched, since this daemon will never send it.
func (r *Recorder) withdraw(s ledger.StoredRecord, d ledger.Decision, uncertain bool) {
	if !uncertain {
		return
	}
	const reason = "dispatch was not certain in time"
	go r.runInBackground(func(ctx context.Context) {
		withdrawn := r.commit(ctx, func(now time.Time) (ledger.StoredRecord, platform.Write, error) {
			return ledger.MarkWithdrawn(s, d, reason, now)
		})
		if withdrawn {
			return
		}
		// The conflict is with this daemon's own dispatch, or with another's.
		found, ok := r.readWithRetry(ctx, d.Next.Record.ID)
		if !ok || !ledger.DispatchedBy(found, d.Next.Record.Token) {
			return
		}
		r.commit(ctx, func(now time.Time) (ledger.StoredRecord, platform.Write, error) {
			return ledger.MarkRefused(found, reason, now)
		})
	})
}

// readWithRetry repeats a read until it succeeds or ctx ends.
func (r *Recorder) readWithRetry(ctx context.Context, id string) (ledger.StoredRecord, bool) {
	retry := newBackoff(minBackoff)
	for {
		found, err := readCall(ctx, r.table, id)
		if err == nil {
			return found, true
		}
		if !retry.wait(ctx) {
			return ledger.StoredRecord{}, false
		}
	}
}

func (r *Recorder) putWithRetry(ctx context.Context, name string, data []byte) bool {
	retry := newBackoff(minBackoff)
	for {
		err := r.objects.Put(ctx, name, data)
		if err == nil {
			return true
		}
		if !retry.wait(ctx) {
			r.log.Warn("answer not kept", "step", stepLedger, "peer", "objects", "object", name, "error", err)
			return false
		}
	}
}

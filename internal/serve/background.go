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

// recordChange returns the next state of a record and the write that stores it.
type recordChange func(now time.Time) (ledger.StoredRecord, platform.Write, error)

// recordResponse records the response to a call. A body that is too large for a row is
// written to the object store first.
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

// record commits a change of a record in the background.
func (r *Recorder) record(f recordChange) {
	r.runInBackground(func(ctx context.Context) { r.commit(ctx, f) })
}

// runInBackground starts f and waits for it for recordWait at most; then f continues in
// the background. The response to the caller need not wait any longer: it is correct
// whether or not it gets recorded, and until then other daemons see the call as
// dispatched. f is dropped if too many are running.
func (r *Recorder) runInBackground(f func(ctx context.Context)) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.log.Warn("call record not stored: too many records in progress", "step", stepLedger, "peer", peerTable, "under_way", maxBackground)
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

// commit retries a change until it succeeds, conflicts or ctx ends. After a conflict it
// is not retried: either an earlier try succeeded, or another daemon has changed the row.
// It reports whether the change was committed without a conflict.
func (r *Recorder) commit(ctx context.Context, f recordChange) bool {
	_, w, err := f(time.Now())
	if err != nil {
		r.log.Error("call record not stored: invalid transition", "error", err)
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
			r.log.Warn("call record not stored", "step", stepLedger, "peer", peerTable, "key", w.Key, "error", err)
			return false
		}
	}
}

// withdraw ensures that the record doesn't stay dispatched after a commit with an unknown
// outcome, since this daemon will never send the call.
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
		// Either the abandoned commit of this daemon or one of another daemon changed the row.
		found, ok := r.readWithRetry(ctx, d.Next.Record.ID)
		if !ok || !ledger.DispatchedBy(found, d.Next.Record.Token) {
			return
		}
		r.commit(ctx, func(now time.Time) (ledger.StoredRecord, platform.Write, error) {
			return ledger.MarkRefused(found, reason, now)
		})
	})
}

// readWithRetry reads the record of a call, with retries until ctx ends.
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
			r.log.Warn("response body not stored", "step", stepLedger, "peer", "objects", "object", name, "error", err)
			return false
		}
	}
}

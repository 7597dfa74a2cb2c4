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

// change is a decision on a record that this daemon dispatched.
type change func(now time.Time) (ledger.Stored, platform.Write, error)

// recordAnswer records the answer of a call. A body too large for a row goes to
// the object store first.
func (r *Recorder) recordAnswer(s ledger.Stored, reply *call.Reply) {
	rec := ledger.Reply{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	var object []byte
	if len(reply.Body) > maxInlineBytes {
		rec.Body, rec.Object = nil, "answer-"+s.Record.ID
		object = reply.Body
	}
	r.start(func(ctx context.Context) {
		if rec.Object != "" && !r.putObject(ctx, rec.Object, object) {
			return
		}
		r.commit(ctx, func(now time.Time) (ledger.Stored, platform.Write, error) {
			return ledger.Answered(s, rec, now)
		})
	})
}

// record commits a change of a record.
func (r *Recorder) record(f change) {
	r.start(func(ctx context.Context) { r.commit(ctx, f) })
}

// start runs f and waits a short while for its end. Afterwards f goes on behind
// the answer: the caller's answer is true whether or not its record is kept,
// and another daemon reads the call as dispatched until it is.
func (r *Recorder) start(f func(ctx context.Context)) {
	select {
	case r.later <- struct{}{}:
	default:
		r.log.Warn("record dropped", "step", stepLedger, "peer", peerTable, "under_way", maxLater)
		return
	}
	done := make(chan struct{})
	r.tasks.Go(func() {
		defer func() { <-r.later }()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), laterTimeout)
		defer cancel()
		f(ctx)
	})
	t := time.NewTimer(recordTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// commit repeats a change until it is certain. A conflict ends it: either its
// first commit took effect, or the row is no longer this daemon's to change.
// It reports whether the change was committed without a conflict.
func (r *Recorder) commit(ctx context.Context, f change) bool {
	_, w, err := f(time.Now())
	if err != nil {
		r.log.Error("record refused", "error", err)
		return false
	}
	token := uuid.NewString()
	again := newBackoff(minBackoff)
	for {
		err := r.writer.Commit(ctx, batch.Calls, token, []platform.Write{w})
		if err == nil {
			return true
		}
		if errors.Is(err, platform.ErrConflict) {
			return false
		}
		if !again.wait(ctx) {
			r.log.Warn("record not kept", "step", stepLedger, "peer", peerTable, "key", w.Key, "error", err)
			return false
		}
	}
}

// giveUp makes sure that a dispatch that was not certain in time does not
// leave the call dispatched, since this daemon will never send it.
func (r *Recorder) giveUp(s ledger.Stored, d ledger.Decision, uncertain bool) {
	if !uncertain {
		return
	}
	const reason = "dispatch was not certain in time"
	go r.start(func(ctx context.Context) {
		withdrawn := r.commit(ctx, func(now time.Time) (ledger.Stored, platform.Write, error) {
			return ledger.Withdrawn(s, d, reason, now)
		})
		if withdrawn {
			return
		}
		// The conflict is with this daemon's own dispatch, or with another's.
		found, ok := r.readLater(ctx, d.Next.Record.ID)
		if !ok || !ledger.Holds(found, d.Next.Record.Token) {
			return
		}
		r.commit(ctx, func(now time.Time) (ledger.Stored, platform.Write, error) {
			return ledger.RefusedBy(found, reason, now)
		})
	})
}

// readLater repeats a read until it succeeds or ctx ends.
func (r *Recorder) readLater(ctx context.Context, id string) (ledger.Stored, bool) {
	again := newBackoff(minBackoff)
	for {
		found, err := readCall(ctx, r.table, id)
		if err == nil {
			return found, true
		}
		if !again.wait(ctx) {
			return ledger.Stored{}, false
		}
	}
}

func (r *Recorder) putObject(ctx context.Context, name string, data []byte) bool {
	again := newBackoff(minBackoff)
	for {
		err := r.objects.Put(ctx, name, data)
		if err == nil {
			return true
		}
		if !again.wait(ctx) {
			r.log.Warn("answer not kept", "step", stepLedger, "peer", "objects", "object", name, "error", err)
			return false
		}
	}
}

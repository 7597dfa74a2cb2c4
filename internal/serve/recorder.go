package serve

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

const (
	stepLedger = "ledger"
	peerTable  = "table"

	answerGrace    = 5 * time.Second        // beyond the caller's patience, for an answer to be recorded
	settleTimeout  = 600 * time.Millisecond // for a commit that dispatches
	recordTimeout  = 200 * time.Millisecond // that an answer waits for its record
	laterTimeout   = 2 * time.Minute        // for a record that the answer did not wait for
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = time.Second
	maxLater       = 1024 // records under way behind their answers
	maxInlineBytes = 200 << 10
	busyPoll       = 15 * time.Millisecond // between reads of a record that is awaited
	maxBusyPoll    = 250 * time.Millisecond
	maxBusyWait    = time.Second
	minBusyLeft    = 100 * time.Millisecond // of the caller's patience
	maxAdmissions  = 3                      // decisions on one call while others change its record
)

// Committer commits writes of a class of the write budget.
type Committer interface {
	Commit(ctx context.Context, class batch.Class, token string, writes []platform.Write) error
}

// Recorder runs calls that may not be repeated: it records each dispatch before
// the first byte, and the answer after the last. Its methods may be called from
// any goroutine.
type Recorder struct {
	daemon     string
	table      platform.Table
	objects    platform.Objects
	writer     Committer
	dispatcher Dispatcher
	log        hclog.Logger
	later      chan struct{} // a slot for each record under way
	tasks      sync.WaitGroup
}

// NewRecorder returns a recorder of the daemon with that name.
func NewRecorder(daemon string, table platform.Table, objects platform.Objects, w Committer, d Dispatcher, log hclog.Logger) *Recorder {
	return &Recorder{
		daemon: daemon, table: table, objects: objects, writer: w, dispatcher: d, log: log,
		later: make(chan struct{}, maxLater),
	}
}

// Close waits until ctx ends for the records that are still under way.
func (r *Recorder) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Plain runs a call that may not be repeated, or answers it from its record.
// The error is a *call.Error.
func (r *Recorder) Plain(ctx context.Context, c *call.Call) (*call.Reply, error) {
	var s ledger.Stored // unknown rows are taken for absent: the commit finds out
	id := ledger.RequestID(c.Customer.Name, c.IdempotencyKey)
	hash := ledger.HashRequest(c.Service.Name, c.Method, c.Path, c.ContentType, c.Body)
	busy := &backoff{next: busyPoll, most: maxBusyPoll}
	for admissions := 0; admissions < maxAdmissions; admissions++ {
		in := ledger.Intent{ID: id, Customer: c.Customer.Name, Hash: hash, Daemon: r.daemon, Token: uuid.NewString()}
		d, err := ledger.Admit(s, in, time.Now())
		if err != nil {
			return nil, call.Lost(stepLedger, peerTable, fasthttp.StatusInternalServerError, err)
		}
		if d.Verdict == ledger.Busy && d.Next.Record.State == ledger.Dispatched && r.mayWait(c) && busy.wait(ctx) {
			if s, err = readCall(ctx, r.table, id); err != nil {
				return nil, call.Lost(stepLedger, peerTable, fasthttp.StatusServiceUnavailable, err)
			}
			admissions--
			continue
		}
		if d.Verdict != ledger.MayDispatch {
			return r.fromRecord(ctx, c, d)
		}
		found, err := r.claim(ctx, c, s, d, in.Token)
		if err != nil {
			return nil, err
		}
		if found == nil {
			return r.run(ctx, c, d.Next)
		}
		s = *found
	}
	err := errors.New("record changes too often")
	return nil, call.Lost(stepLedger, peerTable, fasthttp.StatusConflict, err)
}

// mayWait tells whether a caller that asks again while its call runs may be
// kept waiting for the answer.
func (r *Recorder) mayWait(c *call.Call) bool {
	now := time.Now()
	return now.Sub(c.Arrived) < maxBusyWait && now.Add(minBusyLeft).Before(c.Deadline)
}

// claim commits the dispatch of a call. It returns nil and no error once the
// dispatch is certain, or the record that stands in its way.
func (r *Recorder) claim(ctx context.Context, c *call.Call, s ledger.Stored, d ledger.Decision, token string) (*ledger.Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	uncertain := false
	again := newBackoff(minBackoff)
	for {
		err := r.writer.Commit(ctx, batch.Calls, token, []platform.Write{d.Write})
		if err == nil {
			c.Trace.Add(trace.Step{At: time.Now(), Name: "dispatched", Peer: peerTable, Attempt: d.Next.Record.Attempt})
			return nil, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return r.settle(ctx, d, token)
		}
		c.Trace.Add(trace.Step{At: time.Now(), Name: "commit-failed", Peer: peerTable, Detail: err.Error()})
		uncertain = uncertain || errors.Is(err, platform.ErrOutcomeUnknown)
		if errors.Is(err, batch.ErrBudget) || !again.wait(ctx) {
			r.giveUp(s, d, uncertain)
			return nil, call.Refused(stepLedger, peerTable, fasthttp.StatusServiceUnavailable, err)
		}
	}
}

// settle reads the record after a conflict. The conflict may be with the
// commit itself, whose first answer was lost.
func (r *Recorder) settle(ctx context.Context, d ledger.Decision, token string) (*ledger.Stored, error) {
	found, err := readCall(ctx, r.table, d.Next.Record.ID)
	if err != nil {
		// Some dispatch of this request exists, perhaps an earlier one.
		return nil, call.Lost(stepLedger, peerTable, fasthttp.StatusServiceUnavailable, err)
	}
	if ledger.Holds(found, token) {
		return nil, nil
	}
	return &found, nil
}

// readCall returns the record of a call; version 0 if there is none.
func readCall(ctx context.Context, table platform.Table, id string) (ledger.Stored, error) {
	row, err := table.Get(ctx, ledger.CallKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return ledger.Stored{}, nil
	}
	if err != nil {
		return ledger.Stored{}, err
	}
	return ledger.DecodeRecord(row)
}

// run dispatches a call whose dispatch is recorded as s, and records how it
// ended.
func (r *Recorder) run(ctx context.Context, c *call.Call, s ledger.Stored) (*call.Reply, error) {
	if err := ctx.Err(); err != nil {
		r.record(func(now time.Time) (ledger.Stored, platform.Write, error) {
			return ledger.RefusedBy(s, "patience ended before dispatch", now)
		})
		return nil, call.Refused(stepLedger, peerTable, fasthttp.StatusGatewayTimeout, err)
	}
	owned := *c
	owned.Body = bytes.Clone(c.Body)
	ended := make(chan result, 1)
	// The dispatch outlives a caller that leaves, so that the record holds the
	// answer when the caller asks again.
	r.tasks.Go(func() {
		dctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline.Add(answerGrace))
		defer cancel()
		ended <- r.dispatch(dctx, &owned, s)
	})
	select {
	case res := <-ended:
		return res.reply, res.err
	case <-ctx.Done():
		return nil, call.Lost(stepLedger, "", fasthttp.StatusGatewayTimeout, ctx.Err())
	}
}

// result is the end of a dispatch.
type result struct {
	reply *call.Reply
	err   error
}

func (r *Recorder) dispatch(ctx context.Context, c *call.Call, s ledger.Stored) result {
	reply, err := r.dispatcher.Plain(ctx, c)
	if err == nil {
		r.recordAnswer(s, reply)
		return result{reply: reply}
	}
	change := ledger.Lost
	var ce *call.Error
	if errors.As(err, &ce) && ce.Outcome == call.NotRun {
		change = ledger.RefusedBy
	}
	r.record(func(now time.Time) (ledger.Stored, platform.Write, error) { return change(s, err.Error(), now) })
	return result{err: err}
}

// fromRecord answers a call that must not be dispatched.
func (r *Recorder) fromRecord(ctx context.Context, c *call.Call, d ledger.Decision) (*call.Reply, error) {
	rec := &d.Next.Record
	c.Trace.Add(trace.Step{At: time.Now(), Name: "record-" + string(rec.State), Peer: rec.Daemon, Detail: rec.Reason})
	switch d.Verdict {
	case ledger.Replay:
		reply, err := readReply(ctx, r.objects, rec.Reply)
		if err != nil {
			return nil, call.Lost(stepLedger, "objects", fasthttp.StatusServiceUnavailable, err)
		}
		return reply, nil
	case ledger.Mismatch:
		return nil, mismatch(stepLedger)
	case ledger.Elsewhere:
		return r.fromLot(ctx, rec)
	default:
		err := errors.Errorf("request %s is %s by daemon %s since %s %s", rec.ID, rec.State, rec.Daemon, rec.At.UTC().Format(time.RFC3339Nano), rec.Reason)
		return nil, call.Lost(stepLedger, rec.Daemon, fasthttp.StatusConflict, err)
	}
}

// fromLot answers a call that was accepted as a lot, once the lot is answered.
func (r *Recorder) fromLot(ctx context.Context, rec *ledger.Record) (*call.Reply, error) {
	row, err := r.table.Get(ctx, ledger.LotKey(rec.ID))
	if err != nil {
		return nil, call.Lost(stepLedger, peerTable, fasthttp.StatusServiceUnavailable, err)
	}
	var lot ledger.Lot
	if err := ledger.Decode(row, &lot); err != nil {
		return nil, call.Lost(stepLedger, peerTable, fasthttp.StatusInternalServerError, err)
	}
	if lot.State != ledger.Done || lot.Reply == nil {
		err := errors.Errorf("request %s was accepted to be answered later and is %s", rec.ID, lot.State)
		return nil, call.Lost(stepLedger, "", fasthttp.StatusConflict, err)
	}
	reply, err := readReply(ctx, r.objects, lot.Reply)
	if err != nil {
		return nil, call.Lost(stepLedger, "objects", fasthttp.StatusServiceUnavailable, err)
	}
	return reply, nil
}

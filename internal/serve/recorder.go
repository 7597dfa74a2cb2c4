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

	responseGrace     = 5 * time.Second        // after the caller's deadline, for a response that is only recorded
	claimTimeout      = 600 * time.Millisecond // for the commit that claims a call
	recordWait        = 200 * time.Millisecond // how long a response waits until it is recorded
	backgroundTimeout = 2 * time.Minute        // for a record in the background
	minBackoff        = 10 * time.Millisecond
	maxBackoff        = time.Second
	maxBackground     = 1024                  // records in progress
	maxInlineBytes    = 200 << 10             // larger bodies are stored as objects
	minPoll           = 15 * time.Millisecond // between reads of a record whose response is pending
	maxPoll           = 250 * time.Millisecond
	maxPollTime       = time.Second
	minTimeLeft       = 100 * time.Millisecond // until the caller's deadline, for another read
	maxClaims         = 3                      // claims of one call, if others change its record
)

// Committer commits writes, which count against one share of the write budget.
type Committer interface {
	Commit(ctx context.Context, class batch.Class, token string, writes []platform.Write) error
}

// Recorder runs non-repeatable calls. It records each dispatch before the first byte is
// sent, and the response once it is complete. Its methods may be called from any
// goroutine.
type Recorder struct {
	daemon     string
	table      platform.Table
	objects    platform.Objects
	writer     Committer
	dispatcher Dispatcher
	log        hclog.Logger
	slots      chan struct{} // limits the records in progress
	tasks      sync.WaitGroup
}

// NewRecorder returns the recorder of the named daemon.
func NewRecorder(daemon string, table platform.Table, objects platform.Objects, w Committer, d Dispatcher, log hclog.Logger) *Recorder {
	return &Recorder{
		daemon: daemon, table: table, objects: objects, writer: w, dispatcher: d, log: log,
		slots: make(chan struct{}, maxBackground),
	}
}

// Close waits for the dispatches and records in progress, until ctx ends.
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

// Plain runs a non-repeatable call or returns the response in its record. The error is a
// *call.Error.
func (r *Recorder) Plain(ctx context.Context, c *call.Call) (*call.Response, error) {
	var s ledger.StoredRecord // assumed to be absent: if it exists, the commit conflicts
	id := ledger.RequestID(c.Customer.Name, c.IdempotencyKey)
	hash := ledger.HashRequest(c.Service.Name, c.Method, c.Path, c.ContentType, c.Body)
	poll := &backoff{delay: minPoll, max: maxPoll}
	for claims := 0; claims < maxClaims; claims++ {
		claim := ledger.Claim{ID: id, Customer: c.Customer.Name, Hash: hash, Daemon: r.daemon, Token: uuid.NewString()}
		d, err := ledger.ClaimDispatch(s, claim, time.Now())
		if err != nil {
			return nil, call.MayHaveRunError(stepLedger, peerTable, fasthttp.StatusInternalServerError, err)
		}
		if d.Verdict == ledger.AlreadyDispatched && d.Next.Record.State == ledger.Dispatched && r.mayWait(c) && poll.wait(ctx) {
			if s, err = readCall(ctx, r.table, id); err != nil {
				return nil, call.MayHaveRunError(stepLedger, peerTable, fasthttp.StatusServiceUnavailable, err)
			}
			claims--
			continue
		}
		if d.Verdict != ledger.MayDispatch {
			return r.responseFromRecord(ctx, c, d)
		}
		found, err := r.claim(ctx, c, s, d, claim.Token)
		if err != nil {
			return nil, err
		}
		if found == nil {
			return r.run(ctx, c, d.Next)
		}
		s = *found
	}
	err := errors.New("record changes too often")
	return nil, call.MayHaveRunError(stepLedger, peerTable, fasthttp.StatusConflict, err)
}

// mayWait reports whether a request whose call is already running may wait longer for the
// response.
func (r *Recorder) mayWait(c *call.Call) bool {
	now := time.Now()
	return now.Sub(c.Arrived) < maxPollTime && now.Add(minTimeLeft).Before(c.Deadline)
}

// claim commits the dispatch of a call. It returns nil, nil once the commit has succeeded.
// If another record conflicts, claim returns that record.
func (r *Recorder) claim(ctx context.Context, c *call.Call, s ledger.StoredRecord, d ledger.Decision, token string) (*ledger.StoredRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	uncertain := false
	retry := newBackoff(minBackoff)
	for {
		err := r.writer.Commit(ctx, batch.Calls, token, []platform.Write{d.Write})
		if err == nil {
			c.Trace.Add(trace.Step{At: time.Now(), Name: "dispatched", Peer: peerTable, Attempt: d.Next.Record.Attempt})
			return nil, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return r.resolveConflict(ctx, d, token)
		}
		c.Trace.Add(trace.Step{At: time.Now(), Name: "commit-failed", Peer: peerTable, Detail: err.Error()})
		uncertain = uncertain || errors.Is(err, platform.ErrOutcomeUnknown)
		if errors.Is(err, batch.ErrBudget) || !retry.wait(ctx) {
			r.withdraw(s, d, uncertain)
			return nil, call.NotRunError(stepLedger, peerTable, fasthttp.StatusServiceUnavailable, err)
		}
	}
}

// resolveConflict reads the record after a conflict. The commit may have conflicted with
// itself, if the response to its first try was lost; then resolveConflict returns nil, nil.
func (r *Recorder) resolveConflict(ctx context.Context, d ledger.Decision, token string) (*ledger.StoredRecord, error) {
	found, err := readCall(ctx, r.table, d.Next.Record.ID)
	if err != nil {
		// The row exists, so the request may have been dispatched, perhaps earlier.
		return nil, call.MayHaveRunError(stepLedger, peerTable, fasthttp.StatusServiceUnavailable, err)
	}
	if ledger.DispatchedBy(found, token) {
		return nil, nil
	}
	return &found, nil
}

// readCall returns the record of a call. Its version is 0 if there is no row.
func readCall(ctx context.Context, table platform.Table, id string) (ledger.StoredRecord, error) {
	row, err := table.Get(ctx, ledger.CallKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return ledger.StoredRecord{}, nil
	}
	if err != nil {
		return ledger.StoredRecord{}, err
	}
	return ledger.DecodeRecord(row)
}

// run dispatches a call whose dispatch is recorded as s, and records the result.
func (r *Recorder) run(ctx context.Context, c *call.Call, s ledger.StoredRecord) (*call.Response, error) {
	if err := ctx.Err(); err != nil {
		r.record(func(now time.Time) (ledger.StoredRecord, platform.Write, error) {
			return ledger.MarkRefused(s, "patience ended before dispatch", now)
		})
		return nil, call.NotRunError(stepLedger, peerTable, fasthttp.StatusGatewayTimeout, err)
	}
	copied := *c
	copied.Body = bytes.Clone(c.Body)
	results := make(chan dispatchResult, 1)
	// The dispatch continues if the caller disconnects, so that the response is in the
	// record if the caller sends the request again.
	r.tasks.Go(func() {
		dispatchCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline.Add(responseGrace))
		defer cancel()
		results <- r.dispatch(dispatchCtx, &copied, s)
	})
	select {
	case res := <-results:
		return res.resp, res.err
	case <-ctx.Done():
		return nil, call.MayHaveRunError(stepLedger, "", fasthttp.StatusGatewayTimeout, ctx.Err())
	}
}

// dispatchResult is the result of a dispatch.
type dispatchResult struct {
	resp *call.Response
	err  error
}

func (r *Recorder) dispatch(ctx context.Context, c *call.Call, s ledger.StoredRecord) dispatchResult {
	resp, err := r.dispatcher.Plain(ctx, c)
	if err == nil {
		r.recordResponse(s, resp)
		return dispatchResult{resp: resp}
	}
	change := ledger.MarkLost
	var ce *call.Error
	if errors.As(err, &ce) && ce.Outcome == call.NotRun {
		change = ledger.MarkRefused
	}
	r.record(func(now time.Time) (ledger.StoredRecord, platform.Write, error) { return change(s, err.Error(), now) })
	return dispatchResult{err: err}
}

// responseFromRecord returns the response or error for a call that must not be dispatched.
func (r *Recorder) responseFromRecord(ctx context.Context, c *call.Call, d ledger.Decision) (*call.Response, error) {
	rec := &d.Next.Record
	c.Trace.Add(trace.Step{At: time.Now(), Name: "record-" + string(rec.State), Peer: rec.Daemon, Detail: rec.Reason})
	switch d.Verdict {
	case ledger.Replay:
		resp, err := readResponse(ctx, r.objects, rec.Response)
		if err != nil {
			return nil, call.MayHaveRunError(stepLedger, "objects", fasthttp.StatusServiceUnavailable, err)
		}
		return resp, nil
	case ledger.KeyReused:
		return nil, keyReusedError(stepLedger)
	case ledger.KeyReserved:
		return r.responseFromLot(ctx, rec)
	default:
		err := errors.Errorf("request %s is %s by daemon %s since %s %s", rec.ID, rec.State, rec.Daemon, rec.UpdatedAt.UTC().Format(time.RFC3339Nano), rec.Reason)
		return nil, call.MayHaveRunError(stepLedger, rec.Daemon, fasthttp.StatusConflict, err)
	}
}

// responseFromLot returns the response of the lot that reserved the call's key. If the lot
// has none, the error has the outcome unknown.
func (r *Recorder) responseFromLot(ctx context.Context, rec *ledger.Record) (*call.Response, error) {
	row, err := r.table.Get(ctx, ledger.LotKey(rec.ID))
	if err != nil {
		return nil, call.MayHaveRunError(stepLedger, peerTable, fasthttp.StatusServiceUnavailable, err)
	}
	var lot ledger.Lot
	if err := ledger.DecodeRow(row, &lot); err != nil {
		return nil, call.MayHaveRunError(stepLedger, peerTable, fasthttp.StatusInternalServerError, err)
	}
	if lot.State != ledger.Done || lot.Response == nil {
		err := errors.Errorf("request %s was accepted to be answered later and is %s", rec.ID, lot.State)
		return nil, call.MayHaveRunError(stepLedger, "", fasthttp.StatusConflict, err)
	}
	resp, err := readResponse(ctx, r.objects, lot.Response)
	if err != nil {
		return nil, call.MayHaveRunError(stepLedger, "objects", fasthttp.StatusServiceUnavailable, err)
	}
	return resp, nil
}

// Package batch combines commits of many callers into transactions of the table
// service, within a write budget.
//
// Commits that queue up while all senders are busy are sent together in one
// transaction. No commit waits for others to arrive, so batching does not delay a
// single one.
package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// ErrBudget means that the class has used up its share of the write budget, or that
// the queue is full. It wraps platform.ErrUnavailable, since nothing was written.
var ErrBudget = errors.Wrap(platform.ErrUnavailable, "write budget spent")

const (
	// DefaultRowsPerSecond is the write budget of all daemons together.
	DefaultRowsPerSecond = 400
	// DefaultDaemons is the number of daemons assumed before SetDaemons is called.
	DefaultDaemons = 6
	// MaxRows is the largest number of rows in one batch.
	MaxRows = 25

	queueLength    = 256
	defaultSenders = 4
)

// Options configures a Writer. Zero fields mean the defaults.
type Options struct {
	RowsPerSecond float64 // write budget of all daemons together
	Daemons       int     // that share the budget
	Senders       int     // transactions in flight at once
}

// Stats are counters of a Writer.
type Stats struct {
	Commits  int64 `json:"commits"` // transactions sent to the table
	Rows     int64 `json:"rows"`    // rows in those transactions
	Joined   int64 `json:"joined"`  // commits of callers that shared a transaction with others
	Split    int64 `json:"split"`   // batches whose commits were retried one by one after a conflict
	Rejected int64 `json:"refused"` // commits rejected because the budget was spent or the queue was full
}

// Writer sends commits to the table, in batches and within the budget. Components
// that write often use it in place of the table. Its methods are safe for
// concurrent use.
type Writer struct {
	table     platform.Table
	budget    *budget
	queue     chan *pendingCommit
	done      chan struct{}
	closeOnce sync.Once
	senders   sync.WaitGroup

	commits, rows, joined, split atomic.Int64
}

// pendingCommit is the commit of one caller.
type pendingCommit struct {
	ctx     context.Context
	token   string
	writes  []platform.Write
	claimed atomic.Bool // by the sender that sends it, or by its caller, which gave up before
	result  chan error
}

// New starts a writer to table. Close stops its goroutines.
func New(table platform.Table, o Options) *Writer {
	if o.RowsPerSecond == 0 {
		o.RowsPerSecond = DefaultRowsPerSecond
	}
	if o.Daemons == 0 {
		o.Daemons = DefaultDaemons
	}
	if o.Senders == 0 {
		o.Senders = defaultSenders
	}
	w := &Writer{
		table:  table,
		budget: newBudget(o.RowsPerSecond, o.Daemons),
		queue:  make(chan *pendingCommit, queueLength),
		done:   make(chan struct{}),
	}
	for range o.Senders {
		w.senders.Go(w.send)
	}
	return w
}

// Close stops the writer and waits for the commits in flight.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.done) })
	w.senders.Wait()
}

// SetDaemons sets the number of live daemons, which share the budget equally.
func (w *Writer) SetDaemons(n int) { w.budget.setDaemons(n) }

// Stats returns the counters.
func (w *Writer) Stats() Stats {
	s := Stats{Commits: w.commits.Load(), Rows: w.rows.Load(), Joined: w.joined.Load(), Split: w.split.Load()}
	for class := range w.budget.rejected {
		s.Rejected += w.budget.rejected[class].Load()
	}
	return s
}

// Commit applies all writes or none, as platform.Table does. It can also return
// ErrBudget. After platform.ErrOutcomeUnknown the caller must read the rows to find
// out what happened: a batch is sent with a token of its own, so a retry with the
// caller's token can return platform.ErrConflict although the first attempt took
// effect.
func (w *Writer) Commit(ctx context.Context, class Class, token string, writes []platform.Write) error {
	if !w.budget.limiters[class].AllowN(time.Now(), len(writes)) {
		w.budget.rejected[class].Add(1)
		return ErrBudget
	}
	p := &pendingCommit{ctx: ctx, token: token, writes: writes, result: make(chan error, 1)}
	select {
	case w.queue <- p:
	case <-w.done:
		return errors.Wrap(platform.ErrUnavailable, "writer closed")
	default:
		w.budget.rejected[class].Add(1)
		return ErrBudget
	}
	select {
	case err := <-p.result:
		return err
	case <-w.done:
		return p.abandon("writer closed")
	case <-ctx.Done():
		return p.abandon("commit not answered in time")
	}
}

// abandon returns the result of a commit whose caller no longer waits for it.
// Nothing is sent if no sender has claimed the commit; otherwise its outcome is
// unknown unless the result has just arrived.
func (p *pendingCommit) abandon(reason string) error {
	if p.claimed.CompareAndSwap(false, true) {
		return errors.Wrap(platform.ErrUnavailable, reason)
	}
	select {
	case err := <-p.result:
		return err
	default:
		return errors.Wrap(platform.ErrOutcomeUnknown, reason)
	}
}

// send runs one sender until the writer is closed.
func (w *Writer) send() {
	for {
		select {
		case <-w.done:
			return
		case p := <-w.queue:
			if p.claimed.CompareAndSwap(false, true) {
				w.commitBatch(w.collect(p))
			}
		}
	}
}

// collect returns a batch of first and further queued commits, up to MaxRows rows.
// The last commit of the batch may share a row with the others or exceed MaxRows.
func (w *Writer) collect(first *pendingCommit) []*pendingCommit {
	batch := []*pendingCommit{first}
	keys := make(map[string]bool, MaxRows)
	addKeys(keys, first)
	for len(keys) < MaxRows {
		select {
		case p := <-w.queue:
			if !p.claimed.CompareAndSwap(false, true) {
				continue
			}
			batch = append(batch, p)
			if overlaps(keys, p) || len(keys)+len(p.writes) > MaxRows {
				return batch // commitBatch sends the last commit separately
			}
			addKeys(keys, p)
		default:
			return batch
		}
	}
	return batch
}

// addKeys adds the rows that the commit writes to keys.
func addKeys(keys map[string]bool, p *pendingCommit) {
	for i := range p.writes {
		keys[p.writes[i].Key] = true
	}
}

// overlaps reports whether the commit writes one of the rows in keys.
func overlaps(keys map[string]bool, p *pendingCommit) bool {
	for i := range p.writes {
		if keys[p.writes[i].Key] {
			return true
		}
	}
	return false
}

// commitBatch commits the batch as one transaction, except for a last commit that
// cannot join the others. A failed condition of one commit cancels the whole
// transaction; then each commit is sent in a transaction of its own.
func (w *Writer) commitBatch(batch []*pendingCommit) {
	last := batch[len(batch)-1]
	if others := batch[:len(batch)-1]; len(others) > 0 && !canJoin(others, last) {
		w.commitBatch(others)
		batch = batch[len(batch)-1:]
	}
	if len(batch) == 1 {
		last.result <- w.commit(last.ctx, last.token, last.writes)
		return
	}
	var writes []platform.Write
	for _, p := range batch {
		writes = append(writes, p.writes...)
	}
	err := w.commit(context.Background(), uuid.NewString(), writes)
	if errors.Is(err, platform.ErrConflict) {
		w.split.Add(1)
		w.commitEach(batch)
		return
	}
	w.joined.Add(int64(len(batch)))
	for _, p := range batch {
		p.result <- err
	}
}

// canJoin reports whether last writes none of the batch's rows and fits into it.
func canJoin(batch []*pendingCommit, last *pendingCommit) bool {
	keys := make(map[string]bool, MaxRows)
	for _, p := range batch {
		addKeys(keys, p)
	}
	return !overlaps(keys, last) && len(keys)+len(last.writes) <= MaxRows
}

// commitEach sends each commit in a transaction of its own.
func (w *Writer) commitEach(batch []*pendingCommit) {
	for _, p := range batch {
		p.result <- w.commit(p.ctx, p.token, p.writes)
	}
}

func (w *Writer) commit(ctx context.Context, token string, writes []platform.Write) error {
	w.commits.Add(1)
	w.rows.Add(int64(len(writes)))
	return w.table.Commit(ctx, token, writes)
}

// Queued returns the number of commits in the queue.
func (w *Writer) Queued() int { return len(w.queue) }

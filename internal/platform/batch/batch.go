// Package batch commits the writes of many callers to the table service
// together, within a write budget.
//
// A commit that waits while others are under way is joined with them. Nothing
// waits for company, so a lone commit is not delayed.
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

// ErrBudget says that the user's share of the write budget is spent. It is also
// platform.ErrUnavailable: nothing was written.
var ErrBudget = errors.Wrap(platform.ErrUnavailable, "write budget spent")

const (
	// DefaultRowsPerSecond is the write budget of all daemons together.
	DefaultRowsPerSecond = 400
	// DefaultDaemons is the number of daemons assumed until SetDaemons.
	DefaultDaemons = 6
	// MaxRows is the largest number of rows of one joined commit.
	MaxRows = 25

	queueLength    = 256
	defaultSenders = 4 // commits under way at once
)

// Options sets the size of the budget. Zero fields mean the defaults.
type Options struct {
	RowsPerSecond float64
	Daemons       int
	Senders       int
}

// Stats counts what the writer did.
type Stats struct {
	Commits int64 `json:"commits"` // sent to the table
	Rows    int64 `json:"rows"`    // of those commits
	Joined  int64 `json:"joined"`  // commits of callers that shared a transaction
	Split   int64 `json:"split"`   // transactions that were repeated one by one after a conflict
	Refused int64 `json:"refused"` // for lack of budget
}

// Writer is the way to the table for everything that writes often. Its methods
// may be called from any goroutine.
type Writer struct {
	table  platform.Table
	budget *budget
	queue  chan *pendingCommit
	done   chan struct{}
	once   sync.Once
	tasks  sync.WaitGroup

	commits, rows, joined, split atomic.Int64
}

// pendingCommit is one caller's commit.
type pendingCommit struct {
	ctx     context.Context
	token   string
	writes  []platform.Write
	claimed atomic.Bool // by a sender, or by the caller that gave up
	result  chan error
}

// New starts a writer to table. Close it to stop its tasks.
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
		w.tasks.Go(w.send)
	}
	return w
}

// Close stops the writer after the commits under way.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.done) })
	w.tasks.Wait()
}

// SetDaemons divides the budget by the number of live daemons.
func (w *Writer) SetDaemons(n int) { w.budget.setDaemons(n) }

// Stats returns the counts so far.
func (w *Writer) Stats() Stats {
	s := Stats{Commits: w.commits.Load(), Rows: w.rows.Load(), Joined: w.joined.Load(), Split: w.split.Load()}
	for u := range w.budget.refused {
		s.Refused += w.budget.refused[u].Load()
	}
	return s
}

// Commit applies all writes or none, as platform.Table does, and may return
// ErrBudget besides. After platform.ErrUnknown a repetition can return
// platform.ErrConflict although the first commit took effect, since the table
// knows a joined commit by another token: the caller settles by reading.
func (w *Writer) Commit(ctx context.Context, class Class, token string, writes []platform.Write) error {
	if !w.budget.limiters[class].AllowN(time.Now(), len(writes)) {
		w.budget.refused[class].Add(1)
		return ErrBudget
	}
	e := &pendingCommit{ctx: ctx, token: token, writes: writes, result: make(chan error, 1)}
	select {
	case w.queue <- e:
	case <-w.done:
		return errors.Wrap(platform.ErrUnavailable, "writer closed")
	default:
		w.budget.refused[class].Add(1)
		return ErrBudget
	}
	select {
	case err := <-e.result:
		return err
	case <-w.done:
		return e.abandon("writer closed")
	case <-ctx.Done():
		return e.abandon("commit not answered in time")
	}
}

// abandon gives the commit up. Nothing was sent if no sender has taken it.
func (e *pendingCommit) abandon(reason string) error {
	if e.claimed.CompareAndSwap(false, true) {
		return errors.Wrap(platform.ErrUnavailable, reason)
	}
	select {
	case err := <-e.result:
		return err
	default:
		return errors.Wrap(platform.ErrOutcomeUnknown, reason)
	}
}

func (w *Writer) send() {
	for {
		select {
		case <-w.done:
			return
		case e := <-w.queue:
			if e.claimed.CompareAndSwap(false, true) {
				w.commitBatch(w.collect(e))
			}
		}
	}
}

// collect adds waiting commits that share no row with first.
func (w *Writer) collect(first *pendingCommit) []*pendingCommit {
	group := []*pendingCommit{first}
	keys := make(map[string]bool, MaxRows)
	addKeys(keys, first)
	for len(keys) < MaxRows {
		select {
		case e := <-w.queue:
			if !e.claimed.CompareAndSwap(false, true) {
				continue
			}
			group = append(group, e)
			if overlaps(keys, e) || len(keys)+len(e.writes) > MaxRows {
				return group // commitJoined sends the last one by itself
			}
			addKeys(keys, e)
		default:
			return group
		}
	}
	return group
}

func addKeys(keys map[string]bool, e *pendingCommit) {
	for i := range e.writes {
		keys[e.writes[i].Key] = true
	}
}

func overlaps(keys map[string]bool, e *pendingCommit) bool {
	for i := range e.writes {
		if keys[e.writes[i].Key] {
			return true
		}
	}
	return false
}

// commitBatch commits the group as one transaction. One failed condition
// cancels all of it, after which each commit is tried by itself.
func (w *Writer) commitBatch(group []*pendingCommit) {
	last := group[len(group)-1]
	if others := group[:len(group)-1]; len(others) > 0 && !canJoin(others, last) {
		w.commitBatch(others)
		group = group[len(group)-1:]
	}
	if len(group) == 1 {
		last.result <- w.commit(last.ctx, last.token, last.writes)
		return
	}
	var writes []platform.Write
	for _, e := range group {
		writes = append(writes, e.writes...)
	}
	err := w.commit(context.Background(), uuid.NewString(), writes)
	if errors.Is(err, platform.ErrConflict) {
		w.split.Add(1)
		w.commitEach(group)
		return
	}
	w.joined.Add(int64(len(group)))
	for _, e := range group {
		e.result <- err
	}
}

func canJoin(group []*pendingCommit, last *pendingCommit) bool {
	keys := make(map[string]bool, MaxRows)
	for _, e := range group {
		addKeys(keys, e)
	}
	return !overlaps(keys, last) && len(keys)+len(last.writes) <= MaxRows
}

func (w *Writer) commitEach(group []*pendingCommit) {
	for _, e := range group {
		e.result <- w.commit(e.ctx, e.token, e.writes)
	}
}

func (w *Writer) commit(ctx context.Context, token string, writes []platform.Write) error {
	w.commits.Add(1)
	w.rows.Add(int64(len(writes)))
	return w.table.Commit(ctx, token, writes)
}

// Queued returns the number of commits that no sender has taken.
func (w *Writer) Queued() int { return len(w.queue) }

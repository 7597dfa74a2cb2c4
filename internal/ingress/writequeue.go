package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/bytebufferpool"
)

const unreadPollInterval = 5 * time.Millisecond

var (
	// errSlowReader is returned when the caller reads its response too slowly.
	errSlowReader = errors.New("caller does not read the response")
	// errDisconnected is returned when the connection to the caller is closed.
	errDisconnected = errors.New("caller closed the connection")
)

// writeQueue passes response bytes from tasks to the event loop of their connection.
// Bytes that are queued before the event loop runs are sent in one write.
type writeQueue struct {
	conn *conn

	mu        sync.Mutex
	pending   *bytebufferpool.ByteBuffer // nil when empty
	scheduled bool                       // Run is scheduled on the event loop
	finished  bool                       // the task has ended
	buffered  int                        // bytes that gnet has not written to the socket yet
	closed    bool                       // the connection is closed
}

// enqueue queues a copy of data. It fails when the caller has disconnected.
func (q *writeQueue) enqueue(data []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return errDisconnected
	}
	if q.pending == nil {
		q.pending = bytebufferpool.Get()
	}
	_, _ = q.pending.Write(data)
	return q.schedule()
}

// finish makes the event loop call responseWritten after all queued bytes are passed
// to gnet. It releases x itself if the connection is closed.
func (q *writeQueue) finish(x *Exchange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		x.release()
		return
	}
	q.finished = true
	_ = q.schedule()
}

// schedule schedules Run on the event loop unless it is already. The caller must hold mu.
func (q *writeQueue) schedule() error {
	if q.scheduled || q.closed {
		return nil
	}
	q.scheduled = true
	return errors.Wrap(q.conn.netConn.EventLoop().Execute(context.Background(), q), "schedule write")
}

// Run implements gnet.Runnable: on the event loop, it writes the pending bytes.
func (q *writeQueue) Run(context.Context) error {
	data, finished := q.dequeue()
	if data != nil {
		if !q.conn.closed {
			_, _ = q.conn.netConn.Write(data.B)
		}
		bytebufferpool.Put(data)
	}
	if !q.conn.closed { // checked again: a failed write closes the connection
		q.updateBuffered()
	}
	if finished {
		q.conn.responseWritten()
	}
	return nil
}

func (q *writeQueue) dequeue() (*bytebufferpool.ByteBuffer, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	data, finished := q.pending, q.finished
	q.pending, q.finished, q.scheduled = nil, false, false
	return data, finished
}

// updateBuffered reads the size of gnet's outbound buffer. Only the event loop may call it.
func (q *writeQueue) updateBuffered() {
	n := q.conn.netConn.OutboundBuffered()
	q.mu.Lock()
	q.buffered = n
	q.mu.Unlock()
}

// close drops the pending bytes after the connection was closed.
func (q *writeQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	if q.pending != nil {
		bytebufferpool.Put(q.pending)
		q.pending = nil
	}
}

// isClosed reports whether the connection is closed.
func (q *writeQueue) isClosed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

// unreadBytes returns how many bytes are pending or buffered by gnet. It fails when
// the caller has disconnected.
func (q *writeQueue) unreadBytes() (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0, errDisconnected
	}
	n := q.buffered
	if q.pending != nil {
		n += q.pending.Len()
	}
	return n, nil
}

// waitUnread blocks while more than limit bytes are unread. It fails when the caller
// has disconnected, after timeout or when ctx ends.
func (q *writeQueue) waitUnread(ctx context.Context, limit int, timeout time.Duration) error {
	n, err := q.unreadBytes()
	if err != nil || n <= limit {
		return err
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	poll := time.NewTicker(unreadPollInterval)
	defer poll.Stop()
	for n > limit {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for caller to read the response")
		case <-deadline.C:
			return errSlowReader
		case <-poll.C:
		}
		q.mu.Lock()
		err = q.schedule()
		q.mu.Unlock()
		if err != nil {
			return err
		}
		if n, err = q.unreadBytes(); err != nil {
			return err
		}
	}
	return nil
}

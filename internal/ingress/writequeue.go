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
	// errSlowReader says that the caller stopped reading its answer.
	errSlowReader = errors.New("caller does not read")
	// errDisconnected says that the caller closed the connection.
	errDisconnected = errors.New("caller closed the connection")
)

// writeQueue carries the bytes of answers from tasks to the event loop of their
// connection. Bytes that are put before the event loop gets to them leave in
// one write.
type writeQueue struct {
	conn *conn

	mu        sync.Mutex
	pending   *bytebufferpool.ByteBuffer // nil when empty
	scheduled bool                       // the event loop will run the outbox
	finished  bool                       // the answer is complete
	buffered  int                        // bytes that wait in gnet for the caller
	closed    bool                       // the connection is closed
}

// enqueue queues data and fails when the caller is gone.
func (o *writeQueue) enqueue(data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return errDisconnected
	}
	if o.pending == nil {
		o.pending = bytebufferpool.Get()
	}
	_, _ = o.pending.Write(data)
	return o.schedule()
}

// finish tells the event loop, after all that was put, that the answer is over.
func (o *writeQueue) finish(x *Exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		x.release()
		return
	}
	o.finished = true
	_ = o.schedule()
}

// schedule lets the event loop run the outbox. The caller holds mu.
func (o *writeQueue) schedule() error {
	if o.scheduled || o.closed {
		return nil
	}
	o.scheduled = true
	return errors.Wrap(o.conn.netConn.EventLoop().Execute(context.Background(), o), "write to caller")
}

// Run implements gnet.Runnable: it writes what is pending, on the event loop.
func (o *writeQueue) Run(context.Context) error {
	data, finished := o.dequeue()
	if data != nil {
		if !o.conn.closed {
			_, _ = o.conn.netConn.Write(data.B)
		}
		bytebufferpool.Put(data)
	}
	if !o.conn.closed { // also not by a failed write
		o.updateBuffered()
	}
	if finished {
		o.conn.responseWritten()
	}
	return nil
}

func (o *writeQueue) dequeue() (*bytebufferpool.ByteBuffer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, finished := o.pending, o.finished
	o.pending, o.finished, o.scheduled = nil, false, false
	return data, finished
}

// updateBuffered notes on the event loop how much the caller has not read.
func (o *writeQueue) updateBuffered() {
	n := o.conn.netConn.OutboundBuffered()
	o.mu.Lock()
	o.buffered = n
	o.mu.Unlock()
}

// close drops what is pending; the connection is gone.
func (o *writeQueue) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	if o.pending != nil {
		bytebufferpool.Put(o.pending)
		o.pending = nil
	}
}

// isClosed tells whether the connection is closed.
func (o *writeQueue) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// unreadBytes returns the bytes that the caller has not read yet.
func (o *writeQueue) unreadBytes() (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return 0, errDisconnected
	}
	n := o.buffered
	if o.pending != nil {
		n += o.pending.Len()
	}
	return n, nil
}

// waitUnread blocks while more than limit bytes wait for the caller, at most for
// timeout or until ctx ends.
func (o *writeQueue) waitUnread(ctx context.Context, limit int, timeout time.Duration) error {
	n, err := o.unreadBytes()
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
			return errors.Wrap(ctx.Err(), "wait for caller to read")
		case <-deadline.C:
			return errSlowReader
		case <-poll.C:
		}
		o.mu.Lock()
		err = o.schedule()
		o.mu.Unlock()
		if err != nil {
			return err
		}
		if n, err = o.unreadBytes(); err != nil {
			return err
		}
	}
	return nil
}

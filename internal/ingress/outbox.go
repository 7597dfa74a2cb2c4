package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/bytebufferpool"
)

const outboundPoll = 5 * time.Millisecond

var (
	// errSlowReader says that the caller stopped reading its answer.
	errSlowReader = errors.New("caller does not read")
	// errCallerGone says that the caller closed the connection.
	errCallerGone = errors.New("caller closed the connection")
)

// outbox carries the bytes of answers from tasks to the event loop of their
// connection. Bytes that are put before the event loop gets to them leave in
// one write.
type outbox struct {
	conn *conn

	mu        sync.Mutex
	pending   *bytebufferpool.ByteBuffer // nil when empty
	scheduled bool                       // the event loop will run the outbox
	ended     bool                       // the answer is complete
	buffered  int                        // bytes that wait in gnet for the caller
	gone      bool                       // the connection is closed
}

// put queues data and fails when the caller is gone.
func (o *outbox) put(data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gone {
		return errCallerGone
	}
	if o.pending == nil {
		o.pending = bytebufferpool.Get()
	}
	_, _ = o.pending.Write(data)
	return o.schedule()
}

// end tells the event loop, after all that was put, that the answer is over.
func (o *outbox) end(x *Exchange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gone {
		x.release()
		return
	}
	o.ended = true
	_ = o.schedule()
}

// schedule lets the event loop run the outbox. The caller holds mu.
func (o *outbox) schedule() error {
	if o.scheduled || o.gone {
		return nil
	}
	o.scheduled = true
	return errors.Wrap(o.conn.gc.EventLoop().Execute(context.Background(), o), "write to caller")
}

// Run implements gnet.Runnable: it writes what is pending, on the event loop.
func (o *outbox) Run(context.Context) error {
	data, ended := o.take()
	if data != nil {
		if !o.conn.closed {
			_, _ = o.conn.gc.Write(data.B)
		}
		bytebufferpool.Put(data)
	}
	if !o.conn.closed { // also not by a failed write
		o.refresh()
	}
	if ended {
		o.conn.answered()
	}
	return nil
}

func (o *outbox) take() (*bytebufferpool.ByteBuffer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ended := o.pending, o.ended
	o.pending, o.ended, o.scheduled = nil, false, false
	return data, ended
}

// refresh notes on the event loop how much the caller has not read.
func (o *outbox) refresh() {
	n := o.conn.gc.OutboundBuffered()
	o.mu.Lock()
	o.buffered = n
	o.mu.Unlock()
}

// close drops what is pending; the connection is gone.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone = true
	if o.pending != nil {
		bytebufferpool.Put(o.pending)
		o.pending = nil
	}
}

// isGone tells whether the connection is closed.
func (o *outbox) isGone() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gone
}

// waiting returns the bytes that the caller has not read yet.
func (o *outbox) waiting() (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gone {
		return 0, errCallerGone
	}
	n := o.buffered
	if o.pending != nil {
		n += o.pending.Len()
	}
	return n, nil
}

// wait blocks while more than limit bytes wait for the caller, at most for
// timeout or until ctx ends.
func (o *outbox) wait(ctx context.Context, limit int, timeout time.Duration) error {
	n, err := o.waiting()
	if err != nil || n <= limit {
		return err
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	poll := time.NewTicker(outboundPoll)
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
		if n, err = o.waiting(); err != nil {
			return err
		}
	}
	return nil
}

package entry

import (
	"bufio"
	"bytes"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	maxOutboundBytes  = 256 << 10 // of a slow reader, before its stream waits
	outboundPoll      = 5 * time.Millisecond
	slowReaderTimeout = 10 * time.Second
)

// errSlowReader says that the caller stopped reading its answer.
var errSlowReader = errors.New("caller does not read")

// Exchange is one request and its answer. It belongs to the task that serves
// it.
type Exchange struct {
	Request *fasthttp.Request
	Arrived time.Time

	conn      gnet.Conn
	state     *connState
	close     bool // close the connection after the answer
	streaming bool
}

// Respond sends a whole response.
func (x *Exchange) Respond(resp *fasthttp.Response) error {
	if x.close {
		resp.SetConnectionClose()
	}
	var buf bytes.Buffer
	w := bufio.NewWriter(&buf)
	if x.Request.Header.IsHead() {
		resp.SkipBody = true
	}
	if err := resp.Write(w); err != nil {
		return errors.Wrap(err, "encode response")
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "encode response")
	}
	return x.write(buf.Bytes())
}

// StartStream sends the header of a streamed response.
func (x *Exchange) StartStream(resp *fasthttp.Response) error {
	x.streaming = true
	if x.close {
		resp.SetConnectionClose()
	}
	resp.Header.SetContentLength(-1)
	return x.write(bytes.Clone(resp.Header.Header()))
}

// WriteChunk sends a part of a streamed response.
func (x *Exchange) WriteChunk(data []byte) error {
	buf := make([]byte, 0, len(data)+16)
	buf = strconv.AppendInt(buf, int64(len(data)), 16)
	buf = append(buf, "\r\n"...)
	buf = append(buf, data...)
	return x.write(append(buf, "\r\n"...))
}

// EndStream sends the end of a streamed response.
func (x *Exchange) EndStream() error {
	x.streaming = false
	return x.write([]byte("0\r\n\r\n"))
}

// write queues data on the connection's event loop. It waits while the caller
// reads too slowly, and fails when the caller is gone.
func (x *Exchange) write(data []byte) error {
	if err := x.waitForReader(); err != nil {
		return err
	}
	st := x.state
	st.outbound.Add(int64(len(data)))
	err := x.conn.AsyncWrite(data, func(c gnet.Conn, err error) error {
		if err == nil {
			st.outbound.Store(int64(c.OutboundBuffered()))
		}
		return nil
	})
	return errors.Wrap(err, "write to caller")
}

func (x *Exchange) waitForReader() error {
	st := x.state
	if st.ctx.Err() != nil {
		return errors.Wrap(st.ctx.Err(), "caller closed the connection")
	}
	deadline := time.Now().Add(slowReaderTimeout)
	for st.outbound.Load() > maxOutboundBytes {
		if time.Now().After(deadline) {
			_ = x.conn.Close()
			return errSlowReader
		}
		if st.ctx.Err() != nil {
			return errors.Wrap(st.ctx.Err(), "caller closed the connection")
		}
		time.Sleep(outboundPoll)
		_ = x.conn.Wake(refreshOutbound(st))
	}
	return nil
}

func refreshOutbound(st *connState) gnet.AsyncCallback {
	return func(c gnet.Conn, _ error) error {
		st.outbound.Store(int64(c.OutboundBuffered()))
		return nil
	}
}

// finish frees the connection for the next request, or closes it when its
// answer was cut or the caller asked for it.
func (x *Exchange) finish() {
	if x.close || x.streaming {
		// The callback runs after the writes that were queued before it.
		_ = x.conn.AsyncWrite(nil, func(c gnet.Conn, _ error) error { return c.Close() })
		return
	}
	x.state.busy.Store(false)
	// Wake runs OnTraffic on the event loop, which takes up a pipelined request.
	_ = x.conn.Wake(nil)
}

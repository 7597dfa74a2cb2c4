package proxy

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/egress"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	eventEnd     = []byte("\n\n")
	eventIDField = []byte("id:")
)

// eventStream is the stream of events sent to the caller. Several attempts may contribute
// to it, one after the other.
type eventStream struct {
	started   bool // its head was sent to the caller
	status    int  // of that head
	mediaType string
	lastID    int64 // of the last event sent that has an id
	hasLastID bool  // lastID is set
	buf       []byte
	lastWrite time.Time     // zero before the first events
	maxGap    time.Duration // the longest time between writes
}

// resumeID returns the id of the event after which an upstream is to start or continue the
// stream, empty for its beginning.
func (s *eventStream) resumeID(r *Request) string {
	if s.hasLastID {
		return strconv.FormatInt(s.lastID, 10)
	}
	return r.LastEventID
}

// continuesStream reports whether the response can continue the stream that has started: it
// is of the same kind and not an empty body of known length, which no stream is.
func (a *attempt) continuesStream() bool {
	return a.head.StatusCode() == a.stream.status && string(a.head.ContentType()) == a.stream.mediaType && a.head.ContentLength() != 0
}

// completeEventsLen returns the length of the complete events at the start of data.
func completeEventsLen(data []byte) int {
	i := bytes.LastIndex(data, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// checkEventIDs checks that the ids of complete events increase, starting above last if
// hasLast is set. It returns the new values of both.
func checkEventIDs(events []byte, last int64, hasLast bool) (int64, bool, error) {
	for len(events) > 0 {
		event, rest, _ := bytes.Cut(events, eventEnd)
		events = rest
		for len(event) > 0 {
			line, after, _ := bytes.Cut(event, []byte("\n"))
			event = after
			text, found := bytes.CutPrefix(line, eventIDField)
			if !found {
				continue
			}
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			if err != nil {
				return last, hasLast, errors.Errorf("event id %.40q is not a number", text)
			}
			if hasLast && id <= last {
				return last, hasLast, errors.Errorf("event id %d follows event id %d", id, last)
			}
			last, hasLast = id, true
		}
	}
	return last, hasLast, nil
}

// relayStream relays the events of a response as they arrive, complete ones only, beginning
// with those that await has received.
func (a *attempt) relayStream(ctx context.Context) (result, error) {
	for {
		n := completeEventsLen(a.received)
		if n > 0 {
			if rerr := a.relayEvents(a.received[:n]); rerr != nil {
				return rerr.result, rerr.err
			}
		}
		a.received = append(a.received[:0], a.received[n:]...) // the start of an event that is not complete yet
		if a.receivedAll {
			return a.endStream(a.received)
		}
		if err := a.awaitEvents(ctx); err != nil {
			return a.lostOrBroken(), err
		}
	}
}

// lostOrBroken returns the result for a failure of the upstream: broken if the caller has
// received a part of the stream.
func (a *attempt) lostOrBroken() result {
	if a.continues || a.responded {
		return broken
	}
	return lost
}

// readEvents appends the bytes of the response that arrive next to pending. It waits until
// the deadline. If the stream can be resumed at another upstream, it returns errSilent as
// soon as this upstream is silent.
func (a *attempt) readEvents(pending []byte) ([]byte, error) {
	left := time.Until(a.deadline)
	wait := max(left, minTimeLeft)
	resumable := func() bool { return a.route.Resumable && a.hasFallback() }
	if resumable() {
		wait = min(eventGapWait, wait)
	}
	for {
		data, err := a.conn.ReadBody(pending, wait)
		if err != egress.ErrTimeout {
			a.Placer.MarkActive(a.choice.Upstream.Key(), boottime.Now())
			if err == nil || err == io.EOF {
				a.markReceived()
			}
			return data, err
		}
		left = time.Until(a.deadline)
		if left <= 0 || resumable() && a.Placer.Silent(a.choice.Upstream.Key(), boottime.Now()) {
			return data, errSilent
		}
		pending, wait = data, min(silenceCheckInterval, left)
	}
}

// relayError is a failure to relay events, and the result of the attempt.
type relayError struct {
	result result
	err    error
}

// relayEvents sends complete events to the caller, after the head of the response if they
// are the first.
func (a *attempt) relayEvents(events []byte) *relayError {
	last, hasLast, err := checkEventIDs(events, a.stream.lastID, a.stream.hasLastID)
	if err != nil {
		return &relayError{a.lostOrBroken(), err}
	}
	if a.mustNotRelay() || a.mustNotRelayEvents(events) {
		return &relayError{a.lostOrBroken(), errInvariant}
	}
	a.recordFirst()
	a.events += bytes.Count(events, eventEnd)
	a.pending.Progressed(a.events, a.firstAt)
	a.reportProgress()
	if !a.stream.started {
		a.stream.started = true
		resp := fasthttp.AcquireResponse()
		a.Codec.CopyHead(&a.head, resp)
		a.stream.status, a.stream.mediaType = a.head.StatusCode(), string(a.head.ContentType())
		a.record.Status = a.head.StatusCode()
		if err := a.x.StartStream(resp); err != nil {
			return &relayError{gone, err}
		}
	}
	a.stream.recordGap(time.Now())
	a.stream.buf = append(a.stream.buf[:0], make([]byte, ingress.ChunkPrefixBytes)...)
	a.stream.buf = append(a.stream.buf, events...)
	if err := a.x.WriteChunk(a.stream.buf); err != nil {
		return &relayError{gone, err}
	}
	a.stream.lastID, a.stream.hasLastID = last, hasLast
	return nil
}

// recordGap updates maxGap before a write.
func (s *eventStream) recordGap(now time.Time) {
	if !s.lastWrite.IsZero() {
		s.maxGap = max(s.maxGap, now.Sub(s.lastWrite))
	}
	s.lastWrite = now
}

// checkEnd checks the end of a stream, whose bytes after its last complete event are pending.
// The result is done if the stream may end there.
func (a *attempt) checkEnd(pending []byte) (result, error) {
	if len(pending) > 0 {
		return a.lostOrBroken(), errors.Wrap(io.ErrUnexpectedEOF, "response ends within an event")
	}
	if a.conn.EndsWithConnection() && !a.responded {
		return a.lostOrBroken(), errors.Wrap(io.ErrUnexpectedEOF, "response without a length ends before its first event")
	}
	return done, nil
}

// endStream ends the response to the caller after the upstream's response ended.
func (a *attempt) endStream(pending []byte) (result, error) {
	a.record.MaxGap = a.stream.maxGap
	if res, err := a.checkEnd(pending); res != done {
		return res, err
	}
	if !a.stream.started {
		resp := fasthttp.AcquireResponse() // a response without events
		a.Codec.CopyHead(&a.head, resp)
		a.record.Status = a.head.StatusCode()
		a.recordFirst()
		_ = a.x.Respond(resp)
		return done, nil
	}
	if err := a.x.EndStream(); err != nil {
		return gone, err
	}
	return done, nil
}

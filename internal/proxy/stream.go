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
	"github.com/lagoonmux/lagoonmux/internal/room"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	eventEnd     = []byte("\n\n")
	eventIDField = []byte("id:")
)

// eventStream is the answer of events that a caller is being sent. It outlives the
// attempts that feed it.
type eventStream struct {
	started   bool
	lastID    int64 // id of the last event that was passed on
	hasLastID bool  // last is set
	buf       []byte
	lastWrite time.Time
	maxGap    time.Duration // longest between events
}

// resumeID returns the id after which an upstream is to go on.
func (s *eventStream) resumeID(r *Request) string {
	if s.hasLastID {
		return strconv.FormatInt(s.lastID, 10)
	}
	return r.LastEventID
}

// completeEventsLen returns the length of the whole events at the start of data.
func completeEventsLen(data []byte) int {
	i := bytes.LastIndex(data, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// checkEventIDs checks that the ids of whole events rise above the last one, and
// returns the new last one.
func checkEventIDs(events []byte, last int64, has bool) (int64, bool, error) {
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
				return last, has, errors.Errorf("event id %.40q is not a number", text)
			}
			if has && id <= last {
				return last, has, errors.Errorf("event %d follows event %d", id, last)
			}
			last, has = id, true
		}
	}
	return last, has, nil
}

// relayStream passes the events of an answer on as they come, whole ones only.
func (a *attempt) relayStream(ctx context.Context) (result, error) {
	held := room.Holding{Room: a.Memory}
	defer held.Free()
	var pending []byte
	for {
		got, err := a.readEvents(pending)
		if err != nil && err != io.EOF {
			return a.lostOrBroken(), err
		}
		n := completeEventsLen(got)
		if n > 0 {
			if perr := a.relayEvents(got[:n]); perr != nil {
				return perr.result, perr.err
			}
		}
		pending = append(got[:0], got[n:]...)
		if err == io.EOF {
			return a.endStream(pending)
		}
		if len(pending) > maxEventBytes {
			return a.lostOrBroken(), errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if err := held.Grow(ctx, cap(pending)); err != nil {
			return a.lostOrBroken(), errors.Wrap(err, "wait for room for an event")
		}
	}
}

// lostOrBroken tells what a failure of the upstream means for the caller.
func (a *attempt) lostOrBroken() result {
	if a.stream.started {
		return broken
	}
	return lost
}

// readEvents waits for more of the answer. An upstream that has gone silent is
// left if the stream can go on elsewhere.
func (a *attempt) readEvents(pending []byte) ([]byte, error) {
	left := time.Until(a.deadline)
	wait := max(left, minTimeLeft)
	movable := a.route.Resumable && a.sends < a.route.MaxAttempts
	if movable {
		wait = min(eventGapWait, wait)
	}
	for {
		got, err := a.conn.ReadBody(pending, wait)
		if err != egress.ErrTimeout {
			a.Placer.Heard(a.choice.Upstream.Key(), boottime.Now())
			return got, err
		}
		left = time.Until(a.deadline)
		if left <= 0 || a.Placer.Silent(a.choice.Upstream.Key(), boottime.Now()) {
			return got, errSilent
		}
		pending, wait = got, min(silenceCheckInterval, left)
	}
}

// relayError is a failure to pass events on.
type relayError struct {
	result result
	err    error
}

// relayEvents sends whole events to the caller.
func (a *attempt) relayEvents(events []byte) *relayError {
	last, has, err := checkEventIDs(events, a.stream.lastID, a.stream.hasLastID)
	if err != nil {
		return &relayError{a.lostOrBroken(), err}
	}
	if a.mustNotRelay() || a.mustNotRelayEvents(events) {
		return &relayError{a.lostOrBroken(), errInvariant}
	}
	a.recordFirst()
	if !a.stream.started {
		a.stream.started = true
		resp := fasthttp.AcquireResponse()
		a.Codec.CopyHead(&a.head, resp)
		a.record.Status = a.head.StatusCode()
		if err := a.x.StartStream(resp); err != nil {
			return &relayError{gone, err}
		}
	}
	a.stream.recordGap(time.Now())
	a.stream.buf = append(a.stream.buf[:0], make([]byte, ingress.ChunkHeadBytes)...)
	a.stream.buf = append(a.stream.buf, events...)
	if err := a.x.WriteChunk(a.stream.buf); err != nil {
		return &relayError{gone, err}
	}
	a.stream.lastID, a.stream.hasLastID = last, has
	return nil
}

func (s *eventStream) recordGap(now time.Time) {
	if !s.lastWrite.IsZero() {
		s.maxGap = max(s.maxGap, now.Sub(s.lastWrite))
	}
	s.lastWrite = now
}

// endStream ends the caller's answer after the upstream's.
func (a *attempt) endStream(pending []byte) (result, error) {
	a.record.MaxGap = a.stream.maxGap
	if len(pending) > 0 {
		return a.lostOrBroken(), errors.New("answer ends within an event")
	}
	if !a.stream.started {
		resp := fasthttp.AcquireResponse() // an answer without events
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

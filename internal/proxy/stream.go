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
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// stream is the answer of events that a caller is being sent. It outlives the
// attempts that feed it.
type stream struct {
	begun bool
	last  int64 // id of the last event that was passed on
	has   bool  // last is set
	buf   []byte
	lastW time.Time
	gap   time.Duration // longest between events
}

// lastEvent returns the id after which an upstream is to go on.
func (s *stream) lastEvent(r *Request) string {
	if s.has {
		return strconv.FormatInt(s.last, 10)
	}
	return r.LastEvent
}

// splitEvents returns the length of the whole events at the start of data.
func splitEvents(data []byte) int {
	i := bytes.LastIndex(data, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// checkIDs checks that the ids of whole events rise above the last one, and
// returns the new last one.
func checkIDs(events []byte, last int64, has bool) (int64, bool, error) {
	for len(events) > 0 {
		event, rest, _ := bytes.Cut(events, eventEnd)
		events = rest
		for len(event) > 0 {
			line, after, _ := bytes.Cut(event, []byte("\n"))
			event = after
			text, found := bytes.CutPrefix(line, eventID)
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

// stream passes the events of an answer on as they come, whole ones only.
func (a *attempt) stream(ctx context.Context) (ending, error) {
	held := room.Holding{Room: a.Room}
	defer held.Free()
	var pending []byte
	for {
		got, err := a.nextBytes(pending)
		if err != nil && err != io.EOF {
			return a.cut(), err
		}
		n := splitEvents(got)
		if n > 0 {
			if perr := a.passEvents(got[:n]); perr != nil {
				return perr.end, perr.err
			}
		}
		pending = append(got[:0], got[n:]...)
		if err == io.EOF {
			return a.endStream(pending)
		}
		if len(pending) > maxEventBytes {
			return a.cut(), errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if err := held.Grow(ctx, cap(pending)); err != nil {
			return a.cut(), errors.Wrap(err, "wait for room for an event")
		}
	}
}

// cut tells what a failure of the upstream means for the caller.
func (a *attempt) cut() ending {
	if a.out.begun {
		return broken
	}
	return lost
}

// nextBytes waits for more of the answer. An upstream that has gone silent is
// left if the stream can go on elsewhere.
func (a *attempt) nextBytes(pending []byte) ([]byte, error) {
	left := time.Until(a.deadline)
	wait := max(left, minLeft)
	movable := a.route.Resumable && a.sends < a.route.MaxAttempts
	if movable {
		wait = min(gapPatience, wait)
	}
	for {
		got, err := a.conn.Next(pending, wait)
		if err != egress.ErrPatience {
			a.Placer.MarkActive(a.choice.Upstream.Key(), boottime.Now())
			return got, err
		}
		left = time.Until(a.deadline)
		if left <= 0 || a.Placer.Silent(a.choice.Upstream.Key(), boottime.Now()) {
			return got, errSilent
		}
		pending, wait = got, min(lookEvery, left)
	}
}

// passError is a failure to pass events on.
type passError struct {
	end ending
	err error
}

// passEvents sends whole events to the caller.
func (a *attempt) passEvents(events []byte) *passError {
	last, has, err := checkIDs(events, a.out.last, a.out.has)
	if err != nil {
		return &passError{a.cut(), err}
	}
	if a.mustNotPass() || a.mustNotStream(events) {
		return &passError{a.cut(), errInvariant}
	}
	a.noteFirst()
	if !a.out.begun {
		a.out.begun = true
		resp := fasthttp.AcquireResponse()
		a.Codec.Pass(&a.head, resp)
		a.record.Status = a.head.StatusCode()
		if err := a.x.StartStream(resp); err != nil {
			return &passError{gone, err}
		}
	}
	a.out.noteGap(time.Now())
	a.out.buf = append(a.out.buf[:0], make([]byte, ingress.ChunkPrefixBytes)...)
	a.out.buf = append(a.out.buf, events...)
	if err := a.x.WriteChunk(a.out.buf); err != nil {
		return &passError{gone, err}
	}
	a.out.last, a.out.has = last, has
	return nil
}

func (s *stream) noteGap(now time.Time) {
	if !s.lastW.IsZero() {
		s.gap = max(s.gap, now.Sub(s.lastW))
	}
	s.lastW = now
}

// endStream ends the caller's answer after the upstream's.
func (a *attempt) endStream(pending []byte) (ending, error) {
	a.record.Gap = a.out.gap
	if len(pending) > 0 {
		return a.cut(), errors.New("answer ends within an event")
	}
	if !a.out.begun {
		resp := fasthttp.AcquireResponse() // an answer without events
		a.Codec.Pass(&a.head, resp)
		a.record.Status = a.head.StatusCode()
		a.noteFirst()
		_ = a.x.Respond(resp)
		return done, nil
	}
	if err := a.x.EndStream(); err != nil {
		return gone, err
	}
	return done, nil
}

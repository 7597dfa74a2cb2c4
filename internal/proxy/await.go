package proxy

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/egress"
)

// fallback is what remains for the request if an attempt fails.
type fallback int32

const (
	noFallback   fallback = iota // the upstreams that the route allows are used up
	retryLeft                    // the request may be sent to another upstream
	otherRunning                 // another attempt at the request already runs
)

// retryLeft returns the fallback of a single attempt. As shouldRetry does, it allows none after an
// upstream ended under the request.
func (t *task) retryLeft() fallback {
	if !t.endedOne && t.sends < t.route.MaxAttempts {
		return retryLeft
	}
	return noFallback
}

func (a *attempt) setFallback(f fallback) { a.fallback.Store(int32(f)) }

func (a *attempt) hasFallback() bool { return fallback(a.fallback.Load()) != noFallback }

// awaited is how waiting for a response ended: ready to be relayed, or with a result.
type awaited struct {
	ready bool
	res   result
	err   error
}

// await sends the request and waits until there is something to relay: the head of the
// response, and the first events of a stream or the whole body of another response.
func (a *attempt) await(ctx context.Context) awaited {
	res, err := a.exchange(ctx)
	return awaited{ready: res == done, res: res, err: err}
}

// exchange sends the request and receives the first part of the response. The result is done
// if that may be relayed.
func (a *attempt) exchange(ctx context.Context) (result, error) {
	buf := bytebufferpool.Get()
	defer bytebufferpool.Put(buf)
	customer := ""
	if a.customer != nil {
		customer = a.customer.Name
	}
	fetchFrom := ""
	if a.choice.Source != nil {
		fetchFrom = a.choice.Source.Address
	}
	lastEventID := a.req.LastEventID
	if a.continues {
		lastEventID = a.stream.resumeID(a.req)
	}
	buf.B = a.Codec.Encode(buf.B[:0], a.req, UpstreamParams{
		Timeout:     a.left,
		UpstreamID:  a.choice.Upstream.ID,
		Customer:    customer,
		Urgency:     a.urgency,
		LastEventID: lastEventID,
		FetchFrom:   fetchFrom,
	})
	head := append([]byte(nil), buf.B...) // copied because a write can outlast this function
	if err := a.conn.Start(ctx, head, a.req.Body); err != nil {
		return lost, err
	}
	if err := a.awaitHead(); err != nil {
		return lost, err
	}
	a.headArrived = true
	a.markReceived()
	a.info = a.Codec.DecodeResponse(&a.head)
	a.applyUpstreamState()
	if res, err := a.checkHead(); res != done {
		return res, err
	}
	if a.isStream() {
		return a.awaitFirstEvents(ctx)
	}
	return a.awaitBody(ctx)
}

// checkHead checks the head of the response. The result is done if the response may be relayed.
func (a *attempt) checkHead() (result, error) {
	info := &a.info
	status := a.head.StatusCode()
	success := status >= 200 && status < 300
	switch {
	case info.ID != "" && info.ID != a.req.ID:
		return lost, errors.Errorf("response belongs to another request, %.40q", info.ID)
	case info.ID == "" && (info.Misplaced || info.NotRun) && a.conn.Reused():
		return lost, errors.Errorf("status %d: refusal without an id may belong to an earlier request on the connection", status)
	case info.Misplaced:
		return misplaced, errors.Errorf("another upstream has address %s", a.choice.Upstream.Address)
	case info.NotRun:
		return refused, errors.Errorf("upstream refused with status %d", status)
	case info.ID == "":
		return lost, errors.Errorf("status %d: response has no id", status)
	case success && !info.Sealed:
		return lost, errors.Errorf("status %d: response has no seal", status)
	case status >= 500 && a.worthRetrying(status):
		return lost, errors.Errorf("upstream failed with status %d", status)
	case a.continues && !a.continuesStream():
		return broken, errors.Errorf("response to resume the stream has status %d and type %.40q", status, a.head.ContentType())
	}
	return done, nil
}

// isStream reports whether the response is relayed event by event.
func (a *attempt) isStream() bool {
	status := a.head.StatusCode()
	return status >= 200 && status < 300 && a.route.Kind == catalog.Stream
}

// relay sends the caller what await has received and the rest of the response.
func (a *attempt) relay(ctx context.Context) (result, error) {
	if a.isStream() {
		return a.relayStream(ctx)
	}
	return a.relayBuffered()
}

// worthRetrying reports whether to retry the request after an error status of the upstream,
// rather than relay the response.
func (a *attempt) worthRetrying(status int) bool {
	if status == fasthttp.StatusGatewayTimeout || !a.route.MayRerun() {
		return false
	}
	switch fallback(a.fallback.Load()) {
	case otherRunning:
		return true
	case retryLeft:
		return a.Budget.Available(a.service.Name, boottime.Now())
	}
	return false
}

// headWait returns how long to wait for the head of the response before the attempt may be
// abandoned: all of the remaining time if there can be no other attempt.
func (a *attempt) headWait() time.Duration {
	left := a.left
	switch {
	case !a.route.MayRerun() || !a.hasFallback():
		return left
	case a.route.Kind == catalog.Stream:
		return min(streamHeadWait, left)
	}
	return max(time.Duration(nonStreamWaitFraction*float64(left)), minTimeLeft)
}

// awaitHead reads the head of the response. It returns errSilent when the attempt is to be
// abandoned for another one.
func (a *attempt) awaitHead() error {
	wait := a.headWait()
	for {
		err := a.conn.ReadHead(&a.head, wait)
		if err != egress.ErrTimeout {
			return err
		}
		left := time.Until(a.deadline)
		if left <= 0 {
			return err
		}
		if a.hasFallback() && (a.route.Kind != catalog.Stream || a.Placer.Silent(a.choice.Upstream.Key(), boottime.Now())) {
			return errSilent
		}
		wait = min(silenceCheckInterval, left)
	}
}

// awaitBody reads the body to its end. It waits for memory from the shared budget until ctx
// ends.
func (a *attempt) awaitBody(ctx context.Context) (result, error) {
	if a.req.Method == fasthttp.MethodHead {
		a.conn.ExpectNoBody()
	}
	body, err := a.bufferBody(ctx)
	if err != nil {
		return lost, err
	}
	a.received, a.receivedAll = body, true
	return done, nil
}

func (a *attempt) bufferBody(ctx context.Context) ([]byte, error) {
	var body []byte
	var err error
	for err == nil {
		if body, err = a.conn.ReadBody(body, max(time.Until(a.deadline), minTimeLeft)); len(body) > maxBufferedBytes {
			return nil, errors.Errorf("response is longer than %d bytes", maxBufferedBytes)
		}
		if err == nil || err == io.EOF {
			a.markReceived()
		}
		if rerr := a.reserved.Grow(ctx, cap(body)); rerr != nil {
			return nil, errors.Wrapf(rerr, "reserve memory for a response of more than %d bytes", len(body))
		}
	}
	if err != io.EOF {
		return nil, err
	}
	return body, nil
}

// awaitFirstEvents waits for the first complete events of a stream, or for the end of one
// without events.
func (a *attempt) awaitFirstEvents(ctx context.Context) (result, error) {
	if err := a.awaitEvents(ctx); err != nil {
		return a.lostOrBroken(), err
	}
	n := completeEventsLen(a.received)
	if n == 0 {
		return a.checkEnd(a.received)
	}
	if _, _, err := checkEventIDs(a.received[:n], 0, false); err != nil {
		return a.lostOrBroken(), err
	}
	return done, nil
}

// awaitEvents receives data until it has complete events or the whole body is received.
func (a *attempt) awaitEvents(ctx context.Context) error {
	for {
		if len(a.received) > maxEventBytes {
			return errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if err := a.reserved.Grow(ctx, cap(a.received)); err != nil {
			return errors.Wrap(err, "reserve memory for an event")
		}
		data, err := a.readEvents(a.received)
		if err != nil && err != io.EOF {
			return err
		}
		a.received, a.receivedAll = data, err == io.EOF
		if a.receivedAll || completeEventsLen(data) > 0 {
			return nil
		}
	}
}

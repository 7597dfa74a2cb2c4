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
	"github.com/lagoonmux/lagoonmux/internal/room"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// result is how an attempt ended.
type result int

const (
	done      result = iota // the caller has its answer
	unsent                  // no byte has left
	refused                 // the upstream did not run it
	misplaced               // another upstream has the address
	lost                    // it may have run; the caller has nothing yet
	broken                  // it has run; the caller has a part of the answer
	expired                 // out of time
	gone                    // the caller has left
	unplaced                // no upstream could be chosen
)

// String returns the name used in logs.
func (e result) String() string {
	return [...]string{"done", "unsent", "refused", "misplaced", "lost", "broken", "expired", "gone", "unplaced"}[e]
}

const (
	// maxBufferedBytes bounds answers that are gathered before they are passed on.
	maxBufferedBytes = 8 << 20
	// firstEventWait is how long a stream's first event may be awaited from an
	// upstream that sends nothing to anyone, before it goes elsewhere.
	firstEventWait = 900 * time.Millisecond
	// eventGapWait is the same between events. Callers leave after two seconds.
	eventGapWait = 900 * time.Millisecond
	// plainWaitFraction is the part of the time left that one upstream gets for a request
	// that may be repeated.
	plainWaitFraction = 0.4
	// maxDrainBytes and drainPatience bound what is read of a refusal's body.
	maxDrainBytes = 4 << 10
	drainTimeout  = 20 * time.Millisecond
	// silenceCheckInterval is the time between looks at whether an upstream has gone silent.
	silenceCheckInterval = 200 * time.Millisecond
)

// errNotAccepting says that an upstream takes no requests any more.
var errNotAccepting = errors.New("upstream leaves or pauses")

// errSilent says that an upstream sends nothing on any connection.
var errSilent = errors.New("upstream is silent")

// attempt sends the request to one upstream. It belongs to one goroutine.
type attempt struct {
	*task
	choice         place.Choice
	conn           *egress.Conn
	head           fasthttp.ResponseHeader
	info           ResponseInfo
	started        time.Time
	responded      bool // the first event or the answer has come
	connsExhausted bool // all connections to the upstream are in use
}

// placeOutcome tells the placer how the attempt ended.
func (a *attempt) placeOutcome(e result) place.Outcome {
	switch e {
	case done:
		return place.Answered
	case unsent:
		if a.connsExhausted {
			return place.Refused
		}
	case refused:
		return place.Refused
	case misplaced:
		return place.Misplaced
	case expired, gone:
		return place.Withdrawn
	}
	return place.Failed
}

// run sends the request and passes its answer on.
func (a *attempt) run(ctx context.Context) (result, error) {
	conn, err := a.getConn(ctx, a.choice)
	if err != nil {
		a.connsExhausted = errors.Is(err, egress.ErrConnLimit)
		return a.applyContext(ctx, unsent), err
	}
	a.conn = conn
	left := time.Until(a.deadline)
	if left < minTimeLeft || ctx.Err() != nil {
		conn.Release()
		return a.applyContext(ctx, expired), nil
	}
	if !a.Placer.Open(a.choice.Upstream.Key(), boottime.Now()) {
		conn.Release() // it closed while the connection was awaited
		return a.applyContext(ctx, unsent), errNotAccepting
	}
	if end, must := a.mustNotSend(); must {
		conn.Release()
		return a.applyContext(ctx, end), errInvariant
	}
	a.sends++
	a.Work.Add(a.service.Name, RequestWork{UnsharedTokens: a.choice.Missing - a.choice.Shared, SharedTokens: a.choice.Shared,
		MaxOutputTokens: a.req.MaxOutputTokens, Pace: a.Placer.Pace(a.service.Name)}, boottime.Now())
	e, err := a.exchange(ctx, left)
	switch e {
	case done:
		conn.Release()
	case refused, misplaced:
		a.drainBody()
		conn.Release()
	default:
		conn.Close()
	}
	if e != refused && e != misplaced {
		a.record.MayHaveRun = true
	}
	return a.applyContext(ctx, e), err
}

// applyContext tells apart what the caller or the clock has ended.
func (a *attempt) applyContext(ctx context.Context, e result) result {
	switch {
	case e == done:
		return e
	case errors.Is(ctx.Err(), context.Canceled):
		return gone
	case ctx.Err() != nil || time.Until(a.deadline) <= 0:
		return expired // a read may have run out of time just before ctx
	}
	return e
}

func (a *attempt) exchange(ctx context.Context, left time.Duration) (result, error) {
	buf := bytebufferpool.Get()
	defer bytebufferpool.Put(buf)
	customer := ""
	if a.customer != nil {
		customer = a.customer.Name
	}
	source := ""
	if a.choice.Source != nil {
		source = a.choice.Source.Address
	}
	buf.B = a.Codec.Encode(buf.B[:0], a.req, UpstreamParams{
		Timeout:     left,
		UpstreamID:  a.choice.Upstream.ID,
		Customer:    customer,
		Urgency:     a.urgency,
		LastEventID: a.stream.resumeID(a.req),
		FetchFrom:   source,
	})
	head := append([]byte(nil), buf.B...) // a write may go on after this returns
	if err := a.conn.Start(ctx, head, a.req.Body); err != nil {
		return lost, err
	}
	if err := a.awaitHead(left); err != nil {
		return lost, err
	}
	a.info = a.Codec.DecodeResponse(&a.head)
	a.applyUpstreamState()
	return a.handleResponse(ctx)
}

// applyUpstreamState takes in what an upstream says of itself beside its answer.
func (a *attempt) applyUpstreamState() {
	v, u, now := &a.info, a.choice.Upstream, boottime.Now()
	if v.HasLoad {
		a.Placer.Reported(u.Key(), v.Load, now)
	}
	if v.Leaving {
		a.Placer.Leaves(u.Key())
		a.Observer.UpstreamLeaving(u)
	}
	if v.Pause > 0 {
		a.Placer.Pause(u.Key(), v.Pause, now)
		a.Log.Info("upstream pauses", "upstream", u.ID, "for", v.Pause, "id", a.req.ID)
	}
	if v.IgnoredField != "" {
		a.Log.Warn("field of an answer ignored", "upstream", u.ID, "field", v.IgnoredField, "id", a.req.ID)
	}
}

// drainBody reads the rest of a refusal, so that its connection can be kept.
func (a *attempt) drainBody() {
	var body []byte
	var err error
	by := time.Now().Add(drainTimeout)
	for err == nil && len(body) < maxDrainBytes {
		body, err = a.conn.ReadBody(body, time.Until(by))
	}
}

// handleResponse decides by the head of an answer what becomes of it.
func (a *attempt) handleResponse(ctx context.Context) (result, error) {
	v := &a.info
	status := a.head.StatusCode()
	success := status >= 200 && status < 300
	switch {
	case v.ID != "" && v.ID != a.req.ID:
		return lost, errors.Errorf("answer belongs to request %.40q", v.ID)
	case v.Misplaced:
		return misplaced, errors.Errorf("another upstream has address %s", a.choice.Upstream.Address)
	case v.NotRun:
		return refused, errors.Errorf("upstream refused with %d", status)
	case v.ID == "":
		return lost, errors.Errorf("answer %d without an id", status)
	case success && !v.Sealed:
		return lost, errors.Errorf("answer %d without a seal", status)
	case status >= 500 && a.worthRetrying(status):
		return lost, errors.Errorf("upstream failed with %d", status)
	case a.stream.started && !success:
		return broken, errors.Errorf("resumed answer is %d", status)
	}
	if success && a.route.Kind == catalog.Stream {
		return a.relayStream(ctx)
	}
	return a.relayWhole(ctx)
}

// worthRetrying tells whether a failure of the upstream's own is worth another try.
func (a *attempt) worthRetrying(status int) bool {
	return status != fasthttp.StatusGatewayTimeout && a.route.MayRepeat() && a.sends < a.route.MaxAttempts &&
		a.Budget.Available(a.service.Name, boottime.Now())
}

// headWait is how long the attempt waits for a head or an event before it looks
// whether the upstream has gone silent.
func (a *attempt) headWait(left time.Duration) time.Duration {
	switch {
	case !a.route.MayRepeat() || a.sends >= a.route.MaxAttempts:
		return left
	case a.route.Kind == catalog.Stream:
		return min(firstEventWait, left)
	}
	return max(time.Duration(plainWaitFraction*float64(left)), minTimeLeft)
}

func (a *attempt) awaitHead(left time.Duration) error {
	wait := a.headWait(left)
	for {
		err := a.conn.ReadHead(&a.head, wait)
		if err != egress.ErrTimeout {
			return err
		}
		if left = time.Until(a.deadline); left <= 0 {
			return err
		}
		if a.route.Kind != catalog.Stream || a.Placer.Silent(a.choice.Upstream.Key(), boottime.Now()) {
			return errSilent
		}
		wait = min(silenceCheckInterval, left)
	}
}

// bufferBody reads an answer to its end, as far as there is room for it.
func (a *attempt) bufferBody(ctx context.Context, held *room.Holding) ([]byte, error) {
	var body []byte
	var err error
	for err == nil {
		if body, err = a.conn.ReadBody(body, max(time.Until(a.deadline), minTimeLeft)); len(body) > maxBufferedBytes {
			return nil, errors.Errorf("answer is longer than %d bytes", maxBufferedBytes)
		}
		if rerr := held.Grow(ctx, cap(body)); rerr != nil {
			return nil, errors.Wrapf(rerr, "wait for room for an answer of more than %d bytes", len(body))
		}
	}
	if err != io.EOF {
		return nil, err
	}
	return body, nil
}

// relayWhole gathers an answer and passes it on once it is complete.
func (a *attempt) relayWhole(ctx context.Context) (result, error) {
	if a.req.Method == fasthttp.MethodHead {
		a.conn.ExpectNoBody()
	}
	held := room.Holding{Room: a.Memory}
	defer held.Free()
	body, err := a.bufferBody(ctx, &held)
	if err != nil {
		return lost, err
	}
	if a.mustNotRelay() {
		return lost, errInvariant
	}
	a.recordFirst()
	status := a.head.StatusCode()
	if a.info.ImpliesNotRun && !a.route.MayRepeat() {
		// The status would promise that nothing ran, which the upstream did not say.
		a.record.UpstreamStatus = status
		a.record.MayHaveRun = true
		a.sendLocalReply(localReply{status: fasthttp.StatusBadGateway, reason: "upstream failed after it may have run"})
		return done, nil
	}
	resp := fasthttp.AcquireResponse()
	a.Codec.CopyHead(&a.head, resp)
	resp.SetBodyRaw(body)
	a.record.Status = status
	_ = a.x.Respond(resp)
	return done, nil
}

// recordFirst notes that the upstream has begun to run the request.
func (a *attempt) recordFirst() {
	if a.responded {
		return
	}
	a.responded = true
	now := time.Now()
	a.Placer.First(a.choice, now.Sub(a.started), boottime.Now())
	if a.record.First.IsZero() {
		a.record.First = now
		if a.customer != nil {
			a.Observer.RequestStarted(a.customer.Name)
		}
	}
}

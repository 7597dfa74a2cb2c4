package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/egress"
	"github.com/lagoonmux/lagoonmux/internal/membudget"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
	"github.com/lagoonmux/lagoonmux/internal/silence"
)

// result is how an attempt, or a whole request, ended.
type result int

const (
	done        result = iota // a response was sent to the caller
	unsent                    // no byte of the request was sent
	refused                   // the upstream stated that it did not run the request
	misplaced                 // another upstream now has the address
	lost                      // the upstream may have run the request; nothing was relayed yet
	broken                    // the upstream failed after a part of the stream was relayed
	expired                   // the deadline passed
	gone                      // the caller closed the connection or does not read the response
	unplaced                  // no upstream could be chosen
	throttled                 // no byte was sent: the rate that the upstream names allows no request now
	quarantined               // no byte was sent: the request or a segment of its prompt is in quarantine
	superseded                // closed because another attempt at the same time answered first
)

// String returns the name used in logs.
func (r result) String() string {
	return [...]string{"done", "unsent", "refused", "misplaced", "lost", "broken", "expired", "gone", "unplaced", "throttled", "quarantined", "superseded"}[r]
}

const (
	// maxBufferedBytes bounds responses that are buffered before they are relayed.
	maxBufferedBytes = 8 << 20
	// streamHeadWait is how long an attempt waits for the head of a stream before it checks
	// whether the upstream is silent, that is, sends nothing on any connection. If it is,
	// the request is retried at another upstream.
	streamHeadWait = 900 * time.Millisecond
	// eventGapWait is the same for the next event of a stream. Callers give up after a gap
	// of two seconds.
	eventGapWait = 900 * time.Millisecond
	// nonStreamWaitFraction is the fraction of the remaining time that one upstream gets to
	// respond to a request that may be retried and is not a stream.
	nonStreamWaitFraction = 0.4
	// maxDrainBytes and drainTimeout bound the reading of a refusal's body.
	maxDrainBytes = 4 << 10
	drainTimeout  = 20 * time.Millisecond
	// silenceCheckInterval is the time between checks whether an upstream is silent.
	silenceCheckInterval = 200 * time.Millisecond
	// progressInterval is the time between reports that a stream goes on.
	progressInterval = 2 * time.Second
)

// errNotAccepting means that the upstream stopped accepting requests after it was chosen.
var errNotAccepting = errors.New("upstream is leaving or paused")

// errThrottled means that the rate that the upstream names allows no request now.
var errThrottled = errors.New("upstream's rate allows no request now")

// errSilent means that the attempt was abandoned because the upstream sent nothing in time.
var errSilent = errors.New("upstream sent nothing in time")

// attempt sends the request to one upstream. One goroutine at a time uses it: that of the task,
// or while a hedge runs beside it a goroutine of its own, which only connects or awaits (see
// connect and await). Both leave the state of the task that changes alone.
type attempt struct {
	*task
	choice         place.Choice
	conn           *egress.Conn
	head           fasthttp.ResponseHeader // of the response
	info           ResponseInfo            // decoded from head
	startTime      time.Time
	sentAt         time.Duration // boot time; 0 if the request was not sent
	isFirst        bool          // the request had not been sent before
	left           time.Duration // until the deadline when it was sent
	continues      bool          // it continues a stream that another attempt started
	fallback       atomic.Int32  // a fallback, set by the goroutine of the task
	isHedge        bool          // it runs beside another attempt
	headArrived    bool          // the head of the response arrived
	received       []byte        // of the body and not relayed yet
	receivedAll    bool          // received ends with the end of the body
	reserved       membudget.Reservation
	responded      bool              // the first event or the complete response arrived
	firstAt        time.Duration     // boot time at which it did
	answerReported bool              // see reportAnswer
	progressAt     time.Duration     // boot time of the last report of the response's progress
	events         int               // of the stream that were relayed
	connsExhausted bool              // no connection was available within the upstream's limit
	pending        *silence.Exchange // nil if the request was not sent
}

// newAttempt returns an attempt at a chosen upstream.
func (t *task) newAttempt(c place.Choice) *attempt {
	return &attempt{task: t, choice: c, startTime: time.Now(), reserved: membudget.Reservation{Budget: t.Memory}}
}

// placeOutcome returns the outcome to report to the placer.
func (a *attempt) placeOutcome(r result) place.Outcome {
	switch r {
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
	case expired, gone, throttled, quarantined, superseded:
		return place.Canceled
	}
	return place.Failed
}

// run sends the request and relays the response.
func (a *attempt) run(ctx context.Context) (result, error) {
	if res, err := a.send(ctx); res != done {
		return res, err
	}
	return a.complete(ctx, a.await(ctx))
}

// send connects to the upstream and counts the request as sent. The result is done if the
// attempt may go on.
func (a *attempt) send(ctx context.Context) (result, error) {
	if res, err := a.connect(ctx); res != done {
		return res, err
	}
	return a.countSend(ctx)
}

// connect acquires a connection and the permit to send. The result is done if it has both.
func (a *attempt) connect(ctx context.Context) (result, error) {
	conn, err := a.getConn(ctx, a.choice)
	if err != nil {
		a.connsExhausted = errors.Is(err, egress.ErrConnLimit)
		return a.applyContext(ctx, unsent), err
	}
	if !a.Placer.Accepts(a.choice.Upstream.Key(), boottime.Now()) {
		conn.Release() // the upstream stopped accepting requests during the dial
		return a.applyContext(ctx, unsent), errNotAccepting
	}
	if !a.Quarantine.Responds(ctx, a.choice.Upstream, a.subjects) {
		conn.Release()
		return a.applyContext(ctx, unsent), errSilent
	}
	if err := a.acquirePermit(ctx); err != nil {
		conn.Release()
		return a.applyContext(ctx, throttled), err
	}
	a.conn = conn
	return done, nil
}

// countSend makes the last checks before the request is sent, and counts it as sent. The
// result is done if it may be; otherwise the connection is released.
func (a *attempt) countSend(ctx context.Context) (result, error) {
	a.left = time.Until(a.deadline)
	if a.left < minTimeLeft || ctx.Err() != nil {
		a.conn.Release()
		return a.applyContext(ctx, expired), nil
	}
	if a.mustNotTry() {
		a.conn.Release()
		return a.applyContext(ctx, quarantined), errQuarantined
	}
	if res, forbidden := a.mustNotSend(); forbidden {
		a.conn.Release()
		return a.applyContext(ctx, res), errInvariant
	}
	if a.sends == 0 {
		a.Hedges.CountRequest()
	}
	a.sends++
	a.sentAt = boottime.Now()
	a.pending = a.Silence.Begin(a.choice.Upstream, silence.Request{ID: a.req.ID, Service: a.service.Name, Content: a.record.Content, Subjects: a.subjects}, a.sentAt)
	a.isFirst = a.sends == 1
	a.continues = a.stream.started
	a.setFallback(a.retryLeft())
	if !a.isHedge {
		a.countWork()
	}
	return done, nil
}

// countWork counts the work that the request causes. That of hedges is not demand.
func (a *attempt) countWork() {
	a.Work.Add(a.service.Name, RequestWork{UnsharedTokens: a.choice.Prefill - a.choice.SharedPrefill, SharedTokens: a.choice.SharedPrefill,
		MaxOutputTokens: a.req.MaxOutputTokens, PrefillFactor: a.Placer.PrefillFactor(a.service.Name)}, boottime.Now())
}

// complete relays the response after await, or handles its failure, and gives the connection
// back.
func (a *attempt) complete(ctx context.Context, w awaited) (result, error) {
	res, err := w.res, w.err
	if w.ready {
		res, err = a.relay(ctx)
	}
	a.reserved.Release()
	a.reportBroken(ctx, res, err)
	a.endExchange(res, err)
	switch res {
	case done:
		a.conn.Release()
		if status := a.head.StatusCode(); status >= 200 && status < 300 {
			a.Quarantine.Completed(a.subjects)
		}
	case refused, misplaced:
		a.drainBody()
		a.conn.Release()
	default:
		a.conn.Close()
	}
	if res != refused && res != misplaced {
		a.record.MayHaveRun = true
	}
	return a.applyContext(ctx, res), err
}

// acquirePermit acquires the permit to send the request. If there is none, it pauses the
// upstream, so that other requests do not ask before they can get one.
func (a *attempt) acquirePermit(ctx context.Context) error {
	wait, err := a.Throttle.Acquire(ctx, a.choice.Upstream)
	if wait <= 0 {
		return nil
	}
	a.Placer.Pause(a.choice.Upstream.Key(), wait, boottime.Now())
	if err != nil {
		return errors.Wrapf(err, "permit to send to %s", a.choice.Upstream.ID)
	}
	return errThrottled
}

// applyContext returns gone or expired if the caller closed the connection or the deadline
// passed, which may be why the attempt failed, and r otherwise.
func (a *attempt) applyContext(ctx context.Context, r result) result {
	switch {
	case r == done:
		return r
	case errors.Is(ctx.Err(), context.Canceled) && a.drainEnded.Err() != nil && !a.x.Disconnected():
		return expired
	case errors.Is(ctx.Err(), context.Canceled):
		return gone
	case ctx.Err() != nil || time.Until(a.deadline) <= 0:
		return expired // a read may time out at the deadline just before ctx ends
	}
	return r
}

// applyUpstreamState passes on what the upstream's response states about the upstream
// itself: its load, the rate that it takes, and that it is leaving or wants a pause.
func (a *attempt) applyUpstreamState() {
	info, u, now := &a.info, a.choice.Upstream, boottime.Now()
	if info.HasLoad {
		a.Placer.SetReport(u.Key(), info.Load, now)
	}
	if info.Leaving {
		a.Placer.MarkLeaving(u.Key())
		a.Observer.UpstreamLeaving(u)
	}
	if info.Pause > 0 {
		a.Placer.Pause(u.Key(), info.Pause, now)
		a.Log.Info("upstream pauses", "upstream", u.ID, "for", info.Pause, "id", a.req.ID)
	}
	switch {
	case info.HasRateLimit && !info.Misplaced:
		a.Throttle.RateNamed(u, info.RateLimit)
	case info.Sealed && info.ID == a.req.ID && info.IgnoredField == "":
		a.Throttle.NoRateNamed(u, a.sentAt)
	}
	a.noteIgnored(info.IgnoredField)
	a.noteIgnored(info.IgnoredLoad)
}

// noteIgnored counts a field of the response that is ignored, and logs the first one of its
// name from this incarnation of the upstream. An empty name stands for none.
func (a *attempt) noteIgnored(name string) {
	if name == "" {
		return
	}
	if u := a.choice.Upstream; a.ignoredFields.add(u.Key(), name) {
		a.Log.Warn("field of an answer ignored", "upstream", u.ID, "field", name, "id", a.req.ID)
	}
}

// drainBody reads the rest of a refusal, so that the connection can be reused.
func (a *attempt) drainBody() {
	var body []byte
	var err error
	deadline := time.Now().Add(drainTimeout)
	for err == nil && len(body) < maxDrainBytes {
		body, err = a.conn.ReadBody(body, time.Until(deadline))
	}
}

// relayBuffered relays a response that was buffered to its end.
func (a *attempt) relayBuffered() (result, error) {
	if a.mustNotRelay() {
		return lost, errInvariant
	}
	a.recordFirst()
	status := a.head.StatusCode()
	if a.info.ImpliesNotRun && (!a.route.MayRerun() || a.record.MayHaveRun) {
		// To the caller the status would mean that the request did not run, but the
		// upstream did not state that, or an earlier attempt may have run it.
		a.record.UpstreamStatus = status
		a.record.MayHaveRun = true
		a.sendLocalReply(localReply{status: fasthttp.StatusBadGateway, reason: "upstream failed and may have run the request"})
		return done, nil
	}
	resp := fasthttp.AcquireResponse()
	a.Codec.CopyHead(&a.head, resp)
	resp.SetBodyRaw(a.received)
	a.record.Status = status
	_ = a.x.Respond(resp)
	return done, nil
}

// recordFirst records when the first event or the complete response arrived, once per
// attempt, and notifies the observer, once per request.
func (a *attempt) recordFirst() {
	if a.responded {
		return
	}
	a.responded = true
	a.firstAt = boottime.Now()
	a.progressAt = a.firstAt
	a.reportAnswer()
	now := time.Now()
	a.Shares.Served(a.ticket, boottime.Now())
	a.Placer.FirstEvent(a.choice, now.Sub(a.startTime), boottime.Now())
	if a.isFirst && a.route.MayRerun() {
		a.Hedges.Observe(a.route.Name, a.firstAt-a.sentAt, a.firstAt)
	}
	if a.record.First.IsZero() {
		a.record.First = now
		if a.customer != nil {
			a.Observer.RequestStarted(a.customer.Name)
		}
	}
}

// reportProgress reports at intervals that the stream goes on.
func (a *attempt) reportProgress() {
	now := boottime.Now()
	if now-a.progressAt < progressInterval {
		return
	}
	a.progressAt = now
	a.Quarantine.Progressed(a.subjects, a.progress(now))
}

// markReceived records that bytes of the response have arrived.
func (a *attempt) markReceived() { a.pending.Received(boottime.Now()) }

// endExchange records that the upstream owes the request nothing more, or that the request was
// given up while the upstream did.
func (a *attempt) endExchange(res result, err error) {
	malformed := (*egress.MalformedError)(nil)
	switch {
	case res == done, res == refused, res == misplaced, errors.As(err, &malformed), connectionEnded(err):
		a.Silence.Complete(a.pending)
	default:
		a.Silence.GiveUp(a.pending, boottime.Now())
	}
}

// progress returns how far the response has come.
func (a *attempt) progress(now time.Duration) quarantine.Progress {
	if !a.responded {
		return quarantine.Progress{}
	}
	return quarantine.Progress{Time: now - a.firstAt, Events: a.events}
}

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
	"github.com/lagoonmux/lagoonmux/internal/membudget"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// ending is how an attempt ended.
type ending int

const (
	done      ending = iota // the caller has its answer
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
func (e ending) String() string {
	return [...]string{"done", "unsent", "refused", "misplaced", "lost", "broken", "expired", "gone", "unplaced"}[e]
}

const (
	// maxWhole bounds answers that are gathered before they are passed on.
	maxWhole = 8 << 20
	// firstPatience is how long a stream's first event may be awaited from an
	// upstream that sends nothing to anyone, before it goes elsewhere.
	firstPatience = 900 * time.Millisecond
	// gapPatience is the same between events. Callers leave after two seconds.
	gapPatience = 900 * time.Millisecond
	// plainPart is the part of the time left that one upstream gets for a request
	// that may be repeated.
	plainPart = 0.4
	// maxRefusal and drainPatience bound what is read of a refusal's body.
	maxRefusal    = 4 << 10
	drainPatience = 20 * time.Millisecond
	// lookEvery is the time between looks at whether an upstream has gone silent.
	lookEvery = 200 * time.Millisecond
)

// errClosed says that an upstream takes no requests any more.
var errClosed = errors.New("upstream leaves or pauses")

// errSilent says that an upstream sends nothing on any connection.
var errSilent = errors.New("upstream is silent")

// attempt sends the request to one upstream. It belongs to one goroutine.
type attempt struct {
	*task
	choice  place.Choice
	conn    *egress.Conn
	head    fasthttp.ResponseHeader
	verdict Verdict
	began   time.Time
	first   bool // the first event or the answer has come
	busy    bool // all connections to the upstream are in use
}

// outcome tells the placer how the attempt ended.
func (a *attempt) outcome(e ending) place.Outcome {
	switch e {
	case done:
		return place.Answered
	case unsent:
		if a.busy {
			return place.Refused
		}
	case refused:
		return place.Refused
	case misplaced:
		return place.Misplaced
	case expired, gone:
		return place.Canceled
	}
	return place.Failed
}

// run sends the request and passes its answer on.
func (a *attempt) run(ctx context.Context) (ending, error) {
	conn, err := a.get(ctx, a.choice)
	if err != nil {
		a.busy = errors.Is(err, egress.ErrBusy)
		return a.ended(ctx, unsent), err
	}
	a.conn = conn
	left := time.Until(a.deadline)
	if left < minLeft || ctx.Err() != nil {
		conn.Release()
		return a.ended(ctx, expired), nil
	}
	if !a.Placer.Accepts(a.choice.Upstream.Key(), boottime.Now()) {
		conn.Release() // it closed while the connection was awaited
		return a.ended(ctx, unsent), errClosed
	}
	if end, must := a.mustNotSend(); must {
		conn.Release()
		return a.ended(ctx, end), errInvariant
	}
	a.sends++
	a.Work.Add(a.service.Name, Asked{Own: a.choice.Prefill - a.choice.SharedPrefill, Shared: a.choice.SharedPrefill,
		Output: a.req.OutputTokens, Pace: a.Placer.PrefillFactor(a.service.Name)}, boottime.Now())
	e, err := a.exchange(ctx, left)
	switch e {
	case done:
		conn.Release()
	case refused, misplaced:
		a.drain()
		conn.Release()
	default:
		conn.Close()
	}
	if e != refused && e != misplaced {
		a.record.MayHaveRun = true
	}
	return a.ended(ctx, e), err
}

// ended tells apart what the caller or the clock has ended.
func (a *attempt) ended(ctx context.Context, e ending) ending {
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

func (a *attempt) exchange(ctx context.Context, left time.Duration) (ending, error) {
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
	buf.B = a.Codec.Encode(buf.B[:0], a.req, Send{
		Left:      left,
		Instance:  a.choice.Upstream.ID,
		Customer:  customer,
		Urgency:   a.urgency,
		LastEvent: a.out.lastEvent(a.req),
		FetchFrom: source,
	})
	head := append([]byte(nil), buf.B...) // a write may go on after this returns
	if err := a.conn.Start(ctx, head, a.req.Body); err != nil {
		return lost, err
	}
	if err := a.awaitHead(left); err != nil {
		return lost, err
	}
	a.verdict = a.Codec.Judge(&a.head)
	a.heed()
	return a.judge(ctx)
}

// heed takes in what an upstream says of itself beside its answer.
func (a *attempt) heed() {
	v, u, now := &a.verdict, a.choice.Upstream, boottime.Now()
	if v.HasLoad {
		a.Placer.SetReport(u.Key(), v.Load, now)
	}
	if v.Leaves {
		a.Placer.MarkLeaving(u.Key())
		a.Observer.Leaves(u)
	}
	if v.Pause > 0 {
		a.Placer.Pause(u.Key(), v.Pause, now)
		a.Log.Info("upstream pauses", "upstream", u.ID, "for", v.Pause, "id", a.req.ID)
	}
	if v.Ignored != "" {
		a.Log.Warn("field of an answer ignored", "upstream", u.ID, "field", v.Ignored, "id", a.req.ID)
	}
}

// drain reads the rest of a refusal, so that its connection can be kept.
func (a *attempt) drain() {
	var body []byte
	var err error
	by := time.Now().Add(drainPatience)
	for err == nil && len(body) < maxRefusal {
		body, err = a.conn.Next(body, time.Until(by))
	}
}

// judge decides by the head of an answer what becomes of it.
func (a *attempt) judge(ctx context.Context) (ending, error) {
	v := &a.verdict
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
	case status >= 500 && a.worthRepeating(status):
		return lost, errors.Errorf("upstream failed with %d", status)
	case a.out.begun && !success:
		return broken, errors.Errorf("resumed answer is %d", status)
	}
	if success && a.route.Kind == catalog.Stream {
		return a.stream(ctx)
	}
	return a.whole(ctx)
}

// worthRepeating tells whether a failure of the upstream's own is worth another try.
func (a *attempt) worthRepeating(status int) bool {
	return status != fasthttp.StatusGatewayTimeout && a.route.MayRerun() && a.sends < a.route.MaxAttempts &&
		a.Budget.Left(a.service.Name, boottime.Now())
}

// patience is how long the attempt waits for a head or an event before it looks
// whether the upstream has gone silent.
func (a *attempt) patience(left time.Duration) time.Duration {
	switch {
	case !a.route.MayRerun() || a.sends >= a.route.MaxAttempts:
		return left
	case a.route.Kind == catalog.Stream:
		return min(firstPatience, left)
	}
	return max(time.Duration(plainPart*float64(left)), minLeft)
}

func (a *attempt) awaitHead(left time.Duration) error {
	wait := a.patience(left)
	for {
		err := a.conn.Head(&a.head, wait)
		if err != egress.ErrPatience {
			return err
		}
		if left = time.Until(a.deadline); left <= 0 {
			return err
		}
		if a.route.Kind != catalog.Stream || a.Placer.Silent(a.choice.Upstream.Key(), boottime.Now()) {
			return errSilent
		}
		wait = min(lookEvery, left)
	}
}

// gather reads an answer to its end, as far as there is room for it.
func (a *attempt) gather(ctx context.Context, held *membudget.Reservation) ([]byte, error) {
	var body []byte
	var err error
	for err == nil {
		if body, err = a.conn.Next(body, max(time.Until(a.deadline), minLeft)); len(body) > maxWhole {
			return nil, errors.Errorf("answer is longer than %d bytes", maxWhole)
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

// whole gathers an answer and passes it on once it is complete.
func (a *attempt) whole(ctx context.Context) (ending, error) {
	if a.req.Method == fasthttp.MethodHead {
		a.conn.NoBody()
	}
	held := membudget.Reservation{Budget: a.Room}
	defer held.Release()
	body, err := a.gather(ctx, &held)
	if err != nil {
		return lost, err
	}
	if a.mustNotPass() {
		return lost, errInvariant
	}
	a.noteFirst()
	status := a.head.StatusCode()
	if a.verdict.Promise && !a.route.MayRerun() {
		// The status would promise that nothing ran, which the upstream did not say.
		a.record.Upstream = status
		a.record.MayHaveRun = true
		a.refuse(refusal{status: fasthttp.StatusBadGateway, reason: "upstream failed after it may have run"})
		return done, nil
	}
	resp := fasthttp.AcquireResponse()
	a.Codec.Pass(&a.head, resp)
	resp.SetBodyRaw(body)
	a.record.Status = status
	_ = a.x.Respond(resp)
	return done, nil
}

// noteFirst notes that the upstream has begun to run the request.
func (a *attempt) noteFirst() {
	if a.first {
		return
	}
	a.first = true
	now := time.Now()
	a.Placer.FirstEvent(a.choice, now.Sub(a.began), boottime.Now())
	if a.record.First.IsZero() {
		a.record.First = now
		if a.customer != nil {
			a.Observer.Began(a.customer.Name)
		}
	}
}

package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
	"github.com/lagoonmux/lagoonmux/internal/admission"
	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/egress"
	"github.com/lagoonmux/lagoonmux/internal/ingress"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

const (
	// maxTries bounds the upstreams that are tried without sending anything.
	maxTries = 5
	// shortRetry is what a caller is told to wait where any other daemon or
	// moment may serve it.
	shortRetry = 100 * time.Millisecond
	// noneRetry is what it is told while no upstream is known: one that is ordered
	// takes seconds.
	noneRetry = 500 * time.Millisecond
	// topUrgency is that of priority 0; others count up from it to bottomUrgency.
	// Ranks 0 and 1 are left for what must not wait at all.
	topUrgency    = 2
	bottomUrgency = 9
	// connPart of the connections that an upstream accepts are shared out; the rest
	// is for daemons that have just come.
	connPart = 0.9
	// defaultConns is the limit where a service names none.
	defaultConns = 64
	// minLeft is the time below which nothing is sent: no answer could come.
	minLeft = 5 * time.Millisecond
)

// task serves one request. It belongs to one goroutine.
type task struct {
	*Proxy
	x        *ingress.Exchange
	req      *Request
	route    *catalog.Route
	service  *catalog.Service
	customer *catalog.Customer
	cost     float64
	charged  bool
	deadline time.Time
	priority int // 0 is the highest
	urgency  int
	exclude  map[string]bool
	sends    int // upstreams to which the request was sent
	out      stream
	record   Record
}

// refusal is a request that is turned away before anything was sent.
type refusal struct {
	status int
	retry  time.Duration
	reason string
}

func (t *task) serve(ctx context.Context) {
	if r := t.admit(ctx); r != nil {
		t.refuse(*r)
		return
	}
	ctx, cancel := t.x.WithDeadline(ctx, t.deadline)
	defer cancel()
	t.attempts(ctx)
}

// admit reads the request and decides whether it may be sent.
func (t *task) admit(ctx context.Context) *refusal {
	req, err := t.Codec.Decode(t.x)
	if err != nil {
		return &refusal{status: fasthttp.StatusBadRequest, reason: err.Error()}
	}
	t.req = req
	t.record.ID = req.ID
	c := t.Catalog()
	if c == nil {
		return &refusal{fasthttp.StatusServiceUnavailable, noneRetry, "no configuration yet"}
	}
	t.record.Config = c.Version
	if r := t.identify(c); r != nil {
		return r
	}
	patience := t.route.Timeout
	if req.Patience > 0 {
		patience = min(patience, req.Patience)
	}
	t.deadline = t.x.Arrived.Add(patience)
	if t.late(t.x.Arrived, t.deadline) {
		return &refusal{fasthttp.StatusServiceUnavailable, shortRetry, "daemon stops"}
	}
	return t.charge(ctx)
}

// identify finds the route, the customer and the service.
func (t *task) identify(c *catalog.Config) *refusal {
	t.route = c.Route(t.req.Host, t.req.Path)
	if t.route == nil {
		return t.deny(fasthttp.StatusNotFound, "no route")
	}
	t.record.Route = t.route.Name
	t.record.Kind = t.route.Kind
	priority := t.route.Priority
	if c.NeedsKey(t.route) {
		if t.Closed() {
			return &refusal{fasthttp.StatusServiceUnavailable, noneRetry, "configuration is too old to check keys by"}
		}
		if t.customer = c.Customer(t.req.Key); t.customer == nil {
			return t.deny(fasthttp.StatusUnauthorized, "unknown key")
		}
		t.record.Customer = t.customer.Name
		if t.customer.Priority >= 0 {
			priority = t.customer.Priority
		}
	}
	t.priority, t.urgency = priority, min(topUrgency+priority, bottomUrgency)
	name := t.route.Service(t.req.ID)
	if t.service = c.Services[name]; t.service == nil {
		return &refusal{fasthttp.StatusServiceUnavailable, noneRetry, "service " + name + " is not declared"}
	}
	t.record.Service = name
	return nil
}

// deny refuses for good what the configuration does not allow, unless a newer
// one that is not known here may.
func (t *task) deny(status int, reason string) *refusal {
	if !t.Fresh() {
		return &refusal{fasthttp.StatusServiceUnavailable, shortRetry, reason + ", configuration may be old"}
	}
	return &refusal{status: status, reason: reason}
}

// charge takes the request from its customer's limit.
func (t *task) charge(ctx context.Context) *refusal {
	c := t.customer
	if c == nil || c.Rate <= 0 {
		return nil
	}
	t.cost = 1
	if c.ByTokens {
		if t.cost = float64(t.req.Tokens()); t.cost == 0 {
			t.cost = c.PlainTokens
		}
	}
	d := t.Quota.Take(ctx, c.Name, t.cost, boottime.Now())
	if !d.OK {
		reason := fmt.Sprintf("customer over its limit, cost %.0f level %.0f mine %.0f share %.2f part %.2f", t.cost, d.Level, d.Mine, d.Share, d.Part)
		return &refusal{fasthttp.StatusTooManyRequests, d.Wait, reason}
	}
	t.charged = true
	return nil
}

// refund gives back the charge of a request that did not run.
func (t *task) refund() {
	if t.charged {
		t.Quota.Refund(t.customer.Name, t.cost)
		t.charged = false
	}
}

// refuse answers for the daemon itself.
func (t *task) refuse(r refusal) {
	r = t.honest(r)
	t.record.Status, t.record.Reason = r.status, r.reason
	t.record.Retry = r.retry
	if r.status == fasthttp.StatusServiceUnavailable {
		t.refund()
	}
	resp := fasthttp.AcquireResponse()
	t.Codec.Refuse(resp, t.req, r.status, r.retry)
	_ = t.x.Respond(resp)
}

// end reports the request once its answer is over.
func (t *task) end() {
	t.record.Ended = time.Now()
	t.record.Gone = t.x.Disconnected()
	t.record.Cut = !t.x.Complete()
	t.record.Sends = t.sends
	t.record.Late = t.overTarget()
	t.Observer.Ended(&t.record)
}

// overTarget tells whether an answer missed the targets of its route.
func (t *task) overTarget() bool {
	if t.route == nil || t.record.First.IsZero() {
		return false
	}
	first := t.record.First.Sub(t.record.Arrived)
	return t.route.Target > 0 && first > t.route.Target || t.route.GapTarget > 0 && t.record.Gap > t.route.GapTarget
}

// query describes the request to the placer.
func (t *task) query() place.Query {
	q := place.Query{Service: t.service.Name, Exclude: t.exclude}
	if t.service.Engine != nil {
		q.Prompt, q.PromptTokens, q.FetchRate = t.req.Prompt, t.req.PromptTokens, t.service.Engine.FetchRate
	}
	return q
}

// attempts sends the request until it is answered, or cannot be any more.
func (t *task) attempts(ctx context.Context) {
	t.Budget.Request(t.service.Name, boottime.Now())
	for try := 0; ; try++ {
		if time.Until(t.deadline) < minLeft {
			t.giveUp(expired, nil)
			return
		}
		choice, err := t.Placer.Pick(t.query(), boottime.Now())
		if err != nil || try == maxTries {
			t.giveUp(unplaced, err)
			return
		}
		t.record.note(choice)
		if r := t.turnAway(choice, try); r != nil {
			t.Placer.Done(choice, place.Canceled, false, boottime.Now())
			t.record.End = unplaced
			t.refuse(*r)
			return
		}
		t.record.Resumed = t.record.Resumed || t.out.begun
		a := &attempt{task: t, choice: choice, began: time.Now()}
		end, err := a.run(ctx)
		t.Placer.Done(choice, a.outcome(end), a.first, boottime.Now())
		t.record.tried(choice, end, err)
		if end == done {
			return
		}
		if !t.again(ctx, end) {
			t.giveUp(end, err)
			return
		}
		t.skip(choice.Upstream.ID)
	}
}

// turnAway refuses a request that nothing was done for yet if it would wait too long.
func (t *task) turnAway(c place.Choice, try int) *refusal {
	if try > 0 || ablation.Without(ablation.TurnAway) {
		return nil
	}
	d := admission.Decide(admission.Request{Wait: c.Wait, LatencyTarget: t.service.Strictest, Rank: t.priority - t.service.Topmost})
	if d.OK {
		return nil
	}
	reason := fmt.Sprintf("would wait for %v, limit %v", c.Wait.Round(time.Millisecond), d.Limit)
	return &refusal{fasthttp.StatusServiceUnavailable, d.RetryAfter, reason}
}

// skip keeps an upstream from being chosen again.
func (t *task) skip(id string) {
	if t.exclude == nil {
		t.exclude = make(map[string]bool)
	}
	t.exclude[id] = true
}

// again decides whether the request is sent to another upstream.
func (t *task) again(ctx context.Context, e ending) bool {
	if ctx.Err() != nil {
		return false
	}
	if ablation.Without(ablation.Repeats) && (e == lost || e == broken) {
		return false
	}
	switch e {
	case unsent:
		return true // nothing has left
	case refused, misplaced:
	case lost:
		if !t.route.MayRepeat() {
			return false
		}
	case broken:
		if !t.route.Resumable {
			return false
		}
	default:
		return false
	}
	return t.sends < t.route.MaxAttempts && t.Budget.Repeat(t.service.Name, boottime.Now())
}

// giveUp ends a request that no upstream answered: with what may be promised
// of it, or by cutting an answer that has begun.
func (t *task) giveUp(e ending, err error) {
	if err != nil {
		t.record.Reason = err.Error()
	}
	t.record.End = e
	if t.out.begun {
		return // the connection is closed without the end of the answer
	}
	r := refusal{status: fasthttp.StatusBadGateway, reason: t.record.Reason}
	switch e {
	case unplaced:
		r.status, r.retry = fasthttp.StatusServiceUnavailable, shortRetry
		if none := (*place.NoUpstreamError)(nil); errors.As(err, &none) {
			switch {
			case none.RetryIn > 0:
				r.retry = none.RetryIn
			case t.sends == 0 && len(t.exclude) == 0:
				r.retry = noneRetry
			}
		}
	case unsent, refused, misplaced:
		r.status, r.retry = fasthttp.StatusServiceUnavailable, shortRetry
	case expired:
		r.status = fasthttp.StatusGatewayTimeout
		if !t.record.MayHaveRun {
			r.status, r.retry = fasthttp.StatusServiceUnavailable, shortRetry
		}
	}
	if t.record.MayHaveRun && r.status == fasthttp.StatusServiceUnavailable {
		r.status, r.retry = fasthttp.StatusBadGateway, 0
	}
	t.refuse(r)
}

// connLimit returns how many connections this daemon may open to an upstream.
func (t *task) connLimit() int {
	if t.service.MaxConns <= 0 {
		return defaultConns
	}
	return max(int(connPart*float64(t.service.MaxConns))/max(t.Daemons(), 1), 1)
}

// get returns a connection to the chosen upstream.
func (t *task) get(ctx context.Context, c place.Choice) (*egress.Conn, error) {
	return t.Pool.Get(ctx, c.Upstream.Address, t.connLimit())
}

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
	// shortRetryAfter is what a caller is told to wait where any other daemon or
	// moment may serve it.
	shortRetryAfter = 100 * time.Millisecond
	// longRetryAfter is what it is told while no upstream is known: one that is ordered
	// takes seconds.
	longRetryAfter = 500 * time.Millisecond
	// firstUrgency is that of priority 0; others count up from it to bottomUrgency.
	// Ranks 0 and 1 are left for what must not wait at all.
	firstUrgency = 2
	lastUrgency  = 9
	// connFraction of the connections that an upstream accepts are shared out; the rest
	// is for daemons that have just come.
	connFraction = 0.9
	// defaultMaxConns is the limit where a service names none.
	defaultMaxConns = 64
	// minTimeLeft is the time below which nothing is sent: no answer could come.
	minTimeLeft = 5 * time.Millisecond
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
	excluded map[string]bool
	sends    int // upstreams to which the request was sent
	stream   eventStream
	record   Record
}

// localReply is a request that is turned away before anything was sent.
type localReply struct {
	status     int
	retryAfter time.Duration
	reason     string
}

func (t *task) serve(ctx context.Context) {
	if r := t.admit(ctx); r != nil {
		t.sendLocalReply(*r)
		return
	}
	ctx, cancel := t.x.WithDeadline(ctx, t.deadline)
	defer cancel()
	t.runAttempts(ctx)
}

// admit reads the request and decides whether it may be sent.
func (t *task) admit(ctx context.Context) *localReply {
	req, err := t.Codec.Decode(t.x)
	if err != nil {
		return &localReply{status: fasthttp.StatusBadRequest, reason: err.Error()}
	}
	t.req = req
	t.record.ID = req.ID
	c := t.Catalog()
	if c == nil {
		return &localReply{fasthttp.StatusServiceUnavailable, longRetryAfter, "no configuration yet"}
	}
	t.record.ConfigVersion = c.Version
	if r := t.resolve(c); r != nil {
		return r
	}
	patience := t.route.Timeout
	if req.Timeout > 0 {
		patience = min(patience, req.Timeout)
	}
	t.deadline = t.x.Arrived.Add(patience)
	if t.outlastsDrain(t.x.Arrived, t.deadline) {
		return &localReply{fasthttp.StatusServiceUnavailable, shortRetryAfter, "daemon stops"}
	}
	return t.charge(ctx)
}

// resolve finds the route, the customer and the service.
func (t *task) resolve(c *catalog.Config) *localReply {
	t.route = c.Route(t.req.Host, t.req.Path)
	if t.route == nil {
		return t.deny(fasthttp.StatusNotFound, "no route")
	}
	t.record.Route = t.route.Name
	t.record.Kind = t.route.Kind
	priority := t.route.Priority
	if c.NeedsKey(t.route) {
		if t.ConfigExpired() {
			return &localReply{fasthttp.StatusServiceUnavailable, longRetryAfter, "configuration is too old to check keys by"}
		}
		if t.customer = c.Customer(t.req.APIKey); t.customer == nil {
			return t.deny(fasthttp.StatusUnauthorized, "unknown key")
		}
		t.record.Customer = t.customer.Name
		if t.customer.Priority >= 0 {
			priority = t.customer.Priority
		}
	}
	t.priority, t.urgency = priority, min(firstUrgency+priority, lastUrgency)
	name := t.route.Service(t.req.ID)
	if t.service = c.Services[name]; t.service == nil {
		return &localReply{fasthttp.StatusServiceUnavailable, longRetryAfter, "service " + name + " is not declared"}
	}
	t.record.Service = name
	return nil
}

// deny refuses for good what the configuration does not allow, unless a newer
// one that is not known here may.
func (t *task) deny(status int, reason string) *localReply {
	if !t.ConfigFresh() {
		return &localReply{fasthttp.StatusServiceUnavailable, shortRetryAfter, reason + ", configuration may be old"}
	}
	return &localReply{status: status, reason: reason}
}

// charge takes the request from its customer's limit.
func (t *task) charge(ctx context.Context) *localReply {
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
		return &localReply{fasthttp.StatusTooManyRequests, d.Wait, reason}
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

// sendLocalReply answers for the daemon itself.
func (t *task) sendLocalReply(r localReply) {
	r = t.enforceNotRun(r)
	t.record.Status, t.record.Reason = r.status, r.reason
	t.record.RetryAfter = r.retryAfter
	if r.status == fasthttp.StatusServiceUnavailable {
		t.refund()
	}
	resp := fasthttp.AcquireResponse()
	t.Codec.LocalReply(resp, t.req, r.status, r.retryAfter)
	_ = t.x.Respond(resp)
}

// finish reports the request once its answer is over.
func (t *task) finish() {
	t.record.Ended = time.Now()
	t.record.Gone = t.x.Gone()
	t.record.Cut = !t.x.Whole()
	t.record.Sends = t.sends
	t.record.Late = t.missedTarget()
	t.Observer.RequestEnded(&t.record)
}

// missedTarget tells whether an answer missed the targets of its route.
func (t *task) missedTarget() bool {
	if t.route == nil || t.record.First.IsZero() {
		return false
	}
	first := t.record.First.Sub(t.record.Arrived)
	return t.route.Target > 0 && first > t.route.Target || t.route.GapTarget > 0 && t.record.MaxGap > t.route.GapTarget
}

// query describes the request to the placer.
func (t *task) query() place.Query {
	q := place.Query{Service: t.service.Name, Exclude: t.excluded}
	if t.service.Engine != nil {
		q.Prompt, q.Tokens, q.FetchRate = t.req.Prompt, t.req.PromptTokens, t.service.Engine.FetchRate
	}
	return q
}

// runAttempts sends the request until it is answered, or cannot be any more.
func (t *task) runAttempts(ctx context.Context) {
	t.Budget.CountRequest(t.service.Name, boottime.Now())
	for try := 0; ; try++ {
		if time.Until(t.deadline) < minTimeLeft {
			t.giveUp(expired, nil)
			return
		}
		choice, err := t.Placer.Pick(t.query(), boottime.Now())
		if err != nil || try == maxTries {
			t.giveUp(unplaced, err)
			return
		}
		t.record.recordChoice(choice)
		if r := t.shedLoad(choice, try); r != nil {
			t.Placer.Done(choice, place.Withdrawn, false, boottime.Now())
			t.record.End = unplaced
			t.sendLocalReply(*r)
			return
		}
		t.record.Resumed = t.record.Resumed || t.stream.started
		a := &attempt{task: t, choice: choice, started: time.Now()}
		end, err := a.run(ctx)
		t.Placer.Done(choice, a.placeOutcome(end), a.responded, boottime.Now())
		t.record.recordAttempt(choice, end, err)
		if end == done {
			return
		}
		if !t.shouldRetry(ctx, end) {
			t.giveUp(end, err)
			return
		}
		t.excludeUpstream(choice.Upstream.ID)
	}
}

// shedLoad refuses a request that nothing was done for yet if it would wait too long.
func (t *task) shedLoad(c place.Choice, try int) *localReply {
	if try > 0 || ablation.Without(ablation.TurnAway) {
		return nil
	}
	d := admission.Decide(admission.Request{Wait: c.Wait, Target: t.service.Strictest, Rank: t.priority - t.service.Topmost})
	if d.OK {
		return nil
	}
	reason := fmt.Sprintf("would wait for %v, limit %v", c.Wait.Round(time.Millisecond), d.Limit)
	return &localReply{fasthttp.StatusServiceUnavailable, d.Retry, reason}
}

// excludeUpstream keeps an upstream from being chosen again.
func (t *task) excludeUpstream(id string) {
	if t.excluded == nil {
		t.excluded = make(map[string]bool)
	}
	t.excluded[id] = true
}

// shouldRetry decides whether the request is sent to another upstream.
func (t *task) shouldRetry(ctx context.Context, e result) bool {
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
	return t.sends < t.route.MaxAttempts && t.Budget.AllowRetry(t.service.Name, boottime.Now())
}

// giveUp ends a request that no upstream answered: with what may be promised
// of it, or by cutting an answer that has begun.
func (t *task) giveUp(e result, err error) {
	if err != nil {
		t.record.Reason = err.Error()
	}
	t.record.End = e
	if t.stream.started {
		return // the connection is closed without the end of the answer
	}
	r := localReply{status: fasthttp.StatusBadGateway, reason: t.record.Reason}
	switch e {
	case unplaced:
		r.status, r.retryAfter = fasthttp.StatusServiceUnavailable, shortRetryAfter
		if none := (*place.NoneError)(nil); errors.As(err, &none) {
			switch {
			case none.Opens > 0:
				r.retryAfter = none.Opens
			case t.sends == 0 && len(t.excluded) == 0:
				r.retryAfter = longRetryAfter
			}
		}
	case unsent, refused, misplaced:
		r.status, r.retryAfter = fasthttp.StatusServiceUnavailable, shortRetryAfter
	case expired:
		r.status = fasthttp.StatusGatewayTimeout
		if !t.record.MayHaveRun {
			r.status, r.retryAfter = fasthttp.StatusServiceUnavailable, shortRetryAfter
		}
	}
	if t.record.MayHaveRun && r.status == fasthttp.StatusServiceUnavailable {
		r.status, r.retryAfter = fasthttp.StatusBadGateway, 0
	}
	t.sendLocalReply(r)
}

// connLimit returns how many connections this daemon may open to an upstream.
func (t *task) connLimit() int {
	if t.service.MaxConns <= 0 {
		return defaultMaxConns
	}
	return max(int(connFraction*float64(t.service.MaxConns))/max(t.DaemonCount(), 1), 1)
}

// getConn returns a connection to the chosen upstream.
func (t *task) getConn(ctx context.Context, c place.Choice) (*egress.Conn, error) {
	return t.Pool.Get(ctx, c.Upstream.Address, t.connLimit())
}

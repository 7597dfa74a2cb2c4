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
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/quota"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

const (
	// maxTries bounds the attempts of one request, including those that sent nothing. The
	// route's MaxAttempts bounds the sends.
	maxTries = 5
	// shortRetryAfter is sent if another daemon, or this one soon, may be able to serve the
	// request.
	shortRetryAfter = 100 * time.Millisecond
	// longRetryAfter is sent if there is no configuration or upstream to serve the request.
	// It takes seconds until an ordered upstream is ready.
	longRetryAfter = 500 * time.Millisecond
	// firstUrgency is the urgency of priority 0; that of lower priorities counts up from
	// it to lastUrgency. Urgencies 0 and 1 are reserved for requests that must not wait
	// in an upstream's queue at all.
	firstUrgency = 2
	lastUrgency  = 9
	// connLimitFraction is the fraction of an upstream's connection limit that is divided
	// among the known daemons. The rest is left for daemons that have just started.
	connLimitFraction = 0.9
	// defaultMaxConns is the connection limit per upstream of a service without one.
	defaultMaxConns = 64
	// minTimeLeft is the time until the deadline below which no request is sent, since no
	// response could arrive in time.
	minTimeLeft = 5 * time.Millisecond
)

// errTriesUsedUp means that no attempt got an answer and maxTries allows no further one.
var errTriesUsedUp = errors.New("attempts used up")

// task serves one request. One goroutine changes it; those of attempts beside each other only
// read what stays the same until they have ended.
type task struct {
	*Proxy
	x         *ingress.Exchange
	req       *Request // nil if it could not be decoded
	route     *catalog.Route
	service   *catalog.Service
	customer  *catalog.Customer // nil if the route needs no key
	cost      float64           // charged to the customer's limit
	charged   bool              // cost was taken and not refunded
	deadline  time.Time
	priority  int                  // 0 is the highest
	urgency   int                  // see UpstreamParams
	excluded  map[string]bool      // ids of upstreams that were tried
	sends     int                  // upstreams to which the request was sent
	trialAt   time.Duration        // boot time of the permit to send it in spite of a quarantine; 0 for none
	subjects  []quarantine.Subject // of the request, for quarantines
	endedOne  bool                 // an upstream ended under it, and it must not be sent to another one
	ticket    *admission.Ticket    // nil before it is admitted
	weighed   bool                 // the shares have counted it
	shareDraw float64              // against the excess of its customer, the same for all upstreams
	stream    eventStream
	record    Record
}

// localReply is a response that the daemon sends itself instead of an upstream's.
type localReply struct {
	status     int
	retryAfter time.Duration // 0 for none
	reason     string        // for the log
}

// serve admits the request, sends it to upstreams and responds.
func (t *task) serve(ctx context.Context) {
	if r := t.admit(ctx); r != nil {
		t.sendLocalReply(*r)
		return
	}
	ctx, cancel := t.x.WithDeadline(ctx, t.deadline)
	defer cancel()
	defer context.AfterFunc(t.drainEnded, cancel)()
	t.runAttempts(ctx)
}

// admit decodes the request and checks whether it may be sent. It returns the reply to a
// request that may not.
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
	t.record.Content = req.Content(t.record.Customer)
	t.subjects = quarantine.Subjects(t.service.Name, req.SharedPrompt(), t.record.Content)
	timeout := t.route.Timeout
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	t.deadline = t.x.Arrived.Add(timeout)
	if t.outlastsDrain(t.x.Arrived, t.deadline) {
		return &localReply{fasthttp.StatusServiceUnavailable, shortRetryAfter, "daemon stops before the request's deadline"}
	}
	if r := t.checkQuarantine(ctx); r != nil {
		return r
	}
	return t.charge(ctx)
}

// resolve finds the route, the customer and the service. It returns the reply to a request
// without one of them.
func (t *task) resolve(c *catalog.Config) *localReply {
	t.route = c.Route(t.req.Host, t.req.Path)
	if t.route == nil {
		return t.deny(fasthttp.StatusNotFound, "no route for the host and path")
	}
	t.record.Route = t.route.Name
	t.record.Kind = t.route.Kind
	priority := t.route.Priority
	if c.NeedsKey(t.route) {
		if t.ConfigExpired() {
			return &localReply{fasthttp.StatusServiceUnavailable, longRetryAfter, "configuration is too old to check keys"}
		}
		if t.customer = c.Customer(t.req.APIKey); t.customer == nil {
			return t.deny(fasthttp.StatusUnauthorized, "unknown customer key")
		}
		t.record.Customer = t.customer.Name
		if t.customer.Priority >= 0 {
			priority = t.customer.Priority
		}
	}
	t.priority, t.urgency = priority, min(firstUrgency+priority, lastUrgency)
	name := t.route.Service(t.req.ID)
	if t.service = c.Services[name]; t.service == nil {
		return &localReply{fasthttp.StatusServiceUnavailable, longRetryAfter, "service " + name + " is not in the configuration"}
	}
	t.record.Service = name
	return nil
}

// deny returns the reply to a request that the configuration does not allow. The caller may
// retry if there may be a newer configuration that allows it.
func (t *task) deny(status int, reason string) *localReply {
	if !t.ConfigFresh() {
		return &localReply{fasthttp.StatusServiceUnavailable, shortRetryAfter, reason + ", configuration may be old"}
	}
	return &localReply{status: status, reason: reason}
}

// charge takes the cost of the request from the customer's limit. It returns the reply to
// a request that exceeds it.
func (t *task) charge(ctx context.Context) *localReply {
	c := t.customer
	if c == nil || c.Rate <= 0 {
		return nil
	}
	t.cost = 1
	if c.LimitByTokens {
		if t.cost = float64(t.req.Tokens()); t.cost == 0 {
			t.cost = c.DefaultTokens
		}
	}
	r := quota.Request{Customer: c.Name, Cost: t.cost, Rank: t.rank(), MaxWait: admission.MaxRetryAfter(time.Until(t.deadline), t.route.LatencyTarget)}
	if n := len(t.req.Prompt); n > 0 { // requests without a segment of their own may look alike
		r.Content = t.record.Content ^ t.req.Prompt[n-1].ID
	}
	d := t.Quota.Take(ctx, r, boottime.Now())
	if !d.Admit {
		return &localReply{fasthttp.StatusTooManyRequests, d.Wait, overLimit(&r, &d)}
	}
	t.charged = true
	return nil
}

// rank returns how many priorities the request is below the most urgent of its service.
func (t *task) rank() int { return max(t.priority-t.service.TopPriority, 0) }

// overLimit returns the reason of a refusal for the log: the class of the request and the values
// that it was weighed against.
func overLimit(r *quota.Request, d *quota.Decision) string {
	reason := fmt.Sprintf("customer over its limit: cost %.0f, level %.0f, unsynced %.0f, share %.2f, partition share %.2f, rank %d, allowance %.0f, headroom %.0f",
		r.Cost, d.Level, d.Unsynced, d.Share, d.PartitionShare, r.Rank, d.Allowance, d.Headroom)
	if d.Early {
		reason += ", returned early"
	}
	return reason
}

// refund returns the charge of a request that did not run.
func (t *task) refund() {
	if t.charged {
		t.Quota.Refund(t.customer.Name, t.cost)
		t.charged = false
	}
}

// sendLocalReply sends a response of the daemon's own. After a status which means that the
// request did not run it refunds the charge.
func (t *task) sendLocalReply(r localReply) {
	r = t.enforceNotRun(r)
	t.record.Status, t.record.Reason = r.status, r.reason
	t.record.RetryAfter = r.retryAfter
	if r.status == fasthttp.StatusServiceUnavailable || r.status == fasthttp.StatusUnprocessableEntity {
		t.refund()
	}
	resp := fasthttp.AcquireResponse()
	t.Codec.LocalReply(resp, t.req, r.status, r.retryAfter)
	_ = t.x.Respond(resp)
}

// finish completes the record of the request and reports it to the observer.
func (t *task) finish() {
	t.Shares.Dropped(t.ticket)
	t.record.Ended = time.Now()
	t.record.Gone = t.x.Disconnected()
	t.record.Cut = !t.x.Complete()
	t.record.Sends = t.sends
	t.record.Late = t.missedTarget()
	t.Observer.RequestEnded(&t.record)
}

// missedTarget reports whether a response missed the latency targets of its route.
func (t *task) missedTarget() bool {
	if t.route == nil || t.record.First.IsZero() {
		return false
	}
	first := t.record.First.Sub(t.record.Arrived)
	return t.route.LatencyTarget > 0 && first > t.route.LatencyTarget || t.route.GapTarget > 0 && t.record.MaxGap > t.route.GapTarget
}

// query returns the placer's query for the request.
func (t *task) query() place.Query {
	q := place.Query{Service: t.service.Name, Exclude: t.excluded}
	if t.service.Engine != nil {
		q.Prompt, q.PromptTokens, q.FetchRate = t.req.Prompt, t.req.PromptTokens, t.service.Engine.FetchRate
	}
	return q
}

// runAttempts sends the request to one upstream after the other until one responds, or
// until the request may not be sent again.
func (t *task) runAttempts(ctx context.Context) {
	t.Budget.CountRequest(t.service.Name, boottime.Now())
	for try := 0; ; {
		if time.Until(t.deadline) < minTimeLeft || t.drainEnded.Err() != nil {
			t.giveUp(expired, nil)
			return
		}
		if try == maxTries {
			t.endUnplaced(errTriesUsedUp)
			return
		}
		choice, shed, err := t.choose(try)
		if err != nil {
			t.endUnplaced(err)
			return
		}
		t.record.recordChoice(choice)
		if shed != nil {
			t.record.Result = unplaced
			t.sendLocalReply(*shed)
			return
		}
		t.record.Resumed = t.record.Resumed || t.stream.started
		res, err := t.runAttempt(ctx, t.newAttempt(choice))
		if res == done {
			return
		}
		if !t.shouldRetry(ctx, res) {
			t.giveUp(res, err)
			return
		}
		try = t.nextTry(try, res)
	}
}

// nextTry returns the number of the attempt that follows one with a result.
func (t *task) nextTry(try int, res result) int {
	if res == throttled { // the upstream is paused, and may be chosen later
		return try
	}
	t.Shares.Resent(t.ticket)
	return try + 1
}

// endUnplaced ends a request that is not sent to another upstream because of err.
func (t *task) endUnplaced(err error) {
	t.countUnplaced(err)
	t.Hedges.NoteRefusal(t.service.Name, boottime.Now())
	t.giveUp(unplaced, err)
}

// runAttempt runs an attempt, with a hedge beside it if one may become due, and returns the
// result of the one that counts.
func (t *task) runAttempt(ctx context.Context, a *attempt) (result, error) {
	if delay, ok := t.hedgeDelay(a.choice.Upstream.Cohort); ok {
		return newRace(t, a, delay).run(ctx)
	}
	res, err := a.run(ctx)
	t.endAttempt(a, res)
	t.record.recordAttempt(a.choice, res, err)
	return res, err
}

// endAttempt ends the accounting of an attempt.
func (t *task) endAttempt(a *attempt, res result) {
	now := boottime.Now()
	t.Placer.Done(a.choice, a.placeOutcome(res), a.responded, now)
	a.reportEnd(res)
	if a.sentAt > 0 {
		t.Hedges.CountTime(now - a.sentAt)
	} else {
		t.Placer.Withdraw(a.choice, now)
	}
	if res == refused && !a.info.Leaving && a.info.Pause == 0 {
		t.Hedges.NoteRefusal(t.service.Name, now)
	}
	if res != throttled && res != done {
		t.excludeUpstream(a.choice.Upstream.ID)
	}
}

// countUnplaced counts the work of a request that was not sent because all upstreams are
// paused. Without it the fleet would shrink when upstreams limit their rates.
func (t *task) countUnplaced(err error) {
	if none := (*place.NoUpstreamError)(nil); t.sends > 0 || !errors.As(err, &none) || none.RetryIn == 0 {
		return
	}
	tokens := t.req.PromptTokens
	if n := len(t.req.Prompt); n > 0 {
		tokens = t.req.Prompt[n-1].Tokens
	}
	t.Work.Add(t.service.Name, RequestWork{UnsharedTokens: tokens, MaxOutputTokens: t.req.MaxOutputTokens,
		PrefillFactor: t.Placer.PrefillFactor(t.service.Name)}, boottime.Now())
}

// excludeUpstream prevents that an upstream is chosen again for this request.
func (t *task) excludeUpstream(id string) {
	if t.excluded == nil {
		t.excluded = make(map[string]bool)
	}
	t.excluded[id] = true
}

// shouldRetry reports whether to try another upstream after an attempt with result r. A
// retry after a send counts against the retry budget.
func (t *task) shouldRetry(ctx context.Context, r result) bool {
	if ctx.Err() != nil || t.endedOne {
		return false
	}
	if ablation.Disabled(ablation.Reruns) && (r == lost || r == broken) {
		return false
	}
	switch r {
	case unsent, throttled:
		return true // no budget needed: nothing was sent
	case refused, misplaced:
	case lost:
		if !t.route.MayRerun() {
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

// giveUp ends a request that no upstream completed: by cutting a stream that has started,
// otherwise with a local reply. Its status is 503 only if the request did not run.
func (t *task) giveUp(r result, err error) {
	if err != nil {
		t.record.Reason = err.Error()
	}
	t.record.Result = r
	if t.stream.started {
		return // the caller's connection is closed before the end of the chunked body
	}
	reply := localReply{status: fasthttp.StatusBadGateway, reason: t.record.Reason}
	switch r {
	case unplaced:
		reply.status, reply.retryAfter = fasthttp.StatusServiceUnavailable, shortRetryAfter
		if none := (*place.NoUpstreamError)(nil); errors.As(err, &none) {
			switch {
			case none.RetryIn > 0:
				reply.retryAfter = none.RetryIn
			case t.sends == 0 && len(t.excluded) == 0:
				reply.retryAfter = longRetryAfter
			}
		}
	case unsent, refused, misplaced, throttled:
		reply.status, reply.retryAfter = fasthttp.StatusServiceUnavailable, max(shortRetryAfter, t.Placer.UntilResume(t.service.Name, boottime.Now()))
	case quarantined:
		reply.status = fasthttp.StatusUnprocessableEntity
	case expired:
		reply.status = fasthttp.StatusGatewayTimeout
		if !t.record.MayHaveRun {
			reply.status, reply.retryAfter = fasthttp.StatusServiceUnavailable, shortRetryAfter
		}
	}
	if t.record.MayHaveRun && (reply.status == fasthttp.StatusServiceUnavailable || reply.status == fasthttp.StatusUnprocessableEntity) {
		reply.status, reply.retryAfter = fasthttp.StatusBadGateway, 0
	}
	t.sendLocalReply(reply)
}

// connLimit returns the number of connections that this daemon may open to one upstream of
// the service.
func (t *task) connLimit() int {
	if t.service.MaxConns <= 0 {
		return defaultMaxConns
	}
	return max(int(connLimitFraction*float64(t.service.MaxConns))/max(t.DaemonCount(), 1), 1)
}

// getConn returns a connection to the chosen upstream.
func (t *task) getConn(ctx context.Context, c place.Choice) (*egress.Conn, error) {
	return t.Pool.Get(ctx, c.Upstream.Address, t.connLimit())
}

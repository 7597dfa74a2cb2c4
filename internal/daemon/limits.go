package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/limits"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/serve"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

const (
	mailboxSize       = 1024
	capacityInterval  = 50 * time.Millisecond
	stepAdmit         = "admit"
	admissionStopped  = "admission has stopped"
	admissionCanceled = "caller gone or deadline passed in the queue"
)

// admission is the task that owns the limiter; all access goes through its mailbox.
// It implements serve.Admitter.
type admission struct {
	limiter    *limits.Limiter
	generation int64 // of the manifest that the limiter uses; -1 before the first
	router     *routing.Router
	gossip     limits.Gossip // nil if the limits are not shared with other daemons
	log        hclog.Logger
	mailbox    chan admissionMessage
	stopped    chan struct{}
}

// admissionMessage is a message in the task's mailbox.
type admissionMessage interface {
	handle(a *admission, now time.Time)
}

type (
	submission struct {
		request *limits.Request
		active  *manifest.Active // in force when the call arrived
	}
	cancellation struct{ request *limits.Request }
	completed    struct {
		request  *limits.Request
		used     int  // tokens of prompt and response
		measured bool // whether the duration counts for the average of the service
	}
	membersUpdate struct{ members []limits.Member }
	demandReport  struct{ data []byte }
	statsRequest  struct {
		response chan map[string]map[manifest.Class]limits.Stats
	}
)

func newAdmission(s *settings.Settings, router *routing.Router, log hclog.Logger) *admission {
	a := &admission{router: router, log: log, generation: -1}
	a.mailbox = make(chan admissionMessage, mailboxSize)
	a.stopped = make(chan struct{})
	self := limits.Member{Name: s.Name, Cores: max(s.Cores, 1)}
	a.limiter = limits.NewLimiter(self, rand.Uint64()>>1, deliver)
	return a
}

// deliver passes a decision to the goroutine that waits for it in Admit.
func deliver(d limits.Decision) {
	d.Request.Tag.(chan limits.Decision) <- d
}

func (a *admission) send(m admissionMessage) bool {
	select {
	case a.mailbox <- m:
		return true
	case <-a.stopped:
		return false
	}
}

// post sends without blocking; the message is dropped if the mailbox is full.
func (a *admission) post(m admissionMessage) {
	select {
	case a.mailbox <- m:
	default:
	}
}

// run handles messages and timers until ctx ends.
func (a *admission) run(ctx context.Context) error {
	defer close(a.stopped)
	capacity := time.NewTicker(capacityInterval)
	defer capacity.Stop()
	report := time.NewTimer(a.limiter.ReportInterval())
	defer report.Stop()
	tick := time.NewTimer(time.Hour)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-a.mailbox:
			m.handle(a, time.Now())
		case <-capacity.C:
			a.updateCapacity(time.Now())
		case <-report.C:
			a.publish(time.Now())
			report.Reset(a.limiter.ReportInterval())
		case <-tick.C:
		}
		if wait := a.limiter.Tick(time.Now()); wait > 0 {
			tick.Reset(wait)
		}
	}
}

func (a *admission) updateCapacity(now time.Time) {
	for _, c := range a.router.Capacity(now) {
		a.limiter.SetCapacity(now, limits.Capacity(c))
	}
}

func (a *admission) publish(now time.Time) {
	a.router.SetShare(a.limiter.Share())
	if a.gossip == nil {
		return
	}
	data, err := a.limiter.Report(now)
	if err != nil {
		a.log.Error("encoding of demand report failed", "error", err)
		return
	}
	// Neither task may wait for space in the other's mailbox: Publish blocks while that
	// of membership is full, and membership posts demand reports to this one.
	go a.gossip.Publish(limits.Topic, data)
}

// stats returns the counts of decisions by customer and class, or nil if the task has
// stopped.
func (a *admission) stats() map[string]map[manifest.Class]limits.Stats {
	m := statsRequest{response: make(chan map[string]map[manifest.Class]limits.Stats, 1)}
	if !a.send(m) {
		return nil
	}
	select {
	case s := <-m.response:
		return s
	case <-a.stopped:
		return nil
	}
}

func (m cancellation) handle(a *admission, now time.Time) { a.limiter.Cancel(now, m.request) }
func (m completed) handle(a *admission, now time.Time) {
	a.limiter.Done(now, m.request, m.used, m.measured)
}
func (m membersUpdate) handle(a *admission, now time.Time) { a.limiter.SetMembers(now, m.members) }
func (m statsRequest) handle(a *admission, _ time.Time)    { m.response <- a.limiter.Stats() }

// handle submits a request to the limiter. If the manifest that was in force when the
// call arrived is newer than that of the limiter, the limiter gets it first.
func (m submission) handle(a *admission, now time.Time) {
	if m.active.Generation > a.generation {
		a.generation = m.active.Generation
		a.limiter.SetManifest(now, m.active.Manifest)
		a.updateCapacity(now)
	}
	a.limiter.Submit(now, m.request)
}

func (m demandReport) handle(a *admission, now time.Time) {
	if err := a.limiter.MergeReport(now, m.data); err != nil {
		a.log.Warn("received demand report is invalid", "error", err)
	}
}

// Admit implements serve.Admitter.
func (a *admission) Admit(ctx context.Context, c *call.Call) (serve.Permit, error) {
	decisions := make(chan limits.Decision, 1)
	request := &limits.Request{
		Customer: c.Customer.Name,
		Service:  c.Service.Name,
		Class:    c.Class,
		Deadline: c.Deadline,
		Tag:      decisions,
	}
	promptTokens := completion.CountTokens(c.Prompt)
	request.Tokens = promptTokens + c.MaxTokens
	if !a.send(submission{request, c.Manifest}) {
		return nil, call.NotRunError(stepAdmit, "", fasthttp.StatusServiceUnavailable, errors.New(admissionStopped))
	}
	select {
	case d := <-decisions:
		return a.permit(c, d, promptTokens)
	case <-a.stopped:
		return nil, call.NotRunError(stepAdmit, "", fasthttp.StatusServiceUnavailable, errors.New(admissionStopped))
	case <-ctx.Done():
	}
	a.send(cancellation{request})
	a.send(completed{request: request}) // releases the request if it was admitted in the meantime
	return nil, call.NotRunError(stepAdmit, "", fasthttp.StatusGatewayTimeout, errors.New(admissionCanceled))
}

func (a *admission) permit(c *call.Call, d limits.Decision, promptTokens int) (serve.Permit, error) {
	if d.Admitted {
		c.Trace.Add(trace.Step{At: time.Now(), Name: stepAdmit})
		return &permit{admission: a, request: d.Request, promptTokens: promptTokens}, nil
	}
	c.Trace.Add(trace.Step{At: time.Now(), Name: stepAdmit, Detail: string(d.Reason)})
	status := fasthttp.StatusServiceUnavailable
	if d.Reason == limits.OverLimit || d.Reason == limits.QueueFull {
		status = fasthttp.StatusTooManyRequests
	}
	err := call.NotRunError(stepAdmit, "", status, errors.Errorf("refused: %s", d.Reason))
	err.RetryAfter = d.RetryAfter
	return nil, err
}

// permit is the admission of one call. It implements serve.Permit.
type permit struct {
	admission    *admission
	request      *limits.Request
	promptTokens int
}

// Done implements serve.Permit.
func (p *permit) Done(tokens int) {
	p.admission.send(completed{p.request, p.promptTokens + tokens, true})
}

// ShareLimits makes the daemon share the customers' limits with other daemons by
// exchanging demand reports over gossip. It must be called before Run.
func (d *Daemon) ShareLimits(gossip limits.Gossip) {
	d.admission.gossip = gossip
	gossip.Subscribe(limits.Topic, func(_ string, value []byte) { d.admission.post(demandReport{value}) })
}

// SetLimitMembers sets the daemons that share the limits, including this one. It does
// not block.
func (d *Daemon) SetLimitMembers(members []limits.Member) { d.admission.post(membersUpdate{members}) }

// LimitStats returns the counts of admission decisions by customer and class. It may
// be called from any goroutine while the daemon runs.
func (d *Daemon) LimitStats() map[string]map[manifest.Class]limits.Stats { return d.admission.stats() }

// RoutingStats returns the counters of the router. It may be called from any
// goroutine.
func (d *Daemon) RoutingStats() routing.Stats { return d.router.Stats() }

// SetRoutingTerms restricts the score of the routing policy "expected" to the given
// terms, for measurements. It must be called before Run and Apply.
func (d *Daemon) SetRoutingTerms(terms routing.Terms) { d.router.SetTerms(terms) }

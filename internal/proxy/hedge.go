package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/hedge"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// errNoRetryBudget means that the retry budget allows no hedge.
var errNoRetryBudget = errors.New("retry budget allows no hedge")

// errPanicked means that the goroutine of an attempt panicked.
var errPanicked = errors.New("attempt panicked")

// hedgeDelay returns when to send a hedge beside the next attempt, after its send. ok is false if there is to
// be none: only the first send of a request that may run twice is hedged, and a stream only
// before its first event. Attempts at a new version are not: a slow one would end when the
// hedge is answered, and count with a shorter time than it takes.
func (t *task) hedgeDelay(cohort roster.Cohort) (d time.Duration, ok bool) {
	if cohort == roster.Canary || t.Hedges == nil || t.sends > 0 || t.stream.started || !t.route.MayRerun() || t.route.MaxAttempts < 2 {
		return 0, false
	}
	return t.Hedges.Delay(t.route.Name, t.route.LatencyTarget)
}

// runner is an attempt that connects or waits in a goroutine of its own. The task's goroutine may
// use it again after receiving from connected or awaited.
type runner struct {
	*attempt
	ctx       context.Context
	cancel    context.CancelFunc
	connected chan connected // of a hedge, until it was sent; nil otherwise
	awaited   chan awaited   // nil until the request is sent
	reserve   time.Duration  // upstream time reserved for a hedge
	res       result         // after the end of the attempt
	err       error
	ended     bool
}

// connected is the result of connecting for a hedge.
type connected struct {
	res    result
	err    error
	reason hedge.Reason // why the hedge is not sent
}

// race runs the first attempt at a request, and a hedge beside it if one is due, until one of
// them has something to relay. Then it closes the other one. It is used by the goroutine of
// the task, which alone changes the task.
type race struct {
	*task
	delay  time.Duration
	first  *runner
	second *runner // nil without a hedge
	losers sync.WaitGroup
}

func newRace(t *task, first *attempt, delay time.Duration) *race {
	return &race{task: t, delay: delay, first: &runner{attempt: first}}
}

// run returns the result of the attempt that counts: the one that was relayed, or the last one
// that failed.
func (r *race) run(ctx context.Context) (result, error) {
	r.first.ctx, r.first.cancel = context.WithCancel(ctx)
	defer r.stop()
	if res, err := r.first.send(r.first.ctx); res != done {
		r.end(r.first, res, err)
		return r.finish(r.first)
	}
	r.first.launch()
	due := time.NewTimer(r.delay)
	defer due.Stop()
	for {
		var winner *runner
		select {
		case <-due.C:
			r.sendHedge(ctx)
		case w := <-r.first.awaited:
			winner = r.firstEnded(ctx, w)
		case c := <-r.second.connectedChan():
			winner = r.secondConnected(ctx, c)
		case w := <-r.second.awaitedChan():
			winner = r.secondEnded(ctx, w)
		}
		if winner != nil {
			return r.finish(winner)
		}
	}
}

// launch starts waiting for the response.
func (r *runner) launch() {
	r.connected = nil
	result := make(chan awaited, 1) // the field changes while the goroutine runs
	r.awaited = result
	go r.deliverAwaited(result)
}

// deliverAwaited waits for the response and delivers the result, a failure after a panic.
func (r *runner) deliverAwaited(to chan<- awaited) {
	w := awaited{res: lost, err: errPanicked}
	defer func() { to <- w }()
	defer invariant.Recover(r.Log, "await a response", "id", r.req.ID)
	w = r.await(r.ctx)
}

// deliverConnected connects for a hedge and delivers the result, a failure after a panic.
func (r *runner) deliverConnected(to chan<- connected) {
	c := connected{unsent, errPanicked, hedge.NoConn}
	defer func() { to <- c }()
	defer invariant.Recover(r.Log, "connect for a hedge", "id", r.req.ID)
	c = r.connectHedge()
}

func (r *runner) connectedChan() chan connected {
	if r == nil {
		return nil
	}
	return r.connected
}

func (r *runner) awaitedChan() chan awaited {
	if r == nil {
		return nil
	}
	return r.awaited
}

// running reports whether the runner was sent and has not ended.
func (r *runner) running() bool { return r != nil && r.awaited != nil && !r.ended }

// connecting reports whether the runner has not been sent yet.
func (r *runner) connecting() bool { return r != nil && r.connected != nil && !r.ended }

// sendHedge starts a hedge if it is allowed and likely to answer first.
func (r *race) sendHedge(ctx context.Context) {
	now := boottime.Now()
	h := &r.record.Hedge
	h.Due = true
	reserve := r.delay
	h.Reason = r.Hedges.Decide(hedge.Question{
		Service:   r.service.Name,
		Suspected: r.trialAt > 0 || r.Quarantine.HasEvidence(r.subjects),
		Reserve:   reserve,
	}, now)
	if h.Reason != hedge.Send {
		return
	}
	r.excludeUpstream(r.first.choice.Upstream.ID)
	q := r.query()
	q.Cohort = r.retryCohort()
	q.MaxExpected = r.firstStillNeeds(now)
	choice, err := r.Placer.Pick(q, now)
	if err != nil {
		h.Reason = hedge.NoUpstream
		if errors.Is(err, place.ErrTooSlow) {
			h.Reason = hedge.Slower
		}
		r.Hedges.Settle(reserve, 0, false)
		return
	}
	s := &runner{attempt: r.newAttempt(choice), connected: make(chan connected, 1), reserve: reserve}
	s.isHedge = true
	s.ctx, s.cancel = context.WithCancel(ctx)
	r.second = s
	go s.deliverConnected(s.connected)
}

// firstStillNeeds estimates how long the first attempt still needs.
func (r *race) firstStillNeeds(now time.Duration) time.Duration {
	left := max(time.Until(r.deadline), minTimeLeft)
	if r.Placer.Silent(r.first.choice.Upstream.Key(), now) {
		return left
	}
	return min(max(hedge.StillNeeded(r.first.choice.Expected, now-r.first.sentAt), minTimeLeft), left)
}

// connectHedge takes a retry from the budget and connects to the upstream.
func (r *runner) connectHedge() connected {
	if !r.Budget.AllowRetry(r.service.Name, boottime.Now()) {
		return connected{unsent, errNoRetryBudget, hedge.NoRetry}
	}
	res, err := r.connect(r.ctx)
	switch res {
	case done:
		return connected{res: done}
	case throttled:
		return connected{res, err, hedge.Throttled}
	}
	return connected{res, err, hedge.NoConn}
}

// admitHedge makes the last checks before the hedge is sent, and counts it as sent.
func (r *runner) admitHedge(ctx context.Context) connected {
	res, err := r.countSend(ctx)
	if res == quarantined {
		return connected{res, err, hedge.Suspected}
	}
	return connected{res, err, hedge.NoConn}
}

// withoutRefusal returns w, or a failure if the response's status would tell the caller that
// the request did not run while it runs elsewhere.
func (r *runner) withoutRefusal(w awaited, other *runner) awaited {
	if w.ready && r.info.ImpliesNotRun && other.running() {
		err := errors.Errorf("status %d of %s while another upstream runs the request", r.head.StatusCode(), r.choice.Upstream.ID)
		return awaited{res: lost, err: err}
	}
	return w
}

// firstEnded handles the end of the first attempt's wait. It returns the attempt whose result
// counts, nil if the hedge goes on.
func (r *race) firstEnded(ctx context.Context, w awaited) *runner {
	if w = r.first.withoutRefusal(w, r.second); w.ready {
		r.cancelAttempt(r.second, hedge.Answered, HedgeLost)
		r.first.setFallback(r.retryLeft())
		r.complete(ctx, r.first, w)
		return r.first
	}
	r.complete(ctx, r.first, w)
	if ctx.Err() != nil || r.endedOne {
		r.cancelAttempt(r.second, hedge.Failed, HedgeFailed)
		return r.first
	}
	switch {
	case r.second.running():
		r.second.setFallback(r.retryLeft())
		return nil
	case r.second.connecting():
		return nil
	}
	return r.first
}

// secondConnected sends the hedge once it has a connection. It returns the first attempt if
// that has failed and the hedge is not sent.
func (r *race) secondConnected(ctx context.Context, c connected) *runner {
	s := r.second
	if c.res == done {
		if c = s.admitHedge(ctx); c.res == done {
			if !r.first.ended {
				s.setFallback(otherRunning)
				r.first.setFallback(otherRunning)
			}
			s.launch()
			return nil
		}
	}
	s.cancel()
	r.record.Hedge.Reason = c.reason
	r.Hedges.Settle(s.reserve, 0, false)
	if c.reason == hedge.NoRetry {
		r.cancelChoice(s.choice)
		r.second = nil
	} else {
		r.end(s, c.res, c.err)
	}
	if r.first.ended {
		return r.first
	}
	return nil
}

// secondEnded handles the end of the hedge's wait. It returns the attempt whose result counts,
// nil if the first attempt goes on.
func (r *race) secondEnded(ctx context.Context, w awaited) *runner {
	s, h := r.second, &r.record.Hedge
	if w = s.withoutRefusal(w, r.first); w.ready {
		h.End = HedgeRetry
		if !r.first.ended {
			h.End = HedgeWon
			r.cancelAttempt(r.first, hedge.Send, HedgeWon)
		} else {
			r.Hedges.Settle(s.reserve, 0, true)
		}
		s.setFallback(r.retryLeft())
		r.record.recordChoice(s.choice)
		r.complete(ctx, s, w)
		return s
	}
	r.complete(ctx, s, w)
	if r.first.ended {
		h.End = HedgeRetry
		r.Hedges.Settle(s.reserve, 0, true)
		return s
	}
	h.End, h.Extra = HedgeFailed, boottime.Now()-s.sentAt
	r.Hedges.Settle(s.reserve, h.Extra, true)
	r.first.setFallback(r.retryLeft())
	return nil
}

// complete relays the response of an attempt, or handles its failure.
func (r *race) complete(ctx context.Context, a *runner, w awaited) {
	res, err := a.attempt.complete(ctx, w)
	r.end(a, res, err)
}

// end ends the accounting of an attempt.
func (r *race) end(a *runner, res result, err error) {
	a.ended, a.awaited, a.connected = true, nil, nil
	a.res, a.err = res, err
	r.endAttempt(a.attempt, res)
}

// cancelAttempt closes the connection of an attempt because of the other one: what its upstream
// sends is dropped. reason and hedgeEnd describe the hedge.
func (r *race) cancelAttempt(a *runner, reason hedge.Reason, hedgeEnd HedgeEnd) {
	h := &r.record.Hedge
	switch {
	case a.connecting():
		a.cancel()
		h.Reason = reason
		r.Hedges.Settle(a.reserve, 0, false)
		go func(result <-chan connected) {
			if c := <-result; c.res == done {
				a.conn.Release()
			}
		}(a.connected)
		a.ended = true
		r.cancelChoice(a.choice)
		r.second = nil
	case a.running():
		a.cancel()
		r.closeLoser(a)
		elapsed := boottime.Now() - a.sentAt
		h.End, h.Extra = hedgeEnd, elapsed
		r.Hedges.Settle(r.second.reserve, elapsed, true)
		r.record.MayHaveRun = true
		r.end(a, superseded, nil)
		if a.isFirst {
			r.Hedges.Observe(r.route.Name, elapsed, boottime.Now())
		}
		r.Placer.ObserveCanceled(a.choice, elapsed, boottime.Now())
	}
}

// closeLoser closes the connection of an attempt that was canceled as soon as its goroutine
// has noticed.
func (r *race) closeLoser(a *runner) {
	waiting := a.awaited
	r.losers.Go(func() {
		<-waiting
		a.conn.Close()
		a.Silence.GiveUp(a.pending, boottime.Now())
		a.attempt.reserved.Release()
	})
}

// finish records the attempts in the order in which they were sent, and returns the result of
// the one that counts.
func (r *race) finish(counts *runner) (result, error) {
	for _, a := range []*runner{r.first, r.second} {
		if a != nil && a.ended {
			r.record.recordAttempt(a.choice, a.res, a.err)
		}
	}
	r.record.Result = counts.res
	return counts.res, counts.err
}

// stop ends the contexts of both attempts. It waits for the goroutine of a loser, which may
// still use the request.
func (r *race) stop() {
	r.first.cancel()
	if r.second != nil {
		r.second.cancel()
	}
	r.losers.Wait()
}

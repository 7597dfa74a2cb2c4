package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// Cohorts chooses between the upstreams of the old and the new version of a service while a new
// version is rolled out. Its methods must be safe for concurrent use.
type Cohorts interface {
	// Route returns the cohort for the first attempt of a request.
	Route(service, id string) roster.Cohort
	// Retry returns the cohort for a later attempt.
	Retry(service string) roster.Cohort
}

// AttemptOutcome is what the result of an attempt tells about the upstream.
type AttemptOutcome int

// Outcomes of attempts.
const (
	AttemptAnswered   AttemptOutcome = iota // the first event or the whole response arrived
	AttemptFailed                           // the upstream failed, or answered with a server error
	AttemptUnfinished                       // the caller left or the deadline passed before an answer
	AttemptNotRun                           // the upstream did not run the request
	// AttemptBroken: the stream broke off after its first event. It follows an AttemptAnswered of
	// the same attempt, which it replaces.
	AttemptBroken
)

// AttemptReport describes an attempt that was answered or has ended.
type AttemptReport struct {
	Upstream *roster.Upstream
	Route    string
	Outcome  AttemptOutcome
	Took     time.Duration // from the send to the first event or the whole response, or to the end
	Nominal  time.Duration // see place.Choice
}

// choose places the next attempt. It returns the reply to a request that is refused because it
// would wait too long. See fallsBack.
func (t *task) choose(try int) (place.Choice, *localReply, error) {
	cohort := roster.Stable
	switch {
	case t.Cohorts == nil:
	case try == 0 && t.sends == 0:
		cohort = t.Cohorts.Route(t.service.Name, t.req.ID)
	default:
		cohort = t.retryCohort()
	}
	choice, shed, err := t.chooseFrom(cohort, try)
	if t.fallsBack(cohort, shed, err) {
		return t.chooseFrom(roster.Stable, try)
	}
	return choice, shed, err
}

// fallsBack reports whether the old version may take a request that the new one did not. Load that
// the new one sheds once all requests go there is not sent to upstreams that are to stop.
func (t *task) fallsBack(from roster.Cohort, shed *localReply, err error) bool {
	return from == roster.Canary && (err != nil || shed != nil && t.retryCohort() != roster.Canary)
}

// retryCohort returns the cohort for an attempt beyond the first.
func (t *task) retryCohort() roster.Cohort {
	if t.Cohorts == nil {
		return roster.Stable
	}
	return t.Cohorts.Retry(t.service.Name)
}

// chooseFrom is choose for a cohort.
func (t *task) chooseFrom(cohort roster.Cohort, try int) (place.Choice, *localReply, error) {
	q := t.query()
	q.Cohort = cohort
	choice, err := t.Placer.Pick(q, boottime.Now())
	if err != nil {
		return choice, nil, err
	}
	if shed := t.shedLoad(choice, try); shed != nil {
		t.cancelChoice(choice)
		return choice, shed, nil
	}
	return choice, nil, nil
}

// reportAnswer reports the first event or the whole response as soon as it has arrived: a stream
// may last for seconds.
func (a *attempt) reportAnswer() {
	a.answerReported = true
	a.Observer.AttemptEnded(a.report(done))
}

// reportEnd reports how the attempt ended, unless that was reported with its answer.
func (a *attempt) reportEnd(r result) {
	out := a.report(r)
	switch {
	case !a.answerReported:
	case out.Outcome == AttemptFailed && r != done && a.head.StatusCode() < fasthttp.StatusInternalServerError:
		out.Outcome = AttemptBroken
	default:
		return
	}
	a.Observer.AttemptEnded(out)
}

// cancelChoice ends a choice that is not sent, for a reason other than its upstream.
func (t *task) cancelChoice(c place.Choice) {
	now := boottime.Now()
	t.Placer.Withdraw(c, now)
	t.Placer.Done(c, place.Canceled, false, now)
}

// report returns what the observer is told about the attempt.
func (a *attempt) report(r result) AttemptReport {
	out := AttemptReport{Upstream: a.choice.Upstream, Route: a.route.Name, Nominal: a.choice.Nominal}
	switch r {
	case done:
		if a.head.StatusCode() >= fasthttp.StatusInternalServerError {
			out.Outcome = AttemptFailed
		}
	case lost, broken:
		out.Outcome = AttemptFailed
	case expired, gone, superseded:
		if a.sentAt == 0 {
			out.Outcome = AttemptNotRun
		} else if !a.responded {
			out.Outcome = AttemptUnfinished
		}
	default:
		out.Outcome = AttemptNotRun
	}
	if a.sentAt > 0 {
		out.Took = boottime.Now() - a.sentAt
		if a.responded {
			out.Took = a.firstAt - a.sentAt
		}
	}
	return out
}

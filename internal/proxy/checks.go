package proxy

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
)

// errInvariant says that a step was not taken since it would break a promise.
var errInvariant = errors.New("invariant broken, see the log")

// mustNotSend checks the last moment before a request leaves. It returns how the
// attempt ends if the request must not go to the chosen upstream.
func (a *attempt) mustNotSend() (ending, bool) {
	rule, end := "", lost
	switch {
	case a.record.MayHaveRun && !a.route.MayRerun():
		rule = "TWICE"
	case a.sends >= a.route.MaxAttempts && a.sends > 0:
		rule = "BUDGET"
	case a.choice.Upstream.Leaving:
		rule, end = "DRAIN", unsent
	case a.Placer != nil && a.Placer.PauseEnforced(a.choice.Upstream.Key(), boottime.Now()):
		rule, end = "BUDGET", unsent
	default:
		return done, false
	}
	invariant.Broken(a.Log, rule, "id", a.req.ID, "route", a.route.Name, "kind", a.route.Kind, "sends", a.sends,
		"may_have_run", a.record.MayHaveRun, "upstream", a.choice.Upstream.ID, "entry", a.choice.Upstream.Version)
	return end, true
}

// mustNotPass checks the last moment before a part of an answer goes to the caller.
func (a *attempt) mustNotPass() bool {
	status := a.head.StatusCode()
	success := status >= 200 && status < 300
	if a.verdict.ID == a.req.ID && (a.verdict.Sealed || !success) {
		return false
	}
	invariant.Broken(a.Log, "MIXED", "id", a.req.ID, "answer_id", a.verdict.ID, "sealed", a.verdict.Sealed,
		"status", status, "upstream", a.choice.Upstream.ID)
	return true
}

// mustNotStream checks that what goes on of a stream are whole events.
func (a *attempt) mustNotStream(events []byte) bool {
	if bytes.HasSuffix(events, eventEnd) {
		return false
	}
	invariant.Broken(a.Log, "ORDER", "id", a.req.ID, "bytes", len(events), "last_event", a.out.last,
		"upstream", a.choice.Upstream.ID)
	return true
}

// honest returns a refusal that promises nothing which is not so.
func (t *task) honest(r refusal) refusal {
	switch r.status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
	default:
		return r
	}
	if !t.record.MayHaveRun {
		return r
	}
	invariant.Broken(t.Log, "REFUSED", "id", t.record.ID, "status", r.status, "reason", r.reason, "sends", t.sends,
		"tries", t.record.Tries())
	r.status, r.retry = fasthttp.StatusBadGateway, 0
	return r
}

// older tells whether a configuration would replace a newer one.
func (p *Proxy) older(c *catalog.Config) bool {
	old := p.Catalog()
	if old == nil || c.Version >= old.Version {
		return false
	}
	invariant.Broken(p.Log, "CONFIG", "version", c.Version, "in_force", old.Version)
	return true
}

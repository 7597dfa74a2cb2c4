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
func (a *attempt) mustNotSend() (result, bool) {
	rule, end := "", lost
	switch {
	case a.record.MayHaveRun && !a.route.MayRepeat():
		rule = "TWICE"
	case a.sends >= a.route.MaxAttempts && a.sends > 0:
		rule = "BUDGET"
	case a.choice.Upstream.Leaving:
		rule, end = "DRAIN", unsent
	case a.Placer != nil && a.Placer.Barred(a.choice.Upstream.Key(), boottime.Now()):
		rule, end = "BUDGET", unsent
	default:
		return done, false
	}
	invariant.Broken(a.Log, rule, "id", a.req.ID, "route", a.route.Name, "kind", a.route.Kind, "sends", a.sends,
		"may_have_run", a.record.MayHaveRun, "upstream", a.choice.Upstream.ID, "entry", a.choice.Upstream.Version)
	return end, true
}

// mustNotRelay checks the last moment before a part of an answer goes to the caller.
func (a *attempt) mustNotRelay() bool {
	status := a.head.StatusCode()
	success := status >= 200 && status < 300
	if a.info.ID == a.req.ID && (a.info.Sealed || !success) {
		return false
	}
	invariant.Broken(a.Log, "MIXED", "id", a.req.ID, "answer_id", a.info.ID, "sealed", a.info.Sealed,
		"status", status, "upstream", a.choice.Upstream.ID)
	return true
}

// mustNotRelayEvents checks that what goes on of a stream are whole events.
func (a *attempt) mustNotRelayEvents(events []byte) bool {
	if bytes.HasSuffix(events, eventEnd) {
		return false
	}
	invariant.Broken(a.Log, "ORDER", "id", a.req.ID, "bytes", len(events), "last_event", a.stream.lastID,
		"upstream", a.choice.Upstream.ID)
	return true
}

// enforceNotRun returns a refusal that promises nothing which is not so.
func (t *task) enforceNotRun(r localReply) localReply {
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
	r.status, r.retryAfter = fasthttp.StatusBadGateway, 0
	return r
}

// isOutdated tells whether a configuration would replace a newer one.
func (p *Proxy) isOutdated(c *catalog.Config) bool {
	old := p.Catalog()
	if old == nil || c.Version >= old.Version {
		return false
	}
	invariant.Broken(p.Log, "CONFIG", "version", c.Version, "in_force", old.Version)
	return true
}

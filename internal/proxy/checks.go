package proxy

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
)

// errInvariant means that a step was skipped because it would have broken a guarantee.
var errInvariant = errors.New("invariant broken, see the log")

// mustNotSend is the last check before a request is sent. It reports whether sending it to
// the chosen upstream would break an invariant, and the result of the attempt if so.
func (a *attempt) mustNotSend() (result, bool) {
	rule, res := "", lost
	switch {
	case a.record.MayHaveRun && !a.route.MayRerun():
		rule = "TWICE"
	case a.sends >= a.route.MaxAttempts && a.sends > 0:
		rule = "BUDGET"
	case a.choice.Upstream.Leaving:
		rule, res = "DRAIN", unsent
	case a.Placer != nil && a.Placer.PauseEnforced(a.choice.Upstream.Key(), boottime.Now()):
		rule, res = "BUDGET", unsent
	default:
		return done, false
	}
	invariant.Broken(a.Log, rule, "id", a.req.ID, "route", a.route.Name, "kind", a.route.Kind, "sends", a.sends,
		"may_have_run", a.record.MayHaveRun, "upstream", a.choice.Upstream.ID, "entry", a.choice.Upstream.Version)
	return res, true
}

// mustNotRelay is the last check before a part of a response is sent to the caller. It
// reports whether the response belongs to another request, or is a success without a seal.
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

// mustNotRelayEvents reports whether the data does not end at the end of an event.
func (a *attempt) mustNotRelayEvents(events []byte) bool {
	if bytes.HasSuffix(events, eventEnd) {
		return false
	}
	invariant.Broken(a.Log, "ORDER", "id", a.req.ID, "bytes", len(events), "last_event", a.stream.lastID,
		"upstream", a.choice.Upstream.ID)
	return true
}

// enforceNotRun returns r, changed to 502 if its status means that the request did not run
// although it may have run.
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

// isOutdated reports whether c is older than the current configuration.
func (p *Proxy) isOutdated(c *catalog.Config) bool {
	current := p.Catalog()
	if current == nil || c.Version >= current.Version {
		return false
	}
	invariant.Broken(p.Log, "CONFIG", "version", c.Version, "in_force", current.Version)
	return true
}

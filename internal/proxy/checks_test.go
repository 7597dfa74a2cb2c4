package proxy

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/invariant"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// newAttempt returns an attempt of a request that was sent once before.
func newAttempt(r *catalog.Route) *attempt {
	t := &task{Proxy: New(Config{Log: hclog.NewNullLogger()}), req: &Request{ID: "a"}, route: r, sends: 1}
	return &attempt{task: t, choice: place.Choice{Upstream: &roster.Upstream{ID: "u"}}}
}

// breaksInvariant reports whether check reports a broken invariant. It recovers the panic
// that this causes in tests.
func breaksInvariant(check func()) (broken bool) {
	before := invariant.BrokenCount()
	defer func() {
		_ = recover()
		broken = invariant.BrokenCount() > before
	}()
	check()
	return
}

func TestInvariantsBeforeSend(t *testing.T) {
	once := &catalog.Route{Kind: catalog.Once, MaxAttempts: 2}
	repeatable := &catalog.Route{Kind: catalog.Repeatable, MaxAttempts: 2}
	for name, tt := range map[string]struct {
		route  *catalog.Route
		change func(a *attempt)
		broken bool
	}{
		"retry of a refused request":                      {once, func(*attempt) {}, false},
		"retry of a request that may have run":            {once, func(a *attempt) { a.record.MayHaveRun = true }, true},
		"retry of a repeatable request that may have run": {repeatable, func(a *attempt) { a.record.MayHaveRun = true }, false},
		"more sends than the route allows":                {repeatable, func(a *attempt) { a.sends = 2 }, true},
		"leaving upstream":                                {repeatable, func(a *attempt) { a.choice.Upstream.Leaving = true }, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAttempt(tt.route)
			tt.change(a)
			assert.Equal(t, breaksInvariant(func() { a.mustNotSend() }), tt.broken)
		})
	}
}

func TestInvariantsBeforeRelay(t *testing.T) {
	a := newAttempt(&catalog.Route{Kind: catalog.Stream})
	a.head.SetStatusCode(fasthttp.StatusOK)
	a.info = ResponseInfo{ID: "a", Sealed: true}
	assert.Assert(t, !breaksInvariant(func() { a.mustNotRelay() }))
	a.info.Sealed = false
	assert.Assert(t, breaksInvariant(func() { a.mustNotRelay() }))
	a.info = ResponseInfo{ID: "b", Sealed: true}
	assert.Assert(t, breaksInvariant(func() { a.mustNotRelay() }))
	assert.Assert(t, !breaksInvariant(func() { a.mustNotRelayEvents([]byte("id: 1\ndata: x\n\n")) }))
	assert.Assert(t, breaksInvariant(func() { a.mustNotRelayEvents([]byte("id: 1\ndata: x\n")) }))
}

func TestInvariantOfLocalReplies(t *testing.T) {
	a := newAttempt(&catalog.Route{Kind: catalog.Once})
	unavailable, badGateway := localReply{status: fasthttp.StatusServiceUnavailable}, localReply{status: fasthttp.StatusBadGateway}
	assert.Equal(t, a.enforceNotRun(unavailable).status, fasthttp.StatusServiceUnavailable)
	a.record.MayHaveRun = true
	assert.Equal(t, a.enforceNotRun(badGateway).status, fasthttp.StatusBadGateway)
	assert.Assert(t, breaksInvariant(func() { a.enforceNotRun(unavailable) }))
}

func TestInvariantOfConfigVersion(t *testing.T) {
	p := New(Config{Log: hclog.NewNullLogger()})
	newer := catalog.NewBuilder(7, catalog.HTTPLimits{}).Build()
	p.SetCatalog(newer)
	assert.Assert(t, breaksInvariant(func() { p.SetCatalog(catalog.NewBuilder(6, catalog.HTTPLimits{}).Build()) }))
	assert.Equal(t, p.Catalog(), newer)
}

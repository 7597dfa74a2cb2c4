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

// newAttempt returns a second attempt of a request on a route.
func newAttempt(r *catalog.Route) *attempt {
	t := &task{Proxy: New(Config{Log: hclog.NewNullLogger()}), req: &Request{ID: "a"}, route: r, sends: 1}
	return &attempt{task: t, choice: place.Choice{Upstream: &roster.Upstream{ID: "u"}}}
}

// breaks tells whether a check finds an invariant broken, which ends the test
// process where it is not caught.
func breaks(check func()) (broken bool) {
	before := invariant.Count()
	defer func() {
		_ = recover()
		broken = invariant.Count() > before
	}()
	check()
	return
}

func TestChecksBeforeASend(t *testing.T) {
	once := &catalog.Route{Kind: catalog.Once, MaxAttempts: 2}
	repeatable := &catalog.Route{Kind: catalog.Repeatable, MaxAttempts: 2}
	for name, tt := range map[string]struct {
		route   *catalog.Route
		change  func(a *attempt)
		forbids bool
	}{
		"second send of one that was refused":  {once, func(*attempt) {}, false},
		"second send of one that may have run": {once, func(a *attempt) { a.record.MayHaveRun = true }, true},
		"the same, but it may be repeated":     {repeatable, func(a *attempt) { a.record.MayHaveRun = true }, false},
		"more sends than the route allows":     {repeatable, func(a *attempt) { a.sends = 2 }, true},
		"leaving upstream":                     {repeatable, func(a *attempt) { a.choice.Upstream.Leaving = true }, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAttempt(tt.route)
			tt.change(a)
			assert.Equal(t, breaks(func() { a.mustNotSend() }), tt.forbids)
		})
	}
}

func TestChecksBeforeAnAnswer(t *testing.T) {
	a := newAttempt(&catalog.Route{Kind: catalog.Stream})
	a.head.SetStatusCode(fasthttp.StatusOK)
	a.verdict = Verdict{ID: "a", Sealed: true}
	assert.Assert(t, !breaks(func() { a.mustNotPass() }))
	a.verdict.Sealed = false
	assert.Assert(t, breaks(func() { a.mustNotPass() }))
	a.verdict = Verdict{ID: "b", Sealed: true}
	assert.Assert(t, breaks(func() { a.mustNotPass() }))
	assert.Assert(t, !breaks(func() { a.mustNotStream([]byte("id: 1\ndata: x\n\n")) }))
	assert.Assert(t, breaks(func() { a.mustNotStream([]byte("id: 1\ndata: x\n")) }))
}

func TestChecksOfRefusals(t *testing.T) {
	a := newAttempt(&catalog.Route{Kind: catalog.Once})
	busy, lost := refusal{status: fasthttp.StatusServiceUnavailable}, refusal{status: fasthttp.StatusBadGateway}
	assert.Equal(t, a.honest(busy).status, fasthttp.StatusServiceUnavailable)
	a.record.MayHaveRun = true
	assert.Equal(t, a.honest(lost).status, fasthttp.StatusBadGateway)
	assert.Assert(t, breaks(func() { a.honest(busy) }))
}

func TestChecksOfTheConfiguration(t *testing.T) {
	p := New(Config{Log: hclog.NewNullLogger()})
	newer := catalog.NewBuilder(7, catalog.HTTPLimits{}).Build()
	p.SetCatalog(newer)
	assert.Assert(t, breaks(func() { p.SetCatalog(catalog.NewBuilder(6, catalog.HTTPLimits{}).Build()) }))
	assert.Equal(t, p.Catalog(), newer)
}

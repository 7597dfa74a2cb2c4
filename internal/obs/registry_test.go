package obs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

var epoch = time.Unix(1000, 0)

// endRequest records a request with ten tokens, 10 ms apart, in g. modify, if not
// nil, changes the request before it ends, for example makes it late.
func endRequest(g *Registry, id string, modify func(*Request)) {
	c := &call.Call{
		ID:       id,
		Customer: &manifest.Customer{Name: "editors"},
		Service:  &manifest.Service{Name: "fortune", Target: manifest.Target{FirstTokenMS: 420, BetweenTokensMS: 29}},
		Class:    manifest.Normal,
		Arrived:  epoch,
		Deadline: epoch.Add(time.Second),
		Trace:    &trace.Trace{},
	}
	c.Trace.Add(trace.Step{Name: trace.Attempt, Peer: "e1", Attempt: 1})
	r := &Request{Call: c, Outcome: call.Answered, Status: 200}
	for i := range 10 {
		r.RecordToken(epoch.Add(100*time.Millisecond + time.Duration(i)*10*time.Millisecond))
	}
	if modify != nil {
		modify(r)
	}
	g.End(r, epoch.Add(200*time.Millisecond))
}

func newRegistry() (*Registry, *bytes.Buffer) {
	var out bytes.Buffer
	return NewRegistry(NewLogger(&out, "test", "info"), epoch), &out
}

// TestReportShowsRareBadRequests records 5 bad requests among 10,000 good ones. The
// median and the mean don't show them, so the counters, the maximum and the log must.
func TestReportShowsRareBadRequests(t *testing.T) {
	g, out := newRegistry()
	for i := range 10000 {
		endRequest(g, fmt.Sprint("good-", i), nil)
	}
	endRequest(g, "late", func(r *Request) { r.firstToken = epoch.Add(900 * time.Millisecond) })
	endRequest(g, "cut", func(r *Request) { r.Cut = true })
	endRequest(g, "unknown", func(r *Request) { r.Outcome = call.Unknown })
	endRequest(g, "repeated", func(r *Request) {
		r.Call.Trace.Add(trace.Step{Name: trace.Crossed, Peer: "e1", Attempt: 1})
		r.Call.Trace.Add(trace.Step{Name: trace.Attempt, Peer: "e2", Attempt: 2})
	})
	endRequest(g, "slow-tokens", func(r *Request) { r.RecordToken(r.lastToken.Add(500 * time.Millisecond)) })
	rep := g.Report()
	assert.Equal(t, len(rep.Groups), 1)
	got := rep.Groups[0]
	assert.Equal(t, got.FirstToken.P50, int64(100351)) // 2 significant figures
	assert.Assert(t, got.FirstToken.Max >= 900000 && got.BetweenTokens.Max >= 500000)
	want := Counters{OnTime: 10001, Late: 2, Unknown: 1, Cut: 1, LateFirst: 1, LateBetween: 1,
		Repeated: 1, Retries: 1, Crossed: 1, Tokens: 100051}
	assert.DeepEqual(t, got.Counters, want)
	assert.Equal(t, len(rep.Upstreams), 2)
	assert.Equal(t, rep.Upstreams[0].Counters.Cut, int64(1))
	assert.Equal(t, rep.Upstreams[1].Counters.Repeated, int64(1))
	for _, id := range []string{"late", "cut", "unknown", "repeated", "slow-tokens"} {
		assert.Assert(t, strings.Contains(out.String(), "request="+id+" "), "no log line for request %s in\n%s", id, out)
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), 5)
}

func TestOrdinaryRequestsDoNotEvictNotableOnes(t *testing.T) {
	g, _ := newRegistry()
	endRequest(g, "cut", func(r *Request) { r.Cut = true })
	for i := range 3 * recentRequests {
		endRequest(g, fmt.Sprint(i), nil)
	}
	rec, ok := g.Explain("cut")
	assert.Assert(t, ok)
	assert.Equal(t, rec.Result, "cut")
	assert.Equal(t, rec.Steps[0].Peer, "e1")
	_, ok = g.Explain("0")
	assert.Assert(t, !ok)
	_, ok = g.Explain(fmt.Sprint(3*recentRequests - 1))
	assert.Assert(t, ok)
}

func TestRequestLogIsRateLimited(t *testing.T) {
	g, out := newRegistry()
	for i := range 1000 {
		endRequest(g, fmt.Sprint(i), func(r *Request) { r.Cut = true })
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), logBurst)
	assert.Equal(t, g.Report().Groups[0].Counters.Cut, int64(1000))
	assert.Equal(t, g.suppressed, int64(1000-logBurst))
}

func TestLongStreamIsMergedBeforeItEnds(t *testing.T) {
	g, _ := newRegistry()
	c := &call.Call{Service: &manifest.Service{}, Customer: &manifest.Customer{Name: "editors"}}
	r := &Request{Call: c}
	for i := range mergeSamples + 1 {
		r.RecordToken(epoch.Add(time.Duration(i) * time.Millisecond))
	}
	assert.Assert(t, r.NeedsMerge())
	g.Merge(r)
	assert.Assert(t, !r.NeedsMerge())
	assert.Equal(t, g.Report().Groups[0].BetweenTokens.Count, int64(mergeSamples))
}

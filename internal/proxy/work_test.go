package proxy

import (
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
)

// TestWorkIsKnownSoonAfterAStart replays an even load: seconds after the first
// request the rate is that of the load, and not a part of it.
func TestWorkIsKnownSoonAfterAStart(t *testing.T) {
	w := NewWork()
	now := time.Hour
	const tokens = 1100 // 10 ms
	for range 400 {
		now += 10 * time.Millisecond
		w.Add("s", tokens, 0, now)
	}
	got := w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-1000) < 50, "%v ms a second, want 1000", got)
	for range 4000 {
		now += 10 * time.Millisecond
		w.Add("s", tokens, 0, now)
	}
	got = w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-1000) < 50, "%v ms a second, want 1000", got)
}

// TestLoadWithoutUpstreamsIsSeen asks for a service of which no upstream takes
// requests: what is turned away is load all the same, and upstreams are ordered by it.
func TestLoadWithoutUpstreamsIsSeen(t *testing.T) {
	p := New(Config{Work: NewWork(), Log: hclog.NewNullLogger()})
	refused := &task{Proxy: p, req: &Request{PromptTokens: 6000, OutputTokens: 100}, service: &catalog.Service{Name: "s"}}
	refused.askedInVain()
	rate := p.Work.Rates(boottime.Now())["s"]
	assert.Assert(t, rate > 0)
	sent := &task{Proxy: p, req: refused.req, service: refused.service, sends: 1}
	sent.askedInVain()
	assert.Assert(t, p.Work.Rates(boottime.Now())["s"] <= rate, "a request that was sent was counted then")
}

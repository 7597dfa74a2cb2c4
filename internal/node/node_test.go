package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/proxy"
)

// TestDrainTimes checks the deadlines of a drain for the grace periods of deployments:
// nothing is cut off before the last sixth, time is left to remove the daemon's row,
// and requests that could outlast the drain are refused after 3 s or three eighths of
// the grace period at the latest.
func TestDrainTimes(t *testing.T) {
	began := time.Now()
	for _, grace := range []time.Duration{2 * time.Second, 6 * time.Second, 8 * time.Second, 30 * time.Second} {
		d := newDrain(began, grace)
		assert.Assert(t, d.End.Sub(began) > grace*5/6, "%v", grace)
		assert.Assert(t, d.End.Before(d.Cut), "%v: no time left for the last responses", grace)
		assert.Assert(t, d.Cut.Sub(began) < grace*9/10, "%v: no time left to remove the row", grace)
		assert.Assert(t, d.RefuseAfter.Sub(began) <= max(3*time.Second, grace*3/8), "%v", grace)
	}
}

func TestMetrics(t *testing.T) {
	m := newMetrics()
	now := time.Now()
	record := func(status int, first time.Duration, late bool) *proxy.Record {
		r := &proxy.Record{Customer: "c", Kind: catalog.Stream, Arrived: now, Status: status, Late: late, Sends: 2}
		if first > 0 {
			r.First = now.Add(first)
		}
		return r
	}
	m.add(record(200, 40*time.Millisecond, false))
	m.add(record(200, 900*time.Millisecond, true))
	m.add(record(429, 0, false))
	cut := record(200, 10*time.Millisecond, false)
	cut.Cut = true
	m.add(cut)
	var out strings.Builder
	m.write(&out)
	for _, want := range []string{
		`lagoonmux_requests_total{customer="c",kind="stream",cause="answered"} 1`,
		`cause="answered_late"} 1`, `cause="status_429"} 1`, `cause="cut"} 1`,
		`lagoonmux_first_ms{customer="c",kind="stream",quantile="0.5"}`, "lagoonmux_repeated_total 4",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s lacks %s", out.String(), want)
	}
}

func TestMetricsOfAttempts(t *testing.T) {
	m := newMetrics()
	m.add(&proxy.Record{Customer: "c", Kind: catalog.Stream, Status: 200, Sends: 2, Resumed: true, Attempts: []proxy.Attempt{
		{Upstream: "u1", Result: "broken", Prefill: 700}, {Upstream: "u2", Result: "done", Prefill: 900},
	}})
	m.add(&proxy.Record{Customer: "c", Kind: catalog.Stream, Status: 200, Sends: 1, Attempts: []proxy.Attempt{{Upstream: "u2", Result: "done", Prefill: 50}}})
	var out strings.Builder
	m.write(&out)
	for _, want := range []string{
		`lagoonmux_attempts_total{upstream="u1",end="broken"} 1`, `lagoonmux_attempts_total{upstream="u2",end="done"} 2`,
		"lagoonmux_resumed_total 1", "lagoonmux_prompt_tokens_read_total 750", "lagoonmux_prompt_tokens_read_again_total 900",
		"lagoonmux_invariants_broken_total 0",
	} {
		assert.Assert(t, strings.Contains(out.String(), want+"\n"), "%s lacks %s", out.String(), want)
	}
}

// TestAttemptSeriesAreBounded counts attempts at 24,000 upstreams, as many as are
// replaced in two months. The number of series must stay bounded.
func TestAttemptSeriesAreBounded(t *testing.T) {
	m := newMetrics()
	for i := range 24000 {
		m.add(&proxy.Record{Attempts: []proxy.Attempt{{Upstream: fmt.Sprint("u", i), Result: "done"}}})
	}
	assert.Assert(t, len(m.attempts) <= maxSeries)
}

package proxy

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorkRateAfterStart replays an even load: seconds after the first
// request the rate is that of the load, and not a part of it.
func TestWorkRateAfterStart(t *testing.T) {
	w := NewWorkMeter()
	now := time.Hour
	const tokens = 1100 // 10 ms
	for range 400 {
		now += 10 * time.Millisecond
		w.Add("s", RequestWork{UnsharedTokens: tokens, Pace: 1}, now)
	}
	got := w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-1000) < 50, "%v ms a second, want 1000", got)
	for range 4000 {
		now += 10 * time.Millisecond
		w.Add("s", RequestWork{UnsharedTokens: tokens, Pace: 1}, now)
	}
	got = w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-1000) < 50, "%v ms a second, want 1000", got)
}

// TestWorkFirstRequest checks that whoever takes over a duty knows for how
// long it has seen the load.
func TestWorkFirstRequest(t *testing.T) {
	w := NewWorkMeter()
	assert.Equal(t, w.FirstRequest(), time.Duration(0))
	w.Add("s", RequestWork{UnsharedTokens: 100, Pace: 1}, time.Hour)
	w.Add("r", RequestWork{UnsharedTokens: 100, Pace: 1}, time.Hour+time.Second)
	assert.Equal(t, w.FirstRequest(), time.Hour)
}

// TestWorkRateAfterRestart replays a daemon that starts again under an even
// load: for some seconds it takes shared parts for unread that upstreams keep.
func TestWorkRateAfterRestart(t *testing.T) {
	w, now := NewWorkMeter(), time.Hour
	for range 400 {
		now += 10 * time.Millisecond
		w.Add("s", RequestWork{UnsharedTokens: 1100, SharedTokens: 1100, Pace: 1}, now)
	}
	got := w.Rates(now)["s"]
	assert.Assert(t, got < 1300, "%v ms a second, 1000 of them asked for anew", got)
	for range 9600 {
		now += 10 * time.Millisecond
		w.Add("s", RequestWork{UnsharedTokens: 1100, SharedTokens: 1100, Pace: 1}, now)
	}
	got = w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-2000) < 50, "%v ms a second where it stays, want 2000", got)
}

package proxy

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorkIsKnownSoonAfterAStart replays an even load: seconds after the first
// request the rate is that of the load, and not a part of it.
func TestWorkIsKnownSoonAfterAStart(t *testing.T) {
	w := NewWork()
	now := time.Hour
	const tokens = 1100 // 10 ms
	for range 400 {
		now += 10 * time.Millisecond
		w.Add("s", Asked{Own: tokens, Pace: 1}, now)
	}
	got := w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-1000) < 50, "%v ms a second, want 1000", got)
	for range 4000 {
		now += 10 * time.Millisecond
		w.Add("s", Asked{Own: tokens, Pace: 1}, now)
	}
	got = w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-1000) < 50, "%v ms a second, want 1000", got)
}

// TestLoadIsKnownSinceTheFirstRequest checks that whoever takes over a duty knows for how
// long it has seen the load.
func TestLoadIsKnownSinceTheFirstRequest(t *testing.T) {
	w := NewWork()
	assert.Equal(t, w.First(), time.Duration(0))
	w.Add("s", Asked{Own: 100, Pace: 1}, time.Hour)
	w.Add("r", Asked{Own: 100, Pace: 1}, time.Hour+time.Second)
	assert.Equal(t, w.First(), time.Hour)
}

// TestRestartDoesNotLookLikeMoreWork replays a daemon that starts again under an even
// load: for some seconds it takes shared parts for unread that upstreams keep.
func TestRestartDoesNotLookLikeMoreWork(t *testing.T) {
	w, now := NewWork(), time.Hour
	for range 400 {
		now += 10 * time.Millisecond
		w.Add("s", Asked{Own: 1100, Shared: 1100, Pace: 1}, now)
	}
	got := w.Rates(now)["s"]
	assert.Assert(t, got < 1300, "%v ms a second, 1000 of them asked for anew", got)
	for range 9600 {
		now += 10 * time.Millisecond
		w.Add("s", Asked{Own: 1100, Shared: 1100, Pace: 1}, now)
	}
	got = w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-2000) < 50, "%v ms a second where it stays, want 2000", got)
}

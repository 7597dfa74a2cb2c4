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
		w.Add("s", tokens, 0, 1, now)
	}
	got := w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-1000) < 50, "%v ms a second, want 1000", got)
	for range 4000 {
		now += 10 * time.Millisecond
		w.Add("s", tokens, 0, 1, now)
	}
	got = w.Rates(now)["s"]
	assert.Assert(t, math.Abs(got-1000) < 50, "%v ms a second, want 1000", got)
}

// TestLoadIsKnownSinceTheFirstRequest checks that whoever takes over a duty knows for how
// long it has seen the load.
func TestLoadIsKnownSinceTheFirstRequest(t *testing.T) {
	w := NewWork()
	assert.Equal(t, w.First(), time.Duration(0))
	w.Add("s", 100, 0, 1, time.Hour)
	w.Add("r", 100, 0, 1, time.Hour+time.Second)
	assert.Equal(t, w.First(), time.Hour)
}

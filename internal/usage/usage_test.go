package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSumOverDaemonsAndRestarts(t *testing.T) {
	now := 100 * time.Second
	a, b := New(5*time.Second), New(5*time.Second)
	window := a.Number(now)
	assert.Equal(t, a.End(window), 105*time.Second)
	a.Began("x", now)
	for range 3 {
		b.Began("x", now)
	}
	b.Began("y", now+5*time.Second)
	a.Learn("b", 1, b.Local(now+5*time.Second, 3))
	a.Learn("b", 1, b.Local(now+5*time.Second, 3)) // again, as every exchange does
	assert.DeepEqual(t, a.Sum(window), map[string]int64{"x": 4})
	assert.DeepEqual(t, a.Sum(window+1), map[string]int64{"y": 1})
	again := New(5 * time.Second) // b started again
	again.Began("x", now)
	a.Learn("b", 2, again.Local(now, 3))
	assert.DeepEqual(t, a.Sum(window), map[string]int64{"x": 5})
}

func TestOldWindowsAreDropped(t *testing.T) {
	c := New(time.Second)
	for i := range 100 {
		c.Began("x", time.Duration(i)*time.Second)
	}
	assert.Assert(t, len(c.own) <= keepWindows)
}

func TestSinceTellsEverySource(t *testing.T) {
	now := 100 * time.Second
	c := New(5 * time.Second)
	n := c.Number(now)
	c.Began("x", now)
	c.Began("x", now-5*time.Second)
	c.Learn("b", 7, []Window{{n, map[string]int64{"y": 3}}, {n - 1, map[string]int64{"y": 2}}})
	c.Learn("d", 8, []Window{{n - 1, map[string]int64{"y": 2}}})
	assert.DeepEqual(t, c.Since(n-1), []Tally{
		{Windows: []Window{{n, map[string]int64{"x": 1}}}},
		{Name: "b", Born: 7, Windows: []Window{{n, map[string]int64{"y": 3}}}},
	})
	other := New(5 * time.Second)
	for _, t := range c.Since(0) {
		other.Learn(t.Name, t.Born, t.Windows)
	}
	assert.DeepEqual(t, other.Sum(n-1), c.Sum(n-1))
}

// TestDaemonsThatEndedAreForgotten replays months of restarts.
func TestDaemonsThatEndedAreForgotten(t *testing.T) {
	c := New(time.Second)
	for born := range int64(1000) {
		c.Learn("a", born, []Window{{born, map[string]int64{"x": 1}}})
	}
	assert.Assert(t, len(c.peers) <= keepWindows+1, "%d", len(c.peers))
}

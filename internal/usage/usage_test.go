package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSumAddsDaemonsAndIncarnations(t *testing.T) {
	now := 100 * time.Second
	a, b := New(5*time.Second), New(5*time.Second)
	window := a.WindowNumber(now)
	assert.Equal(t, a.WindowEnd(window), 105*time.Second)
	a.Add("x", now)
	for range 3 {
		b.Add("x", now)
	}
	b.Add("y", now+5*time.Second)
	a.Merge("b", 1, b.Local(now+5*time.Second, 3))
	a.Merge("b", 1, b.Local(now+5*time.Second, 3)) // the same windows again, as in each exchange of states
	assert.DeepEqual(t, a.Sum(window), map[string]int64{"x": 4})
	assert.DeepEqual(t, a.Sum(window+1), map[string]int64{"y": 1})
	restarted := New(5 * time.Second) // b after a restart
	restarted.Add("x", now)
	a.Merge("b", 2, restarted.Local(now, 3))
	assert.DeepEqual(t, a.Sum(window), map[string]int64{"x": 5})
}

func TestOldWindowsAreDropped(t *testing.T) {
	c := New(time.Second)
	for i := range 100 {
		c.Add("x", time.Duration(i)*time.Second)
	}
	assert.Assert(t, len(c.localCounts) <= retainedWindows)
}

func TestAfterReturnsAllDaemons(t *testing.T) {
	now := 100 * time.Second
	c := New(5 * time.Second)
	n := c.WindowNumber(now)
	c.Add("x", now)
	c.Add("x", now-5*time.Second)
	c.Merge("b", 7, []Window{{n, map[string]int64{"y": 3}}, {n - 1, map[string]int64{"y": 2}}})
	c.Merge("d", 8, []Window{{n - 1, map[string]int64{"y": 2}}})
	assert.DeepEqual(t, c.After(n-1), []Tally{
		{Windows: []Window{{n, map[string]int64{"x": 1}}}},
		{Name: "b", Incarnation: 7, Windows: []Window{{n, map[string]int64{"y": 3}}}},
	})
	other := New(5 * time.Second)
	for _, t := range c.After(0) {
		other.Merge(t.Name, t.Incarnation, t.Windows)
	}
	assert.DeepEqual(t, other.Sum(n-1), c.Sum(n-1))
}

// TestIdlePeersAreDropped merges counts of 1000 incarnations of a daemon. Those without
// counts in retained windows must be dropped, or restarts would fill the memory.
func TestIdlePeersAreDropped(t *testing.T) {
	c := New(time.Second)
	for born := range int64(1000) {
		c.Merge("a", born, []Window{{born, map[string]int64{"x": 1}}})
	}
	assert.Assert(t, len(c.peerCounts) <= retainedWindows+1, "%d", len(c.peerCounts))
}

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

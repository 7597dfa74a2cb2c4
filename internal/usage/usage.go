// Package usage counts the requests of each customer in fixed time windows, over all
// daemons. A request is counted in the window in which it began to run.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// retainedWindows is the number of windows that are kept in memory: the report of a
// window is due two windows after its end, and may be delayed by an outage.
const retainedWindows = 16

// Window holds the counts of one daemon for one window.
type Window struct {
	Number int64            `json:"window"` // see Counter.WindowNumber
	Counts map[string]int64 `json:"counts"` // by customer
}

// Tally holds the counts of one incarnation of a daemon.
type Tally struct {
	Name        string   `json:"name"`
	Incarnation int64    `json:"born"`
	Windows     []Window `json:"windows"`
}

// Counter counts requests at this daemon and holds the counts received from the
// others. It is safe for concurrent use.
type Counter struct {
	windowLength time.Duration

	mu          sync.Mutex
	localCounts map[int64]map[string]int64          // by window number and customer
	peerCounts  map[peer]map[int64]map[string]int64 // by peer, window number and customer
}

// peer is one incarnation of another daemon.
type peer struct {
	name        string
	incarnation int64
}

// New returns an empty counter for windows of the given length.
func New(length time.Duration) *Counter {
	return &Counter{windowLength: length, localCounts: make(map[int64]map[string]int64), peerCounts: make(map[peer]map[int64]map[string]int64)}
}

// WindowNumber returns the number of the window that contains now, a time since 1970.
func (c *Counter) WindowNumber(now time.Duration) int64 { return int64(now / c.windowLength) }

// WindowEnd returns the end of a window as a time since 1970.
func (c *Counter) WindowEnd(number int64) time.Duration {
	return time.Duration(number+1) * c.windowLength
}

// Add counts one request of a customer that began to run now.
func (c *Counter) Add(customer string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.WindowNumber(now)
	w := c.localCounts[n]
	if w == nil {
		w = make(map[string]int64)
		c.localCounts[n] = w
		pruneWindows(c.localCounts, n)
	}
	w[customer]++
}

// pruneWindows deletes the windows that are no longer retained when newest is the newest one.
func pruneWindows[T any](windows map[int64]T, newest int64) {
	for n := range windows {
		if n <= newest-retainedWindows {
			delete(windows, n)
		}
	}
}

// Local returns this daemon's counts in the last limit windows, newest first. Windows
// without requests are left out.
func (c *Counter) Local(now time.Duration, limit int64) []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Window
	for n := c.WindowNumber(now); n > c.WindowNumber(now)-limit; n-- {
		if w := c.localCounts[n]; w != nil {
			list = append(list, Window{n, maps.Clone(w)})
		}
	}
	return list
}

// After returns the known counts of all daemons in the windows after number. Those of
// this daemon come first, with an empty name.
func (c *Counter) After(number int64) []Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []Tally{{Windows: windowsAfter(c.localCounts, number)}}
	for p, windows := range c.peerCounts {
		list = append(list, Tally{p.name, p.incarnation, windowsAfter(windows, number)})
	}
	list = slices.DeleteFunc(list, func(t Tally) bool { return len(t.Windows) == 0 })
	slices.SortFunc(list, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// Tallies returns the counts received from the named daemons in the last limit windows.
func (c *Counter) Tallies(names map[string]bool, now time.Duration, limit int64) []Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Tally
	for p, windows := range c.peerCounts {
		if !names[p.name] {
			continue
		}
		if w := windowsAfter(windows, c.WindowNumber(now)-limit); len(w) > 0 {
			list = append(list, Tally{p.name, p.incarnation, w})
		}
	}
	return list
}

// windowsAfter returns copies of the windows after number, oldest first.
func windowsAfter(windows map[int64]map[string]int64, number int64) []Window {
	var list []Window
	for n, counts := range windows {
		if n > number {
			list = append(list, Window{n, maps.Clone(counts)})
		}
	}
	slices.SortFunc(list, func(a, b Window) int { return cmp.Compare(a.Number, b.Number) })
	return list
}

// Merge adds the windows of one incarnation of another daemon to the known ones. Of
// two counts for the same customer and window the higher one stays, as counts only
// increase.
func (c *Counter) Merge(name string, incarnation int64, list []Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := peer{name, incarnation}
	windows := c.peerCounts[p]
	if windows == nil {
		c.dropIdlePeers(list)
		windows = make(map[int64]map[string]int64)
		c.peerCounts[p] = windows
	}
	for _, w := range list {
		counts := windows[w.Number]
		if counts == nil {
			counts = make(map[string]int64)
			windows[w.Number] = counts
			pruneWindows(windows, w.Number)
		}
		for customer, n := range w.Counts {
			counts[customer] = max(counts[customer], n)
		}
	}
}

// dropIdlePeers deletes daemons without counts in the windows that are retained when
// the newest window is that of list. The caller holds mu.
func (c *Counter) dropIdlePeers(list []Window) {
	newest := int64(0)
	for _, w := range list {
		newest = max(newest, w.Number)
	}
	for p, windows := range c.peerCounts {
		pruneWindows(windows, newest)
		if len(windows) == 0 {
			delete(c.peerCounts, p)
		}
	}
}

// Sum returns the known counts of a window by customer, added up over all daemons.
func (c *Counter) Sum(number int64) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]int64)
	for customer, n := range c.localCounts[number] {
		sum[customer] += n
	}
	for _, windows := range c.peerCounts {
		for customer, n := range windows[number] {
			sum[customer] += n
		}
	}
	return sum
}

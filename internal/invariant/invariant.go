// Package invariant reports broken invariants and recovered panics of a running
// daemon. An invariant rules out states in which the next step would break a guarantee
// to callers or to the platform. Code that detects such a state calls Broken and then
// takes a step that breaks no guarantee.
package invariant

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

var (
	strict      atomic.Bool
	brokenCount atomic.Int64
)

// EnableStrict makes Broken and Recover panic. It is meant for tests only: daemons that
// serve customers must not end on a broken invariant.
func EnableStrict() { strict.Store(true) }

// BrokenCount returns the number of broken invariants and recovered panics since the process
// started.
func BrokenCount() int64 { return brokenCount.Load() }

// Broken counts and logs that the invariant named rule is broken. The inputs are the
// values that were checked, as pairs of key and value. It is safe for concurrent use.
func Broken(log hclog.Logger, rule string, inputs ...any) {
	brokenCount.Add(1)
	log.Error("invariant broken", append([]any{"rule", rule}, inputs...)...)
	if strict.Load() {
		panic(fmt.Sprintf("invariant %s is broken: %v", rule, inputs))
	}
}

// Recover must be deferred directly by a task whose panic must not end the process: the
// panic ends only the task, and is counted and logged with its stack and the inputs,
// pairs of key and value. Calls that were deferred before this one must release the
// resources of the task.
func Recover(log hclog.Logger, task string, inputs ...any) {
	r := recover()
	if r == nil {
		return
	}
	brokenCount.Add(1)
	log.Error("task panicked", append([]any{"task", task, "panic", fmt.Sprint(r), "stack", string(debug.Stack())}, inputs...)...)
	if strict.Load() {
		panic(r)
	}
}

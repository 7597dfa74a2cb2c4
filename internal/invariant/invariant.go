// Package invariant reports what must never be seen in a running daemon: a state
// in which the next step would break a promise. Whoever finds one logs it here and
// then takes the step that breaks none.
package invariant

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

var (
	strict atomic.Bool
	count  atomic.Int64
)

// EnableStrict makes a broken invariant end the process. Tests call it; daemons that
// serve customers do not.
func EnableStrict() { strict.Store(true) }

// Count returns how many broken invariants were reported since the start.
func Count() int64 { return count.Load() }

// Broken logs the rule whose invariant is broken, with all inputs of the check as
// pairs of key and value. Any goroutine may call it.
func Broken(log hclog.Logger, rule string, inputs ...any) {
	count.Add(1)
	log.Error("invariant broken", append([]any{"rule", rule}, inputs...)...)
	if strict.Load() {
		panic(fmt.Sprintf("invariant of rule %s is broken: %v", rule, inputs))
	}
}

// Recover is deferred by a task that must not take the process down: a panic ends the
// task alone, is counted and logged with its stack. What the task held must be freed
// by calls that were deferred before.
func Recover(log hclog.Logger, task string, inputs ...any) {
	r := recover()
	if r == nil {
		return
	}
	count.Add(1)
	log.Error("task panicked", append([]any{"task", task, "panic", fmt.Sprint(r), "stack", string(debug.Stack())}, inputs...)...)
	if strict.Load() {
		panic(r)
	}
}

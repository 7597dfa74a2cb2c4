// Package boottime reads the boot clock, which also counts while the VM is suspended.
// Leases and the age of data are measured with it, since Go's monotonic clock stops during
// a suspension.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// replaced is set while a test runs on a virtual clock.
var replaced atomic.Pointer[func() time.Duration]

// Replace makes Now return the times of another clock until restore is called. It is meant
// for tests.
func Replace(clock func() time.Duration) (restore func()) {
	replaced.Store(&clock)
	return func() { replaced.Store(nil) }
}

// Now returns the time since the VM booted.
func Now() time.Duration {
	if clock := replaced.Load(); clock != nil {
		return (*clock)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return time.Duration(ts.Nano())
}

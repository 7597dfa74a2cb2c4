// Package boottime reads the boot clock, which also counts while the VM is suspended.
// Leases and the age of data are measured with it, since Go's monotonic clock stops during
// a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return time.Duration(ts.Nano())
}

// Package wallclock provides a time of day that all daemons share and that does not jump,
// on VMs whose own time of day may.
//
// The time is the store's monotonic clock, extrapolated with the local boot clock, plus
// the epoch of the store's clock. The daemons agree on the epoch once: the first holder
// of the fleet duty records the median of the epochs that the daemons computed from their
// own time of day at their start.
package wallclock

import (
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
)

// maxReadingAge is how long a reading of the store's clock is preferred to newer ones with
// a longer round trip, which are less exact.
const maxReadingAge = 20 * time.Second

// Clock is the time of day of one daemon. Its methods are safe for concurrent use.
type Clock struct {
	mu          sync.Mutex
	localOffset time.Duration // this VM's Unix time minus boot time, at New
	storeOffset time.Duration // store's clock minus boot time, at readAt
	roundTrip   time.Duration // of the reading of storeOffset
	readAt      time.Duration // boot time of the reading; 0 for none
	epoch       time.Duration // Unix time minus the store's clock, as the daemons agreed; valid if agreed is set
	agreed      bool          // SetEpoch was called with the epoch on which the daemons agreed
}

// New returns a Clock that starts from this VM's current time of day.
func New() *Clock {
	return &Clock{localOffset: time.Duration(time.Now().UnixNano()) - boottime.Now()}
}

// Observe records a reading of the store's clock; sent and received are the boot times of
// the request and the response.
func (c *Clock) Observe(store, sent, received time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	roundTrip := received - sent
	if c.readAt != 0 && roundTrip > c.roundTrip && received-c.readAt < maxReadingAge {
		return
	}
	c.storeOffset, c.roundTrip, c.readAt = store-(sent+roundTrip/2), roundTrip, received
}

// SetEpoch sets the epoch that the daemons have agreed on.
func (c *Clock) SetEpoch(epoch time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch, c.agreed = epoch, true
}

// Epoch returns the agreed epoch, or otherwise this daemon's proposal; ok is false if there
// is none because the store's clock was not read yet.
func (c *Clock) Epoch() (epoch time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agreed {
		return c.epoch, true
	}
	return c.localOffset - c.storeOffset, c.readAt != 0
}

// Now returns the Unix time. Until the epoch is agreed and the store's clock was read, it
// is this VM's time of day at New plus the boot time since then.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agreed && c.readAt != 0 {
		return boottime.Now() + c.storeOffset + c.epoch
	}
	return boottime.Now() + c.localOffset
}

// StoreNow returns the current time of the store's clock; ok is false if it was not read
// yet.
func (c *Clock) StoreNow() (now time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boottime.Now() + c.storeOffset, c.readAt != 0
}

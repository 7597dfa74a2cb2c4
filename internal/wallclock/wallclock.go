// Package wallclock tells the time of day on VMs whose own may jump.
//
// It reads the store's steady clock by way of the boot clock, and adds the epoch
// of that clock, on which the daemons agree once: the first holder of the fleet
// duty records the median of what they read at their start.
package wallclock

import (
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
)

// maxReadingAge is how long an exact reading of the store's clock is preferred to a
// newer one that took longer.
const maxReadingAge = 20 * time.Second

// Clock is the time of day of one daemon. Its methods may be called from any
// goroutine.
type Clock struct {
	mu          sync.Mutex
	localOffset time.Duration // unix time minus boot time when the process started
	storeOffset time.Duration // store's clock minus boot time
	roundTrip   time.Duration // by the reading of offset
	readAt      time.Duration // boot time of the reading; 0 before
	epoch       time.Duration // unix time minus the store's clock
	agreed      bool
}

// New returns a clock that trusts this VM's time of day at the moment.
func New() *Clock {
	return &Clock{localOffset: time.Duration(time.Now().UnixNano()) - boottime.Now()}
}

// Observe takes in a reading of the store's clock between two boot times.
func (c *Clock) Observe(store, sent, received time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	roundTrip := received - sent
	if c.readAt != 0 && roundTrip > c.roundTrip && received-c.readAt < maxReadingAge {
		return
	}
	c.storeOffset, c.roundTrip, c.readAt = store-(sent+roundTrip/2), roundTrip, received
}

// SetEpoch puts the recorded epoch into force.
func (c *Clock) SetEpoch(epoch time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch, c.agreed = epoch, true
}

// Epoch returns the agreed epoch, or what this daemon would propose; ok is false
// while the store's clock was not read.
func (c *Clock) Epoch() (epoch time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agreed {
		return c.epoch, true
	}
	return c.localOffset - c.storeOffset, c.readAt != 0
}

// Now returns the time since 1970.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agreed && c.readAt != 0 {
		return boottime.Now() + c.storeOffset + c.epoch
	}
	return boottime.Now() + c.localOffset
}

// StoreNow returns the store's clock; ok is false while it was not read.
func (c *Clock) StoreNow() (now time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boottime.Now() + c.storeOffset, c.readAt != 0
}

package engine

import (
	"time"

	"github.com/pkg/errors"
)

const maxOrders = 256 // remembered

// Kinds of order.
const (
	orderLoad   = "load"
	orderUnload = "unload"
	orderRole   = "role"
	orderStop   = "stop"
)

// errOldFence says that a newer holder has given an order already, or that the
// order has expired.
var errOldFence = errors.New("old fencing number or expired order")

// Order is one order to an engine.
type Order struct {
	Fence        int64  `json:"fence"`
	Order        string `json:"order"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
	ValidUntilMS int64  `json:"valid_until_ms,omitempty"` // Unix milliseconds
}

// orderBook holds the orders that were executed.
type orderBook struct {
	fence    int64 // highest seen
	executed []Order
	refused  int64
}

// execute carries out o. An engine that checks refuses old orders, any other
// executes whatever comes.
func (b *orderBook) execute(o Order, checks bool, now time.Time) error {
	switch o.Order {
	case orderLoad, orderUnload, orderRole, orderStop:
	default:
		return errors.Errorf("unknown order %q", o.Order)
	}
	expired := o.ValidUntilMS > 0 && now.UnixMilli() > o.ValidUntilMS
	if checks && (o.Fence < b.fence || expired) {
		b.refused++
		return errOldFence
	}
	b.fence = max(b.fence, o.Fence)
	if len(b.executed) < maxOrders {
		b.executed = append(b.executed, o)
	}
	return nil
}

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

// errStaleOrder says that a newer holder has given an order already, or that the
// order has expired.
var errStaleOrder = errors.New("old fencing number or expired order")

// Order is one order to an engine.
type Order struct {
	Fence        int64  `json:"fence"`
	Kind         string `json:"order"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
	ValidUntilMS int64  `json:"valid_until_ms,omitempty"` // Unix milliseconds
}

// orderLog holds the orders that were executed.
type orderLog struct {
	fence    int64 // highest seen
	executed []Order
	refused  int64
}

// execute carries out o. An engine that checks refuses old orders, any other
// executes whatever comes.
func (b *orderLog) execute(o Order, checkFence bool, now time.Time) error {
	switch o.Kind {
	case orderLoad, orderUnload, orderRole, orderStop:
	default:
		return errors.Errorf("unknown order %q", o.Kind)
	}
	expired := o.ValidUntilMS > 0 && now.UnixMilli() > o.ValidUntilMS
	if checkFence && (o.Fence < b.fence || expired) {
		b.refused++
		return errStaleOrder
	}
	b.fence = max(b.fence, o.Fence)
	if len(b.executed) < maxOrders {
		b.executed = append(b.executed, o)
	}
	return nil
}

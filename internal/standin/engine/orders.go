package engine

import (
	"time"

	"github.com/pkg/errors"
)

const maxOrders = 256 // executed orders kept for Stats; later ones are not recorded

// Kinds of order.
const (
	orderLoad   = "load"
	orderUnload = "unload"
	orderRole   = "role"
	orderStop   = "stop"
)

// errStaleOrder is returned for an expired order, or one with a lower fencing token than
// an earlier order: a newer holder of the fleet duty has sent orders already.
var errStaleOrder = errors.New("old fencing number or expired order")

// Order is an order of the fleet manager to an engine.
type Order struct {
	Fence        int64  `json:"fence"` // fencing token
	Kind         string `json:"order"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
	ValidUntilMS int64  `json:"valid_until_ms,omitempty"` // Unix milliseconds; 0 for no expiry
}

// orderLog records the executed orders and counts the refused ones.
type orderLog struct {
	fence    int64 // highest fencing token of an executed order
	executed []Order
	refused  int64
}

// execute records o as executed. With checkFence it refuses an expired order or one with
// an old fencing token.
func (l *orderLog) execute(o Order, checkFence bool, now time.Time) error {
	switch o.Kind {
	case orderLoad, orderUnload, orderRole, orderStop:
	default:
		return errors.Errorf("unknown order %q", o.Kind)
	}
	expired := o.ValidUntilMS > 0 && now.UnixMilli() > o.ValidUntilMS
	if checkFence && (o.Fence < l.fence || expired) {
		l.refused++
		return errStaleOrder
	}
	l.fence = max(l.fence, o.Fence)
	if len(l.executed) < maxOrders {
		l.executed = append(l.executed, o)
	}
	return nil
}

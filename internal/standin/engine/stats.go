package engine

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
)

// Stats holds the counters of an engine since New. A simulated restart does not reset
// them, except Orders and OrdersRefused.
type Stats struct {
	Name             string  `json:"name"`
	Epoch            int64   `json:"epoch"`
	Requests         int64   `json:"requests"`
	Finished         int64   `json:"finished"`
	Canceled         int64   `json:"canceled"`
	Refused          int64   `json:"refused"`
	GeneratedTokens  int64   `json:"generated_tokens"`
	PrefilledTokens  int64   `json:"prefilled_tokens"`
	CachedTokens     int64   `json:"cached_tokens"`     // context tokens found in the cache
	RecomputedTokens int64   `json:"recomputed_tokens"` // prefilled although this or another engine had computed them before
	Steps            int64   `json:"steps"`
	BusyMS           float64 `json:"busy_ms"`
	UpMS             int64   `json:"up_ms"`
	Cost             float64 `json:"cost"` // UpMS at PricePerHour
	Running          int     `json:"running"`
	Waiting          int     `json:"waiting"`
	Orders           []Order `json:"orders,omitempty"`
	OrdersRefused    int64   `json:"orders_refused"`
	faults.LeavingStats
}

// Stats returns the current counters. After the engine has stopped, only Name, Refused
// and LeavingStats are set.
func (e *Engine) Stats() Stats {
	var out Stats
	_ = e.do(func(c *core, now time.Time) {
		out = c.stats
		out.Epoch = c.epoch
		out.Running, out.Waiting = len(c.running), len(c.waiting)
		out.Orders = append([]Order(nil), c.orders.executed...)
		out.OrdersRefused = c.orders.refused
		up := now.Sub(e.started)
		out.UpMS = up.Milliseconds()
		out.Cost = up.Hours() * e.cfg.PricePerHour
	})
	out.Name = e.cfg.Name
	out.Refused = e.refused.Load()
	out.LeavingStats = e.faults.LeavingStats()
	return out
}

package engine

import (
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/routing"
)

const maxReports = 32 // load reports recorded per lag, not counting those of changes between idle and busy

// loadHistory keeps recent load reports, so that the engine can report its load with a
// lag. Its methods may be called from any goroutine.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	reports []routing.LoadReport
}

// record adds a report of c, unless the last one is younger than lag/maxReports and c
// is still idle or busy as in it.
func (h *loadHistory) record(c *core, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.reports)
	if n > 0 && now.Sub(h.reports[n-1].At) < h.lag/maxReports && c.idle() == isIdle(h.reports[n-1]) {
		return
	}
	r := routing.LoadReport{
		Upstream:      c.cfg.Name,
		At:            now,
		Incarnation:   c.epoch,
		Running:       len(c.running),
		Waiting:       len(c.waiting),
		WaitingTokens: c.waitingTokens(),
		KVUsed:        len(c.cache.blocks)*blockTokens + c.batchTokens(),
		KVCapacity:    c.cfg.CacheTokens,
	}
	if h.lag == 0 {
		h.reports = append(h.reports[:0], r)
		return
	}
	if n >= 2*maxReports {
		h.reports = append(h.reports[:0], h.reports[maxReports/2:]...)
	}
	h.reports = append(h.reports, r)
}

func isIdle(r routing.LoadReport) bool { return r.Running == 0 && r.Waiting == 0 }

// lagged returns the newest report that is at least lag old, dated lag before now. If
// there is none, it returns the oldest report, or an empty one dated now.
func (h *loadHistory) lagged(now time.Time) routing.LoadReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.reports) - 1; i >= 0; i-- {
		if r := h.reports[i]; !r.At.After(now.Add(-h.lag)) {
			r.At = now.Add(-h.lag)
			return r
		}
	}
	if len(h.reports) > 0 {
		return h.reports[0]
	}
	return routing.LoadReport{At: now}
}

// loadReport returns the response to PathLoad. Its load lags, its leaving state is
// current.
func (e *Engine) loadReport(now time.Time) routing.LoadReport {
	r := e.loads.lagged(now)
	r.Upstream = e.cfg.Name
	if at, ok := e.faults.Leaving(); ok {
		r.Leaving = true
		r.LeavingInMS = max(at.Sub(now).Milliseconds(), 0)
	}
	return r
}

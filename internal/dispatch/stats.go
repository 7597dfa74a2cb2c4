package dispatch

import "sync/atomic"

// counters holds the totals that Stats returns.
type counters struct {
	attempts, crossed, broken, resumed, hedged, stalled, denied, moved, imported atomic.Int64
}

// Stats holds totals since the Dispatcher was created.
type Stats struct {
	Attempts int64 `json:"attempts"`
	Crossed  int64 `json:"crossed"`         // responses of other requests or attempts, which were dropped
	Broken   int64 `json:"broken"`          // responses that were malformed, incomplete or another request's
	Resumed  int64 `json:"resumed"`         // attempts that continued a partial response
	Hedged   int64 `json:"hedged"`          // second, concurrent attempts of reads
	Stalled  int64 `json:"silent"`          // attempts of streams that timed out
	Denied   int64 `json:"denied"`          // calls that were given up after a failed attempt
	Moved    int64 `json:"moved"`           // streams moved off a leaving upstream
	Imported int64 `json:"imported_tokens"` // tokens whose KV cache was imported after a move instead of being computed again
}

// Stats returns the counters. It may be called from any goroutine.
func (d *Dispatcher) Stats() Stats {
	return Stats{
		Attempts: d.stats.attempts.Load(),
		Crossed:  d.stats.crossed.Load(),
		Broken:   d.stats.broken.Load(),
		Resumed:  d.stats.resumed.Load(),
		Hedged:   d.stats.hedged.Load(),
		Stalled:  d.stats.stalled.Load(),
		Denied:   d.stats.denied.Load(),
		Moved:    d.stats.moved.Load(),
		Imported: d.stats.imported.Load(),
	}
}

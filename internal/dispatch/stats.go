package dispatch

import "sync/atomic"

// counters counts since the daemon started.
type counters struct {
	attempts, crossed, resumed, hedged, stalled, denied, moved, imported atomic.Int64
}

// Stats counts what dispatch did since the daemon started.
type Stats struct {
	Attempts int64 `json:"attempts"`
	Crossed  int64 `json:"crossed"`         // answers of other requests or attempts, dropped
	Resumed  int64 `json:"resumed"`         // attempts that went on in the middle of an answer
	Hedged   int64 `json:"hedged"`          // second attempts of short reads
	Stalled  int64 `json:"silent"`          // attempts given up for lack of progress
	Denied   int64 `json:"denied"`          // calls that were given up with patience left
	Moved    int64 `json:"moved"`           // streams that left a leaving upstream in time
	Imported int64 `json:"imported_tokens"` // of them, tokens that need not be computed again
}

// Stats returns the counters. It may be called from any goroutine.
func (d *Dispatcher) Stats() Stats {
	return Stats{
		Attempts: d.stats.attempts.Load(),
		Crossed:  d.stats.crossed.Load(),
		Resumed:  d.stats.resumed.Load(),
		Hedged:   d.stats.hedged.Load(),
		Stalled:  d.stats.stalled.Load(),
		Denied:   d.stats.denied.Load(),
		Moved:    d.stats.moved.Load(),
		Imported: d.stats.imported.Load(),
	}
}

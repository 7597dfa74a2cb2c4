package daemon

import (
	"context"

	"github.com/lagoonmux/lagoonmux/internal/dispatch"
	"github.com/lagoonmux/lagoonmux/internal/members"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
	"github.com/lagoonmux/lagoonmux/internal/serve"
)

// LedgerStats holds the counters of the dispatcher and the table writer since the
// start, and the number of lots that this daemon owns.
type LedgerStats struct {
	Dispatch  dispatch.Stats `json:"dispatch"`
	Table     batch.Stats    `json:"table"`
	OwnedLots int            `json:"lots_held"` // at the time of the call
}

// LedgerStats returns the counters. Any goroutine may call it.
func (d *Daemon) LedgerStats() LedgerStats {
	return LedgerStats{Dispatch: d.dispatcher.Stats(), Table: d.writer.Stats(), OwnedLots: d.lots.OwnedCount()}
}

// newBackend creates the backend that runs calls and the recorder of calls that need
// a ledger record. When the daemon stops, lots are handed over and pending records
// are awaited.
func (d *Daemon) newBackend(dispatcher *dispatch.Dispatcher) *serve.Backend {
	d.dispatcher = dispatcher
	d.writer = batch.New(d.table, batch.Options{})
	recorder := serve.NewRecorder(d.settings.Name, d.table, d.objects, d.writer, dispatcher, d.log.Named("ledger"))
	d.lots = serve.NewLots(serve.LotsConfig{
		Daemon: d.settings.Name, Table: d.table, Objects: d.objects, Writer: d.writer,
		Admitter: d.admission, Dispatcher: dispatcher, Manifests: &d.manifests, Peers: d, Log: d.log.Named("lots"),
	})
	d.members.OnView(func(v *members.View) {
		n := len(limitMembers(v))
		d.writer.SetDaemons(n)
		d.lots.SetDaemons(n)
	})
	d.OnHandOver(serve.LotKind, d.lots.Receive)
	d.OnDrained(func(ctx context.Context) { d.lots.HandOver(ctx) })
	d.OnDrained(recorder.Close)
	return serve.New(d.admission, dispatcher, recorder, d.lots)
}

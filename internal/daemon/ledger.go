package daemon

import (
	"github.com/lagoonmux/lagoonmux/internal/dispatch"
	"github.com/lagoonmux/lagoonmux/internal/members"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
	"github.com/lagoonmux/lagoonmux/internal/serve"
)

// newBackend builds what runs calls, with the records that some need. Records
// under way are awaited when the daemon stops.
func (d *Daemon) newBackend(dispatcher *dispatch.Dispatcher) *serve.Backend {
	d.writer = batch.New(d.table, batch.Options{})
	d.members.OnView(func(v *members.View) { d.writer.SetDaemons(len(sharers(v))) })
	recorder := serve.NewRecorder(d.settings.Name, d.table, d.objects, d.writer, dispatcher, d.log.Named("ledger"))
	d.OnDrained(recorder.Close)
	return serve.New(d.admission, dispatcher, recorder)
}

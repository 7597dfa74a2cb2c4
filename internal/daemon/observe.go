package daemon

import (
	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/version"
)

// Report implements operator.Control. It also serves as an expvar.
func (d *Daemon) Report() obs.Report { return d.registry.Report() }

// Explain implements operator.Control.
func (d *Daemon) Explain(id string) (*obs.Record, bool) { return d.registry.Explain(id) }

// Status implements operator.Control.
func (d *Daemon) Status() operator.Status {
	s := operator.Status{
		Name:        d.settings.Name,
		Region:      d.settings.Region,
		Zone:        d.settings.Zone,
		Version:     version.Version,
		Ready:       d.ready() && d.manifests.Load() != nil,
		Draining:    d.draining.Load(),
		Connections: d.entry.Connections(),
		Unreadable:  d.entry.Refused(),
	}
	if a := d.manifests.Load(); a != nil {
		s.Generation = a.Generation
	}
	return s
}

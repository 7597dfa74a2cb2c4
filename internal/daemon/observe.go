package daemon

import (
	"github.com/lagoonmux/lagoonmux/internal/obs"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/version"
)

// Report implements operator.Daemon. It is also published as an expvar.
func (d *Daemon) Report() obs.Report { return d.registry.Report() }

// Explain implements operator.Daemon.
func (d *Daemon) Explain(id string) (*obs.Record, bool) { return d.registry.Explain(id) }

// Status implements operator.Daemon.
func (d *Daemon) Status() operator.Status {
	s := operator.Status{
		Name:          d.settings.Name,
		Region:        d.settings.Region,
		Zone:          d.settings.Zone,
		Version:       version.Version,
		State:         string(d.state()),
		Generation:    d.manifests.Generation(),
		ManifestError: d.syncer.MissingReason(),
		Ready:         d.ready(),
		Draining:      d.draining.Load(),
		Connections:   d.entry.Connections(),
		Unreadable:    d.entry.Rejected(),
	}
	v := d.members.View()
	for _, r := range v.Daemons {
		s.Daemons = append(s.Daemons, operator.DaemonStatus{
			Name: r.Name, Region: r.Region, Zone: r.Zone, Operator: r.Operator,
			State: r.State.String(), Generation: r.Generation, LagMS: r.LagMS,
		})
	}
	for _, r := range v.Upstreams {
		s.Upstreams = append(s.Upstreams, operator.UpstreamStatus{
			Name: r.Name, State: r.State.String(), Incarnation: r.Incarnation, DeadlineMS: r.DeadlineMS,
		})
	}
	return s
}

// Traffic returns the bytes of control messages sent and received since the start:
// calls between peers and load reports of upstreams.
func (d *Daemon) Traffic() (sent, received int64) {
	return d.traffic.Sent.Load(), d.traffic.Received.Load()
}

package daemon

import (
	"context"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/members"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
)

const manifestFetchTimeout = time.Second

// newSyncer creates the task that keeps the newest manifest in force.
func (d *Daemon) newSyncer() {
	d.syncer = manifest.NewSyncer(manifest.SyncerConfig{
		Name:        d.settings.Name,
		Store:       manifest.NewStore(d.table),
		Current:     &d.manifests,
		Fetch:       d.fetchManifest,
		OnInForce:   d.onManifest,
		DaemonCount: func() int { return len(d.members.View().Daemons) },
		Log:         d.log.Named("manifest"),
	})
	d.members.OnGeneration(d.syncer.NotifyGeneration)
}

func (d *Daemon) fetchManifest(ctx context.Context, address string) (manifest.Packed, error) {
	resp, err := d.peers.Manifest(ctx, address, manifestFetchTimeout)
	if err != nil {
		return manifest.Packed{}, err
	}
	return manifest.Packed{Generation: resp.Generation, AtMS: resp.AcceptedMs, Body: resp.Body}, nil
}

// packedManifest returns the manifest in force to a peer that requests it.
func (d *Daemon) packedManifest(context.Context) *peerpb.ManifestResponse {
	p := d.syncer.Packed()
	return &peerpb.ManifestResponse{Generation: p.Generation, AcceptedMs: p.AtMS, Body: p.Body}
}

// onManifest is called on the goroutine of the syncer after a manifest was put in
// force. lag is the time since it was accepted.
func (d *Daemon) onManifest(a *manifest.Active, lag time.Duration) {
	d.fire("manifest", "manifest", "")
	d.monitorUpstreams(a)
	d.updateRouter()
	d.members.SetSelf(func(r *members.Record) {
		r.Generation = a.Generation
		r.LagMS = lag.Milliseconds()
	})
}

// Apply implements operator.Daemon.
func (d *Daemon) Apply(ctx context.Context, file string, text []byte, base int64) (int64, error) {
	m, err := manifest.Parse(file, text)
	if err != nil {
		return 0, err
	}
	if base == operator.BaseInForce {
		base = d.manifests.Generation()
	}
	return d.syncer.Apply(ctx, base, m)
}

// Manifest implements operator.Daemon.
func (d *Daemon) Manifest() *manifest.Active { return d.manifests.Load() }

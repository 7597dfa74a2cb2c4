package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
)

const (
	listInterval           = 2 * time.Second // by a daemon of a small deployment
	daemonsPerListInterval = 20              // daemons beyond which the list is read more rarely
	noticeInterval         = 500 * time.Millisecond
)

// cloudPoller reads the list of VMs and the reclaim notices. It belongs to one
// goroutine.
type cloudPoller struct {
	d        *Daemon
	client   *cloud.Client
	ids      map[string]string // VM by the name of the daemon or upstream on it
	lastList time.Time

	listFailing, noticesFailing bool // at the last call
}

// runCloud seeds membership from the list of VMs and takes in reclaim notices
// until ctx ends. While the cloud API is down, it changes nothing.
func (d *Daemon) runCloud(ctx context.Context) error {
	if d.settings.Platform.Cloud == "" {
		return nil
	}
	p := &cloudPoller{d: d, client: cloud.New(d.settings.Platform.Cloud), ids: make(map[string]string)}
	defer p.client.Close()
	ticker := time.NewTicker(noticeInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if now.Sub(p.lastList) >= p.listDelay() {
			p.lastList = now
			p.logTransition("list", &p.listFailing, p.readList(ctx))
		}
		p.logTransition("notices", &p.noticesFailing, p.readNotices(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// listDelay keeps the reads of all daemons together flat.
func (p *cloudPoller) listDelay() time.Duration {
	return listInterval * time.Duration(max(1, len(p.d.members.View().Daemons)/daemonsPerListInterval))
}

// logTransition writes one line when a call of the cloud API begins to fail or succeeds
// again. failing tells whether it failed last time.
func (p *cloudPoller) logTransition(name string, failing *bool, err error) {
	switch {
	case err != nil && !*failing:
		p.d.log.Warn("cloud API call fails", "call", name, "error", err)
	case err == nil && *failing:
		p.d.log.Info("cloud API call succeeds again", "call", name)
	}
	*failing = err != nil
}

func (p *cloudPoller) readList(ctx context.Context) error {
	vms, err := p.client.VMs(ctx)
	if err != nil {
		return err
	}
	seeds := append([]string(nil), p.d.settings.Seeds...)
	ids := make(map[string]string, len(vms))
	for i := range vms {
		vm := &vms[i]
		ids[vm.Name] = vm.ID
		if vm.Role == cloud.RoleDaemon {
			seeds = append(seeds, vm.Address)
		}
		if vm.Leaving {
			p.onNotice(vm.Name, vm.DeadlineMS, "list of VMs")
		}
	}
	p.ids = ids
	p.d.setVMs(vms)
	p.d.members.Seed(seeds)
	return nil
}

// readNotices asks for the notices of the upstreams that this daemon watches,
// and of its own VM.
func (p *cloudPoller) readNotices(ctx context.Context) error {
	byID := make(map[string]string)
	var ids []string
	for _, name := range append(p.d.monitor.Mine(), p.d.settings.Name) {
		if id, ok := p.ids[name]; ok {
			byID[id] = name
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	notices, err := p.client.Notices(ctx, ids)
	if err != nil {
		return err
	}
	for _, n := range notices {
		p.onNotice(byID[n.VM], n.DeadlineMS, "notice")
	}
	return nil
}

// onNotice takes in the announced end of an upstream, or of this daemon's VM.
func (p *cloudPoller) onNotice(name string, deadlineMS int64, from string) {
	switch {
	case name == p.d.settings.Name:
		p.d.onReclaimNotice(time.UnixMilli(deadlineMS))
	case p.d.hasUpstream(name):
		p.d.members.Notice(name, deadlineMS, from)
	}
}

// hasUpstream tells whether the upstream is one of the manifest in force or of the
// fleet.
func (d *Daemon) hasUpstream(upstream string) bool {
	a := d.manifests.Load()
	if a == nil {
		return false
	}
	return slices.ContainsFunc(d.fleetUpstreams.withManifest(a), func(u *manifest.Upstream) bool { return u.Name == upstream })
}

// setVMs takes in a new list of VMs.
func (d *Daemon) setVMs(vms []cloud.VM) {
	a := d.manifests.Load()
	if a == nil {
		d.fleetUpstreams.setVMs(vms)
		return
	}
	before := len(d.fleetUpstreams.withManifest(a))
	d.fleetUpstreams.setVMs(vms)
	if a.Fleet != nil && (len(d.fleetUpstreams.withManifest(a)) != before || len(a.Fleet.Templates) > 0) {
		d.monitorUpstreams(a)
		d.updateRouter()
	}
}

// onReclaimNotice begins a planned stop that ends before the VM does.
func (d *Daemon) onReclaimNotice(deadline time.Time) {
	d.reclaimOnce.Do(func() {
		d.log.Info("own reclaim announced", "deadline", deadline)
		d.vmDeadline.Store(&deadline)
		close(d.reclaimNotice)
	})
}

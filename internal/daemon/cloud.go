package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
)

const (
	vmListInterval           = 2 * time.Second        // between reads of the list of VMs, with fewer than 2*daemonsPerVMListInterval daemons
	daemonsPerVMListInterval = 20                     // the time between reads grows by vmListInterval per this number of daemons
	noticePollInterval       = 500 * time.Millisecond // between polls for reclaim notices
)

// cloudPoller polls the cloud API for the list of VMs and for reclaim notices. It
// must only be used by one goroutine.
type cloudPoller struct {
	d          *Daemon
	client     *cloud.Client
	vmIDs      map[string]string // by the name of the daemon or upstream on the VM
	lastVMList time.Time

	vmListFailing, noticesFailing bool // whether the last call of the cloud API failed
}

// runCloud polls the cloud API until ctx ends: it passes the daemons in the list of
// VMs to membership as seeds and handles reclaim notices. While the cloud API fails,
// the last list stays in use.
func (d *Daemon) runCloud(ctx context.Context) error {
	if d.settings.Platform.Cloud == "" {
		return nil
	}
	p := &cloudPoller{d: d, client: cloud.New(d.settings.Platform.Cloud), vmIDs: make(map[string]string)}
	defer p.client.Close()
	ticker := time.NewTicker(noticePollInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if now.Sub(p.lastVMList) >= p.vmListDelay() {
			p.lastVMList = now
			p.logTransition("list", &p.vmListFailing, p.readVMList(ctx))
		}
		p.logTransition("notices", &p.noticesFailing, p.readNotices(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// vmListDelay returns the time between reads of the list. It grows with the number of
// daemons, so that the reads of all daemons together stay about constant.
func (p *cloudPoller) vmListDelay() time.Duration {
	return vmListInterval * time.Duration(max(1, len(p.d.members.View().Daemons)/daemonsPerVMListInterval))
}

// logTransition logs when a call of the cloud API fails after a success or succeeds
// after a failure. failing holds whether the previous call failed and is updated.
func (p *cloudPoller) logTransition(name string, failing *bool, err error) {
	switch {
	case err != nil && !*failing:
		p.d.log.Warn("cloud API call failed", "call", name, "error", err)
	case err == nil && *failing:
		p.d.log.Info("cloud API call succeeds again", "call", name)
	}
	*failing = err != nil
}

func (p *cloudPoller) readVMList(ctx context.Context) error {
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
	p.vmIDs = ids
	p.d.setVMs(vms)
	p.d.members.SetSeeds(seeds)
	return nil
}

// readNotices reads and handles the reclaim notices of the upstreams that this
// daemon monitors and of its own VM.
func (p *cloudPoller) readNotices(ctx context.Context) error {
	byID := make(map[string]string)
	var ids []string
	for _, name := range append(p.d.monitor.Assigned(), p.d.settings.Name) {
		if id, ok := p.vmIDs[name]; ok {
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

// onNotice handles the announced reclaim of the VM of an upstream or of this daemon.
func (p *cloudPoller) onNotice(name string, deadlineMS int64, from string) {
	switch {
	case name == p.d.settings.Name:
		p.d.onReclaimNotice(time.UnixMilli(deadlineMS))
	case p.d.hasUpstream(name):
		p.d.members.NotifyLeaving(name, deadlineMS, from)
	}
}

// hasUpstream reports whether the upstream is declared in the manifest in force or
// was started by the fleet duty.
func (d *Daemon) hasUpstream(upstream string) bool {
	a := d.manifests.Load()
	if a == nil {
		return false
	}
	return slices.ContainsFunc(d.upstreams.all(a), func(u *manifest.Upstream) bool { return u.Name == upstream })
}

// setVMs stores a new list of VMs and updates the monitor and the router if the
// upstreams may have changed.
func (d *Daemon) setVMs(vms []cloud.VM) {
	a := d.manifests.Load()
	if a == nil {
		d.upstreams.setVMs(vms)
		return
	}
	before := len(d.upstreams.all(a))
	d.upstreams.setVMs(vms)
	if a.Fleet != nil && (len(d.upstreams.all(a)) != before || len(a.Fleet.Templates) > 0) {
		d.monitorUpstreams(a)
		d.updateRouter()
	}
}

// onReclaimNotice starts the stop of this daemon, to be complete before the VM ends
// at deadline.
func (d *Daemon) onReclaimNotice(deadline time.Time) {
	d.reclaimOnce.Do(func() {
		d.log.Info("reclaim of this VM announced", "deadline", deadline)
		d.vmDeadline.Store(&deadline)
		close(d.reclaimNotice)
	})
}

package daemon

import (
	"sync/atomic"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

// pickerSet holds the picker of each service. It is rebuilt when the manifest
// changes and read without locks.
type pickerSet struct {
	set atomic.Pointer[map[string]routing.Picker]
}

// Picker implements dispatch.Pickers.
func (p *pickerSet) Picker(service string) routing.Picker {
	set := p.set.Load()
	if set == nil {
		return nil
	}
	return (*set)[service]
}

func (p *pickerSet) rebuild(a *manifest.Active) {
	set := make(map[string]routing.Picker, len(a.Services))
	for i := range a.Services {
		name := a.Services[i].Name
		set[name] = routing.NewRoundRobin(upstreamsOf(a, name))
	}
	p.set.Store(&set)
}

func upstreamsOf(a *manifest.Active, service string) []*manifest.Upstream {
	var list []*manifest.Upstream
	for i := range a.Upstreams {
		if a.Upstreams[i].Service == service {
			list = append(list, &a.Upstreams[i])
		}
	}
	return list
}

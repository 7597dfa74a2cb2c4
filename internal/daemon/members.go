package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/limits"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/members"
	"github.com/lagoonmux/lagoonmux/internal/peer"
	"github.com/lagoonmux/lagoonmux/internal/peer/peerpb"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

const (
	handOverTimeout = 5 * time.Second
	leaveGossipTime = 150 * time.Millisecond // for the last state to reach a few peers
)

// HandOverHandler takes over accepted work from another daemon. It returns
// false, and has no effect, if it does not take it. Many goroutines call it.
type HandOverHandler func(ctx context.Context, from string, body []byte) bool

// OnHandOver names the receiver of work of a kind. It must be called before Run.
func (d *Daemon) OnHandOver(kind string, f HandOverHandler) { d.handOverHandlers[kind] = f }

// newMembers builds the membership task.
func (d *Daemon) newMembers() error {
	if d.settings.TLS != nil {
		config, err := d.settings.TLS.Config()
		if err != nil {
			return err
		}
		d.tls = config
	}
	d.peers = peer.NewClient(d.tls, &d.traffic)
	self := members.Record{
		Key:         members.Key{Kind: members.Daemon, Name: d.settings.Name},
		Incarnation: time.Now().UnixMilli(),
		Region:      d.settings.Region,
		Zone:        d.settings.Zone,
		Address:     d.settings.PeerAddress,
		Operator:    d.settings.OperatorAddress,
	}
	group := members.NewGroup(members.DefaultConfig(), self, rand.Uint64())
	d.members = members.NewTask(group, d.peers, d.log.Named("members"))
	d.members.OnView(func(v *members.View) {
		d.updateRouter()
		d.SetLimitMembers(limitMembers(v))
	})
	return nil
}

// limitMembers lists the daemons that share the customers' limits. A silent daemon
// keeps its part as long as it is remembered, since it may be on the other side
// of a partition and use it.
func limitMembers(v *members.View) []limits.Member {
	var out []limits.Member
	for _, r := range v.Daemons {
		if r.State != members.Left {
			out = append(out, limits.Member{Name: r.Name})
		}
	}
	return out
}

// runMembers answers peers and exchanges with them until ctx ends.
func (d *Daemon) runMembers(ctx context.Context) error {
	l, err := net.Listen("tcp", d.settings.PeerAddress)
	if err != nil {
		return errors.Wrapf(err, "listen for peers at %s", d.settings.PeerAddress)
	}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return peer.Serve(gctx, l, d.tls, &d.traffic, peer.Handlers{
			Exchange:        d.members.Exchange,
			ReachesDaemon:   d.members.Confirm,
			ReachesUpstream: d.monitor.Reaches,
			Manifest:        d.packedManifest,
			HandOver:        d.receiveHandOver,
		})
	})
	g.Go(func() error { return d.members.Run(gctx) })
	g.Go(func() error { return d.monitor.Run(gctx) })
	g.Go(func() error { return d.runCloud(gctx) })
	g.Go(func() error { return d.runFleet(gctx) })
	d.members.Seed(d.settings.Seeds)
	return g.Wait()
}

func (d *Daemon) receiveHandOver(ctx context.Context, from, kind string, body []byte) bool {
	f := d.handOverHandlers[kind]
	return f != nil && !d.draining.Load() && f(ctx, from, body)
}

// HandOver gives accepted work of a kind to a live daemon of the region, which
// it names. After an error with a named daemon, that one may have taken it.
func (d *Daemon) HandOver(ctx context.Context, kind string, body []byte) (string, error) {
	for _, r := range d.successors() {
		accepted, err := d.peers.HandOver(ctx, r.Address, handOverTimeout, &peerpb.HandOverRequest{From: d.settings.Name, Kind: kind, Body: body})
		if err != nil {
			return r.Name, err
		}
		if accepted {
			return r.Name, nil
		}
	}
	return "", errors.Errorf("hand over %s: no daemon takes it", kind)
}

// successors lists the live daemons of the region in random order.
func (d *Daemon) successors() []*members.Record {
	var out []*members.Record
	for _, r := range d.members.View().Daemons {
		if r.Name != d.settings.Name && r.Region == d.settings.Region && r.State == members.Live {
			out = append(out, r)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// updateRouter gives the router the upstreams of the manifest in force with their
// states. Any goroutine may call it.
func (d *Daemon) updateRouter() {
	d.refreshLock.Lock()
	defer d.refreshLock.Unlock()
	if a := d.manifests.Load(); a != nil {
		d.router.Update(a, upstreamStates(d.fleetUpstreams.withManifest(a), d.members.View()))
	}
}

// upstreamStates joins the upstreams with what membership knows of
// them. One that nothing is known of counts as live.
func upstreamStates(upstreams []*manifest.Upstream, v *members.View) []routing.Member {
	states := make(map[string]members.State, len(v.Upstreams))
	for _, r := range v.Upstreams {
		states[r.Name] = r.State
	}
	out := make([]routing.Member, len(upstreams))
	for i, u := range upstreams {
		out[i] = routing.Member{Upstream: u, State: routingState(states[u.Name])}
	}
	return out
}

func routingState(s members.State) routing.State {
	switch s {
	case members.Live:
		return routing.Live
	case members.Suspect:
		return routing.Suspect
	case members.Leaving:
		return routing.Leaving
	default:
		return routing.Dead
	}
}

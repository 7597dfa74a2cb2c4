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
	leaveGossipTime = 150 * time.Millisecond // time for the state "left" to reach a few peers by gossip
)

// HandOverHandler takes over accepted work from another daemon and reports whether
// it did; if not, it must have no effect. It is called concurrently.
type HandOverHandler func(ctx context.Context, from string, body []byte) bool

// OnHandOver sets the handler of work of the given kind. It must be called before
// Run.
func (d *Daemon) OnHandOver(kind string, f HandOverHandler) { d.handOverHandlers[kind] = f }

// newMembers creates the membership task and the client for calls to peers.
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
	d.members = members.NewGossiper(group, d.peers, d.log.Named("members"))
	d.members.OnView(func(v *members.View) {
		d.updateRouter()
		d.SetLimitMembers(limitMembers(v))
	})
	return nil
}

// limitMembers returns the daemons that share the customers' limits: all that
// membership lists, except those that left. An unreachable daemon keeps its share of
// the limits as long as it is listed, since it may be on the other side of a network
// partition and still admit requests.
func limitMembers(v *members.View) []limits.Member {
	var out []limits.Member
	for _, r := range v.Daemons {
		if r.State != members.Left {
			out = append(out, limits.Member{Name: r.Name})
		}
	}
	return out
}

// runMembers serves calls of peers and runs the tasks of membership, upstream
// monitoring, cloud polling and the fleet duty until ctx ends.
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
	d.members.SetSeeds(d.settings.Seeds)
	return g.Wait()
}

func (d *Daemon) receiveHandOver(ctx context.Context, from, kind string, body []byte) bool {
	f := d.handOverHandlers[kind]
	return f != nil && !d.draining.Load() && f(ctx, from, body)
}

// HandOver offers accepted work of the given kind to the live daemons of the region
// in turn and returns the name of the one that accepted it. If it returns an error
// and a name, the named daemon may have accepted the work.
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
	return "", errors.Errorf("hand over %s: no daemon accepted it", kind)
}

// successors returns the other live daemons of the region in random order.
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

// updateRouter passes the manifest in force and the states of the upstreams to the
// router. Any goroutine may call it.
func (d *Daemon) updateRouter() {
	d.routerLock.Lock()
	defer d.routerLock.Unlock()
	if a := d.manifests.Load(); a != nil {
		d.router.Update(a, upstreamStates(d.upstreams.all(a), d.members.View()))
	}
}

// upstreamStates returns the upstreams with their membership states. An upstream
// without a membership record counts as live.
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

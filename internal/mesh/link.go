package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/netopt"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// planEvery is the time between decisions on whom to call.
	planEvery = 250 * time.Millisecond
	// knownEvery is the time between two calls to a daemon that ask for the addresses
	// of all others; hubs tell many and are asked less often.
	knownEvery     = 5 * time.Second
	knownEveryMany = 30 * time.Second
	// slowAfter failures in a row a daemon is called every slowInterval only.
	slowAfter    = 20
	slowInterval = time.Second
)

// dial connects to a daemon.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return netopt.Dial(ctx, address, dialTimeout, silence)
}

// connect returns a connection for calls to a daemon.
func connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: bounds()}), nil
}

// supervise keeps a task for every address that is to be called, until ctx ends.
func (m *Mesh) supervise(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		wanted := make(map[string]bool)
		for _, address := range m.plan(boottime.Now()) {
			wanted[address] = true
			if running[address] == nil {
				linkCtx, cancel := context.WithCancel(ctx)
				running[address] = cancel
				go (&link{mesh: m, address: address}).run(linkCtx)
			}
		}
		for address, cancel := range running {
			if !wanted[address] {
				cancel()
				delete(running, address)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// link calls the daemon at one address. It belongs to one task.
type link struct {
	mesh    *Mesh
	address string
	conn    *drpcconn.Conn // nil while there is none
	peer    string         // name of the daemon, once known
	failed  int            // calls in a row
	askedAt time.Duration  // boot time at which it was asked for all others; 0 for never
}

// run calls the daemon until ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.hangUp()
	for ctx.Err() == nil {
		if err := l.exchange(ctx); err != nil && ctx.Err() == nil {
			l.hangUp()
			l.failed++
			l.mesh.failedCall(l.address, err, boottime.Now())
		} else {
			l.failed = 0
		}
		wait := l.mesh.Interval()
		if l.failed > slowAfter {
			wait = max(wait, slowInterval)
		}
		wait += rand.N(wait / 5) // so that daemons do not call in step
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (l *link) hangUp() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// request returns what the daemon is told.
func (l *link) request(now time.Duration) *meshpb.State {
	audience, every := Peers, knownEvery
	switch l.mesh.Role() {
	case Member:
		audience, every = ItsHub, knownEveryMany
	case Hub:
		every = knownEveryMany
	}
	s := l.mesh.state(l.peer, audience, l.askedAt == 0, now)
	s.WantsKnown = l.askedAt == 0 || now-l.askedAt >= every
	return s
}

// exchange tells the daemon this one's state, takes in the answer and reads the
// tables that the daemon knows better.
func (l *link) exchange(ctx context.Context) error {
	if l.conn == nil {
		conn, err := connect(ctx, l.address)
		if err != nil {
			return err
		}
		l.conn = conn
	}
	client := meshpb.NewDRPCMeshClient(l.conn)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := boottime.Now()
	req := l.request(now)
	s, err := client.Exchange(ctx, req)
	if err != nil {
		return errors.Wrapf(err, "exchange with %s", l.address)
	}
	if s.Self != nil {
		l.peer = s.Self.Name
	}
	if req.WantsKnown {
		l.askedAt = now
	}
	l.mesh.take(s, boottime.Now())
	for _, t := range s.Tables {
		if err := l.catchUp(ctx, client, t); err != nil {
			return err
		}
	}
	return nil
}

// catchUp reads what has changed in a table of which the daemon knows more.
func (l *link) catchUp(ctx context.Context, client meshpb.DRPCMeshClient, t *meshpb.Table) error {
	v := l.mesh.Views[t.Name]
	if v == nil || t.Changed <= v.Version() {
		return nil
	}
	out, err := client.Rows(ctx, &meshpb.TableRequest{Name: t.Name, Since: v.Version()})
	if err != nil {
		return errors.Wrapf(err, "read table %s of %s", t.Name, l.address)
	}
	rows := make([]views.Row, len(out.Rows))
	for i, r := range out.Rows {
		rows[i] = views.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
	}
	v.Merge(rows, out.Changed, out.Whole, l.peer)
	return nil
}

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
	// planInterval is the time between decisions on whom to call.
	planInterval = 250 * time.Millisecond
	// listInterval is the time between two calls to a daemon that ask for the addresses
	// of all others; hubs tell many and are asked less often.
	listInterval    = 5 * time.Second
	hubListInterval = 30 * time.Second
	// slowAfterFailures failures in a row a daemon is called every slowInterval only.
	slowAfterFailures = 20
	slowInterval      = time.Second
)

// dial connects to a daemon.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return netopt.Dial(ctx, address, dialTimeout, ackTimeout)
}

// connect returns a connection for calls to a daemon.
func connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: drpcOptions()}), nil
}

// manageLinks keeps a task for every address that is to be called, until ctx ends.
func (m *Mesh) manageLinks(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	ticker := time.NewTicker(planInterval)
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
		case <-m.replan:
		}
	}
}

// link calls the daemon at one address. It belongs to one task.
type link struct {
	mesh     *Mesh
	address  string
	conn     *drpcconn.Conn // nil while there is none
	peer     string         // name of the daemon, once known
	failures int            // calls in a row
	listedAt time.Duration  // boot time at which it was asked for all others; 0 for never
}

// run calls the daemon until ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.closeConn()
	for ctx.Err() == nil {
		if err := l.exchange(ctx); err != nil && ctx.Err() == nil {
			l.closeConn()
			l.failures++
			l.mesh.recordFailure(l.address, err, boottime.Now())
		} else {
			l.failures = 0
		}
		wait := l.mesh.Interval()
		if l.failures > slowAfterFailures {
			wait = max(wait, slowInterval)
		}
		wait += rand.N(wait / 5) // so that daemons do not call in step
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (l *link) closeConn() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// newRequest returns what the daemon is told.
func (l *link) newRequest(now time.Duration) *meshpb.State {
	audience, every := ToPeer, listInterval
	switch l.mesh.Role() {
	case Member:
		audience, every = ToHub, hubListInterval
	case Hub:
		every = hubListInterval
	}
	s := l.mesh.newState(l.peer, audience, l.listedAt == 0, now)
	s.WantsKnown = l.listedAt == 0 || now-l.listedAt >= every
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
	req := l.newRequest(now)
	s, err := client.Exchange(ctx, req)
	if err != nil {
		return errors.Wrapf(err, "exchange with %s", l.address)
	}
	if s.Self != nil {
		l.peer = s.Self.Name
	}
	if req.WantsKnown {
		l.listedAt = now
	}
	l.mesh.receive(s, boottime.Now())
	for _, t := range s.Tables {
		if err := l.syncTable(ctx, client, t); err != nil {
			return err
		}
	}
	return nil
}

// syncTable reads what has changed in a table of which the daemon knows more.
func (l *link) syncTable(ctx context.Context, client meshpb.DRPCMeshClient, t *meshpb.Table) error {
	v := l.mesh.Views[t.Name]
	if v == nil || t.Changed <= v.Known() {
		return nil
	}
	out, err := client.Rows(ctx, &meshpb.TableRequest{Name: t.Name, Since: v.Known()})
	if err != nil {
		return errors.Wrapf(err, "read table %s of %s", t.Name, l.address)
	}
	rows := make([]views.Row, len(out.Rows))
	for i, r := range out.Rows {
		rows[i] = views.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
	}
	v.Offer(rows, out.Changed, out.Whole, l.peer)
	return nil
}

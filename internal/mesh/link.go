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
)

const (
	// planInterval is the time between updates of the set of daemons to call.
	planInterval = 250 * time.Millisecond
	// listInterval is the time between two requests to the same daemon for the addresses
	// of all daemons. Hubs and members use hubListInterval: a hub gets such requests from
	// many daemons.
	listInterval    = 5 * time.Second
	hubListInterval = 30 * time.Second
	// slowAfterFailures is the number of failed calls in a row after which a daemon is
	// called only once per slowInterval.
	slowAfterFailures = 20
	slowInterval      = time.Second
	// A call that fails within quickFailure has found the daemon's process gone. The next one
	// follows after confirmInterval, so that another hub takes over soon.
	quickFailure    = 100 * time.Millisecond
	confirmInterval = 50 * time.Millisecond
)

// dialTCP opens a TCP connection to a daemon.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return netopt.Dial(ctx, address, dialTimeout, ackTimeout)
}

// listenTCP listens for TCP connections of daemons.
func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	return netopt.Listen(ctx, address, ackTimeout)
}

// connect opens a DRPC connection to a daemon.
func (m *Mesh) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	nc, err := m.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: drpcOptions()}), nil
}

// manageLinks runs one link for each address to call, until ctx ends.
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
				l := &link{mesh: m, address: address, tables: newTableReader(m, address)}
				go l.run(linkCtx)
				go l.tables.run(linkCtx)
			}
		}
		m.checkTables(boottime.Now())
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

// link periodically calls the daemon at one address. Only one goroutine may use it.
type link struct {
	mesh     *Mesh
	address  string
	conn     *drpcconn.Conn // nil while disconnected
	peer     string         // name of the daemon; empty until its first response
	failures int            // calls in a row
	tables   *tableReader
	listedAt time.Duration // boot time of the last request for the daemon's list of known daemons; 0 for never
}

// run calls the daemon until ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.closeConn()
	for ctx.Err() == nil {
		began := boottime.Now()
		wait := l.mesh.Interval()
		if err := l.exchange(ctx); err != nil && ctx.Err() == nil {
			l.closeConn()
			l.failures++
			l.mesh.recordFailure(l.address, err, boottime.Now())
			wait = l.retryDelay(boottime.Now()-began, wait)
		} else {
			l.failures = 0
		}
		wait += rand.N(wait / 5) // jitter keeps daemons from calling at the same moment
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// retryDelay returns the time until the next call after one that failed and took some time.
func (l *link) retryDelay(took, interval time.Duration) time.Duration {
	switch {
	case l.failures < downAfterFailures && took < quickFailure:
		return confirmInterval
	case l.failures > slowAfterFailures:
		return max(interval, slowInterval)
	}
	return interval
}

func (l *link) closeConn() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// newRequest returns the State to send to the daemon.
func (l *link) newRequest(now time.Duration) *meshpb.State {
	to, interval := ToNonMember, listInterval
	switch l.mesh.Role() {
	case Member:
		to, interval = ToHub, hubListInterval
	case Hub:
		interval = hubListInterval
	}
	s := l.mesh.newState(l.peer, to, l.listedAt == 0, now)
	s.WantsKnown = l.listedAt == 0 || now-l.listedAt >= interval
	return s
}

// exchange sends this daemon's State and processes the State in the response.
func (l *link) exchange(ctx context.Context) error {
	if l.conn == nil {
		conn, err := l.mesh.connect(ctx, l.address)
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
	l.tables.setOffer(offer{l.peer, s.Tables})
	return nil
}

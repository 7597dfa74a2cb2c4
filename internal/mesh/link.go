package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// link calls the daemon at one address. It belongs to one task.
type link struct {
	mesh    *Mesh
	address string
	conn    *drpcconn.Conn // nil while there is none
	peer    string         // name of the daemon, once known
	failed  int            // calls in a row
}

// run calls the daemon until ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.hangUp()
	for ctx.Err() == nil {
		if err := l.exchange(ctx); err != nil {
			l.fail(err)
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

func (l *link) fail(err error) {
	l.hangUp()
	if l.failed++; l.failed == 3 {
		l.mesh.Log.Warn("daemon lost", "peer", l.peer, "address", l.address, "error", err)
	}
}

func (l *link) hangUp() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// exchange tells the daemon this one's state, takes in the answer and reads the
// tables that the daemon knows better.
func (l *link) exchange(ctx context.Context) error {
	if l.conn == nil {
		nc, err := dial(ctx, l.address)
		if err != nil {
			return errors.Wrapf(err, "dial %s", l.address)
		}
		l.conn = drpcconn.New(nc)
	}
	client := meshpb.NewDRPCMeshClient(l.conn)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := client.Exchange(ctx, l.mesh.state(l.peer))
	if err != nil {
		return errors.Wrapf(err, "exchange with %s", l.address)
	}
	if s.Self != nil {
		l.peer = s.Self.Name
	}
	l.mesh.take(s)
	for _, t := range s.Tables {
		if err := l.catchUp(ctx, client, t); err != nil {
			return err
		}
	}
	return nil
}

// catchUp reads a table of which the daemon knows a newer change.
func (l *link) catchUp(ctx context.Context, client meshpb.DRPCMeshClient, t *meshpb.Table) error {
	v := l.mesh.Views[t.Name]
	if v == nil || t.Changed <= v.Known() {
		return nil
	}
	out, err := client.Rows(ctx, &meshpb.TableRequest{Name: t.Name})
	if err != nil {
		return errors.Wrapf(err, "read table %s of %s", t.Name, l.address)
	}
	rows := make([]views.Row, len(out.Rows))
	for i, r := range out.Rows {
		rows[i] = views.Row{Key: r.Key, Value: r.Value, Version: r.Version}
	}
	v.Offer(rows, out.Changed, l.peer)
	return nil
}

package mesh

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// readTimeout bounds the read of a piece, or of all rows from a daemon whose build sends
	// no pieces.
	readTimeout = 2 * time.Second
	// claimTTL is how long a read without progress keeps others from reading the same table
	// from another daemon.
	claimTTL = 500 * time.Millisecond
	// maxContentBytes bounds the pieces of one table together.
	maxContentBytes = 16 << 20
)

// offer is what a daemon told of its tables.
type offer struct {
	peer   string // its name
	tables []*meshpb.Table
}

// tableReader reads tables from the daemon of a link, on a connection of its own, so that
// other messages do not wait for a large table. It reads in pieces, of each table in turn, so
// that small tables do not wait for it either.
type tableReader struct {
	mesh    *Mesh
	address string
	offers  chan offer     // the newest; holds one
	conn    *drpcconn.Conn // nil while disconnected
}

// partialRead holds the pieces of a table that have arrived.
type partialRead struct {
	content    uint64 // see meshpb.Piece
	since      int64  // version after which the changes are read
	data       []byte
	reader     *tableReader  // that read the last piece
	progressAt time.Duration // boot time of it
}

func newTableReader(m *Mesh, address string) *tableReader {
	return &tableReader{mesh: m, address: address, offers: make(chan offer, 1)}
}

// setOffer replaces the newest offer.
func (r *tableReader) setOffer(o offer) {
	select {
	case <-r.offers:
	default:
	}
	r.offers <- o
}

// run reads what is offered until ctx ends.
func (r *tableReader) run(ctx context.Context) {
	defer r.closeConn()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-r.offers:
			r.read(ctx, o)
		}
	}
}

// read reads the tables of an offer, and of newer ones that come meanwhile, until this daemon
// has them all or a read fails.
func (r *tableReader) read(ctx context.Context, o offer) {
	for more := true; more; {
		more = false
		for _, t := range o.tables {
			began := boottime.Now()
			unfinished, err := r.readPiece(ctx, o.peer, t)
			if err != nil {
				r.closeConn()
				if ctx.Err() == nil {
					r.mesh.recordFailedRead(t.Name, o.peer, r.mesh.toldVersion(t), boottime.Now()-began, err)
				}
				return
			}
			more = more || unfinished
		}
		select {
		case o = <-r.offers:
			more = true
		default:
		}
	}
}

func (r *tableReader) closeConn() {
	if r.conn != nil {
		_ = r.conn.Close()
		r.conn = nil
	}
}

// readPiece reads the next piece of a table, or all of a small one, if the offered version is
// newer than this daemon's. It reports whether more pieces follow.
func (r *tableReader) readPiece(ctx context.Context, peer string, t *meshpb.Table) (more bool, err error) {
	v := r.mesh.Views[t.Name]
	if v == nil || r.mesh.toldVersion(t) <= v.Version() {
		return false, nil
	}
	p, ok := r.mesh.claimRead(t.Name, r, v.Version(), boottime.Now())
	if !ok {
		return false, nil
	}
	out, err := r.call(ctx, t.Name, p)
	if err != nil {
		return false, err
	}
	if out.Piece == nil {
		r.mesh.finishRead(t.Name)
		mergeRows(v, out, peer)
		return false, nil
	}
	rows, err := r.mesh.addPiece(t.Name, r, out.Piece, boottime.Now())
	if err != nil {
		return false, errors.Wrapf(err, "read table %s from %s", t.Name, r.address)
	}
	if rows != nil {
		mergeRows(v, rows, peer)
	}
	return rows == nil, nil
}

// call asks for the next piece of a table.
func (r *tableReader) call(ctx context.Context, table string, p partialRead) (*meshpb.TableRows, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if r.conn == nil {
		conn, err := r.mesh.connect(ctx, r.address)
		if err != nil {
			return nil, err
		}
		r.conn = conn
	}
	era, number := views.SplitVersion(p.since)
	req := &meshpb.TableRequest{Name: table, Since: number, Era: era, MaxBytes: maxPiece, Content: p.content, Offset: uint32(len(p.data))}
	out, err := meshpb.NewDRPCMeshClient(r.conn).Rows(ctx, req)
	return out, errors.Wrapf(err, "read table %s from %s", table, r.address)
}

// mergeRows merges rows that a daemon sent into a view.
func mergeRows(v *views.View, out *meshpb.TableRows, peer string) {
	assumed := v.AssumedEra()
	rows := make([]views.Row, len(out.Rows))
	for i, r := range out.Rows {
		rows[i] = views.Row{Key: r.Key, Value: r.Value, Version: views.MakeVersion(cmp.Or(r.Era, assumed), r.Version), Removed: r.Removed}
	}
	v.Merge(rows, views.MakeVersion(cmp.Or(out.Era, assumed), out.Changed), out.Whole, peer)
}

// claimRead returns what was read of a table so far, to be continued by a reader. It returns
// false while another reader makes progress with it.
func (m *Mesh) claimRead(table string, r *tableReader, version int64, now time.Duration) (partialRead, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.partials[table]
	switch {
	case p == nil || p.since < version: // what was read so far is known from elsewhere
		p = &partialRead{since: version}
		m.partials[table] = p
	case p.reader != r && now-p.progressAt < claimTTL:
		return partialRead{}, false
	}
	p.reader = r
	if p.progressAt == 0 {
		p.progressAt = now
	}
	return *p, true
}

// finishRead forgets what was read of a table in pieces.
func (m *Mesh) finishRead(table string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.partials, table)
}

// addPiece adds a piece of a table that a reader has read, and returns the rows once all
// pieces are there. A piece of other content begins anew.
func (m *Mesh) addPiece(table string, r *tableReader, piece *meshpb.Piece, now time.Duration) (*meshpb.TableRows, error) {
	m.mu.Lock()
	p := m.partials[table]
	if p == nil || p.reader != r {
		m.mu.Unlock()
		return nil, nil // another reader has taken over
	}
	if piece.Content != p.content {
		p.content, p.data = piece.Content, nil
	}
	end := int(piece.Offset) + len(piece.Data)
	if int(piece.Offset) != len(p.data) || len(piece.Data) == 0 || end > int(piece.Total) || piece.Total > maxContentBytes {
		delete(m.partials, table)
		m.mu.Unlock()
		return nil, errors.Errorf("piece of %d bytes at %d of %d, expected one at %d", len(piece.Data), piece.Offset, piece.Total, len(p.data))
	}
	p.data = append(p.data, piece.Data...)
	p.progressAt = now
	m.lag(table).progressAt = now
	data := p.data
	if len(data) < int(piece.Total) {
		m.mu.Unlock()
		return nil, nil
	}
	delete(m.partials, table)
	m.mu.Unlock()
	return decompressRows(data)
}

package mesh

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

// newTableMesh returns a daemon, not started, with a copy of one table.
func newTableMesh(name string, rows []views.Row, newest int64) *Mesh {
	v := views.New(nil, views.Config{Table: configTable, Log: hclog.NewNullLogger(), OnChange: func(map[string]views.Row) {}})
	if newest > 0 {
		v.Merge(rows, newest, true, "test")
	}
	return New(Config{Self: &meshpb.Daemon{Name: name, Address: name}, Views: map[string]*views.View{configTable: v}, Log: hclog.NewNullLogger()})
}

func largeRows() []views.Row {
	var rows []views.Row
	for i := range 5 {
		rows = append(rows, views.Row{Key: fmt.Sprint("k", i), Value: routesText(1000, uint64(i)), Version: int64(10 + i)})
	}
	return rows
}

// readAll reads a table in pieces from daemons in turn, and returns the rows and the number
// of calls.
func readAll(t *testing.T, from ...*Mesh) (*meshpb.TableRows, int) {
	t.Helper()
	req := &meshpb.TableRequest{Name: configTable, MaxBytes: maxPiece}
	var data []byte
	for calls := 1; ; calls++ {
		assert.Assert(t, calls < 1000, "no end after %d bytes", len(data))
		out, err := from[calls%len(from)].Rows(context.Background(), req)
		assert.NilError(t, err)
		if out.Piece == nil {
			return out, calls
		}
		p := out.Piece
		assert.Assert(t, len(p.Data) <= maxPiece && int(p.Offset) == len(data), "%d bytes at %d, have %d", len(p.Data), p.Offset, len(data))
		data = append(data, p.Data...)
		req.Content, req.Offset = p.Content, uint32(len(data))
		if len(data) == int(p.Total) {
			rows, err := decompressRows(data)
			assert.NilError(t, err)
			return rows, calls
		}
	}
}

// TestReadContinuesAtAnotherDaemon reads every other piece from another daemon with the same
// rows, as after the loss of a hub. No piece may be read twice.
func TestReadContinuesAtAnotherDaemon(t *testing.T) {
	a, b := newTableMesh("a", largeRows(), 14), newTableMesh("b", largeRows(), 14)
	alone, calls := readAll(t, a)
	both, callsOfBoth := readAll(t, a, b)
	assert.Equal(t, len(alone.Rows), 5)
	assert.Assert(t, proto.Equal(alone, both))
	assert.Equal(t, callsOfBoth, calls)
	c := newTableMesh("c", largeRows()[:4], 13)
	first, err := a.Rows(context.Background(), &meshpb.TableRequest{Name: configTable, MaxBytes: maxPiece})
	assert.NilError(t, err)
	other, err := c.Rows(context.Background(), &meshpb.TableRequest{Name: configTable, MaxBytes: maxPiece, Content: first.Piece.Content, Offset: maxPiece})
	assert.NilError(t, err)
	assert.Assert(t, other.Piece.Content != first.Piece.Content && other.Piece.Offset == 0, "other rows are read from their start")
}

// TestPiecesShrinkWithReaders lets many daemons read at the same time. What they have been
// sent and not yet asked beyond must stay within what half of a question's time carries on a
// slow link.
func TestPiecesShrinkWithReaders(t *testing.T) {
	var s pieceServer
	rows := encodeRows(largeRows(), 14, true)
	sum := 0
	for reader := range 40 {
		p, err := s.add(rows, &meshpb.TableRequest{Name: configTable, MaxBytes: maxPiece}, reader, time.Second)
		assert.NilError(t, err)
		if reader >= 20 {
			sum += len(p.Data)
		}
	}
	assert.Assert(t, sum <= outstandingBytes, "%d bytes for 20 readers", sum)
	assert.Equal(t, len(s.contents), 1, "compressed once")
	p, err := s.add(rows, &meshpb.TableRequest{Name: configTable, MaxBytes: maxPiece}, "later", 2*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(p.Data), maxPiece, "the others have ended")
}

// TestMalformedPiecesAreDropped feeds pieces that do not continue what was read. The read must
// fail without effect and begin anew.
func TestMalformedPiecesAreDropped(t *testing.T) {
	for name, piece := range map[string]*meshpb.Piece{
		"gap":              {Content: 1, Total: 100, Offset: 50, Data: make([]byte, 10)},
		"empty":            {Content: 1, Total: 100},
		"beyond the end":   {Content: 1, Total: 5, Data: make([]byte, 10)},
		"too large":        {Content: 1, Total: maxContentBytes + 1, Data: make([]byte, 10)},
		"not compressed":   {Content: 1, Total: 10, Data: make([]byte, 10)},
		"offset overflows": {Content: 1, Total: 1<<32 - 1, Offset: 1<<32 - 1, Data: make([]byte, 10)},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTableMesh("a", nil, 0)
			r := newTableReader(m, "b")
			_, ok := m.claimRead(configTable, r, 0, time.Second)
			assert.Assert(t, ok)
			rows, err := m.addPiece(configTable, r, piece, time.Second)
			assert.Assert(t, err != nil && rows == nil)
			p, ok := m.claimRead(configTable, r, 0, time.Second)
			assert.Assert(t, ok && len(p.data) == 0 && p.content == 0)
		})
	}
}

// olderBuild answers like a daemon whose build sends no pieces.
type olderBuild struct{ *Mesh }

func (o olderBuild) Rows(ctx context.Context, req *meshpb.TableRequest) (*meshpb.TableRows, error) {
	return o.Mesh.Rows(ctx, &meshpb.TableRequest{Name: req.Name, Since: req.Since, Era: req.Era})
}

// TestTablesBetweenBuilds reads a large table from a daemon of an older build, and as one.
func TestTablesBetweenBuilds(t *testing.T) {
	whole, err := newTableMesh("a", largeRows(), 14).Rows(context.Background(), &meshpb.TableRequest{Name: configTable, Since: 12})
	assert.NilError(t, err)
	assert.Assert(t, whole.Piece == nil && len(whole.Rows) == 5 && whole.Changed == 14, "an older daemon gets all rows at once")
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		from := net.addHost("reader", 10)
		net.addHost("older", 10)
		ctx, cancel := context.WithCancel(t.Context())
		mux := drpcmux.New()
		assert.NilError(t, meshpb.DRPCRegisterMesh(mux, olderBuild{newTableMesh("older", largeRows(), 14)}))
		l, err := net.listen()(ctx, "older")
		assert.NilError(t, err)
		go func() { _ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcOptions()}).Serve(ctx, l) }()
		m := newTableMesh("reader", nil, 0)
		m.Dial = net.dial(from)
		r := newTableReader(m, "older")
		began := time.Now()
		r.read(ctx, offer{"older", []*meshpb.Table{{Name: configTable, Changed: 14}}})
		t.Logf("read in %v", time.Since(began))
		assert.Equal(t, m.Views[configTable].Version(), int64(14))
		assert.Equal(t, m.TableStatuses(0)[0].FailedReads, int64(0))
		r.closeConn()
		cancel()
		time.Sleep(time.Second)
	})
}

// BenchmarkCompressRows compresses and decompresses configurations of the sizes in
// docs/CAPACITY.md.
func BenchmarkCompressRows(b *testing.B) {
	for _, routes := range []int{100, 1400, 4000, 10000} {
		rows := encodeRows([]views.Row{{Key: "config", Value: routesText(routes, 1), Version: 7}}, 7, false)
		data, err := compressRows(rows)
		assert.NilError(b, err)
		b.Run(fmt.Sprint("compress ", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = compressRows(rows)
			}
			b.ReportMetric(float64(len(rows.Rows[0].Value)), "plain-bytes")
			b.ReportMetric(float64(len(data)), "sent-bytes")
		})
		b.Run(fmt.Sprint("decompress ", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = decompressRows(data)
			}
		})
	}
}

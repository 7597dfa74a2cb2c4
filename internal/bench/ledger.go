package bench

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
	"github.com/lagoonmux/lagoonmux/internal/serve"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

// countingTable counts what a table is asked for.
type countingTable struct {
	platform.Table
	reads, commits, rows, bytes atomic.Int64
}

// Get implements platform.Table.
func (t *countingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	t.reads.Add(1)
	return t.Table.Get(ctx, key)
}

// Commit implements platform.Table.
func (t *countingTable) Commit(ctx context.Context, token string, writes []platform.Write) error {
	t.commits.Add(1)
	t.rows.Add(int64(len(writes)))
	for _, w := range writes {
		t.bytes.Add(int64(len(w.Value)))
	}
	return t.Table.Commit(ctx, token, writes)
}

// echo answers every call.
type echo struct{}

// Stream implements serve.Dispatcher.
func (echo) Stream(context.Context, *call.Call, call.Sink) error {
	return errors.New("no streams in this bench")
}

// Plain implements serve.Dispatcher.
func (echo) Plain(context.Context, *call.Call) (*call.Response, error) {
	return &call.Response{Status: 200, ContentType: "text/plain", Body: []byte("ok")}, nil
}

// LedgerSlopes fits reads, rows written and their bytes against calls that may
// not be repeated: new ones, and such as were answered before.
func LedgerSlopes(ctx context.Context, out io.Writer, sizes []int) error {
	kinds := []string{"new", "repeated"}
	var reads, rows, bytes [2][]Point
	for _, n := range sizes {
		table := &countingTable{Table: platform.NewMemoryTable()}
		writer := batch.New(table, batch.Options{RowsPerSecond: 1e6})
		r := serve.NewRecorder("bench", table, nil, writer, echo{}, hclog.NewNullLogger())
		for kind := range kinds {
			table.reads.Store(0)
			table.rows.Store(0)
			table.bytes.Store(0)
			if err := ledgerCalls(ctx, r, n); err != nil {
				return err
			}
			x := float64(n)
			reads[kind] = append(reads[kind], Point{x, float64(table.reads.Load())})
			rows[kind] = append(rows[kind], Point{x, float64(table.rows.Load())})
			bytes[kind] = append(bytes[kind], Point{x, float64(table.bytes.Load())})
		}
		r.Close(ctx)
		writer.Close()
	}
	for kind, name := range kinds {
		Line("ledger.reads", name+"_calls", reads[kind]).Print(out)
		Line("ledger.rows_written", name+"_calls", rows[kind]).Print(out)
		Line("ledger.bytes_written", name+"_calls", bytes[kind]).Print(out)
	}
	return nil
}

func ledgerCalls(ctx context.Context, r *serve.Recorder, n int) error {
	for i := range n {
		now := time.Now()
		c := &call.Call{
			ID: fmt.Sprint("call-", i), IdempotencyKey: fmt.Sprint("key-", i), Method: "POST", Path: "/orders",
			Customer: &manifest.Customer{Name: "c"}, Service: &manifest.Service{Name: "p", Kind: manifest.Plain},
			Class: manifest.Normal, Arrived: now, Deadline: now.Add(time.Minute), Trace: &trace.Trace{},
		}
		if _, err := r.Plain(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

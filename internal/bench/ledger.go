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

// countingTable counts the reads, commits, written rows and written bytes of a table.
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

// echoDispatcher answers every plain call with 200 and no upstream.
type echoDispatcher struct{}

// Stream implements serve.Dispatcher.
func (echoDispatcher) Stream(context.Context, *call.Call, call.Sink) error {
	return errors.New("echoDispatcher does not support streams")
}

// Plain implements serve.Dispatcher.
func (echoDispatcher) Plain(context.Context, *call.Call) (*call.Response, error) {
	return &call.Response{Status: 200, ContentType: "text/plain", Body: []byte("ok")}, nil
}

// LedgerSlopes fits table reads, written rows and written bytes against the number of
// non-repeatable calls: new calls, and retries of answered calls with the same idempotency keys.
func LedgerSlopes(ctx context.Context, out io.Writer, sizes []int) error {
	kinds := []string{"new", "repeated"}
	var reads, rows, bytes [2][]Point
	for _, n := range sizes {
		table := &countingTable{Table: platform.NewMemoryTable()}
		writer := batch.New(table, batch.Options{RowsPerSecond: 1e6})
		recorder := serve.NewRecorder("bench", table, nil, writer, echoDispatcher{}, hclog.NewNullLogger())
		for kind := range kinds {
			table.reads.Store(0)
			table.rows.Store(0)
			table.bytes.Store(0)
			if err := recordCalls(ctx, recorder, n); err != nil {
				return err
			}
			size := float64(n)
			reads[kind] = append(reads[kind], Point{size, float64(table.reads.Load())})
			rows[kind] = append(rows[kind], Point{size, float64(table.rows.Load())})
			bytes[kind] = append(bytes[kind], Point{size, float64(table.bytes.Load())})
		}
		recorder.Close(ctx)
		writer.Close()
	}
	for kind, name := range kinds {
		FitLine("ledger.reads", name+"_calls", reads[kind]).Print(out)
		FitLine("ledger.rows_written", name+"_calls", rows[kind]).Print(out)
		FitLine("ledger.bytes_written", name+"_calls", bytes[kind]).Print(out)
	}
	return nil
}

// recordCalls passes n calls to the recorder. The idempotency keys are the same each time.
func recordCalls(ctx context.Context, recorder *serve.Recorder, n int) error {
	for i := range n {
		now := time.Now()
		c := &call.Call{
			ID: fmt.Sprint("call-", i), IdempotencyKey: fmt.Sprint("key-", i), Method: "POST", Path: "/orders",
			Customer: &manifest.Customer{Name: "c"}, Service: &manifest.Service{Name: "p", Kind: manifest.Plain},
			Class: manifest.Normal, Arrived: now, Deadline: now.Add(time.Minute), Trace: &trace.Trace{},
		}
		if _, err := recorder.Plain(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

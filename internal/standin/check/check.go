// Package check plays callers that need exactly one whole answer, asks again
// as they would, and counts what became of each request: orders that may not
// be repeated, streams, and lots and bookings that are answered later.
package check

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

// Options describes one run.
type Options struct {
	Daemons      []string // caller addresses
	Manifest     *manifest.Manifest
	Model        string // model service
	PlainService string // plain service with POST /orders, which may not be repeated
	Key          string // of the customer
	Rate         float64
	Duration     time.Duration // of the arrivals
	LotTimeout   time.Duration // that accepted requests may take beyond
	Seed         uint64
}

// Row counts what became of the requests of one run.
type Row struct {
	Requests, Answered, NotRun, Unknown int

	Doubled   int // keys that ran more than once
	Cut       int // answers that ended as if whole and were not
	Crossed   int // answers with bytes of another request
	Lost      int // accepted requests without an answer in the end
	RanNotRun int // keys that ran although the last word was not-run
	Broken    int // of the unknown: connections that broke within a stream
	Details   []string
}

// Violations returns the number of broken promises.
func (r *Row) Violations() int { return r.Doubled + r.Cut + r.Crossed + r.Lost + r.RanNotRun }

// String formats the row as key=value pairs.
func (r *Row) String() string {
	share := 0.0
	if r.Requests > 0 {
		share = 100 * float64(r.Unknown) / float64(r.Requests)
	}
	return fmt.Sprintf("requests=%d answered=%d not-run=%d unknown=%d unknown-share=%.1f%% broken=%d doubled=%d cut=%d crossed=%d lost=%d ran-not-run=%d",
		r.Requests, r.Answered, r.NotRun, r.Unknown, share, r.Broken, r.Doubled, r.Cut, r.Crossed, r.Lost, r.RanNotRun)
}

// outcome is what a caller knows of a request when it stops asking.
type outcome int

const (
	answered outcome = iota
	notRun
	unknown
	broken
	cut
	crossed
	lost
)

// runner is one run.
type runner struct {
	Options
	pool        *upstream.Pool
	daemonIndex int
	mu          sync.Mutex
	row         Row
	keys        map[string]outcome // of requests that may not be repeated
	tasks       sync.WaitGroup
}

// Run plays the callers and counts. An error means that the stand-ins could
// not be asked what they ran.
func Run(ctx context.Context, o Options) (*Row, error) {
	r := &runner{Options: o, pool: upstream.NewPool(), keys: make(map[string]outcome)}
	defer r.pool.Close()
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	kinds := []func(context.Context, string){r.placeOrder, r.runStream, r.placeOrder, r.runLot, r.placeOrder, r.runBooking}
	stop := time.Now().Add(o.Duration)
	for n := 0; time.Now().Before(stop) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d", o.Seed, n)
		f := kinds[n%len(kinds)]
		r.tasks.Go(func() { f(ctx, id) })
		time.Sleep(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
	}
	r.tasks.Wait()
	return &r.row, r.auditRuns()
}

// address goes round the daemons, whether they answer or not.
func (r *runner) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemonIndex++
	return r.Daemons[r.daemonIndex%len(r.Daemons)]
}

// count takes in the end of a request. A key is given where the request may not
// be repeated.
func (r *runner) count(key string, result outcome, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := &r.row
	row.Requests++
	if key != "" {
		r.keys[key] = result
	}
	switch result {
	case answered:
		row.Answered++
	case notRun:
		row.NotRun++
	case unknown:
		row.Unknown++
	case broken:
		row.Unknown++
		row.Broken++
	case cut:
		row.Cut++
	case crossed:
		row.Crossed++
	case lost:
		row.Lost++
	}
	if result >= cut {
		row.Details = append(row.Details, detail)
	}
}

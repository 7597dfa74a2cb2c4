// Package check simulates callers that need exactly one complete response to each
// request, and retries as such callers would. It counts the outcomes of orders
// (non-repeatable calls), streams, lots (completions processed asynchronously) and
// bookings (non-repeatable calls processed asynchronously).
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

// Options configures one run.
type Options struct {
	Daemons      []string           // caller addresses; requests go to them in turn
	Manifest     *manifest.Manifest // lists the stand-ins to audit
	Model        string             // model service of the streams and lots
	PlainService string             // plain service with the non-repeatable route POST /orders
	Key          string             // API key of the customer
	Rate         float64            // mean number of requests per second, with Poisson arrivals
	Duration     time.Duration      // time during which requests are started
	LotTimeout   time.Duration      // maximum time from accepting a request to its outcome
	Seed         uint64             // of the arrivals; part of every request's ID
}

// Row counts the outcomes of the requests of one run.
type Row struct {
	Requests, Answered, NotRun, Unknown int

	Doubled   int      // keys that ran more than once
	Cut       int      // responses that ended as if complete and were not
	Crossed   int      // responses that differ from what the request should get
	Lost      int      // accepted requests that were not answered in the end; for bookings, unknown is allowed
	RanNotRun int      // keys that ran although the final outcome was not-run
	Broken    int      // streams that broke off; counted in Unknown too
	Details   []string // one line for each violation
}

// Violations returns the number of requests and keys for which a daemon broke its
// guarantees. Unknown outcomes and broken streams are allowed.
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

// outcome is the final result of a request as seen by its caller. Those from cut on
// are violations.
type outcome int

const (
	answered outcome = iota
	notRun
	unknown
	broken  // stream that broke off
	cut     // response that ended as if complete and was not
	crossed // differs from what the request should get
	lost    // accepted request that was not answered in the end
)

// runner holds the state of one run.
type runner struct {
	Options
	pool        *upstream.Pool
	daemonIndex int
	mu          sync.Mutex
	row         Row
	keys        map[string]outcome // outcomes of the non-repeatable calls, by idempotency key
	tasks       sync.WaitGroup
}

// Run sends the requests, waits for their outcomes and returns the counts. An error
// means that a stand-in could not be asked which keys it ran.
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

// address returns the address of the next daemon in turn, whether it is up or not.
func (r *runner) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemonIndex++
	return r.Daemons[r.daemonIndex%len(r.Daemons)]
}

// count adds the result of a request to the row. For non-repeatable calls, key is
// the idempotency key; otherwise it is empty.
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

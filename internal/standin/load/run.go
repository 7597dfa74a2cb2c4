package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	progressInterval = 2 * time.Second
	maxInFlight      = 50_000 // requests beyond this are not sent and count as NoResponse
)

// Options configures a run.
type Options struct {
	Mix      *Mix
	Daemons  []string           // caller addresses
	Manifest *manifest.Manifest // lists the stand-ins to audit; nil for none
	Control  string             // address of the control port, to audit the stand-ins there; empty for their own addresses
	Progress io.Writer          // receives progress lines; nil for none
}

// runner holds the state of one run.
type runner struct {
	opts     Options
	client   *client
	audit    *audit
	groups   map[string]*group
	requests sync.WaitGroup
	inFlight atomic.Int64
	sent     atomic.Int64
	started  time.Time

	mu      sync.Mutex
	samples []Sample
}

// Run sends the requests of the mix, waits for the last response, and returns the
// report. An error means that the stand-ins could not be audited.
func Run(ctx context.Context, opts Options) (*Report, error) {
	r := &runner{opts: opts, audit: newAudit(opts.Manifest, opts.Control), groups: make(map[string]*group)}
	r.client = &client{pool: upstream.NewPool(), balancer: newBalancer(opts.Daemons)}
	defer r.client.pool.Close()
	probing, stop := context.WithCancel(ctx)
	defer stop()
	go r.client.balancer.run(probing)
	if opts.Progress != nil {
		go r.progress(probing)
	}
	if err := r.audit.discover(); err != nil {
		return nil, err
	}
	before, _ := r.audit.readUsage()
	r.started = time.Now()
	var callers sync.WaitGroup
	for i := range opts.Mix.Callers {
		g := r.groupOf(&opts.Mix.Callers[i])
		a := newArrivals(opts.Mix, i)
		callers.Go(func() { r.runCaller(ctx, a, g) })
	}
	callers.Wait()
	r.requests.Wait()
	return r.report(before)
}

func groupName(c *Caller) string { return c.Customer + "/" + c.Class + "/" + c.Service }

func (r *runner) groupOf(c *Caller) *group {
	name := groupName(c)
	if r.groups[name] == nil {
		r.groups[name] = newGroup(c)
	}
	return r.groups[name]
}

// runCaller sends each request of one caller when it is due, without waiting for
// earlier ones (open loop).
func (r *runner) runCaller(ctx context.Context, a *arrivals, g *group) {
	end := time.Duration(r.opts.Mix.DurationMS) * time.Millisecond
	for {
		req := a.next()
		if req.arrival >= end {
			return
		}
		due := r.started.Add(req.arrival)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		r.launch(ctx, req, due, g)
		if req.duplicate {
			r.launch(ctx, req, due, g)
		}
	}
}

func (r *runner) launch(ctx context.Context, req *request, due time.Time, g *group) {
	r.sent.Add(1)
	if r.inFlight.Add(1) > maxInFlight {
		r.inFlight.Add(-1)
		g.add(&result{verdict: NoResponse})
		r.addSample(req, &result{verdict: NoResponse, detail: "too many requests in flight at the load generator"})
		return
	}
	r.requests.Go(func() {
		res := r.client.do(ctx, req, due)
		r.inFlight.Add(-1)
		g.add(&res)
		r.audit.record(req, &res)
		r.addSample(req, &res)
	})
}

// addSample adds the result to the samples if its verdict is neither a complete
// response nor a clear refusal.
func (r *runner) addSample(req *request, res *result) {
	switch res.verdict {
	case Unknown, Cut, NoResponse, Crossed, Wrong:
	default:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, Sample{ID: res.id, Verdict: res.verdict, Group: groupName(req.caller), Detail: res.detail})
	}
}

func (r *runner) report(before usage) (*Report, error) {
	out := &Report{Seed: r.opts.Mix.Seed, Seconds: time.Since(r.started).Seconds(), Samples: r.samples}
	for _, g := range r.groups {
		out.Groups = append(out.Groups, g.summary())
	}
	sortGroups(out.Groups)
	if err := r.audit.discover(); err != nil {
		return nil, err
	}
	after, notices := r.audit.readUsage()
	out.GeneratedTokens = after.generated - before.generated
	out.CachedTokens = after.cached - before.cached
	out.RecomputedTokens = after.recomputed - before.recomputed
	out.Cost = after.cost - before.cost
	out.AfterNotice = notices
	return out, r.audit.findViolations(out)
}

func (r *runner) progress(ctx context.Context) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			fmt.Fprintf(r.opts.Progress, "progress seconds=%.0f sent=%d open=%d\n", time.Since(r.started).Seconds(), r.sent.Load(), r.inFlight.Load())
		}
	}
}

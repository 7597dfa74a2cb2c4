package bench

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	callerConns = 64 // connections of plain callers
	callTimeout = 5 * time.Second
)

// Target is where callers call.
type Target struct {
	Address string
	Key     string // of the customer
	Model   string // model service that streams ask for
}

// Latencies of calls.
type Latencies struct {
	Calls     int64
	PerSecond float64
	P50, P99  time.Duration
}

// latencyRecorder gathers latencies of several goroutines.
type latencyRecorder struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram // microseconds
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (s *latencyRecorder) record(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.hist.RecordValue(max(d.Microseconds(), 1))
}

func (s *latencyRecorder) summary(span time.Duration) Latencies {
	us := func(q float64) time.Duration { return time.Duration(s.hist.ValueAtQuantile(q)) * time.Microsecond }
	n := s.hist.TotalCount()
	return Latencies{Calls: n, PerSecond: float64(n) / span.Seconds(), P50: us(50), P99: us(99)}
}

// MeasurePlainCalls makes plain calls for span: at the given rate, on schedule whatever the
// answers take, or each caller as fast as it is answered if rate is 0. A
// latency counts from the scheduled time.
func MeasurePlainCalls(ctx context.Context, t Target, rate float64, span time.Duration) (Latencies, error) {
	client := &fasthttp.HostClient{Addr: t.Address, MaxConns: callerConns, ReadTimeout: callTimeout}
	defer client.CloseIdleConnections()
	samples := newLatencyRecorder()
	start := time.Now()
	var sequence atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	for range callerConns {
		g.Go(func() error {
			for ctx.Err() == nil {
				due := time.Now()
				if rate > 0 {
					due = start.Add(time.Duration(float64(sequence.Add(1)) / rate * float64(time.Second)))
					time.Sleep(time.Until(due))
				}
				if due.Sub(start) > span {
					return nil
				}
				if err := plainCall(client, t); err != nil {
					return err
				}
				samples.record(time.Since(due))
			}
			return ctx.Err()
		})
	}
	err := g.Wait()
	return samples.summary(time.Since(start)), err
}

func plainCall(client *fasthttp.HostClient, t Target) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address + "/svc/p/x")
	req.Header.Set("Authorization", "Bearer "+t.Key)
	if err := client.Do(req, resp); err != nil {
		return errors.Wrap(err, "plain call")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("plain call: status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}

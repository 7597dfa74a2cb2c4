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
	callerConns = 64 // connections that send plain calls, one call at a time each
	callTimeout = 5 * time.Second
)

// Target is the address that load is sent to, and the credentials to use there.
type Target struct {
	Address string
	Key     string // API key of the customer
	Model   string // model service that streams request
}

// Latencies summarizes completed calls.
type Latencies struct {
	Calls     int64
	PerSecond float64
	P50, P99  time.Duration
}

// latencyRecorder is a latency histogram that several goroutines write.
type latencyRecorder struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram // microseconds
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (l *latencyRecorder) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(max(d.Microseconds(), 1))
}

func (l *latencyRecorder) summary(duration time.Duration) Latencies {
	percentile := func(q float64) time.Duration { return time.Duration(l.hist.ValueAtQuantile(q)) * time.Microsecond }
	calls := l.hist.TotalCount()
	return Latencies{Calls: calls, PerSecond: float64(calls) / duration.Seconds(), P50: percentile(50), P99: percentile(99)}
}

// MeasurePlainCalls sends plain calls to t for duration. With a rate (calls a second) calls are
// scheduled at that rate, however long responses take, and a latency counts from the scheduled
// time. With rate 0 each connection sends its next call as soon as the response to the previous one
// has arrived.
func MeasurePlainCalls(ctx context.Context, t Target, rate float64, duration time.Duration) (Latencies, error) {
	client := &fasthttp.HostClient{Addr: t.Address, MaxConns: callerConns, ReadTimeout: callTimeout}
	defer client.CloseIdleConnections()
	latencies := newLatencyRecorder()
	start := time.Now()
	var sent atomic.Int64
	g, ctx := errgroup.WithContext(ctx)
	for range callerConns {
		g.Go(func() error {
			for ctx.Err() == nil {
				scheduled := time.Now()
				if rate > 0 {
					scheduled = start.Add(time.Duration(float64(sent.Add(1)) / rate * float64(time.Second)))
					time.Sleep(time.Until(scheduled))
				}
				if scheduled.Sub(start) > duration {
					return nil
				}
				if err := plainCall(client, t); err != nil {
					return err
				}
				latencies.record(time.Since(scheduled))
			}
			return ctx.Err()
		})
	}
	err := g.Wait()
	return latencies.summary(time.Since(start)), err
}

func plainCall(client *fasthttp.HostClient, t Target) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address + "/svc/p/x")
	req.Header.Set("Authorization", "Bearer "+t.Key)
	if err := client.Do(req, resp); err != nil {
		return errors.Wrap(err, "call plain service")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("call plain service: status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}

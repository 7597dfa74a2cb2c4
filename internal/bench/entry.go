package bench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// EntryBench measures one daemon and, for comparison, the upstreams behind it.
type EntryBench struct {
	Daemon   Target
	Paced    Target        // daemon before an upstream that sends a token each interval
	Fast     Target        // upstream that sends tokens without a pause
	Plain    Target        // upstream of plain calls
	Process  Process       // the daemon
	Duration time.Duration // of each measurement
	Out      io.Writer
}

const (
	warmup       = 500 * time.Millisecond // before a measurement
	streamTokens = 1 << 20                // more than any measurement takes
	fastStreams  = 32
)

// MeasureOverhead compares callers that go straight to the upstream with the same
// callers through the daemon.
func (e *EntryBench) MeasureOverhead(ctx context.Context) error {
	direct, err := MeasurePlainCalls(ctx, e.Plain, 0, e.Duration)
	if err != nil {
		return err
	}
	var through Latencies
	use, err := e.Process.Measure(func() error {
		through, err = MeasurePlainCalls(ctx, e.Daemon, 0, e.Duration)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "measure=requests callers=%d direct_per_second=%.0f through_per_second=%.0f ratio=%.2f daemon_cores=%.2f per_core=%.0f\n",
		callerConns, direct.PerSecond, through.PerSecond, through.PerSecond/direct.PerSecond, use.Cores, through.PerSecond/use.Cores)
	return e.measureLatency(ctx, through.PerSecond/2)
}

func (e *EntryBench) measureLatency(ctx context.Context, rate float64) error {
	direct, err := MeasurePlainCalls(ctx, e.Plain, rate, e.Duration)
	if err != nil {
		return err
	}
	through, err := MeasurePlainCalls(ctx, e.Daemon, rate, e.Duration)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "measure=latency rate=%.0f direct_p50=%v through_p50=%v added_p50=%v direct_p99=%v through_p99=%v added_p99=%v\n",
		rate, direct.P50, through.P50, through.P50-direct.P50, direct.P99, through.P99, through.P99-direct.P99)
	return nil
}

// MeasureTokens measures streams that send without a pause.
func (e *EntryBench) MeasureTokens(ctx context.Context) error {
	direct, _, err := e.unpacedRate(ctx, e.Fast)
	if err != nil {
		return err
	}
	through, use, err := e.unpacedRate(ctx, e.Daemon)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "measure=tokens streams=%d direct_per_second=%.0f through_per_second=%.0f ratio=%.2f daemon_cores=%.2f per_core=%.0f\n",
		fastStreams, direct, through, through/direct, use.Cores, through/use.Cores)
	return nil
}

func (e *EntryBench) unpacedRate(ctx context.Context, t Target) (float64, Usage, error) {
	return e.streamRate(ctx, t, fastStreams)
}

// streamRate measures the tokens a second of n streams and what they cost the
// daemon.
func (e *EntryBench) streamRate(ctx context.Context, t Target, n int) (float64, Usage, error) {
	s, err := OpenStreams(ctx, t, n, streamTokens)
	if err != nil {
		return 0, Usage{}, err
	}
	defer s.Close()
	time.Sleep(warmup)
	var rate float64
	use, err := e.Process.Measure(func() error {
		rate, err = s.TokenRate(e.Duration)
		return err
	})
	return rate, use, err
}

// RequestSlope fits the daemon's processor time against requests a second.
func (e *EntryBench) RequestSlope(ctx context.Context, rates []float64) error {
	var points []Point
	for _, rate := range rates {
		var got Latencies
		use, err := e.Process.Measure(func() (err error) {
			got, err = MeasurePlainCalls(ctx, e.Daemon, rate, e.Duration)
			return err
		})
		if err != nil {
			return err
		}
		points = append(points, Point{Size: got.PerSecond, Cost: use.Cores})
	}
	FitLine("entry.cores", "requests_per_second", points).Print(e.Out)
	return nil
}

// TokenSlopes fits processor time and memory against streams that send a token
// each interval.
func (e *EntryBench) TokenSlopes(ctx context.Context, streams []int) error {
	var cores, memory []Point
	for _, n := range streams {
		rate, use, err := e.pacedRate(ctx, n)
		if err != nil {
			return err
		}
		cores = append(cores, Point{Size: rate, Cost: use.Cores})
		memory = append(memory, Point{Size: float64(n), Cost: float64(use.ResidentBytes)})
	}
	FitLine("entry.cores", "tokens_per_second", cores).Print(e.Out)
	FitLine("entry.resident_bytes", "streams", memory).Print(e.Out)
	return nil
}

func (e *EntryBench) pacedRate(ctx context.Context, n int) (float64, Usage, error) {
	return e.streamRate(ctx, e.Paced, n)
}

// IdleSlope fits memory against idle connections, which stay open until the
// last size is measured.
func (e *EntryBench) IdleSlope(ctx context.Context, sizes []int) error {
	var points []Point
	open := 0
	for _, n := range sizes {
		conns, err := OpenIdle(ctx, e.Daemon, n-open)
		defer func() {
			for _, c := range conns {
				_ = c.Close()
			}
		}()
		if err != nil {
			return err
		}
		open = n
		time.Sleep(warmup)
		resident, err := e.Process.ResidentBytes()
		if err != nil {
			return err
		}
		points = append(points, Point{Size: float64(n), Cost: float64(resident)})
	}
	FitLine("entry.resident_bytes", "idle_connections", points).Print(e.Out)
	return nil
}

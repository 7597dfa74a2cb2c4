package bench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// EntryBench measures a running daemon and, for comparison, the upstreams behind it.
type EntryBench struct {
	Daemon   Target        // the daemon, with the model of Fast
	Paced    Target        // the daemon, with a model whose upstream sends a token each interval
	Fast     Target        // model upstream that sends tokens without a pause
	Plain    Target        // plain upstream
	Process  Process       // of the daemon
	Duration time.Duration // of each measurement
	Out      io.Writer
}

const (
	warmupTime   = 500 * time.Millisecond // wait before a measurement
	streamTokens = 1 << 20                // length of a stream; more than any measurement reads
	fastStreams  = 32
)

// MeasureOverhead compares the call rate and, at half the daemon's rate, the latency of plain calls
// sent straight to the upstream with those through the daemon.
func (e *EntryBench) MeasureOverhead(ctx context.Context) error {
	direct, err := MeasurePlainCalls(ctx, e.Plain, 0, e.Duration)
	if err != nil {
		return err
	}
	var through Latencies
	usage, err := e.Process.Measure(func() error {
		through, err = MeasurePlainCalls(ctx, e.Daemon, 0, e.Duration)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "measure=requests callers=%d direct_per_second=%.0f through_per_second=%.0f ratio=%.2f daemon_cores=%.2f per_core=%.0f\n",
		callerConns, direct.PerSecond, through.PerSecond, through.PerSecond/direct.PerSecond, usage.Cores, through.PerSecond/usage.Cores)
	return e.measureLatency(ctx, through.PerSecond/2)
}

// measureLatency prints the latency that the daemon adds at the given rate of calls a second.
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

// MeasureTokens compares the token rate of streams without a pause, straight from the upstream and
// through the daemon.
func (e *EntryBench) MeasureTokens(ctx context.Context) error {
	direct, _, err := e.unpacedRate(ctx, e.Fast)
	if err != nil {
		return err
	}
	through, usage, err := e.unpacedRate(ctx, e.Daemon)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "measure=tokens streams=%d direct_per_second=%.0f through_per_second=%.0f ratio=%.2f daemon_cores=%.2f per_core=%.0f\n",
		fastStreams, direct, through, through/direct, usage.Cores, through/usage.Cores)
	return nil
}

func (e *EntryBench) unpacedRate(ctx context.Context, t Target) (float64, Usage, error) {
	return e.streamRate(ctx, t, fastStreams)
}

// streamRate returns the tokens a second of n streams and the daemon's usage meanwhile.
func (e *EntryBench) streamRate(ctx context.Context, t Target, n int) (float64, Usage, error) {
	s, err := OpenStreams(ctx, t, n, streamTokens)
	if err != nil {
		return 0, Usage{}, err
	}
	defer s.Close()
	time.Sleep(warmupTime)
	var rate float64
	usage, err := e.Process.Measure(func() error {
		rate, err = s.TokenRate(e.Duration)
		return err
	})
	return rate, usage, err
}

// RequestSlope fits the daemon's cores against plain calls a second.
func (e *EntryBench) RequestSlope(ctx context.Context, rates []float64) error {
	var points []Point
	for _, rate := range rates {
		var latencies Latencies
		usage, err := e.Process.Measure(func() (err error) {
			latencies, err = MeasurePlainCalls(ctx, e.Daemon, rate, e.Duration)
			return err
		})
		if err != nil {
			return err
		}
		points = append(points, Point{Size: latencies.PerSecond, Cost: usage.Cores})
	}
	FitLine("entry.cores", "requests_per_second", points).Print(e.Out)
	return nil
}

// TokenSlopes opens streams that get a token each interval, and fits the daemon's cores against
// tokens a second and its memory against the number of streams.
func (e *EntryBench) TokenSlopes(ctx context.Context, streams []int) error {
	var cores, memory []Point
	for _, n := range streams {
		rate, usage, err := e.pacedRate(ctx, n)
		if err != nil {
			return err
		}
		cores = append(cores, Point{Size: rate, Cost: usage.Cores})
		memory = append(memory, Point{Size: float64(n), Cost: float64(usage.ResidentBytes)})
	}
	FitLine("entry.cores", "tokens_per_second", cores).Print(e.Out)
	FitLine("entry.resident_bytes", "streams", memory).Print(e.Out)
	return nil
}

func (e *EntryBench) pacedRate(ctx context.Context, n int) (float64, Usage, error) {
	return e.streamRate(ctx, e.Paced, n)
}

// IdleSlope fits the daemon's memory against the number of idle connections. They stay open until the
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
		time.Sleep(warmupTime)
		resident, err := e.Process.ResidentBytes()
		if err != nil {
			return err
		}
		points = append(points, Point{Size: float64(n), Cost: float64(resident)})
	}
	FitLine("entry.resident_bytes", "idle_connections", points).Print(e.Out)
	return nil
}

package bench

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Entry measures one daemon and, for comparison, the upstreams behind it.
type Entry struct {
	Daemon  Target
	Paced   Target        // daemon before an upstream that sends a token each interval
	Fast    Target        // upstream that sends tokens without a pause
	Plain   Target        // upstream of plain calls
	Process Process       // the daemon
	Span    time.Duration // of each measurement
	Out     io.Writer
}

const (
	settle       = 500 * time.Millisecond // before a measurement
	streamTokens = 1 << 20                // more than any measurement takes
	fastStreams  = 32
)

// Ratios compares callers that go straight to the upstream with the same
// callers through the daemon.
func (e *Entry) Ratios(ctx context.Context) error {
	direct, err := Plain(ctx, e.Plain, 0, e.Span)
	if err != nil {
		return err
	}
	var through Latencies
	use, err := e.Process.Measure(func() error {
		through, err = Plain(ctx, e.Daemon, 0, e.Span)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "measure=requests callers=%d direct_per_second=%.0f through_per_second=%.0f ratio=%.2f daemon_cores=%.2f per_core=%.0f\n",
		callers, direct.PerSecond, through.PerSecond, through.PerSecond/direct.PerSecond, use.Cores, through.PerSecond/use.Cores)
	return e.halfLoad(ctx, through.PerSecond/2)
}

func (e *Entry) halfLoad(ctx context.Context, rate float64) error {
	direct, err := Plain(ctx, e.Plain, rate, e.Span)
	if err != nil {
		return err
	}
	through, err := Plain(ctx, e.Daemon, rate, e.Span)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "measure=latency rate=%.0f direct_p50=%v through_p50=%v added_p50=%v direct_p99=%v through_p99=%v added_p99=%v\n",
		rate, direct.P50, through.P50, through.P50-direct.P50, direct.P99, through.P99, through.P99-direct.P99)
	return nil
}

// Tokens measures streams that send without a pause.
func (e *Entry) Tokens(ctx context.Context) error {
	direct, _, err := e.tokens(ctx, e.Fast)
	if err != nil {
		return err
	}
	through, use, err := e.tokens(ctx, e.Daemon)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Out, "measure=tokens streams=%d direct_per_second=%.0f through_per_second=%.0f ratio=%.2f daemon_cores=%.2f per_core=%.0f\n",
		fastStreams, direct, through, through/direct, use.Cores, through/use.Cores)
	return nil
}

func (e *Entry) tokens(ctx context.Context, t Target) (float64, Usage, error) {
	return e.streams(ctx, t, fastStreams)
}

// streams measures the tokens a second of n streams and what they cost the
// daemon.
func (e *Entry) streams(ctx context.Context, t Target, n int) (float64, Usage, error) {
	s, err := OpenStreams(ctx, t, n, streamTokens)
	if err != nil {
		return 0, Usage{}, err
	}
	defer s.Close()
	time.Sleep(settle)
	var rate float64
	use, err := e.Process.Measure(func() error {
		rate, err = s.Rate(e.Span)
		return err
	})
	return rate, use, err
}

// RequestSlope fits the daemon's processor time against requests a second.
func (e *Entry) RequestSlope(ctx context.Context, rates []float64) error {
	var points []Point
	for _, rate := range rates {
		var got Latencies
		use, err := e.Process.Measure(func() (err error) {
			got, err = Plain(ctx, e.Daemon, rate, e.Span)
			return err
		})
		if err != nil {
			return err
		}
		points = append(points, Point{Size: got.PerSecond, Cost: use.Cores})
	}
	Line("entry.cores", "requests_per_second", points).Print(e.Out)
	return nil
}

// TokenSlopes fits processor time and memory against streams that send a token
// each interval.
func (e *Entry) TokenSlopes(ctx context.Context, streams []int) error {
	var cores, memory []Point
	for _, n := range streams {
		rate, use, err := e.paced(ctx, n)
		if err != nil {
			return err
		}
		cores = append(cores, Point{Size: rate, Cost: use.Cores})
		memory = append(memory, Point{Size: float64(n), Cost: float64(use.Resident)})
	}
	Line("entry.cores", "tokens_per_second", cores).Print(e.Out)
	Line("entry.resident_bytes", "streams", memory).Print(e.Out)
	return nil
}

func (e *Entry) paced(ctx context.Context, n int) (float64, Usage, error) {
	return e.streams(ctx, e.Paced, n)
}

// IdleSlope fits memory against idle connections, which stay open until the
// last size is measured.
func (e *Entry) IdleSlope(ctx context.Context, sizes []int) error {
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
		time.Sleep(settle)
		resident, err := e.Process.Resident()
		if err != nil {
			return err
		}
		points = append(points, Point{Size: float64(n), Cost: float64(resident)})
	}
	Line("entry.resident_bytes", "idle_connections", points).Print(e.Out)
	return nil
}

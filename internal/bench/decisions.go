package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

const (
	picks     = 20000 // of one measurement
	batches   = 5     // measurements, of which the fastest counts
	benchSeed = 1
)

// Fleet returns a manifest of one model service with n upstreams.
func Fleet(n int) *manifest.Manifest {
	m := &manifest.Manifest{
		Services: []manifest.Service{{Name: "m", Kind: manifest.Model, Class: manifest.Normal, Policy: manifest.Expected,
			Target: manifest.Target{FirstTokenMS: 420, BetweenTokensMS: 29, TotalMS: 60000}}},
		Customers: []manifest.Customer{{Name: "c", Key: "bench-key", Weight: 1, RequestsPerSecond: 1e6, TokensPerSecond: 1e9, Concurrency: 1e6}},
		VMClasses: []manifest.VMClass{{Name: "g", OnDemandPerHour: 2, ReclaimablePerHour: 1, Accelerators: 8}},
	}
	for i := range n {
		m.Upstreams = append(m.Upstreams, manifest.Upstream{
			Name: fmt.Sprintf("engine-%d", i), Service: "m", Address: fmt.Sprintf("10.%d.%d.1:8000", i/256, i%256),
			Zone: fmt.Sprintf("zone-%d", i%14), VMClass: "g", Reclaimable: i%2 == 0, Slots: 32, CacheTokens: 200000, PrefillPerMS: 10,
		})
	}
	return m
}

// fastest returns the least time that f took for each of n operations.
func fastest(n int, f func()) time.Duration {
	best := time.Duration(0)
	for i := range batches {
		start := time.Now()
		f()
		if took := time.Since(start) / time.Duration(n); i == 0 || took < best {
			best = took
		}
	}
	return best
}

// RoutingSlopes fits the time of a decision, of an update and the manifest's
// size against the number of upstreams.
func RoutingSlopes(out io.Writer, sizes []int) error {
	var pick, update, size, packed, parse []Point
	for _, n := range sizes {
		m := Fleet(n)
		text, err := m.Encode()
		if err != nil {
			return err
		}
		zipped, err := manifest.Pack(m)
		if err != nil {
			return err
		}
		a := manifest.NewActive(1, m)
		members := make([]routing.Member, n)
		for i := range members {
			members[i] = routing.Member{Upstream: &a.Upstreams[i]}
		}
		r := routing.NewRouter()
		x := float64(n)
		packed = append(packed, Point{x, float64(len(zipped))})
		size = append(size, Point{x, float64(len(text))})
		parse = append(parse, Point{x, us(fastest(1, func() { _, err = manifest.Parse("bench", text) }))})
		if err != nil {
			return err
		}
		update = append(update, Point{x, us(fastest(1, func() { r.Update(a, members) }))})
		pick = append(pick, Point{x, us(fastest(picks, func() { err = decide(r) }))})
		if err != nil {
			return err
		}
	}
	Line("routing.decision_us", "upstreams", pick).Print(out)
	Line("routing.update_us", "upstreams", update).Print(out)
	Line("manifest.bytes", "upstreams", size).Print(out)
	Line("manifest.packed_bytes", "upstreams", packed).Print(out)
	Line("manifest.parse_us", "upstreams", parse).Print(out)
	return nil
}

func us(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// decide runs decisions for prompts that share their first blocks.
func decide(r *routing.Router) error {
	random := rand.New(rand.NewPCG(benchSeed, 0))
	now := time.Unix(1000, 0)
	blocks := completion.BlockHashes(string(make([]byte, 64*completion.BlockTokens*4)))
	req := &routing.Request{Service: "m", PromptTokens: 1024, MaxTokens: 128, Class: manifest.Normal, Deadline: now.Add(time.Minute)}
	for range picks {
		now = now.Add(time.Millisecond)
		req.Random = random.Uint64()
		blocks[random.IntN(len(blocks))] = random.Uint64()
		req.Blocks = blocks
		a, err := r.Begin(now, req)
		if err != nil {
			return err
		}
		a.FirstToken(now, 0)
		a.Done(now, routing.Succeeded)
	}
	return nil
}

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
	decisionsPerRun = 20000 // routing or admission decisions in one repetition
	repetitions     = 5     // of each measurement, of which the fastest counts
	benchSeed       = 1
)

// SyntheticManifest returns a manifest of one model service with n upstreams in 14 zones.
func SyntheticManifest(n int) *manifest.Manifest {
	m := &manifest.Manifest{
		Services: []manifest.Service{{Name: "m", Kind: manifest.Model, Class: manifest.Normal, Policy: manifest.ExpectedLatency,
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

// fastestRun calls f several times, each of which performs n operations, and returns the time of one
// operation in the fastest call.
func fastestRun(n int, f func()) time.Duration {
	best := time.Duration(0)
	for i := range repetitions {
		start := time.Now()
		f()
		if elapsed := time.Since(start) / time.Duration(n); i == 0 || elapsed < best {
			best = elapsed
		}
	}
	return best
}

// RoutingSlopes fits the times of a routing decision, of a router update and of parsing the manifest,
// and the manifest's size, plain and packed, against the number of upstreams.
func RoutingSlopes(out io.Writer, sizes []int) error {
	var decisionTimes, updateTimes, encodedSizes, packedSizes, parseTimes []Point
	for _, n := range sizes {
		m := SyntheticManifest(n)
		encoded, err := m.Encode()
		if err != nil {
			return err
		}
		compressed, err := manifest.Pack(m)
		if err != nil {
			return err
		}
		active := manifest.NewActive(1, m)
		members := make([]routing.Member, n)
		for i := range members {
			members[i] = routing.Member{Upstream: &active.Upstreams[i]}
		}
		router := routing.NewRouter()
		count := float64(n)
		packedSizes = append(packedSizes, Point{count, float64(len(compressed))})
		encodedSizes = append(encodedSizes, Point{count, float64(len(encoded))})
		parseTimes = append(parseTimes, Point{count, microseconds(fastestRun(1, func() { _, err = manifest.Parse("bench", encoded) }))})
		if err != nil {
			return err
		}
		updateTimes = append(updateTimes, Point{count, microseconds(fastestRun(1, func() { router.Update(active, members) }))})
		decisionTimes = append(decisionTimes, Point{count, microseconds(fastestRun(decisionsPerRun, func() { err = runDecisions(router) }))})
		if err != nil {
			return err
		}
	}
	FitLine("routing.decision_us", "upstreams", decisionTimes).Print(out)
	FitLine("routing.update_us", "upstreams", updateTimes).Print(out)
	FitLine("manifest.bytes", "upstreams", encodedSizes).Print(out)
	FitLine("manifest.packed_bytes", "upstreams", packedSizes).Print(out)
	FitLine("manifest.parse_us", "upstreams", parseTimes).Print(out)
	return nil
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// runDecisions routes decisionsPerRun requests. Each prompt has one random block replaced, at a random
// position, and shares the blocks before it with the previous prompt.
func runDecisions(router *routing.Router) error {
	random := rand.New(rand.NewPCG(benchSeed, 0))
	now := time.Unix(1000, 0)
	blocks := completion.BlockHashes(string(make([]byte, 64*completion.BlockTokens*4)))
	req := &routing.Request{Service: "m", PromptTokens: 1024, MaxTokens: 128, Class: manifest.Normal, Deadline: now.Add(time.Minute)}
	for range decisionsPerRun {
		now = now.Add(time.Millisecond)
		req.Random = random.Uint64()
		blocks[random.IntN(len(blocks))] = random.Uint64()
		req.Blocks = blocks
		attempt, err := router.Begin(now, req)
		if err != nil {
			return err
		}
		attempt.FirstToken(now, 0)
		attempt.Done(now, routing.Succeeded)
	}
	return nil
}

package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// testActive returns a manifest of one model service with n upstreams.
func testActive(n int, policy manifest.Policy) *manifest.Active {
	m := &manifest.Manifest{
		Services:  []manifest.Service{{Name: "text", Kind: manifest.Model, Policy: policy, Target: manifest.Target{FirstTokenMS: 420, TotalMS: 10000}}},
		VMClasses: []manifest.VMClass{{Name: "g", OnDemandPerHour: 2, ReclaimablePerHour: 1, ReclaimsPerDay: 4}},
	}
	for i := range n {
		m.Upstreams = append(m.Upstreams, manifest.Upstream{
			Name: fmt.Sprintf("e%d", i), Service: "text", VMClass: "g", Slots: 16, PrefillPerMS: 10,
		})
	}
	return manifest.NewActive(1, m)
}

func allMembers(a *manifest.Active) []Member {
	var members []Member
	for i := range a.Upstreams {
		members = append(members, Member{Upstream: &a.Upstreams[i]})
	}
	return members
}

// testBlocks returns the total blocks of a prompt. The first shared ones depend
// only on prefix, the others also on unique.
func testBlocks(prefix, unique uint64, shared, total int) []uint64 {
	blocks := make([]uint64, total)
	for i := range blocks {
		blocks[i] = mix(prefix<<20 + uint64(i) + 1)
		if i >= shared {
			blocks[i] = mix(blocks[i] ^ mix(unique))
		}
	}
	return blocks
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 250, 2500} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			a := testActive(n, manifest.ExpectedLatency)
			r := NewRouter()
			r.Update(a, allMembers(a))
			rng := rand.New(rand.NewPCG(1, 2))
			now := time.Now()
			reqs := make([]Request, 512)
			for i := range reqs {
				reqs[i] = Request{Service: "text", Blocks: testBlocks(rng.Uint64N(50), rng.Uint64(), 40, 64), PromptTokens: 1024, MaxTokens: 64, Random: rng.Uint64(), Deadline: now.Add(10 * time.Second)}
			}
			for range 20 * n {
				at, _ := r.Begin(now, &reqs[rng.IntN(len(reqs))])
				at.FirstToken(now.Add(60*time.Millisecond), 640)
				at.Done(now.Add(time.Second), Succeeded)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at, _ := r.Begin(now, &reqs[i&511])
				at.Done(now, Canceled)
			}
		})
	}
}

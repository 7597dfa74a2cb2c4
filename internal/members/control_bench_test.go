package members

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// Constants of BenchmarkControl.
const (
	callOverhead   = 70  // bytes: drpc frames and the name of the call, both ways; not counted otherwise
	reportBytes    = 320 // request and response of one GET /load
	benchSeconds   = 30
	benchLoadBytes = 24
)

// BenchmarkControl runs all daemons of a deployment in simulated time and
// reports the cost of membership for each of them: bytes sent and received,
// share of a core, and memory.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ daemons, regions, upstreams int }{{6, 1, 23}, {60, 1, 300}, {460, 5, 2500}} {
		b.Run(fmt.Sprintf("daemons=%d/upstreams=%d", size.daemons, size.upstreams), func(b *testing.B) {
			for range b.N {
				benchControl(b, size.daemons, size.regions, size.upstreams/size.regions)
			}
		})
	}
}

func benchControl(b *testing.B, daemons, regions, upstreams int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := newCluster(b, daemons, regions, 1)
	c.countBytes = true
	c.run(20 * time.Second)
	for _, g := range c.groups[:regions] {
		for u := range upstreams {
			g.Set(c.now, Record{Key: Key{Upstream, fmt.Sprintf("runner-%04d", u)}, Incarnation: 1e12, Version: 1, Region: g.self.Region, Zone: "zone-a"})
		}
	}
	c.run(40 * time.Second)
	clear(c.bytes)
	start := time.Now()
	publish := max(loadPublishInterval, loadPublishPerUpstream*time.Duration(upstreams))
	published := 0
	for s := range benchSeconds * 2 {
		due := int(float64(s) * float64(upstreams) * tick.Seconds() / publish.Seconds())
		for ; published < due; published++ {
			for r := range regions {
				g := c.groups[r+regions*(published%(daemons/regions))]
				g.Set(c.now, Record{Key: Key{Topic, joinTopic(loadTopic, fmt.Sprintf("runner-%04d", published%upstreams))},
					Incarnation: 1e12, Version: uint64(c.now.UnixMilli()), Region: g.self.Region, Value: make([]byte, benchLoadBytes)})
			}
		}
		if s == benchSeconds { // one manifest comes into force everywhere
			for _, g := range c.groups {
				g.SetSelf(c.now, func(r *Record) { r.Generation++ })
			}
		}
		c.step()
	}
	elapsed := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	total := 0
	for _, n := range c.bytes {
		total += n
	}
	gossip := float64(total) / float64(daemons) / benchSeconds
	reports := float64(upstreams) * float64(regions) / float64(daemons) * reportBytes / pollInterval.Seconds()
	b.ReportMetric(gossip, "gossip-B/s")
	b.ReportMetric(reports, "reports-B/s")
	b.ReportMetric(gossip+reports, "B/s")
	b.ReportMetric(elapsed.Seconds()/float64(daemons)/benchSeconds*100, "%core")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(daemons)/(1<<20), "MB")
	b.ReportMetric(publish.Seconds(), "load-age-s")
	runtime.KeepAlive(c)
}

// addBytes adds the bytes of one exchange to those of both daemons.
func (c *cluster) addBytes(a, b string, request, response Message) {
	if !c.countBytes {
		return
	}
	n := proto.Size(toRequest(request)) + proto.Size(toResponse(response)) + callOverhead
	c.bytes[a] += n
	c.bytes[b] += n
}

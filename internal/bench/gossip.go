package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/members"
)

const (
	regions          = 5
	upstreamsEach    = 5  // for each daemon, about 2,500 at 460
	settleRounds     = 60 // until all daemons know all records
	measuredRounds   = 60
	changeEvery      = 30 // rounds between two changes of an upstream's record by a daemon
	valueBytes       = 200
	publishEvery     = 10 // rounds between two values that a daemon publishes
	heartbeatSources = 2  // ends of an exchange
)

// gossip is a set of groups that exchange records in this process.
type gossip struct {
	now    time.Time
	groups []*members.Group
	byName map[string]*members.Group
	bytes  int64 // of all messages
}

func newGossip(n int) *gossip {
	g := &gossip{now: time.Unix(1000, 0), byName: make(map[string]*members.Group, n)}
	for i := range n {
		self := members.Record{
			Key:         members.Key{Kind: members.Daemon, Name: fmt.Sprintf("daemon-%d", i)},
			Incarnation: 1, Version: 1,
			Region: fmt.Sprintf("region-%d", i%regions), Zone: fmt.Sprintf("zone-%d", i%14),
			Address: fmt.Sprintf("10.%d.%d.1:7002", i/256, i%256), Operator: fmt.Sprintf("10.%d.%d.1:7001", i/256, i%256),
			Generation: 1,
		}
		group := members.NewGroup(members.DefaultConfig(), self, uint64(i))
		g.groups = append(g.groups, group)
		g.byName[self.Name] = group
	}
	g.introduce()
	return g
}

// introduce makes all daemons and upstreams known to all, as they are after a
// while.
func (g *gossip) introduce() {
	for _, group := range g.groups {
		for _, other := range g.groups {
			if other != group {
				group.Set(g.now, *other.Self())
			}
		}
		for i := range len(g.groups) * upstreamsEach {
			group.Set(g.now, g.upstream(i, 1))
		}
	}
}

func (g *gossip) upstream(i int, version uint64) members.Record {
	return members.Record{
		Key:         members.Key{Kind: members.Upstream, Name: fmt.Sprintf("engine-%d", i)},
		Incarnation: 1, Version: version, State: members.Live,
		Region: fmt.Sprintf("region-%d", i%regions), Zone: fmt.Sprintf("zone-%d", i%14),
	}
}

// round lets each daemon change its records and exchange with its targets.
func (g *gossip) round(number int) {
	g.now = g.now.Add(members.DefaultConfig().RoundInterval)
	for i, group := range g.groups {
		if (number+i)%changeEvery == 0 {
			group.Set(g.now, g.upstream(i*upstreamsEach, uint64(number)))
		}
		if (number+i)%publishEvery == 0 {
			self := group.Self()
			key := members.Key{Kind: members.Topic, Name: "limits/" + self.Name}
			group.Set(g.now, members.Record{Key: key, Incarnation: 1, Version: uint64(number), Region: self.Region, Value: make([]byte, valueBytes)})
		}
		for _, t := range group.Tick(g.now) {
			g.exchange(group, t)
		}
		group.TakeChanges()
	}
}

func (g *gossip) exchange(group *members.Group, t members.Target) {
	peer := g.byName[t.Name]
	if peer == nil {
		return
	}
	req := group.NewRequest(g.now, t)
	resp := peer.HandleRequest(g.now, req)
	group.HandleResponse(g.now, t.Name, resp)
	g.bytes += int64(req.Size() + resp.Size())
}

// GossipSlopes fits the bytes and the time that membership costs a daemon
// against the number of daemons. Bytes count at both ends and without those of
// the transport.
func GossipSlopes(out io.Writer, sizes []int) {
	var traffic, cores []Point
	for _, n := range sizes {
		g := newGossip(n)
		for i := range settleRounds {
			g.round(i)
		}
		g.bytes = 0
		start := time.Now()
		for i := range measuredRounds {
			g.round(settleRounds + i)
		}
		took := time.Since(start).Seconds()
		daemonSeconds := float64(n) * (measuredRounds * members.DefaultConfig().RoundInterval).Seconds()
		traffic = append(traffic, Point{float64(n), float64(g.bytes) * heartbeatSources / daemonSeconds})
		cores = append(cores, Point{float64(n), took / daemonSeconds})
	}
	Line("members.bytes_per_second", "daemons", traffic).Print(out)
	Line("members.cores", "daemons", cores).Print(out)
}

package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/members"
)

const (
	regionCount        = 5
	upstreamsPerDaemon = 5  // for each daemon, about 2,500 at 460
	warmupRounds       = 60 // until all daemons know all records
	measuredRounds     = 60
	changeInterval     = 30 // rounds between two changes of an upstream's record by a daemon
	topicValueBytes    = 200
	publishInterval    = 10 // rounds between two values that a daemon publishes
	exchangeEnds       = 2  // ends of an exchange
)

// gossipSim is a set of groups that exchange records in this process.
type gossipSim struct {
	now    time.Time
	groups []*members.Group
	byName map[string]*members.Group
	bytes  int64 // of all messages
}

func newGossipSim(n int) *gossipSim {
	g := &gossipSim{now: time.Unix(1000, 0), byName: make(map[string]*members.Group, n)}
	for i := range n {
		self := members.Record{
			Key:         members.Key{Kind: members.Daemon, Name: fmt.Sprintf("daemon-%d", i)},
			Incarnation: 1, Version: 1,
			Region: fmt.Sprintf("region-%d", i%regionCount), Zone: fmt.Sprintf("zone-%d", i%14),
			Address: fmt.Sprintf("10.%d.%d.1:7002", i/256, i%256), Operator: fmt.Sprintf("10.%d.%d.1:7001", i/256, i%256),
			Generation: 1,
		}
		group := members.NewGroup(members.DefaultConfig(), self, uint64(i))
		g.groups = append(g.groups, group)
		g.byName[self.Name] = group
	}
	g.addAllRecords()
	return g
}

// addAllRecords makes all daemons and upstreams known to all, as they are after a
// while.
func (g *gossipSim) addAllRecords() {
	for _, group := range g.groups {
		for _, other := range g.groups {
			if other != group {
				group.Set(g.now, *other.Self())
			}
		}
		for i := range len(g.groups) * upstreamsPerDaemon {
			group.Set(g.now, g.upstream(i, 1))
		}
	}
}

func (g *gossipSim) upstream(i int, version uint64) members.Record {
	return members.Record{
		Key:         members.Key{Kind: members.Upstream, Name: fmt.Sprintf("engine-%d", i)},
		Incarnation: 1, Version: version, State: members.Live,
		Region: fmt.Sprintf("region-%d", i%regionCount), Zone: fmt.Sprintf("zone-%d", i%14),
	}
}

// runRound lets each daemon change its records and exchange with its targets.
func (g *gossipSim) runRound(number int) {
	g.now = g.now.Add(members.DefaultConfig().RoundInterval)
	for i, group := range g.groups {
		if (number+i)%changeInterval == 0 {
			group.Set(g.now, g.upstream(i*upstreamsPerDaemon, uint64(number)))
		}
		if (number+i)%publishInterval == 0 {
			self := group.Self()
			key := members.Key{Kind: members.Topic, Name: "limits/" + self.Name}
			group.Set(g.now, members.Record{Key: key, Incarnation: 1, Version: uint64(number), Region: self.Region, Value: make([]byte, topicValueBytes)})
		}
		for _, t := range group.Tick(g.now) {
			g.exchange(group, t)
		}
		group.TakeChanges()
	}
}

func (g *gossipSim) exchange(group *members.Group, t members.Target) {
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
		g := newGossipSim(n)
		for i := range warmupRounds {
			g.runRound(i)
		}
		g.bytes = 0
		start := time.Now()
		for i := range measuredRounds {
			g.runRound(warmupRounds + i)
		}
		took := time.Since(start).Seconds()
		daemonSeconds := float64(n) * (measuredRounds * members.DefaultConfig().RoundInterval).Seconds()
		traffic = append(traffic, Point{float64(n), float64(g.bytes) * exchangeEnds / daemonSeconds})
		cores = append(cores, Point{float64(n), took / daemonSeconds})
	}
	FitLine("members.bytes_per_second", "daemons", traffic).Print(out)
	FitLine("members.cores", "daemons", cores).Print(out)
}

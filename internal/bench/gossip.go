package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/members"
)

const (
	regionCount        = 5
	upstreamsPerDaemon = 5  // about 2,500 upstreams with 460 daemons
	warmupRounds       = 60 // rounds until all daemons have all records
	measuredRounds     = 60
	changeInterval     = 30 // rounds between two changes of an upstream's record by one daemon
	topicValueBytes    = 200
	publishInterval    = 10 // rounds between two values published by one daemon
	exchangeEnds       = 2  // each message counts at its sender and its receiver
)

// gossipSim simulates the gossip of several daemons in one process, with a simulated clock.
type gossipSim struct {
	now    time.Time
	groups []*members.Group
	byName map[string]*members.Group
	bytes  int64 // size of all messages so far
}

func newGossipSim(daemons int) *gossipSim {
	g := &gossipSim{now: time.Unix(1000, 0), byName: make(map[string]*members.Group, daemons)}
	for i := range daemons {
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

// addAllRecords gives each group the records of all daemons and upstreams, as in the steady state.
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

// upstream returns the record of upstream i with the given version.
func (g *gossipSim) upstream(i int, version uint64) members.Record {
	return members.Record{
		Key:         members.Key{Kind: members.Upstream, Name: fmt.Sprintf("engine-%d", i)},
		Incarnation: 1, Version: version, State: members.Live,
		Region: fmt.Sprintf("region-%d", i%regionCount), Zone: fmt.Sprintf("zone-%d", i%14),
	}
}

// runRound runs one gossip round: each daemon changes the records that are due and exchanges messages
// with its targets.
func (g *gossipSim) runRound(round int) {
	g.now = g.now.Add(members.DefaultConfig().RoundInterval)
	for i, group := range g.groups {
		if (round+i)%changeInterval == 0 {
			group.Set(g.now, g.upstream(i*upstreamsPerDaemon, uint64(round)))
		}
		if (round+i)%publishInterval == 0 {
			self := group.Self()
			key := members.Key{Kind: members.Topic, Name: "limits/" + self.Name}
			group.Set(g.now, members.Record{Key: key, Incarnation: 1, Version: uint64(round), Region: self.Region, Value: make([]byte, topicValueBytes)})
		}
		for _, target := range group.Tick(g.now) {
			g.exchange(group, target)
		}
		group.TakeChanges()
	}
}

func (g *gossipSim) exchange(group *members.Group, target members.Target) {
	peer := g.byName[target.Name]
	if peer == nil {
		return
	}
	req := group.NewRequest(g.now, target)
	resp := peer.HandleRequest(g.now, req)
	group.HandleResponse(g.now, target.Name, resp)
	g.bytes += int64(req.Size() + resp.Size())
}

// GossipSlopes fits the bytes and the processor time (cores) that membership costs one daemon against
// the number of daemons. The bytes of a message count at both of its ends; transport overhead is not
// included.
func GossipSlopes(out io.Writer, sizes []int) {
	var traffic, cores []Point
	for _, daemons := range sizes {
		g := newGossipSim(daemons)
		for i := range warmupRounds {
			g.runRound(i)
		}
		g.bytes = 0
		start := time.Now()
		for i := range measuredRounds {
			g.runRound(warmupRounds + i)
		}
		elapsed := time.Since(start).Seconds()
		daemonSeconds := float64(daemons) * (measuredRounds * members.DefaultConfig().RoundInterval).Seconds()
		traffic = append(traffic, Point{float64(daemons), float64(g.bytes) * exchangeEnds / daemonSeconds})
		cores = append(cores, Point{float64(daemons), elapsed / daemonSeconds})
	}
	FitLine("members.bytes_per_second", "daemons", traffic).Print(out)
	FitLine("members.cores", "daemons", cores).Print(out)
}

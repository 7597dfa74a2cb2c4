package members

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/lagoonmux/lagoonmux/internal/fixedseed" // property tests
)

const tick = 500 * time.Millisecond

// cluster runs groups against each other in simulated time.
type cluster struct {
	t          assert.TestingT
	now        time.Time
	groups     []*Group
	paused     map[string]bool
	linkCut    func(a, b string) bool // reports whether messages between a and b are lost
	bytes      map[string]int         // bytes sent and received, by daemon
	countBytes bool                   // whether to count bytes
}

func newCluster(t assert.TestingT, n, regions int, seed uint64) *cluster {
	c := &cluster{t: t, now: time.UnixMilli(1e12), paused: map[string]bool{}, linkCut: func(_, _ string) bool { return false }, bytes: map[string]int{}}
	for i := range n {
		r := Record{Key: Key{Daemon, fmt.Sprintf("d%d", i)}, Incarnation: 1, Region: fmt.Sprintf("r%d", i%regions), Address: fmt.Sprintf("a%d", i)}
		g := NewGroup(DefaultConfig(), r, seed+uint64(i))
		g.SetSeeds([]string{"a0", "a1"})
		c.groups = append(c.groups, g)
	}
	return c
}

func (c *cluster) groupAt(address string) *Group {
	for _, g := range c.groups {
		if g.self.Address == address {
			return g
		}
	}
	return nil
}

func (c *cluster) reachable(a, b *Group) bool {
	return b != nil && !c.paused[a.self.Name] && !c.paused[b.self.Name] && !c.linkCut(a.self.Name, b.self.Name)
}

func (c *cluster) exchange(g *Group, t Target) {
	peer := c.groupAt(t.Address)
	if c.reachable(g, peer) {
		request := g.NewRequest(c.now, t)
		response := peer.HandleRequest(c.now, request)
		c.addBytes(g.self.Name, peer.self.Name, request, response)
		g.HandleResponse(c.now, t.Name, response)
		return
	}
	if t.Name == "" {
		return
	}
	for _, h := range g.Confirmers(t.Name) {
		if helper := c.groupAt(h.Address); c.reachable(g, helper) && c.reachable(helper, peer) {
			return
		}
	}
	g.MarkUnreachable(c.now.Add(tick/2), t.Name, c.now)
}

// step advances the time by one tick and runs one round of each group that is not
// paused.
func (c *cluster) step() {
	c.now = c.now.Add(tick)
	for _, g := range c.groups {
		if c.paused[g.self.Name] {
			continue
		}
		targets := g.Tick(c.now)
		if g.TakeUrgent() {
			targets = append(targets, g.UrgentTargets()...)
		}
		for _, t := range targets {
			c.exchange(g, t)
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for range int(d / tick) {
		c.step()
	}
}

// states returns in how many groups the named daemon has each state.
func (c *cluster) states(name string) map[State]int {
	out := map[State]int{}
	for _, g := range c.groups {
		if r := g.Get(Key{Daemon, name}); r != nil {
			out[r.State]++
		}
	}
	return out
}

func TestMembershipConverges(t *testing.T) {
	c := newCluster(t, 24, 3, 1)
	c.run(30 * time.Second)
	for i := range c.groups {
		assert.Equal(t, c.states(fmt.Sprintf("d%d", i))[Live], 24)
	}
}

func TestAllDetectDeadDaemon(t *testing.T) {
	c := newCluster(t, 6, 1, 2)
	c.run(10 * time.Second)
	c.paused["d3"] = true
	c.run(5 * time.Second)
	assert.DeepEqual(t, c.states("d3"), map[State]int{Dead: 5, Live: 1})
}

func TestPausedObserverMarksNobodyDead(t *testing.T) {
	c := newCluster(t, 6, 1, 3)
	c.run(10 * time.Second)
	c.paused["d3"] = true
	c.run(time.Minute)
	c.paused["d3"] = false
	c.run(3 * time.Second)
	for i := range c.groups {
		assert.DeepEqual(t, c.states(fmt.Sprintf("d%d", i)), map[State]int{Live: 6})
	}
}

func TestOneCutLinkMarksNobodyDead(t *testing.T) {
	c := newCluster(t, 6, 1, 4)
	c.run(10 * time.Second)
	c.linkCut = func(a, b string) bool { return a == "d1" && b == "d2" || a == "d2" && b == "d1" }
	for range 60 {
		c.step()
		assert.Equal(t, c.states("d1")[Dead]+c.states("d2")[Dead], 0)
	}
}

func TestReplacedVMAtSameAddress(t *testing.T) {
	c := newCluster(t, 6, 1, 5)
	c.run(10 * time.Second)
	r := Record{Key: Key{Daemon, "d9"}, Incarnation: 2, Region: "r0", Address: "a3"}
	c.groups[3] = NewGroup(DefaultConfig(), r, 99)
	c.groups[3].SetSeeds([]string{"a0"})
	c.run(5 * time.Second)
	assert.DeepEqual(t, c.states("d9"), map[State]int{Live: 6})
	assert.DeepEqual(t, c.states("d3"), map[State]int{Dead: 6})
}

func TestUpstreamStaysLeavingWithinIncarnation(t *testing.T) {
	g := NewGroup(DefaultConfig(), Record{Key: Key{Daemon, "d0"}, Region: "r0"}, 1)
	key := Key{Upstream, "u"}
	now := time.UnixMilli(1e12)
	g.Set(now, Record{Key: key, Incarnation: 7, Version: 1, Region: "r0"})
	g.Set(now, Record{Key: key, State: Leaving, Region: "r0"}) // a reclaim notice without incarnation
	g.Set(now, Record{Key: key, Incarnation: 7, Version: 2, Region: "r0"})
	assert.Equal(t, g.Get(key).State, Leaving)
	g.Set(now, Record{Key: key, Incarnation: 8, Version: 1, Region: "r0"})
	assert.Equal(t, g.Get(key).State, Live)
}

// TestRandomPausesAndCuts pauses daemons and cuts links at random and checks that
// every daemon sees all others as live some time after the faults end.
func TestRandomPausesAndCuts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(rt, "n")
		c := newCluster(rt, n, rapid.IntRange(1, 2).Draw(rt, "regions"), rapid.Uint64().Draw(rt, "seed"))
		c.run(20 * time.Second)
		for range rapid.IntRange(1, 6).Draw(rt, "faults") {
			name := fmt.Sprintf("d%d", rapid.IntRange(0, n-1).Draw(rt, "who"))
			other := fmt.Sprintf("d%d", rapid.IntRange(0, n-1).Draw(rt, "peer"))
			c.paused[name] = rapid.Bool().Draw(rt, "paused")
			c.linkCut = func(a, b string) bool { return a == other || b == other }
			c.run(time.Duration(rapid.IntRange(1, 20).Draw(rt, "seconds")) * time.Second)
		}
		clear(c.paused)
		c.linkCut = func(_, _ string) bool { return false }
		c.run(40 * time.Second)
		for i := range n {
			assert.DeepEqual(rt, c.states(fmt.Sprintf("d%d", i)), map[State]int{Live: n})
		}
	})
}

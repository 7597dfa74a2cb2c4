package limits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/lagoonmux/lagoonmux/internal/fixedseed" // property tests
)

// cluster is a set of daemons whose clocks differ by fixed offsets.
type cluster struct {
	now     time.Duration
	members []Member
	daemons []*shares
	offsets []time.Duration
}

const testUnits = 17

func newCluster(cores ...int) *cluster {
	c := &cluster{}
	for i, n := range cores {
		c.members = append(c.members, Member{Name: fmt.Sprintf("d%d", i), Cores: n})
	}
	for i, m := range c.members {
		c.daemons = append(c.daemons, newShares(m, uint64(i*1000)))
		c.offsets = append(c.offsets, time.Duration(i)*7*time.Second)
		c.daemons[i].setMembers(0, c.members)
	}
	return c
}

func (c *cluster) localTime(i int) time.Duration { return c.now + c.offsets[i] }

func (c *cluster) report(t assert.TestingT, i int, need float64) []byte {
	data, err := c.daemons[i].report(c.localTime(i), map[string]float64{"a": need})
	assert.NilError(t, err)
	return data
}

func (c *cluster) deliver(t assert.TestingT, i int, data []byte) {
	assert.NilError(t, c.daemons[i].mergeReport(c.localTime(i), data))
}

func (c *cluster) totals() (fraction float64, units int) {
	for i, d := range c.daemons {
		fraction += d.fraction(c.localTime(i), "a")
		units += d.wholeUnits(c.localTime(i), "a", testUnits)
	}
	return fraction, units
}

// exchange lets all daemons report once a second; all messages arrive.
func (c *cluster) exchange(t assert.TestingT, seconds int, needs ...float64) {
	for range seconds {
		c.now += time.Second
		for i := range c.daemons {
			data := c.report(t, i, needs[i])
			for k := range c.daemons {
				c.deliver(t, k, data)
			}
		}
	}
}

func TestShareFollowsDemandAndReturnsToBase(t *testing.T) {
	c := newCluster(2, 4, 2)
	assert.Equal(t, c.daemons[1].fraction(c.localTime(1), "a"), 0.5)
	c.exchange(t, 5, 1, 0.02, 0.02)
	busy := c.daemons[0].fraction(c.localTime(0), "a")
	assert.Assert(t, busy > 0.85, "the daemon with all the demand has a share of %v", busy)
	c.now += 4 * time.Second // no message arrives
	assert.Equal(t, c.daemons[0].fraction(c.localTime(0), "a"), 0.25)
	assert.Equal(t, c.daemons[1].fraction(c.localTime(1), "a"), 0.5)
	sum, units := c.totals()
	assert.Assert(t, sum > 0.999 && sum < 1.001 && units == testUnits)
}

// TestSharesNeverExceedLimit checks that the shares of all daemons never add up to
// more than the limit while reports are lost, delayed, duplicated and reordered.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(1, 2, 4, 8)
		type message struct {
			to   int
			data []byte
		}
		var wire []message
		daemon := rapid.IntRange(0, len(c.daemons)-1)
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				i := daemon.Draw(t, "from")
				data := c.report(t, i, rapid.Float64Range(0, 3).Draw(t, "need"))
				for k := range c.daemons {
					if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
						wire = append(wire, message{k, data})
					}
				}
			},
			"deliver": func(t *rapid.T) {
				if len(wire) == 0 {
					return
				}
				i := rapid.IntRange(0, len(wire)-1).Draw(t, "message")
				c.deliver(t, wire[i].to, wire[i].data)
				if rapid.Bool().Draw(t, "once") {
					wire = append(wire[:i], wire[i+1:]...)
				}
			},
			"time": func(t *rapid.T) {
				c.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"": func(t *rapid.T) {
				fraction, units := c.totals()
				assert.Assert(t, fraction < 1+1e-5, "shares add up to %v", fraction)
				assert.Assert(t, units <= testUnits, "units add up to %d", units)
			},
		})
	})
}

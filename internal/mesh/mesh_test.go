package mesh

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/loopback"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
)

// newMesh returns a mesh that counts the states it hears.
func newMesh(t *testing.T, name string, heard *[]*meshpb.State, seeds ...string) *Mesh {
	t.Helper()
	address, err := loopback.Address()
	assert.NilError(t, err)
	return New(Config{
		Self:    &meshpb.Daemon{Name: name, Born: 1, Address: address, Zone: "a"},
		Seeds:   seeds,
		Log:     hclog.NewNullLogger(),
		Fill:    func(*meshpb.State, string) {},
		Heard:   func(s *meshpb.State) { *heard = append(*heard, s) },
		StoreUp: func() time.Duration { return 0 },
	})
}

// TestStatesThatWaitedAreDropped replays what a daemon finds in its sockets when
// it wakes: calls that others made while it stood still.
func TestStatesThatWaitedAreDropped(t *testing.T) {
	var heard []*meshpb.State
	m := newMesh(t, "me", &heard)
	self := &meshpb.Daemon{Name: "other", Born: 1, Address: "127.0.0.1:1"}
	now := boottime.Now()
	tell := func(age time.Duration) {
		m.take(&meshpb.State{Self: self, SentMs: (now - age).Milliseconds() + 500_000}) // clocks differ
	}
	tell(0)
	assert.Equal(t, len(heard), 1)
	for age := 7 * time.Second; age > maxAge+100*time.Millisecond; age -= 250 * time.Millisecond {
		tell(age)
	}
	assert.Equal(t, len(heard), 1)
	tell(300 * time.Millisecond)
	assert.Equal(t, len(heard), 2)
}

func TestEarlierIncarnationIsNotHeard(t *testing.T) {
	var heard []*meshpb.State
	m := newMesh(t, "me", &heard)
	sent := boottime.Now().Milliseconds()
	m.take(&meshpb.State{Self: &meshpb.Daemon{Name: "other", Born: 2}, SentMs: sent})
	m.take(&meshpb.State{Self: &meshpb.Daemon{Name: "other", Born: 1}, SentMs: sent})
	m.take(&meshpb.State{Self: &meshpb.Daemon{Name: "me", Born: 1}, SentMs: sent})
	assert.Equal(t, len(heard), 1)
}

// TestDaemonsFindEachOther starts daemons that know one seed only, and stops one.
func TestDaemonsFindEachOther(t *testing.T) {
	const n = 4
	var list []*Mesh
	var stops []context.CancelFunc
	for i := range n {
		seeds := []string{}
		if i > 0 {
			seeds = append(seeds, list[0].Self.Address)
		}
		m := newMesh(t, fmt.Sprint("d", i), new([]*meshpb.State), seeds...)
		m.Heard = func(*meshpb.State) {}
		list = append(list, m)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			assert.Check(t, m.Run(ctx))
		}()
		stop := func() { cancel(); <-done }
		stops = append(stops, stop)
		t.Cleanup(stop)
	}
	inTouch := func(m *Mesh, want int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, touched := m.Count(); touched != want {
				return poll.Continue("%d in touch", touched)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	for _, m := range list {
		inTouch(m, n)
	}
	stops[3]()
	for _, m := range list[:3] {
		inTouch(m, n-1)
		all, _ := m.Count()
		assert.Equal(t, all, n, "it may still admit requests")
		assert.DeepEqual(t, m.Silent(), []string{"d3"})
	}
}

// TestCallsOfADaemonDoNotGrow checks that the calls that a daemon makes in a
// second stay as they are from baseDaemons on, and that as many calls as ever may
// be lost before a daemon is out of touch.
func TestCallsOfADaemonDoNotGrow(t *testing.T) {
	for _, n := range []int{2, 6, baseDaemons, 30, 100, 460} {
		m := newMesh(t, "me", new([]*meshpb.State))
		for i := range n - 1 {
			m.peers[fmt.Sprint("d", i)] = &Peer{}
		}
		calls := float64(n-1) / m.interval().Seconds()
		assert.Assert(t, calls <= baseDaemons/baseInterval.Seconds(), "%d daemons: %.0f calls a second", n, calls)
		assert.Assert(t, m.touch() >= 3*m.interval(), "%d daemons", n)
	}
}

// TestAddressesAreToldSeldom checks that most exchanges do not carry them.
func TestAddressesAreToldSeldom(t *testing.T) {
	m := newMesh(t, "me", new([]*meshpb.State))
	m.Learn([]*meshpb.Daemon{{Name: "a", Born: 1, Address: "127.0.0.1:1"}, {Name: "b", Born: 1, Address: "127.0.0.1:2"}})
	assert.Equal(t, len(m.state("a").Known), 2)
	assert.Equal(t, len(m.state("a").Known), 0)
	assert.Equal(t, len(m.state("b").Known), 2)
	m.known["a"] -= knownEvery
	assert.Equal(t, len(m.state("a").Known), 2)
}

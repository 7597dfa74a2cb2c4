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

// newMesh returns a Mesh on a loopback address that appends the States it receives to
// heard.
func newMesh(t *testing.T, name string, heard *[]*meshpb.State, seeds ...string) *Mesh {
	t.Helper()
	address, err := loopback.Address()
	assert.NilError(t, err)
	return New(Config{
		Self:        &meshpb.Daemon{Name: name, Born: 1, Address: address, Zone: "a"},
		Seeds:       seeds,
		Log:         hclog.NewNullLogger(),
		Fill:        func(*meshpb.State, Recipient, *meshpb.State, uint64) {},
		LoadVersion: func(string) (uint64, int64) { return 0, 0 },
		OnState:     func(s *meshpb.State) { *heard = append(*heard, s) },
		StoreUp:     func() (time.Duration, time.Duration) { return 0, neverAge },
	})
}

// TestDelayedStatesAreDropped sends States that were queued in a daemon's sockets while
// it was suspended. They are outdated when it resumes and must not be used.
func TestDelayedStatesAreDropped(t *testing.T) {
	var heard []*meshpb.State
	m := newMesh(t, "me", &heard)
	self := &meshpb.Daemon{Name: "other", Born: 1, Address: "127.0.0.1:1"}
	now := boottime.Now()
	send := func(age time.Duration) {
		m.receive(&meshpb.State{Self: self, SentMs: (now - age).Milliseconds() + 500_000}, now) // the boot clocks differ
	}
	send(0)
	assert.Equal(t, len(heard), 1)
	for age := 7 * time.Second; age > maxDelay+100*time.Millisecond; age -= 250 * time.Millisecond {
		send(age)
	}
	assert.Equal(t, len(heard), 1)
	send(300 * time.Millisecond)
	assert.Equal(t, len(heard), 2)
}

// TestEarlierIncarnationIsIgnored checks that a delayed State of an earlier incarnation
// and a State in the daemon's own name are dropped.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	var heard []*meshpb.State
	m := newMesh(t, "me", &heard)
	now := boottime.Now()
	sent := now.Milliseconds()
	m.receive(&meshpb.State{Self: &meshpb.Daemon{Name: "other", Born: 2, Address: "127.0.0.1:1"}, SentMs: sent}, now)
	m.receive(&meshpb.State{Self: &meshpb.Daemon{Name: "other", Born: 1, Address: "127.0.0.1:1"}, SentMs: sent}, now)
	m.receive(&meshpb.State{Self: &meshpb.Daemon{Name: "me", Born: 1, Address: "127.0.0.1:1"}, SentMs: sent}, now)
	assert.Equal(t, len(heard), 1)
}

// TestDaemonsDiscoverEachOther starts daemons that know one seed only: each must reach
// all others. After one stops it is unreachable, but still counts as one that may admit
// requests.
func TestDaemonsDiscoverEachOther(t *testing.T) {
	const n = 4
	var list []*Mesh
	var stops []context.CancelFunc
	for i := range n {
		seeds := []string{}
		if i > 0 {
			seeds = append(seeds, list[0].Self.Address)
		}
		m := newMesh(t, fmt.Sprint("d", i), new([]*meshpb.State), seeds...)
		m.OnState = func(*meshpb.State) {}
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
	waitReachable := func(m *Mesh, want int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, reachable := m.CountDaemons(); reachable != want {
				return poll.Continue("%d reachable", reachable)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	for _, m := range list {
		waitReachable(m, n)
	}
	stops[3]()
	for _, m := range list[:3] {
		waitReachable(m, n-1)
		all, _ := m.CountDaemons()
		assert.Equal(t, all, n, "the stopped daemon may still admit requests")
		assert.DeepEqual(t, m.Unreachable(), []string{"d3"})
	}
}

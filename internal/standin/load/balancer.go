package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// balancer imitates the platform's load balancer: it selects ready daemons in round
// robin. Its methods may be called from any goroutine.
type balancer struct {
	addresses []string
	ready     []atomic.Bool
	counter   atomic.Uint64
}

func newBalancer(addresses []string) *balancer {
	b := &balancer{addresses: addresses, ready: make([]atomic.Bool, len(addresses))}
	b.probe()
	return b
}

func (b *balancer) size() int { return len(b.addresses) }

// next returns the address of the next ready daemon, or of any daemon if none is
// ready.
func (b *balancer) next() string {
	turn := b.counter.Add(1)
	n := uint64(len(b.addresses))
	for i := range n {
		j := (turn + i) % n
		if b.ready[j].Load() {
			return b.addresses[j]
		}
	}
	return b.addresses[turn%n]
}

func (b *balancer) probe() {
	for i, a := range b.addresses {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+a+"/readyz", probeTimeout)
		b.ready[i].Store(err == nil && status == fasthttp.StatusOK)
	}
}

// run probes the daemons every probeInterval until ctx ends.
func (b *balancer) run(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			b.probe()
		}
	}
}

package throttle

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const (
	// permitTTL is how long after the question a permit may be used. A daemon that was
	// suspended in between must not use it: it has been counted at another time.
	permitTTL = 250 * time.Millisecond
	// relayTimeout bounds a question that is passed on. It is shorter than the timeout of
	// the daemon that asked first.
	relayTimeout = 50 * time.Millisecond
	// unansweredWait is how long a daemon sends nothing to an upstream whose arbiter did
	// not answer: until another daemon has become the arbiter.
	unansweredWait = time.Second
	// disagreementWait is the wait after a question reached no arbiter because daemons
	// disagree about who it is. That lasts for some exchanges of state.
	disagreementWait = 500 * time.Millisecond
)

var (
	// ErrNoArbiter means that this daemon knows no arbiter that it could ask.
	ErrNoArbiter = errors.New("no arbiter known")
	// errExpired means that the answer came too late to be used.
	errExpired = errors.New("permit has expired")
)

// Question asks whether a request may be sent to an upstream that names a rate.
type Question struct {
	Upstream uint64  // hash
	Rate     float64 // requests per second, as known to the daemon that asks
	Relayed  bool    // passed on by the daemon that was asked first
}

// Peers gives access to the other daemons.
type Peers interface {
	// Arbiter returns the address of the daemon to ask about an upstream, empty if none is
	// known, or whether this daemon is the arbiter itself.
	Arbiter(upstream uint64) (address string, self bool)
	// Counts returns the number of daemons that may send requests, and how many of them
	// are reachable, this one included.
	Counts() (all, reachable int)
	// Ask asks a daemon.
	Ask(ctx context.Context, address string, q Question) (Decision, error)
}

// Gate decides whether a daemon may send a request to an upstream. Its methods are safe
// for concurrent use.
type Gate struct {
	Limits  *Limits
	Buckets *Buckets
	Peers   Peers
	Clock   func() time.Duration // boot time
}

// Acquire decides whether this daemon may now send a request to an upstream. limited is
// false if the upstream names no rate. An error means that no arbiter decided; the
// request must not be sent then.
func (g *Gate) Acquire(ctx context.Context, k roster.Key) (d Decision, limited bool, err error) {
	hash := Hash(k)
	rate, limited := g.Limits.Rate(hash)
	if !limited {
		return Decision{Admit: true}, false, nil
	}
	asked := g.Clock()
	// The question goes on if the caller of the request leaves: a question that is
	// broken off looks like an arbiter that does not answer.
	d, err = g.decide(context.WithoutCancel(ctx), Question{Upstream: hash, Rate: rate}, false)
	if err == nil && d.Admit && g.Clock()-asked > permitTTL {
		d, err = Decision{Wait: minWait}, errExpired
	}
	return d, true, err
}

// Answer answers another daemon's question. It passes the question on if that daemon
// could not know the arbiter.
func (g *Gate) Answer(ctx context.Context, q Question) Decision {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), relayTimeout)
	defer cancel()
	d, _ := g.decide(ctx, q, true)
	return d
}

// decide decides as the arbiter, or asks it. Only a daemon that considers itself the
// arbiter issues permits, and a question is passed on only once. relay is set if the
// question is another daemon's.
func (g *Gate) decide(ctx context.Context, q Question, relay bool) (Decision, error) {
	address, self := g.Peers.Arbiter(q.Upstream)
	switch {
	case self:
		if rate, limited := g.Limits.Rate(q.Upstream); limited {
			q.Rate = rate
		}
		all, reachable := g.Peers.Counts()
		return g.Buckets.Take(q.Upstream, q.Rate, reachable, all, g.Clock()), nil
	case q.Relayed || address == "":
		return Decision{Wait: disagreementWait}, ErrNoArbiter
	}
	q.Relayed = relay
	d, err := g.Peers.Ask(ctx, address, q)
	if err != nil {
		return Decision{Wait: unansweredWait}, err
	}
	return d, nil
}

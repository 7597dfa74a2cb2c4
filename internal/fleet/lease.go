// Package fleet starts and stops the VMs of a region's upstreams and sends orders
// to the upstreams on them. One daemon per region at a time holds the fleet duty;
// it plans the cheapest fleet that carries the load.
//
// A lease row in the platform's table decides which daemon holds the duty. The
// row's version is the fencing token of each order. The content of an order is
// committed in one transaction with the lease before the order is sent, so a
// holder that lost the lease cannot commit a new order, however long it was paused.
package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// Durations of the lease and of orders.
const (
	LeaseDuration = 10 * time.Second // from the start of the commit that acquired or renewed the lease
	RenewInterval = 3 * time.Second
	OrderTimeout  = 2 * time.Second        // of one order; after this time it has arrived or never will
	orderMargin   = 500 * time.Millisecond // no order is valid within this time before the end of the lease
)

// Lease is the value of the lease row.
type Lease struct {
	Holder string `json:"holder"`
	Token  string `json:"token"` // unique ID of the commit that wrote the row
}

// Events of the duty state chart.
const (
	eventAcquired chart.Event = "acquired"
	eventRenewed  chart.Event = "renewed"
	eventWaited   chart.Event = "waited" // orders of the last holder can no longer arrive
	eventLost     chart.Event = "lost"
)

// States of the duty state chart.
const (
	Follower chart.State = "follower"
	Waiting  chart.State = "waiting" // holds the lease; orders of the last holder may still arrive
	Holding  chart.State = "holding"
)

// ErrNotHolder means that this daemon does not hold the duty, or that its lease
// ends too soon to send an order.
var ErrNotHolder = errors.New("this daemon does not hold the fleet duty")

// Duty is a daemon's view of the lease of its region. It is not safe for
// concurrent use. The times passed to its methods must be monotonic.
type Duty struct {
	daemon       string // name of this daemon
	leaseKey     string
	table        platform.Table
	stateMachine *chart.Machine

	fence          int64     // version of the lease row after this daemon's last commit
	leaseEnd       time.Time // end of this daemon's lease
	ordersArrived  time.Time // by when all orders of the last holder have arrived
	seenVersion    int64     // version of the lease row at the last read
	seenSince      time.Time // when this daemon first read that version
	hasSeenVersion bool      // seenVersion and seenSince are set
}

// NewDuty returns the Duty of the named daemon in the region, as a follower.
func NewDuty(name, region string, table platform.Table) *Duty {
	return &Duty{daemon: name, leaseKey: "fleet/lease-" + region, table: table, stateMachine: chart.MustLoad("duty").Start()}
}

// State returns the current state: Follower, Waiting or Holding.
func (d *Duty) State() chart.State { return d.stateMachine.State() }

// Fence returns the fencing token of this daemon's lease.
func (d *Duty) Fence() int64 { return d.fence }

// Remaining returns how long this daemon may still send orders: until orderMargin
// before the lease ends, or 0 if it does not hold the duty.
func (d *Duty) Remaining(now time.Time) time.Duration {
	if d.stateMachine.State() != Holding {
		return 0
	}
	return max(0, d.leaseEnd.Sub(now)-orderMargin)
}

// Step renews the lease, or acquires it if the holder has not renewed it for
// LeaseDuration. After an error of the table the state stays as it is until the
// lease ends. It returns ErrNotHolder when this daemon loses the lease or another
// daemon acquires it first.
func (d *Duty) Step(ctx context.Context, now time.Time) error {
	if d.stateMachine.State() != Follower {
		return d.renew(ctx, now)
	}
	row, err := d.table.Get(ctx, d.leaseKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Wrap(err, "read fleet lease")
	}
	if !d.hasSeenVersion || row.Version != d.seenVersion {
		d.seenVersion, d.seenSince, d.hasSeenVersion = row.Version, now, true
	}
	if row.Version != 0 && now.Sub(d.seenSince) < LeaseDuration {
		return nil
	}
	if err := d.commit(ctx, now, row.Version); err != nil {
		return err
	}
	d.ordersArrived = now.Add(OrderTimeout)
	return d.stateMachine.Fire(eventAcquired, "take lease", "")
}

func (d *Duty) renew(ctx context.Context, now time.Time) error {
	if !now.Before(d.leaseEnd) {
		return d.loseLease()
	}
	if d.stateMachine.State() == Waiting && !now.Before(d.ordersArrived) {
		if err := d.stateMachine.Fire(eventWaited, "wait for old orders", ""); err != nil {
			return err
		}
	}
	if d.leaseEnd.Sub(now) > LeaseDuration-RenewInterval {
		return nil
	}
	if err := d.commit(ctx, now, d.fence); err != nil {
		return err
	}
	return d.stateMachine.Fire(eventRenewed, "renew lease", "")
}

// commit writes the lease row and the extra writes in one transaction if the row
// still has the given version. If the outcome is unknown, the row's token shows
// whether the commit took effect; the lease is extended only by commits that are
// known to have taken effect.
func (d *Duty) commit(ctx context.Context, now time.Time, version int64, extra ...platform.Write) error {
	l := Lease{Holder: d.daemon, Token: uuid.NewString()}
	value, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "encode fleet lease")
	}
	writes := append([]platform.Write{{Key: d.leaseKey, Version: version, Value: value}}, extra...)
	err = d.table.Commit(ctx, l.Token, writes)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		err = d.resolveCommit(ctx, l)
	}
	if errors.Is(err, platform.ErrConflict) {
		return d.loseLease()
	}
	if err != nil {
		return errors.Wrap(err, "write fleet lease")
	}
	d.fence, d.leaseEnd = version+1, now.Add(LeaseDuration)
	return nil
}

// resolveCommit reads the lease row to find out whether the commit of l took
// effect. It returns nil if so, and platform.ErrOutcomeUnknown if that is not certain.
func (d *Duty) resolveCommit(ctx context.Context, l Lease) error {
	row, err := d.table.Get(ctx, d.leaseKey)
	if err != nil {
		return platform.ErrOutcomeUnknown
	}
	var current Lease
	if err := json.Unmarshal(row.Value, &current); err != nil {
		return errors.Wrap(err, "decode fleet lease")
	}
	if current.Token != l.Token {
		return platform.ErrOutcomeUnknown // the commit may still take effect; the next write conflicts then
	}
	return nil
}

func (d *Duty) loseLease() error {
	d.hasSeenVersion = false
	if err := d.stateMachine.Fire(eventLost, "lose lease", ""); err != nil {
		return err
	}
	return ErrNotHolder
}

// CommitDecision commits the content of an order under key in one transaction with
// the lease. The order may be sent only after it returned nil, with the fencing
// token Fence and within Remaining. It returns ErrNotHolder if this daemon may send
// orders for less than OrderTimeout.
func (d *Duty) CommitDecision(ctx context.Context, now time.Time, key string, value []byte) error {
	if d.Remaining(now) < OrderTimeout {
		return ErrNotHolder
	}
	return d.commit(ctx, now, d.fence, platform.Write{Key: key, Version: platform.AnyVersion, Value: value})
}

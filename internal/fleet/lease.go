// Package fleet buys and orders upstreams: one daemon of a region at a time
// holds the duty, plans the cheapest fleet for the latency target and gives the
// orders.
//
// A lease row in the platform's table decides who holds the duty. Its version
// is the fencing number of each order. What an order wants is committed
// together with the lease before it is sent, so that a holder that lost the
// lease cannot decide anything, however long it was paused.
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

// Times of the lease.
const (
	LeaseDuration = 10 * time.Second // from the start of the commit that took or renewed it
	RenewInterval = 3 * time.Second
	OrderTimeout  = 2 * time.Second // of one order, the longest it travels
	orderMargin   = 500 * time.Millisecond
)

// Lease is the value of the lease row.
type Lease struct {
	Holder string `json:"holder"`
	Token  string `json:"token"` // of the commit
}

// Events of the duty's chart.
const (
	eventAcquired chart.Event = "acquired"
	eventRenewed  chart.Event = "renewed"
	eventWaited   chart.Event = "waited"
	eventLost     chart.Event = "lost"
)

// States of the duty's chart.
const (
	Follower chart.State = "follower"
	Waiting  chart.State = "waiting" // for orders of the last holder to have arrived
	Holding  chart.State = "holding"
)

// ErrNotHolder says that this daemon does not hold the duty, or not for long
// enough to give the order.
var ErrNotHolder = errors.New("fleet duty not held")

// Duty is one daemon's part in the lease of its region. It is not safe for
// concurrent use. Time comes in as an argument and must be monotonic.
type Duty struct {
	name    string
	key     string
	table   platform.Table
	machine *chart.Machine

	fence         int64     // version of the lease row that this daemon wrote last
	leaseEnd      time.Time // end of this daemon's lease
	ordersArrived time.Time // when the last holder's orders have arrived
	seenVersion   int64     // version that was read last
	seenSince     time.Time // since when the row has that version
	hasSeen       bool
}

// NewDuty returns the duty of the named daemon in the region.
func NewDuty(name, region string, table platform.Table) *Duty {
	return &Duty{name: name, key: "fleet/lease-" + region, table: table, machine: chart.MustLoad("duty").Start()}
}

// State returns the state of the duty's chart.
func (d *Duty) State() chart.State { return d.machine.State() }

// Fence returns the fencing number of this daemon's lease.
func (d *Duty) Fence() int64 { return d.fence }

// Remaining returns how long this daemon may still give orders.
func (d *Duty) Remaining(now time.Time) time.Duration {
	if d.machine.State() != Holding {
		return 0
	}
	return max(0, d.leaseEnd.Sub(now)-orderMargin)
}

// Step renews the lease, or takes it if its holder let it lapse. An error of
// the table leaves the duty as it is until the lease ends.
func (d *Duty) Step(ctx context.Context, now time.Time) error {
	if d.machine.State() != Follower {
		return d.renew(ctx, now)
	}
	row, err := d.table.Get(ctx, d.key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Wrap(err, "read lease")
	}
	if !d.hasSeen || row.Version != d.seenVersion {
		d.seenVersion, d.seenSince, d.hasSeen = row.Version, now, true
	}
	if row.Version != 0 && now.Sub(d.seenSince) < LeaseDuration {
		return nil
	}
	if err := d.commit(ctx, now, row.Version); err != nil {
		return err
	}
	d.ordersArrived = now.Add(OrderTimeout)
	return d.machine.Fire(eventAcquired, "take lease", "")
}

func (d *Duty) renew(ctx context.Context, now time.Time) error {
	if !now.Before(d.leaseEnd) {
		return d.loseLease()
	}
	if d.machine.State() == Waiting && !now.Before(d.ordersArrived) {
		if err := d.machine.Fire(eventWaited, "wait for old orders", ""); err != nil {
			return err
		}
	}
	if d.leaseEnd.Sub(now) > LeaseDuration-RenewInterval {
		return nil
	}
	if err := d.commit(ctx, now, d.fence); err != nil {
		return err
	}
	return d.machine.Fire(eventRenewed, "renew lease", "")
}

// commit writes the lease row, with further writes, if it still has the given
// version. An unknown outcome is settled by the token; until then the lease
// counts from the last commit that is known to have had its effect.
func (d *Duty) commit(ctx context.Context, now time.Time, version int64, extra ...platform.Write) error {
	l := Lease{Holder: d.name, Token: uuid.NewString()}
	value, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	writes := append([]platform.Write{{Key: d.key, Version: version, Value: value}}, extra...)
	err = d.table.Commit(ctx, l.Token, writes)
	if errors.Is(err, platform.ErrUnknown) {
		err = d.resolveCommit(ctx, l)
	}
	if errors.Is(err, platform.ErrConflict) {
		return d.loseLease()
	}
	if err != nil {
		return errors.Wrap(err, "write lease")
	}
	d.fence, d.leaseEnd = version+1, now.Add(LeaseDuration)
	return nil
}

// resolveCommit finds out whether the commit of l had its effect.
func (d *Duty) resolveCommit(ctx context.Context, l Lease) error {
	row, err := d.table.Get(ctx, d.key)
	if err != nil {
		return platform.ErrUnknown
	}
	var current Lease
	if err := json.Unmarshal(row.Value, &current); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	if current.Token != l.Token {
		return platform.ErrUnknown // it may still arrive, and then the next write conflicts
	}
	return nil
}

func (d *Duty) loseLease() error {
	d.hasSeen = false
	if err := d.machine.Fire(eventLost, "lose lease", ""); err != nil {
		return err
	}
	return ErrNotHolder
}

// CommitDecision commits what an order wants under key together with the lease. Only
// after it returns nil may the order be sent, with the fencing number Fence and
// within Left.
func (d *Duty) CommitDecision(ctx context.Context, now time.Time, key string, value []byte) error {
	if d.Remaining(now) < OrderTimeout {
		return ErrNotHolder
	}
	return d.commit(ctx, now, d.fence, platform.Write{Key: key, Version: platform.AnyVersion, Value: value})
}

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
	LeaseFor     = 10 * time.Second // from the start of the commit that took or renewed it
	RenewEvery   = 3 * time.Second
	OrderTimeout = 2 * time.Second // of one order, the longest it travels
	orderMargin  = 500 * time.Millisecond
)

// Lease is the value of the lease row.
type Lease struct {
	Holder string `json:"holder"`
	Token  string `json:"token"` // of the commit
}

// Events of the duty's chart.
const (
	acquired chart.Event = "acquired"
	renewed  chart.Event = "renewed"
	waited   chart.Event = "waited"
	lost     chart.Event = "lost"
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

	fence    int64     // version of the lease row that this daemon wrote last
	until    time.Time // end of this daemon's lease
	ready    time.Time // when the last holder's orders have arrived
	seen     int64     // version that was read last
	seenAt   time.Time // since when the row has that version
	seenOnce bool
}

// NewDuty returns the duty of the named daemon in the region.
func NewDuty(name, region string, table platform.Table) *Duty {
	return &Duty{name: name, key: "fleet/lease-" + region, table: table, machine: chart.MustLoad("duty").Start()}
}

// State returns the state of the duty's chart.
func (d *Duty) State() chart.State { return d.machine.State() }

// Fence returns the fencing number of this daemon's lease.
func (d *Duty) Fence() int64 { return d.fence }

// Left returns how long this daemon may still give orders.
func (d *Duty) Left(now time.Time) time.Duration {
	if d.machine.State() != Holding {
		return 0
	}
	return max(0, d.until.Sub(now)-orderMargin)
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
	if !d.seenOnce || row.Version != d.seen {
		d.seen, d.seenAt, d.seenOnce = row.Version, now, true
	}
	if row.Version != 0 && now.Sub(d.seenAt) < LeaseFor {
		return nil
	}
	if err := d.commit(ctx, now, row.Version); err != nil {
		return err
	}
	d.ready = now.Add(OrderTimeout)
	return d.machine.Fire(acquired, "take lease", "")
}

func (d *Duty) renew(ctx context.Context, now time.Time) error {
	if !now.Before(d.until) {
		return d.lose()
	}
	if d.machine.State() == Waiting && !now.Before(d.ready) {
		if err := d.machine.Fire(waited, "wait for old orders", ""); err != nil {
			return err
		}
	}
	if d.until.Sub(now) > LeaseFor-RenewEvery {
		return nil
	}
	if err := d.commit(ctx, now, d.fence); err != nil {
		return err
	}
	return d.machine.Fire(renewed, "renew lease", "")
}

// commit writes the lease row, with further writes, if it still has the given
// version. An unknown outcome is settled by the token; until then the lease
// counts from the last commit that is known to have had its effect.
func (d *Duty) commit(ctx context.Context, now time.Time, version int64, more ...platform.Write) error {
	l := Lease{Holder: d.name, Token: uuid.NewString()}
	value, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	writes := append([]platform.Write{{Key: d.key, Version: version, Value: value}}, more...)
	err = d.table.Commit(ctx, l.Token, writes)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		err = d.settle(ctx, l)
	}
	if errors.Is(err, platform.ErrConflict) {
		return d.lose()
	}
	if err != nil {
		return errors.Wrap(err, "write lease")
	}
	d.fence, d.until = version+1, now.Add(LeaseFor)
	return nil
}

// settle finds out whether the commit of l had its effect.
func (d *Duty) settle(ctx context.Context, l Lease) error {
	row, err := d.table.Get(ctx, d.key)
	if err != nil {
		return platform.ErrOutcomeUnknown
	}
	var now Lease
	if err := json.Unmarshal(row.Value, &now); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	if now.Token != l.Token {
		return platform.ErrOutcomeUnknown // it may still arrive, and then the next write conflicts
	}
	return nil
}

func (d *Duty) lose() error {
	d.seenOnce = false
	if err := d.machine.Fire(lost, "lose lease", ""); err != nil {
		return err
	}
	return ErrNotHolder
}

// Decide commits what an order wants under key together with the lease. Only
// after it returns nil may the order be sent, with the fencing number Fence and
// within Left.
func (d *Duty) Decide(ctx context.Context, now time.Time, key string, want []byte) error {
	if d.Left(now) < OrderTimeout {
		return ErrNotHolder
	}
	return d.commit(ctx, now, d.fence, platform.Write{Key: key, Version: platform.AnyVersion, Value: want})
}
